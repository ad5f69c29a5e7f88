// Package entry is the wiring of an entry VM. It joins the decisions of
// internal/core over shared tables, runs the periodic work, and carries
// requests:
//
//	Serve ─ once-only? ─ home of the key ─ route ─ owner of a group ─ endpoint
//
// # Lock order
//
// Each table has its own mutex. A goroutine that holds one may only take one
// that stands later in this list, and none is held across a call to another
// VM:
//
//	members.mu, groups.mu, group.mu, ledger.mu, claimTable.mu, suspects.mu,
//	spreader.mu, untold.mu
//
// The document in force is an immutable snapshot behind an atomic pointer.
package entry
