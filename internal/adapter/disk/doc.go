// Package disk keeps the records of a control VM's state under one data folder.
//
// A record is replaced as a whole: the new content goes to a second file,
// which is synced and then renamed over the first, and the folder is synced.
// A crash at any step leaves the old content or the new one. So a record that
// exists and doesn't verify was damaged after it was durable, and is reported
// as corrupt. There is no falling back to an older content: the member may
// have answered from the newer one.
//
// After a failed write the folder refuses all further use: what is on the disk
// is then unknown until the process starts again and reads it.
package disk
