package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/core/admission"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// groupKey names the endpoints of one service in one place.
type groupKey struct {
	service string
	place   string
}

// groups holds the groups that endpoints were announced for.
type groups struct {
	queued chan struct{} // a request began to wait

	mu    sync.Mutex
	byKey map[groupKey]*group
}

func newGroups() *groups {
	return &groups{queued: make(chan struct{}, 1), byKey: make(map[groupKey]*group)}
}

// get returns the group, which is made with the parameters that config gives
// when there is none yet.
func (s *groups) get(key groupKey, config func(groupKey) admission.Config) *group {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.byKey[key]
	if !ok {
		g = newGroup(key, config(key), s.queued)
		s.byKey[key] = g
	}
	return g
}

func (s *groups) all() []*group {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*group, 0, len(s.byKey))
	for _, g := range s.byKey {
		out = append(out, g)
	}
	return out
}

// group guards the admission of one group and wakes the requests that wait.
type group struct {
	key    groupKey
	queued chan struct{}

	mu      sync.Mutex
	state   *admission.Group
	waiting map[uint64]chan admission.Grant // closed without a grant on expiry
	latency *admission.LatencyWindow

	ticket atomic.Uint64
}

func newGroup(key groupKey, config admission.Config, queued chan struct{}) *group {
	return &group{
		key:     key,
		queued:  queued,
		state:   admission.NewGroup(config),
		waiting: make(map[uint64]chan admission.Grant),
		latency: admission.NewLatencyWindow(),
	}
}

// admit waits for a slot. Every error is a *verdict.Error with NotRun: the
// ticket can no longer be granted when it returns one.
func (g *group) admit(ctx context.Context, clock port.Clock, t admission.Ticket) (admission.Grant, error) {
	g.mu.Lock()
	decision := g.state.Offer(clock.Now(), t)
	switch decision.Kind {
	case admission.Granted:
		g.mu.Unlock()
		return admission.Grant{Ticket: t.ID, Endpoint: decision.Endpoint}, nil
	case admission.Refused:
		g.mu.Unlock()
		return admission.Grant{}, verdict.NewError(verdict.NotRun, decision.Reason, nil)
	}
	wait := make(chan admission.Grant, 1)
	first := len(g.waiting) == 0
	g.waiting[t.ID] = wait
	g.mu.Unlock()
	if first {
		signal(g.queued)
	}
	select {
	case grant, ok := <-wait:
		if !ok {
			return admission.Grant{}, verdict.NewError(verdict.NotRun, verdict.ReasonOverload, nil)
		}
		return grant, nil
	case <-ctx.Done():
		return admission.Grant{}, g.giveUp(clock.Now(), t.ID, ctx.Err())
	}
}

// giveUp takes a waiting ticket out, or hands back the slot that it was given
// meanwhile.
func (g *group) giveUp(now time.Time, ticket uint64, cause error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, ticket)
	if !g.state.Cancel(now, ticket) {
		g.grant(g.state.Done(now, ticket, admission.Result{Kind: admission.Canceled}))
	}
	return verdict.NewError(verdict.NotRun, contextReason(cause), cause)
}

// done frees the slot of a ticket and wakes the requests that get one.
func (g *group) done(now time.Time, ticket uint64, result admission.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if result.Kind == admission.OK {
		g.latency.Add(result.Latency)
	}
	g.grant(g.state.Done(now, ticket, result))
}

// observe adds the latency of an answer that came through another entry.
func (g *group) observe(latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latency.Add(latency)
}

// tick expires tickets and endpoints, and says whether requests still wait.
func (g *group) tick(now time.Time) (waiting bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	grants, expired := g.state.Tick(now)
	g.grant(grants)
	for _, ticket := range expired {
		if wait, ok := g.waiting[ticket]; ok {
			close(wait)
			delete(g.waiting, ticket)
		}
	}
	return len(g.waiting) > 0
}

// grant wakes waiting requests; must hold mu.
func (g *group) grant(grants []admission.Grant) {
	for _, grant := range grants {
		if wait, ok := g.waiting[grant.Ticket]; ok {
			wait <- grant
			delete(g.waiting, grant.Ticket)
		}
	}
}

// announce takes a report in. When it is the first of a new incarnation and the
// former one had not said that it leaves, replaced is set.
func (g *group) announce(now time.Time, a admission.Announcement) (former uint64, replaced bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, leaving := g.state.Incarnation(a.ID)
	g.state.Announce(now, a)
	return known, known != 0 && a.Incarnation > known && !leaving
}

func (g *group) configure(config admission.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Configure(config)
}

func (g *group) lost(now time.Time, endpoint string, incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Lost(now, endpoint, incarnation)
}

func (g *group) stats(now time.Time) admission.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Stats(now)
}

// lateAfter returns the time after which an answer counts as late.
func (g *group) lateAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.latency.Samples() < minLateSamples {
		return coldLate
	}
	return max(minLate, g.latency.Quantile(lateQuantile))
}

const (
	// lateQuantile of a group's own latencies is when an answer is late.
	lateQuantile = 0.95
	// minLate bounds it from below.
	minLate = 10 * time.Millisecond
	// coldLate stands in for it while there are fewer than minLateSamples.
	coldLate       = 200 * time.Millisecond
	minLateSamples = 20
)

// contextReason classes the end of a context.
func contextReason(err error) verdict.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict.ReasonDeadline
	}
	return verdict.ReasonCanceled
}
