// Package claims keeps once-only requests from running twice.
//
// A key begins with a token that names its coordinator: the one incarnation of
// one entry that issued the token. Only the coordinator's Table lets an attempt
// of the key start, one at a time, and it stores the outcome of the attempt, so
// that a resend gets the same answer. A table that has no room refuses new
// keys. It never evicts the claim of a key that may have run before the key has
// expired.
//
// NotRun is final as well. Copies of a request may be in flight on other paths
// when NotRun is reported to its caller, so the key never starts afterwards,
// and a caller that tries again takes a new key. This holds only while the
// coordinator is the only process that reports NotRun for a key: any other
// process that fails a request with a key can't know of the other copies and
// reports MayHaveRun.
//
// After a planned stop other entries answer resends from the coordinator's
// rows. They never start a key of a former coordinator: what the coordinator
// did not start never runs, so NotRun stays true however many entries report
// it.
//
// The protocol between entries and the reason home-lost call the coordinator
// the home of a key.
//
// Terms: an attempt is one arrival of a request with a key at a table (in
// package entry also one try at an endpoint), a claim is what a table stores of
// one key, a row is a claim in the form that is handed over, and minting a key
// is issuing its token.
//
// Nothing here is safe for concurrent use; the owner of a Table guards it.
package claims
