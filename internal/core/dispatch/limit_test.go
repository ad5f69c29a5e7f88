package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
)

const (
	// limitWindow is the time over which the requests to an endpoint with a limit
	// are counted; it may get limitFactor times what it named, and limitExtra more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// limitedRuns counts the grants of a pool with four endpoints of eight slots by
// the time at which they were made. All but the last endpoint name the limit from
// limitedFrom to limitedUntil.
type limitedRuns struct {
	pool                      *dispatch.Pool
	now                       time.Time
	limit                     float64
	limitedFrom, limitedUntil time.Time
	grants                    map[string][]time.Time
	running                   []dispatch.Decision
	ends                      []time.Time
	served, requests          int
}

func newLimitedRuns(limit float64) *limitedRuns {
	r := &limitedRuns{now: time.Unix(1_800_000_000, 0), limit: limit, grants: make(map[string][]time.Time)}
	r.pool = regionPool(r.now, "a", nil)
	r.pool.SetExclusive(r.now, true)
	for i := range 4 {
		r.pool.Update(r.now, registry.Endpoint{
			ID: fmt.Sprint(i), Zone: "a", Service: "s", Slots: 8, StartedMillis: 1, LastSeen: r.now,
		})
	}
	return r
}

func (r *limitedRuns) record(d dispatch.Decision) {
	if d.Grant == "" {
		return
	}
	r.served++
	r.grants[d.Endpoint.ID] = append(r.grants[d.Endpoint.ID], r.now)
	r.running, r.ends = append(r.running, d), append(r.ends, r.now.Add(300*time.Millisecond))
}

// run sends requests for 40 objects for a time.
func (r *limitedRuns) run(d time.Duration, perSecond int) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(time.Second / time.Duration(perSecond))
		for len(r.ends) > 0 && !r.ends[0].After(r.now) {
			e := r.running[0]
			r.running, r.ends = r.running[1:], r.ends[1:]
			limited := e.Endpoint.ID != "3" && !r.now.Before(r.limitedFrom) && r.now.Before(r.limitedUntil)
			r.pool.Observe(r.now, e.Grant, registry.Signals{Limited: limited, Limit: r.limit})
			for _, next := range r.pool.Release(r.now, e.Grant, dispatch.Served, 300*time.Millisecond) {
				r.record(next)
			}
		}
		for _, next := range r.pool.Tick(r.now) {
			r.record(next)
		}
		r.requests++
		d, decided := r.pool.Acquire(r.now, dispatch.SlotRequest{
			ID: fmt.Sprint(r.requests), Service: "s", Kind: "k", Affinity: fmt.Sprint(r.requests % 40),
			Target: 500 * time.Millisecond, Deadline: r.now.Add(2 * time.Second),
		})
		if decided {
			r.record(d)
		}
	}
}

// most returns the largest number of grants of one endpoint with a limit in
// limitWindow from a time on.
func (r *limitedRuns) most(from time.Time) int {
	most := 0
	for _, id := range []string{"0", "1", "2"} {
		for i, at := range r.grants[id] {
			n := 0
			for _, other := range r.grants[id][i:] {
				if other.Sub(at) < limitWindow {
					n++
				}
			}
			if !at.Before(from) {
				most = max(most, n)
			}
		}
	}
	return most
}

// TestEndpointLimit guards against more requests for an endpoint than it says that
// it takes, and against a limit that outlasts the answers that name it.
func TestEndpointLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.4, 1, 2.6, 4, 9.5} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			is := is.New(t)
			r := newLimitedRuns(limit)
			r.limitedFrom, r.limitedUntil = r.now.Add(5*time.Second), r.now.Add(30*time.Second)
			r.run(30*time.Second, 60)
			most := r.most(r.limitedFrom.Add(time.Second))
			t.Logf("%d requests in %s", most, limitWindow)
			is.True(float64(most) <= limitFactor*limit*limitWindow.Seconds()+limitExtra)
			is.True(float64(most) >= limit*limitWindow.Seconds()/2) // the limit is used
			r.run(10*time.Second, 60)
			before := r.served
			r.run(5*time.Second, 60)
			is.True(r.served-before >= 5*60*9/10)
		})
	}
}

// TestLimitOfAnotherPool guards against a new dispatcher that doesn't know the
// limits which endpoints named before, and against two that grant the same
// endpoint and use its limit twice.
func TestLimitOfAnotherPool(t *testing.T) {
	is := is.New(t)
	const limit = 4.0
	for _, exclusive := range []bool{true, false} {
		r := newLimitedRuns(limit)
		r.limitedFrom, r.limitedUntil = r.now, r.now.Add(time.Hour)
		for i := range 3 {
			r.pool.SetLimit(r.now, dispatch.Limit{Endpoint: fmt.Sprint(i), StartedMillis: 1, PerSecond: limit})
		}
		r.pool.SetLimit(r.now, dispatch.Limit{Endpoint: "3", StartedMillis: 7, PerSecond: 0}) // of another start
		r.pool.SetExclusive(r.now, exclusive)
		start := r.now
		r.run(20*time.Second, 60)
		allowed := limit*limitWindow.Seconds() + limitExtra
		if !exclusive {
			allowed /= 2
		}
		is.True(float64(r.most(start)) <= allowed)
		is.True(len(r.grants["3"]) > 100)
	}
}
