package entry

import (
	"context"
	"sync"
	"time"

	"sassafrasreach/internal/core/membership"
	"sassafrasreach/internal/core/steering"
	"sassafrasreach/internal/wait"
)

// beatPeriod is the time between heartbeats.
const beatPeriod = 500 * time.Millisecond

// members guards the membership table.
type members struct {
	mu        sync.Mutex
	table     *membership.Table
	roundTrip map[string]time.Duration // of heartbeats, by place
}

func newMembers(config Config) *members {
	self := membership.Member{Name: config.Name, Place: config.Place, Incarnation: config.Incarnation}
	return &members{
		table:     membership.NewTable(self, membership.Config{Period: beatPeriod}),
		roundTrip: make(map[string]time.Duration),
	}
}

// with runs do with the table locked.
func (m *members) with(do func(t *membership.Table)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	do(m.table)
}

func (m *members) owner(now time.Time, key groupKey) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Owner(now, key.service, key.place)
}

func (m *members) backup(now time.Time, key groupKey) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Backup(now, key.service, key.place)
}

func (m *members) ownsSelf(now time.Time, key groupKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.OwnsSelf(now, key.service, key.place)
}

func (m *members) member(now time.Time, name string) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Member(now, name)
}

func (m *members) live(now time.Time, place string) []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Live(now, place)
}

// orphaned says whether a group that has endpoints has no owner.
func (m *members) orphaned(now time.Time, key groupKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, _, ok := m.table.Group(now, key.service, key.place)
	_, owned := m.table.Owner(now, key.service, key.place)
	return ok && row.Endpoints > 0 && !owned
}

func (m *members) settled(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Settled(now)
}

func (m *members) relieved(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Relieved(now)
}

// roundTripWeight is the weight of a new sample, as a divisor.
const roundTripWeight = 8

// noteRoundTrip takes in the round trip of a heartbeat to a place.
func (m *members) noteRoundTrip(place string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.roundTrip[place]
	if !ok {
		m.roundTrip[place] = took
		return
	}
	m.roundTrip[place] = known + (took-known)/roundTripWeight
}

// view shows the groups as the heartbeats tell them; it implements
// steering.View.
type view struct {
	members *members
	now     time.Time
}

// Group implements steering.View.
func (v view) Group(service, place string) (steering.GroupView, bool) {
	v.members.mu.Lock()
	defer v.members.mu.Unlock()
	row, age, ok := v.members.table.Group(v.now, service, place)
	if !ok {
		return steering.GroupView{}, false
	}
	_, owned := v.members.table.Owner(v.now, service, place)
	return steering.GroupView{
		Live:      owned && row.Endpoints > 0,
		Endpoints: row.Endpoints,
		Slots:     row.Slots,
		Busy:      row.Busy,
		Queued:    row.Queued,
		Latency:   row.Latency,
		RoundTrip: v.members.roundTrip[place],
		Age:       age,
	}, true
}

// beatLoop sends heartbeats each period, and at once when something changed.
func (e *Entry) beatLoop(ctx context.Context) {
	var seen watch
	beat := func() {
		e.beat(ctx)
		e.noteChanges(ctx, &seen, e.clock.Now())
	}
	beat()
	wait.EachOr(ctx, beatPeriod, e.beatNow, beat)
}

// wakeBeat makes the next heartbeat due at once.
func (e *Entry) wakeBeat() { signal(e.beatNow) }

func (e *Entry) beat(ctx context.Context) {
	now := e.clock.Now()
	rows := e.ownRows(now)
	var targets []membership.Target
	e.members.with(func(t *membership.Table) {
		t.SetGroups(now, rows)
		targets = t.Tick(now)
	})
	for _, target := range targets {
		e.inBackground(ctx, func(ctx context.Context) { e.beatTo(ctx, target) })
	}
}

func (e *Entry) beatTo(ctx context.Context, target membership.Target) {
	sent := e.clock.Now()
	reply, err := e.peers.Heartbeat(ctx, target.Peer.Address, target.Heartbeat)
	if err != nil {
		return
	}
	e.members.noteRoundTrip(target.Peer.Place, e.clock.Now().Sub(sent))
	e.receiveBeat(reply)
}

// receiveBeat takes rows in and returns this entry's own.
func (e *Entry) receiveBeat(hb membership.Heartbeat) membership.Heartbeat {
	var reply membership.Heartbeat
	e.members.with(func(t *membership.Table) { reply = t.Receive(e.clock.Now(), hb) })
	return reply
}

// HandleHeartbeat implements port.PeerHandler.
func (e *Entry) HandleHeartbeat(hb membership.Heartbeat) membership.Heartbeat {
	return e.receiveBeat(hb)
}

// ownRows tells the use of the groups that this entry owns.
func (e *Entry) ownRows(now time.Time) []membership.GroupRow {
	var rows []membership.GroupRow
	for _, g := range e.groups.all() {
		if !e.members.ownsSelf(now, g.key) {
			continue
		}
		stats := g.stats(now)
		e.meter.Group(g.key.service, g.key.place, stats.Slots, stats.Busy, stats.Queued)
		rows = append(rows, membership.GroupRow{
			Service:   g.key.service,
			Place:     g.key.place,
			Endpoints: stats.Endpoints,
			Slots:     stats.Slots,
			Busy:      stats.Busy,
			Queued:    stats.Queued,
			Latency:   stats.Latency,
		})
	}
	return rows
}
