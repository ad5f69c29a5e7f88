// Package disk stores the records of a control VM or a controller in one data
// folder.
//
// A record is a named, checksummed file that is replaced as a whole: the new
// content is written to a second file, which is synced and then renamed over the
// first, and the folder is synced. A crash at any step leaves the old content or
// the new one. A record that exists but doesn't verify was therefore damaged after
// it became durable, and is reported as corrupt. The package never falls back to
// older content, because the process may already have sent answers that depend on
// the newer one.
//
// After a failed file system operation, a Folder rejects all further calls, because
// the content of the disk is then unknown until it is read again. A VoterStore opens
// its folder again before its next write; a control VM reads its records again only
// when its process restarts.
package disk
