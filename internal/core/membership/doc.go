// Package membership decides which entries (entry VMs) are live and which of
// them owns a group, the endpoints of one service in one place.
//
// Entries exchange heartbeats made of rows. A row of an entry has an
// incarnation, which rises at each start of the entry, and a counter, which
// rises in each period. Only the row's own entry raises them, so late,
// reordered and repeated rows change nothing. Exchanges are push-pull
// anti-entropy (Demers et al., "Epidemic algorithms for replicated database
// maintenance", 1987).
//
// A place is divided into cells of a bounded size. An entry follows every
// member of its own cell, and of other cells and places only as much as fits
// into bounded messages. The peers outside its cell form peer sets: one for
// each other cell of its place, each other place that it follows, and each
// seed. The owner of a group is chosen by rendezvous hashing (Thaler and
// Ravishankar, 1998), first over the cells, then within the cell.
//
// Ownership is a lease. An entry is fenced, which means that it must not act as
// an owner, when its own loop has stalled, when no live member of its cell
// has acknowledged its heartbeats for the length of the lease, or when another
// process has superseded it under the same name. The next entry in the ranking
// takes over from a failed owner only after the lease. An entry is settled,
// which means that it may own groups, once it has been live for long enough
// after its start.
package membership
