package controller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/registry"
)

// holder returns the address of the controller that dispatches a region, as the
// others report it.
func (c *cluster) holder(region string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holderLocked(region)
}

// holderLocked is holder with mu held.
func (c *cluster) holderLocked(region string) string {
	for address, n := range c.holdersLocked(region) {
		if n > len(c.members)/2 {
			return address
		}
	}
	return ""
}

// borrowed returns the number of endpoints that a region borrows.
func (c *cluster) borrowed(region string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := int64(0)
	for _, m := range c.members {
		if m.controller != nil {
			n = max(n, m.controller.Gauges()["dispatch.borrowed."+region+".s"])
		}
	}
	return n
}

// keepsBorrowed waits until a region has borrowed a number of endpoints for two
// seconds without a change, in which a recalled one would be returned.
func (c *cluster) keepsBorrowed(region string, n int64) bool {
	since := time.Now()
	for deadline := since.Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if c.borrowed(region) != n {
			since = time.Now()
		}
		if time.Since(since) > 2*time.Second {
			return true
		}
	}
	return false
}

// TestLoansSurviveDispatcherRestart guards against loans that change because the
// lender's dispatcher is killed and starts again, or is lost for good: it starts
// without knowledge of endpoints, gateways, loads and loans, and must not report
// such loans as its region's.
func TestLoansSurviveDispatcherRestart(t *testing.T) {
	for _, after := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, time.Hour} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 2*time.Millisecond)
			is.NoErr(c.order(0, 2))
			c.settle()
			endpoints := &fragileEndpoints{cluster: c, live: make(map[string]registry.Endpoint)}
			for i := range 6 {
				endpoints.start(fmt.Sprintf("a1:%d", 100+i), "a1")
				endpoints.start(fmt.Sprintf("b1:%d", 100+i), "b1")
			}
			go endpoints.announceAll(t.Context())
			c.startGateways(endpoints)
			const before = 4 // a third of the endpoints: each region has one gateway
			is.True(c.keepsBorrowed("c", before))
			lender := c.holder("a")
			is.True(lender != "")
			c.kill(lender)
			time.AfterFunc(after, func() {
				if t.Context().Err() == nil {
					c.start(lender, false)
				}
			})
			least := int64(before)
			for range 100 {
				time.Sleep(50 * time.Millisecond)
				least = min(least, c.borrowed("c"))
			}
			t.Logf("%d endpoints borrowed, at least %d during the change", before, least)
			is.Equal(least, int64(before))
		})
	}
}

// TestFarControllerKeepsShiftLimit guards against a limit on shifts that is
// suspended because a controller of another region was lost: only that region may
// move its requests without limit.
func TestFarControllerKeepsShiftLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2*time.Millisecond)
	is.NoErr(c.order(0, 2))
	c.settle()
	time.Sleep(5 * time.Second) // the suspension after the start has ended
	victim := "a1:1"
	if c.holder("a") == victim {
		victim = "a2:1"
	}
	c.kill(victim)
	time.Sleep(2500 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	unlimited := make(map[string]int64)
	for _, m := range c.members {
		for region := range map[string]bool{"a": true, "b": true, "c": true} {
			if m.controller != nil {
				unlimited[region] += m.controller.Gauges()["dispatch.shift_unlimited."+region]
			}
		}
	}
	is.Equal(unlimited, map[string]int64{"a": 1, "b": 0, "c": 0})
}
