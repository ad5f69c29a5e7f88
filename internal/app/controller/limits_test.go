package controller_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/app/controller"
	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/port"
)

// dispatcherOf returns the controller that dispatches a region.
func (c *cluster) dispatcherOf(region string) *controller.Controller {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[c.holderLocked(region)].controller
}

// acquireAt requests a slot at the dispatcher of a region.
func (c *cluster) acquireAt(region, id string) (dispatch.Decision, error) {
	at := c.dispatcherOf(region)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return at.Acquire(ctx, port.SlotRequest{Region: region, SlotRequest: dispatch.SlotRequest{
		ID: id, Service: "s", Target: 200 * time.Millisecond, Deadline: time.Now().Add(time.Second),
	}})
}

// TestLimitSurvivesDispatcherChange guards against a limit that is forgotten when
// the dispatcher changes, and against one that comes back from a controller which
// learned it before it ended.
func TestLimitSurvivesDispatcherChange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2*time.Millisecond)
	is.NoErr(c.order(0, 2))
	c.settle()
	e := registry.Endpoint{ID: "e", Address: "a1:100", Service: "s", Zone: "a1", Slots: 8, StartedMillis: 1, Sequence: 1, LastSeen: time.Now()}
	is.NoErr(c.anyRunning().Announce(t.Context(), e))
	time.Sleep(time.Second)
	requests := 0
	served := func(d time.Duration, signals registry.Signals) int {
		n := 0
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			requests++
			got, err := c.acquireAt("a", fmt.Sprint(requests))
			if err != nil || got.Grant == "" {
				continue
			}
			n++
			is.NoErr(c.dispatcherOf("a").Release(t.Context(), []port.SlotRelease{{
				Region: "a", Grant: got.Grant, Outcome: dispatch.Served, Took: time.Millisecond, Answered: true, Signals: signals,
			}}))
		}
		return n
	}
	limited := registry.Signals{Limited: true, Limit: 2}
	served(time.Second, limited)
	is.True(served(4*time.Second, limited) <= 17) // 1.5 times 2 a second, and 5
	c.kill(c.holder("a"))
	time.Sleep(3 * time.Second)
	is.True(served(4*time.Second, limited) <= 17)
	served(2*time.Second, registry.Signals{}) // the limit ends
	is.True(served(2*time.Second, registry.Signals{}) >= 40)
}

// TestLeavingInAnswer guards against an endpoint that says only in its answers that
// it leaves and goes on getting requests through the dispatchers of all regions, or
// is taken back into use by a later announcement.
func TestLeavingInAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2*time.Millisecond)
	is.NoErr(c.order(0, 2))
	c.settle()
	e := registry.Endpoint{ID: "e", Address: "a1:100", Service: "s", Zone: "a1", Slots: 8, StartedMillis: 1, Sequence: 1, LastSeen: time.Now()}
	is.NoErr(c.anyRunning().Announce(t.Context(), e))
	time.Sleep(time.Second)
	got, err := c.acquireAt("a", "first")
	is.NoErr(err)
	is.True(got.Grant != "")
	is.NoErr(c.dispatcherOf("a").Release(t.Context(), []port.SlotRelease{{
		Region: "a", Grant: got.Grant, Outcome: dispatch.Served, Took: time.Millisecond, Answered: true, Signals: registry.Signals{Leaving: true},
	}}))
	e.Sequence = 2
	is.NoErr(c.anyRunning().Announce(t.Context(), e))
	time.Sleep(time.Second)
	c.kill(c.holder("a"))
	time.Sleep(3 * time.Second)
	got, err = c.acquireAt("a", "second")
	is.NoErr(err)
	is.Equal(got.Grant, "")
	e.StartedMillis, e.Sequence = 2, 1 // it starts again under its ID
	is.NoErr(c.anyRunning().Announce(t.Context(), e))
	time.Sleep(time.Second)
	got, err = c.acquireAt("a", "third")
	is.NoErr(err)
	is.True(got.Grant != "")
}
