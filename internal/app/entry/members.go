package entry

import (
	"context"
	"sync"
	"time"

	"sassafrasreach/internal/core/membership"
	"sassafrasreach/internal/core/steering"
	"sassafrasreach/internal/wait"
)

// heartbeatPeriod is the time between heartbeats.
const heartbeatPeriod = 500 * time.Millisecond

// members guards the membership table.
type members struct {
	mu        sync.Mutex
	table     *membership.Table
	roundTrip map[string]time.Duration // moving average over heartbeats, by place
}

func newMembers(config Config) *members {
	self := membership.Member{Name: config.Name, Place: config.Place, Incarnation: config.Incarnation}
	return &members{
		table:     membership.NewTable(self, membership.Config{Period: heartbeatPeriod}),
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

// ownerless reports whether a group that has endpoints has no owner.
func (m *members) ownerless(now time.Time, key groupKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, _, ok := m.table.Group(now, key.service, key.place)
	_, owned := m.table.Owner(now, key.service, key.place)
	return ok && row.Endpoints > 0 && !owned
}

// settled reports whether this entry may own groups: it has been up for long
// enough and isn't fenced.
func (m *members) settled(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Settled(now)
}

// mayLeave reports whether this entry can stop without leaving its place without
// an owner: another entry of the place may own groups, no other entry could come
// to own any, or this entry may not own groups itself.
func (m *members) mayLeave(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.MayLeave(now)
}

// roundTripWeight is the divisor that gives a new sample's weight in the moving
// average.
const roundTripWeight = 8

// recordRoundTrip adds the round trip of a heartbeat to the moving average of a
// place.
func (m *members) recordRoundTrip(place string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.roundTrip[place]
	if !ok {
		m.roundTrip[place] = took
		return
	}
	m.roundTrip[place] = known + (took-known)/roundTripWeight
}

// view presents the groups as reported by heartbeats; it implements
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

// heartbeatLoop sends heartbeats each period, and at once after wakeHeartbeat.
func (e *Entry) heartbeatLoop(ctx context.Context) {
	var seen observed
	sendHeartbeats := func() {
		e.sendHeartbeats(ctx)
		e.logMembershipChanges(ctx, &seen, e.clock.Now())
	}
	sendHeartbeats()
	wait.EveryOrOn(ctx, heartbeatPeriod, e.heartbeatNow, sendHeartbeats)
}

// wakeHeartbeat makes the next heartbeat due at once.
func (e *Entry) wakeHeartbeat() { signal(e.heartbeatNow) }

func (e *Entry) sendHeartbeats(ctx context.Context) {
	now := e.clock.Now()
	rows := e.ownRows(now)
	var targets []membership.Target
	e.members.with(func(t *membership.Table) {
		t.SetGroups(now, rows)
		targets = t.Tick(now)
	})
	for _, target := range targets {
		e.inBackground(ctx, func(ctx context.Context) { e.sendHeartbeat(ctx, target) })
	}
}

func (e *Entry) sendHeartbeat(ctx context.Context, target membership.Target) {
	sent := e.clock.Now()
	reply, err := e.peers.Heartbeat(ctx, target.Peer.Address, target.Heartbeat)
	if err != nil {
		return
	}
	e.members.recordRoundTrip(target.Peer.Place, e.clock.Now().Sub(sent))
	e.receiveHeartbeat(reply)
}

// receiveHeartbeat applies the received rows and returns this entry's own as
// the reply.
func (e *Entry) receiveHeartbeat(hb membership.Heartbeat) membership.Heartbeat {
	var reply membership.Heartbeat
	e.members.with(func(t *membership.Table) { reply = t.Receive(e.clock.Now(), hb) })
	return reply
}

// HandleHeartbeat implements port.PeerHandler.
func (e *Entry) HandleHeartbeat(hb membership.Heartbeat) membership.Heartbeat {
	return e.receiveHeartbeat(hb)
}

// ownRows returns and meters the usage of the groups that this entry owns.
func (e *Entry) ownRows(now time.Time) []membership.GroupRow {
	var rows []membership.GroupRow
	for _, g := range e.groups.all() {
		if !e.members.ownsSelf(now, g.key) {
			continue
		}
		stats := g.stats(now)
		e.meter.SetGroup(g.key.service, g.key.place, stats.Slots, stats.Busy, stats.Queued)
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
