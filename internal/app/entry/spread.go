package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"sassafrasreach/internal/core/membership"
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
	// maxSilentTold bounds the entries that aren't heard of and told at once.
	maxSilentTold = 4
	// maxLearnedFrom bounds the entries that a starting one asks.
	maxLearnedFrom = 8
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
		if _, err := e.peers.Quarantine(ctx, u.address, rows); err != nil {
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
			for !e.tell(ctx, u) && e.hears(u.name) && wait.For(ctx, spreadRetry) {
			}
		})
	}
	told.Wait()
}

// spreadLater has the rows told by spreadLoop.
func (e *Entry) spreadLater(rows []port.QuarantineRow) {
	if len(e.queueRows(rows)) > 0 {
		signal(e.spreader.queued)
	}
}

// queueRows keeps the rows for every other entry of the document.
func (e *Entry) queueRows(rows []port.QuarantineRow) []*untold {
	s := e.snapshot.Load()
	if s == nil || len(rows) == 0 {
		return nil
	}
	now := e.clock.Now()
	var all []*untold
	for name, address := range s.entries {
		if name != e.config.Name {
			u := e.spreader.peer(name, address.peer)
			u.add(now, rows)
			all = append(all, u)
		}
	}
	return all
}

// spreadLoop tells the peers what they haven't acknowledged.
func (e *Entry) spreadLoop(ctx context.Context) {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.spreader.queued:
		}
		e.spreadOnce(ctx)
	}
}

// spreadOnce tells all peers that are heard of, and a few of the others.
func (e *Entry) spreadOnce(ctx context.Context) {
	s := e.snapshot.Load()
	if s == nil {
		return
	}
	var told sync.WaitGroup
	silent := 0
	for _, u := range e.spreader.waiting(e.clock.Now(), s.entries) {
		if !e.hears(u.name) {
			silent++
		}
		if e.hears(u.name) || silent <= maxSilentTold {
			told.Go(func() { e.tell(ctx, u) })
		}
	}
	told.Wait()
}

// hears says whether an entry is heard of.
func (e *Entry) hears(name string) bool {
	_, live := e.members.member(e.clock.Now(), name)
	return live
}

// learn asks other entries what is in quarantine, before this one serves. One
// answer is enough; the nearest ones are asked.
func (e *Entry) learn(ctx context.Context, s *snapshot) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, peer := range e.nearest(s) {
		asked.Go(func() {
			rows, err := e.peers.Quarantine(ctx, peer.Address, nil)
			if err == nil {
				e.suspects.take(e.clock.Now(), rows)
			}
		})
	}
	asked.Wait()
}

// nearest returns a few other entries, those of the own place first.
func (e *Entry) nearest(s *snapshot) []membership.Peer {
	var own, others []membership.Peer
	for _, peer := range s.peers {
		switch {
		case peer.Name == e.config.Name:
		case peer.Place == e.config.Place:
			own = append(own, peer)
		default:
			others = append(others, peer)
		}
	}
	all := slices.Concat(own, others)
	return all[:min(len(all), maxLearnedFrom)]
}
