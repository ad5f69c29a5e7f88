// Package entry implements an entry VM. It decides which entries a caller
// should use, which endpoint runs a request, and whether a request that failed
// or is late is sent again. It combines the decision tables of internal/core,
// runs the periodic work, and forwards requests:
//
//	Serve ─ once-only? ─ coordinator of the key ─ route ─ owner of a group ─ endpoint
//
// # Terms
//
//   - Entry: the process of an entry VM. Its incarnation increases with each start.
//   - Document: the operators' configuration. Control VMs accept its versions; the
//     version in force here is held as a snapshot.
//   - Group: the endpoints of one service in one place. Its owner is the entry that
//     admits requests to them; the owner's backup takes over when the owner is lost.
//   - Once-only request: a request that must not run twice. It carries a key.
//   - Coordinator of a key: the entry incarnation that the key names (claims.Coordinator).
//     It alone may start the request, and it stores the outcome as a claim.
//   - Attempt: one try of a request, at an endpoint or through another entry. A run
//     is an attempt that holds a slot of an endpoint.
//   - Crossing: a request that is served outside its place of origin. It counts
//     against the caps of rules and of links between regions. Package admission
//     calls such a request spilled-in.
//   - Verdict: Ran, NotRun or MayHaveRun, as reported to the caller.
//   - Quarantine: the fingerprints of requests that crashed endpoints, which entries
//     refuse. Entries broadcast changes of it as rows.
//   - Suspected request: one whose connection to an endpoint broke, or to which one
//     death of an endpoint is attributed. The entry that ran it may run it again.
//     Every other entry refuses it, unless it has recently received an answer to it,
//     until remoteHold has passed or the entry that ran it receives an answer.
//
// # Lock order
//
// Each table has its own mutex. A goroutine that holds one may only acquire one
// that comes later in this list, and none is held during a call to another VM:
//
//	members.mu, groups.mu, group.mu, ledger.mu, claimTable.mu, suspects.mu,
//	broadcaster.mu, peerQueue.mu
//
// puller.mu is acquired before all of these. It alone is held during calls to
// other VMs, while the first document is applied. No mutex is acquired while that
// of attempts, outbox or retryBudget is held.
//
// The document in force is an immutable snapshot behind an atomic pointer.
package entry
