// Package budget keeps the caps of rules and the byte budgets of links.
//
// Every cap is split into fixed shares over the entries of its destination, so
// that entries which can't reach each other still keep it together. An entry
// may lend a part of its share that lies unused; the borrower counts the term
// from when it asked, the lender from when it answered and for longer, so that
// the units are never used by both (Gray and Cheriton, "Leases", 1989). Use is
// counted in a sliding window, never refilled ahead of time: a burst counts
// inside its window.
//
// A share is lowered at once when a document lowers it. It is raised only when
// every other entry that might still use more than the document gives it is
// known to have the document, and a window has passed since.
package budget
