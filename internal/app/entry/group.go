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

// groupKey identifies the endpoints of one service in one place.
type groupKey struct {
	service string
	place   string
}

// groups holds the groups for which this entry has received an announcement or
// a request.
type groups struct {
	queued chan struct{} // signaled when the first request of a group starts to wait

	mu    sync.Mutex
	byKey map[groupKey]*group
}

func newGroups() *groups {
	return &groups{queued: make(chan struct{}, 1), byKey: make(map[groupKey]*group)}
}

// get returns the group of key. If there is none yet, it is created with the
// parameters that config returns.
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

// group guards the admission state of one group and wakes the requests that
// wait.
type group struct {
	key    groupKey
	queued chan struct{}

	mu      sync.Mutex
	state   *admission.Group
	waiting map[uint64]chan admission.Grant // closed without a grant on expiry
	latency *admission.LatencyWindow        // includes answers received through other entries

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

// admit waits for a slot. Every error is a *verdict.Error with NotRun: once it
// is returned, the ticket can no longer be granted.
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
		return admission.Grant{}, g.cancelWait(clock.Now(), t.ID, ctx.Err())
	}
}

// cancelWait removes a waiting ticket, or releases its slot if it was granted
// one in the meantime.
func (g *group) cancelWait(now time.Time, ticket uint64, cause error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, ticket)
	if !g.state.Cancel(now, ticket) {
		g.grant(g.state.Done(now, ticket, admission.Result{Kind: admission.Canceled}))
	}
	return verdict.NewError(verdict.NotRun, contextReason(cause), cause)
}

// done releases the slot of a ticket and wakes the requests that are granted
// one.
func (g *group) done(now time.Time, ticket uint64, result admission.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if result.Kind == admission.OK {
		g.latency.Add(result.Latency)
	}
	g.grant(g.state.Done(now, ticket, result))
}

// recordLatency adds the latency of an answer that was received from another
// entry.
func (g *group) recordLatency(latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latency.Add(latency)
}

// tick expires tickets and endpoints, and reports whether requests still wait.
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

// grant wakes the requests that were granted a slot; must hold mu.
func (g *group) grant(grants []admission.Grant) {
	for _, grant := range grants {
		if wait, ok := g.waiting[grant.Ticket]; ok {
			wait <- grant
			delete(g.waiting, grant.Ticket)
		}
	}
}

// announce applies an announcement and returns the incarnation known before it,
// 0 if none. replaced reports that the announcement is from a newer incarnation
// and the former one had not announced that it was leaving.
func (g *group) announce(now time.Time, a admission.Announcement) (previous uint64, replaced bool) {
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

func (g *group) markEndpointLost(now time.Time, endpoint string, incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.MarkLost(now, endpoint, incarnation)
}

func (g *group) stats(now time.Time) admission.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Stats(now)
}

// hedgeDelay returns the time after which an answer counts as late and the
// request may be hedged.
func (g *group) hedgeDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.latency.Samples() < minHedgeSamples {
		return defaultHedgeDelay
	}
	return max(minHedgeDelay, g.latency.Quantile(hedgeQuantile))
}

const (
	// hedgeQuantile is the quantile of a group's own latencies above which an
	// answer is late.
	hedgeQuantile = 0.95
	// minHedgeDelay is the lower bound of the hedge delay.
	minHedgeDelay = 10 * time.Millisecond
	// defaultHedgeDelay is the hedge delay while there are fewer than
	// minHedgeSamples latencies.
	defaultHedgeDelay = 200 * time.Millisecond
	minHedgeSamples   = 20
)

// contextReason classifies the error of an ended context.
func contextReason(err error) verdict.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict.ReasonDeadline
	}
	return verdict.ReasonCanceled
}
