package entry

import (
	"slices"
	"sync"
	"time"

	"sassafrasreach/internal/port"
)

const (
	// maxUntold bounds the rows that are kept for one peer.
	maxUntold = 1000
	// maxSpreadRows bounds the rows of one message.
	maxSpreadRows = 200
)

// spreader keeps what each peer is still to be told of quarantine.
type spreader struct {
	queued chan struct{} // something is to be told

	mu    sync.Mutex
	peers map[string]*untold // by name
}

// untold holds the rows that one peer hasn't acknowledged.
type untold struct {
	name, address string
	turn          chan struct{} // held while a message is under way

	mu   sync.Mutex
	next uint64
	rows []untoldRow // oldest first
}

// untoldRow is a row on its way to one peer.
type untoldRow struct {
	port.QuarantineRow
	number uint64
	until  time.Time // when it matters no more
}

func newSpreader() *spreader {
	return &spreader{queued: make(chan struct{}, 1), peers: make(map[string]*untold)}
}

// peer returns what is kept for an entry, at its present address.
func (s *spreader) peer(name, address string) *untold {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.peers[name]
	if u == nil || u.address != address {
		u = &untold{name: name, address: address, turn: make(chan struct{}, 1)}
		s.peers[name] = u
	}
	return u
}

// waiting returns the peers that are to be told something, and forgets those
// that aren't listed any more.
func (s *spreader) waiting(now time.Time, listed map[string]entryAddress) []*untold {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*untold
	for name, u := range s.peers {
		if listed[name].peer != u.address {
			delete(s.peers, name)
			continue
		}
		if !u.empty(now) {
			all = append(all, u)
		}
	}
	return all
}

// add keeps rows until the peer acknowledges them. A lift takes the place of
// the earlier rows of its fingerprint, any other row that of its like.
func (u *untold) add(now time.Time, rows []port.QuarantineRow) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, row := range rows {
		u.rows = slices.DeleteFunc(u.rows, func(old untoldRow) bool { return replaces(row, old.QuarantineRow) })
		if len(u.rows) >= maxUntold {
			u.rows = u.rows[1:]
		}
		u.next++
		u.rows = append(u.rows, untoldRow{QuarantineRow: row, number: u.next, until: now.Add(untoldFor(row))})
	}
}

func replaces(row, old port.QuarantineRow) bool {
	if row.Fingerprint != old.Fingerprint {
		return false
	}
	like := row.Suspected == old.Suspected && row.Endpoint == old.Endpoint && row.Incarnation == old.Incarnation
	return row.Lifted || like
}

// untoldFor returns how long a row is of use.
func untoldFor(row port.QuarantineRow) time.Duration {
	if row.Lifted {
		return suspectHold
	}
	return row.Remaining
}

// empty says whether nothing is left to be told.
func (u *untold) empty(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rows = slices.DeleteFunc(u.rows, func(row untoldRow) bool { return !now.Before(row.until) })
	return len(u.rows) == 0
}

// message returns the oldest rows, with the time that is left of them.
func (u *untold) message(now time.Time) (rows []port.QuarantineRow, last uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, row := range u.rows[:min(len(u.rows), maxSpreadRows)] {
		if !row.Lifted {
			row.Remaining = row.until.Sub(now)
		}
		rows = append(rows, row.QuarantineRow)
		last = row.number
	}
	return rows, last
}

// acknowledged forgets the rows up to the numbered one.
func (u *untold) acknowledged(last uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rows = slices.DeleteFunc(u.rows, func(row untoldRow) bool { return row.number <= last })
}
