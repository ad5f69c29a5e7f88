package controller_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/registry"
)

// TestLeavingSurvivesFullRestart guards against an endpoint that is in use again
// although it said that it leaves, because all controllers restarted: a late
// announcement from before, or none, must not make it usable.
func TestLeavingSurvivesFullRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2*time.Millisecond)
	is.NoErr(c.order(0, 2))
	c.settle()
	ready := registry.Endpoint{
		ID: "e1", Address: "a1:100", Service: "s", Zone: "a1", Slots: 4,
		StartedMillis: time.Now().UnixMilli(), Sequence: 5, LastSeen: time.Now(),
	}
	is.NoErr(c.anyRunning().Announce(t.Context(), ready))
	leaving := ready
	leaving.Leaving, leaving.Sequence = true, 6
	is.NoErr(c.anyRunning().Announce(t.Context(), leaving))
	c.restartAll()
	ready.LastSeen = time.Now()
	_ = c.anyRunning().Announce(t.Context(), ready) // delayed on its way
	var slots int64
	for deadline := time.Now().Add(4 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		c.mu.Lock()
		for _, m := range c.members {
			slots += m.controller.Gauges()["dispatch.slots.a.s"]
		}
		c.mu.Unlock()
	}
	is.Equal(slots, int64(0))
}

// TestDirectoryAfterFullRestart guards against clients that all go to the first few
// gateways that report themselves after all controllers have restarted: these
// would be overloaded, and others idle.
func TestDirectoryAfterFullRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2*time.Millisecond)
	is.NoErr(c.order(0, 2))
	c.settle()
	endpoints := &fragileEndpoints{cluster: c, live: make(map[string]registry.Endpoint)}
	const gateways = 8
	for i := range gateways {
		c.startGateway(fmt.Sprint("gateway-", i), "a", endpoints)
	}
	time.Sleep(3 * time.Second) // the hints are saved
	least := int64(gateways)
	var answers atomic.Int64
	c.restartAll()
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		c.mu.Lock()
		for _, m := range c.members {
			if named := m.controller.Nearest("a1", "a"); len(named) > 0 {
				answers.Add(1)
				least = min(least, int64(len(named)))
			}
		}
		c.mu.Unlock()
	}
	is.Equal(least, int64(gateways))
	is.True(answers.Load() > 0)
}
