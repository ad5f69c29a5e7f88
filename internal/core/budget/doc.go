// Package budget enforces the request caps of rules and the byte budgets of
// links.
//
// Every cap is split into fixed shares, one per entry of the rule's destination
// or of the link's two regions, so that entries that can't reach each other
// still don't exceed the cap together. An entry may lend an unused part of its
// share for a limited term. The borrower counts the term from when it sent the
// request. The lender counts it from when it answered and adds a margin, so
// that the units are never used by both (Gray and Cheriton, "Leases", 1989).
// Use is counted in a sliding window rather than refilled ahead of time, so a
// burst counts fully in its window.
//
// An entry lowers its share at once when a document lowers it. It raises its
// share only when every other entry that might still use more than the document
// gives it is known to have the document, or hasn't reported a version for
// ReportTimeout, and a quiet period has passed since: a window and the transit
// of a request.
//
// Terms: a bucket is one entry's part of one cap, a split is how a document
// divides a cap into shares, and a reservation is what one request has reserved
// of them.
package budget
