// Package membership decides which entries are live and which of them owns a
// group of endpoints.
//
// Entries exchange heartbeats: rows with an incarnation and a counter that only
// the row's own entry raises, so that late, crossed and repeated rows change
// nothing. Exchanges are push-pull anti-entropy (Demers et al., "Epidemic
// algorithms for replicated database maintenance", 1987).
//
// A place is divided into cells of a bounded size. An entry follows every
// member of its own cell, and of other cells and places only as much as fits
// into bounded messages. The owner of a group is chosen by rendezvous hashing
// (Thaler and Ravishankar, 1998), first over the cells, then in the cell.
// Ownership is a lease: an entry gives it up when its own loop has stalled or
// when the members it hears no longer acknowledge its heartbeats, and the next
// in line takes over only after that time.
package membership
