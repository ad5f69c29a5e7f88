package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// spreadLimit bounds how long a caller waits while the entries that are
	// heard of are told of its request.
	spreadLimit = 3 * peerTimeout
	// spreadRetry is the wait after a message that failed at once.
	spreadRetry = 50 * time.Millisecond
	// maxUntold bounds the rows that are kept for one peer.
	maxUntold = 1000
	// maxSpreadRows bounds the rows of one message.
	maxSpreadRows = 200
)

// spreader keeps what each peer is still to be told of quarantine.
type spreader struct {
	mu    sync.Mutex
	peers map[string]*untold // by address
}

// untold holds the rows that one peer hasn't acknowledged.
type untold struct {
	address string
	turn    chan struct{} // held while a message is under way

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

func newSpreader() *spreader { return &spreader{peers: make(map[string]*untold)} }

// peer returns what is kept for the peer at address.
func (s *spreader) peer(address string) *untold {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.peers[address]
	if u == nil {
		u = &untold{address: address, turn: make(chan struct{}, 1)}
		s.peers[address] = u
	}
	return u
}

// waiting returns the peers that are to be told something, and forgets those
// that aren't listed any more.
func (s *spreader) waiting(now time.Time, listed []string) []*untold {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*untold
	for address, u := range s.peers {
		if !slices.Contains(listed, address) {
			delete(s.peers, address)
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

// tell sends what a peer is still to be told, one message at a time so that the
// rows keep their order. It says whether nothing is left.
func (e *Entry) tell(ctx context.Context, u *untold) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	select {
	case u.turn <- struct{}{}:
		defer func() { <-u.turn }()
	case <-ctx.Done():
		return false
	}
	for !u.empty(e.clock.Now()) {
		rows, last := u.message(e.clock.Now())
		if e.peers.Quarantine(ctx, u.address, rows) != nil {
			return false
		}
		u.acknowledged(last)
	}
	return true
}

// spread keeps the rows for every other entry of the document and tells them at
// once. It waits until those that are heard of know, for spreadLimit at most;
// spreadLoop goes on with the others.
func (e *Entry) spread(rows []port.QuarantineRow) {
	if len(rows) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), spreadLimit)
	defer cancel()
	var told sync.WaitGroup
	for _, u := range e.queueRows(rows) {
		told.Go(func() {
			for !e.tell(ctx, u) && e.hears(u.address) && wait.For(ctx, spreadRetry) {
			}
		})
	}
	told.Wait()
}

// queueRows keeps the rows for every other entry of the document.
func (e *Entry) queueRows(rows []port.QuarantineRow) []*untold {
	now := e.clock.Now()
	var all []*untold
	for _, address := range e.peerAddresses() {
		u := e.spreader.peer(address)
		u.add(now, rows)
		all = append(all, u)
	}
	return all
}

// spreadLoop tells the peers what they haven't acknowledged.
func (e *Entry) spreadLoop(ctx context.Context) {
	wait.Each(ctx, beatPeriod, func() { e.spreadOnce(ctx) })
}

func (e *Entry) spreadOnce(ctx context.Context) {
	for _, u := range e.spreader.waiting(e.clock.Now(), e.peerAddresses()) {
		e.inBackground(ctx, func(ctx context.Context) { e.tell(ctx, u) })
	}
}

// peerAddresses returns the addresses of the other entries of the document.
func (e *Entry) peerAddresses() []string {
	s := e.snapshot.Load()
	if s == nil {
		return nil
	}
	var addresses []string
	for name, address := range s.entries {
		if name != e.config.Name {
			addresses = append(addresses, address.peer)
		}
	}
	return addresses
}

// hears says whether the entry at a peer's address is heard of.
func (e *Entry) hears(address string) bool {
	s := e.snapshot.Load()
	for _, peer := range s.peers {
		if peer.Address == address {
			_, live := e.members.member(e.clock.Now(), peer.Name)
			return live
		}
	}
	return false
}
