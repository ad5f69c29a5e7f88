// Package claims keeps once-only requests from running twice.
//
// A key begins with a token that names its home: one incarnation of one entry.
// Only the home's Table lets an attempt of the key start, one at a time, and it
// stores how the attempt ended, so that a resend gets the same answer. An
// attempt that certainly did not run releases its key; any other end is kept
// until the key has expired. A table that has no room refuses new keys and
// never forgets a key that is still valid.
//
// After a planned stop other entries answer resends from the home's rows. They
// never start a key of a former home: what the home did not start never runs,
// and so the answer NotRun stays true however many entries give it.
//
// Nothing here is safe for concurrent use; the owner of a Table guards it.
package claims
