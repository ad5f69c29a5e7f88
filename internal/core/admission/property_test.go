package admission_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasreach/internal/core/admission"
	"sassafrasreach/internal/port"
)

// model checks a group against what was announced, offered and canceled.
type model struct {
	t               *rapid.T
	g               *admission.Group
	now             time.Time
	nextID          uint64
	sequence        uint64
	newest          map[string]admission.Announcement // newest announcement
	leftIncarnation map[string]uint64                 // highest incarnation that announced Leaving
	inFlight        map[string]int                    // by endpoint and incarnation
	running         map[uint64]string                 // key of the endpoint, by ticket
	queued          map[uint64]bool
	withdrawn       map[uint64]bool // refused, canceled or expired
}

func key(id string, incarnation uint64) string { return fmt.Sprintf("%s/%d", id, incarnation) }

func (m *model) granted(ticket uint64, to port.Endpoint) {
	if m.withdrawn[ticket] {
		m.t.Fatalf("ticket %d granted after it was refused, canceled or expired", ticket)
	}
	if to.Incarnation <= m.leftIncarnation[to.ID] {
		m.t.Fatalf("ticket %d granted to %v, which left", ticket, to)
	}
	k := key(to.ID, to.Incarnation)
	m.inFlight[k]++
	if slots := m.newest[to.ID].Slots; m.inFlight[k] > slots {
		m.t.Fatalf("%d requests on %v, which has %d slots", m.inFlight[k], to, slots)
	}
	delete(m.queued, ticket)
	m.running[ticket] = k
}

func (m *model) grants(grants []admission.Grant) {
	for _, grant := range grants {
		m.granted(grant.Ticket, grant.Endpoint)
	}
}

func (m *model) announce(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	m.sequence++
	a := admission.Announcement{
		ID:          id,
		Incarnation: uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")),
		Sequence:    m.sequence,
		Slots:       rapid.IntRange(0, 4).Draw(t, "slots"),
		State:       admission.State(rapid.IntRange(0, 2).Draw(t, "state")),
		Load:        rapid.Float64Range(0, 1).Draw(t, "load"),
	}
	if rapid.Bool().Draw(t, "old") {
		a.Sequence = uint64(rapid.IntRange(0, int(m.sequence)).Draw(t, "sequence"))
	}
	m.g.Announce(m.now, a)
	if a.State == admission.Leaving && a.Incarnation >= m.newest[id].Incarnation {
		m.leftIncarnation[id] = max(m.leftIncarnation[id], a.Incarnation)
	}
	last, ok := m.newest[id]
	newer := a.Incarnation > last.Incarnation ||
		a.Incarnation == last.Incarnation && a.Sequence > last.Sequence
	if !ok || newer {
		m.newest[id] = a
	}
}

func (m *model) offer(t *rapid.T) {
	m.nextID++
	ticket := admission.Ticket{
		ID:       m.nextID,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond),
		Local:    rapid.Bool().Draw(t, "local"),
	}
	if rapid.Bool().Draw(t, "retry") {
		ticket.Exclude = []string{"a"}
	}
	d := m.g.Offer(m.now, ticket)
	switch d.Kind {
	case admission.Granted:
		m.granted(ticket.ID, d.Endpoint)
	case admission.Queued:
		m.queued[ticket.ID] = true
	case admission.Refused:
		m.withdrawn[ticket.ID] = true
	}
}

func (m *model) done(t *rapid.T) {
	for id, k := range m.running { // only the lowest ID, so that runs are reproducible
		if id != m.lowestRunning() {
			continue
		}
		delete(m.running, id)
		m.inFlight[k]--
		r := admission.Result{
			Kind:    admission.ResultKind(rapid.IntRange(0, 4).Draw(t, "kind")),
			Latency: time.Duration(rapid.IntRange(1, 300).Draw(t, "latency")) * time.Millisecond,
		}
		m.grants(m.g.Done(m.now, id, r))
		return
	}
}

func (m *model) lowestRunning() uint64 { return lowest(m.running) }

func lowest[V any](requests map[uint64]V) uint64 {
	least := ^uint64(0)
	for id := range requests {
		least = min(least, id)
	}
	return least
}

func (m *model) cancel(_ *rapid.T) {
	id := lowest(m.queued)
	removed := m.g.Cancel(m.now, id)
	if removed != m.queued[id] {
		m.t.Fatalf("cancel of %d: removed %v, was queued %v", id, removed, m.queued[id])
	}
	delete(m.queued, id)
	m.withdrawn[id] = true
}

func (m *model) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "step")) * time.Millisecond)
	grants, expired := m.g.Tick(m.now)
	m.grants(grants)
	for _, id := range expired {
		if !m.queued[id] {
			m.t.Fatalf("ticket %d expired but was not queued", id)
		}
		delete(m.queued, id)
		m.withdrawn[id] = true
	}
}

func (m *model) check(t *rapid.T) {
	s := m.g.Stats(m.now)
	if s.Queued > len(m.queued) {
		t.Fatalf("%d queued, want at most %d", s.Queued, len(m.queued))
	}
}

// TestGroupInvariants guards against grants beyond the slots, to leaving
// endpoints and of canceled requests. It runs random interleavings of
// announcements (also delayed and reordered ones), offers, results,
// cancellations and the passing of time.
func TestGroupInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t:               t,
			g:               admission.NewGroup(admission.Config{ReservePercent: 30}),
			now:             time.Unix(1_800_000_000, 0),
			newest:          map[string]admission.Announcement{},
			leftIncarnation: map[string]uint64{},
			inFlight:        map[string]int{},
			running:         map[uint64]string{},
			queued:          map[uint64]bool{},
			withdrawn:       map[uint64]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": m.announce,
			"offer":    m.offer,
			"offer2":   m.offer,
			"done":     m.done,
			"cancel":   m.cancel,
			"tick":     m.tick,
			"":         m.check,
		})
	})
}
