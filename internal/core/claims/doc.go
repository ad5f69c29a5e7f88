// Package claims keeps once-only requests from running twice.
//
// A key begins with a token that names its home: one incarnation of one entry.
// Only the home's Table lets an attempt of the key start, one at a time, and it
// stores how the attempt ended, so that a resend gets the same answer. A table
// that has no room refuses new keys and never forgets a key that may have run
// before it has expired.
//
// NotRun is final as well. Copies of a request may be under way on other paths
// when its caller is told NotRun, so the key never starts afterwards, and a
// caller that tries again takes a new key. This holds only while the home alone
// says NotRun of a key: any other process that fails a request with a key can't
// know of its other copies and says MayHaveRun.
//
// After a planned stop other entries answer resends from the home's rows. They
// never start a key of a former home: what the home did not start never runs,
// and so the answer NotRun stays true however many entries give it.
//
// Nothing here is safe for concurrent use; the owner of a Table guards it.
package claims
