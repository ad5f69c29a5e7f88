package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
)

// TestRefusalsWithFreeSlots guards against lost warm objects and needless
// refusals when endpoints refuse a share of their requests while nearly idle:
// objects stay where they are warm, and each request gets a slot.
func TestRefusalsWithFreeSlots(t *testing.T) { checkObjectsStay(t, dispatch.Refused) }

// TestBrokenConnections is the same for endpoints that lose a share of their
// answers or drop idle connections.
func TestBrokenConnections(t *testing.T) { checkObjectsStay(t, dispatch.Broken) }

// checkObjectsStay ends half of the requests at all endpoints with the
// outcome failure.
func checkObjectsStay(t *testing.T, failure dispatch.Outcome) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	pool := regionPool(now, "own", map[string]int{"own": 6})
	places := make(map[string]map[string]bool)
	for i := range 3000 {
		now = now.Add(10 * time.Millisecond)
		object := fmt.Sprint(i % 12)
		d, decided := pool.Acquire(now, dispatch.SlotRequest{
			ID: fmt.Sprint(i), Service: "s", Kind: "k", Affinity: object,
			Target: 300 * time.Millisecond, Deadline: now.Add(2 * time.Second),
		})
		is.True(decided && d.Grant != "")
		if places[object] == nil {
			places[object] = make(map[string]bool)
		}
		places[object][d.Endpoint.ID] = true
		outcome, took := dispatch.Served, 50*time.Millisecond
		if i > 300 && i%2 == i/12%2 {
			outcome, took = failure, time.Millisecond
		}
		pool.Release(now.Add(time.Millisecond), d.Grant, outcome, took)
	}
	copies := 0
	for _, endpoints := range places {
		copies += len(endpoints)
	}
	is.True(copies <= 12+6) // one for each object, and one trial of each endpoint
}

// TestRefusalsWhenFull guards against further requests to an endpoint that
// has just refused one while all its slots were in use.
func TestRefusalsWhenFull(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	pool := regionPool(now, "own", map[string]int{"own": 0})
	pool.Update(now, registry.Endpoint{ID: "e", Zone: "own", Service: "s", Slots: 1, StartedMillis: 1, LastSeen: now})
	request := dispatch.SlotRequest{ID: "a", Service: "s", Target: 300 * time.Millisecond, Deadline: now.Add(2 * time.Second)}
	d, _ := pool.Acquire(now, request)
	pool.Release(now, d.Grant, dispatch.Refused, time.Millisecond)
	request.ID = "b"
	d, _ = pool.Acquire(now, request)
	is.Equal(d.Grant, "")
}
