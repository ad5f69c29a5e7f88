package entry

import (
	"slices"
	"sync"
	"time"

	"sassafrasreach/internal/port"
)

const (
	// maxQueuedRows bounds the rows that are queued for one peer, and those
	// sent to an entry that queries the quarantine.
	maxQueuedRows = 1000
	// maxMessageRows bounds the rows of one message.
	maxMessageRows = 200
)

// broadcaster queues the rows that peers have not acknowledged.
type broadcaster struct {
	queued chan struct{} // signaled when rows are queued

	mu    sync.Mutex
	peers map[string]*peerQueue // by name
}

// peerQueue holds the rows that one peer has not acknowledged.
type peerQueue struct {
	name, address string
	sending       chan struct{} // semaphore, held while a message is in flight

	mu   sync.Mutex
	next uint64      // number of the newest row
	rows []queuedRow // oldest first
}

// queuedRow is a row that is queued for one peer.
type queuedRow struct {
	port.QuarantineRow
	number uint64
	until  time.Time // when the row expires
}

func newBroadcaster() *broadcaster {
	return &broadcaster{queued: make(chan struct{}, 1), peers: make(map[string]*peerQueue)}
}

// peer returns the queue of an entry. When its address has changed it gets a
// new queue.
func (b *broadcaster) peer(name, address string) *peerQueue {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.peers[name]
	if q == nil || q.address != address {
		q = &peerQueue{name: name, address: address, sending: make(chan struct{}, 1)}
		b.peers[name] = q
	}
	return q
}

// pending returns the queues that hold rows, and removes those of peers that
// the document no longer lists at their address.
func (b *broadcaster) pending(now time.Time, listed map[string]entryAddress) []*peerQueue {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*peerQueue
	for name, q := range b.peers {
		if listed[name].peer != q.address {
			delete(b.peers, name)
			continue
		}
		if !q.empty(now) {
			all = append(all, q)
		}
	}
	return all
}

// add queues rows until the peer acknowledges them or they expire. A lift
// replaces all earlier rows of its fingerprint; any other row replaces those that
// supersedes finds to be the same. Beyond maxQueuedRows the oldest are dropped.
func (q *peerQueue) add(now time.Time, rows []port.QuarantineRow) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, row := range rows {
		q.rows = slices.DeleteFunc(q.rows, func(old queuedRow) bool { return supersedes(row, old.QuarantineRow) })
		if len(q.rows) >= maxQueuedRows {
			q.rows = q.rows[1:]
		}
		q.next++
		q.rows = append(q.rows, queuedRow{QuarantineRow: row, number: q.next, until: now.Add(rowLifetime(row))})
	}
}

// supersedes reports whether row replaces old: both have the same fingerprint,
// and row is a lift or reports the same suspicion or quarantine for the same
// endpoint incarnation.
func supersedes(row, old port.QuarantineRow) bool {
	if row.Fingerprint != old.Fingerprint {
		return false
	}
	same := row.Suspected == old.Suspected && row.Endpoint == old.Endpoint && row.Incarnation == old.Incarnation
	return row.Lifted || same
}

// rowLifetime returns how long a row stays queued at most.
func rowLifetime(row port.QuarantineRow) time.Duration {
	if row.Lifted {
		return remoteHold
	}
	return row.Remaining
}

// empty removes expired rows and reports whether none is left.
func (q *peerQueue) empty(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rows = slices.DeleteFunc(q.rows, func(row queuedRow) bool { return !now.Before(row.until) })
	return len(q.rows) == 0
}

// message returns the oldest rows with their remaining times, and the number of
// the last one.
func (q *peerQueue) message(now time.Time) (rows []port.QuarantineRow, last uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, row := range q.rows[:min(len(q.rows), maxMessageRows)] {
		if !row.Lifted {
			row.Remaining = row.until.Sub(now)
		}
		rows = append(rows, row.QuarantineRow)
		last = row.number
	}
	return rows, last
}

// acknowledge removes the rows up to the numbered one.
func (q *peerQueue) acknowledge(last uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rows = slices.DeleteFunc(q.rows, func(row queuedRow) bool { return row.number <= last })
}
