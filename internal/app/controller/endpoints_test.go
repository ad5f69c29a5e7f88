package controller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/registry"
)

// maxSlots returns the most slots of service s that a controller dispatches in region a
// during a time.
func (c *cluster) maxSlots(d time.Duration) (most int64) {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		c.mu.Lock()
		for _, m := range c.members {
			if m.controller != nil {
				most = max(most, m.controller.Gauges()["dispatch.slots.a.s"])
			}
		}
		c.mu.Unlock()
	}
	return most
}

func (c *cluster) at(address string) *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[address]
}

func announcement(id string) registry.Endpoint {
	return registry.Endpoint{
		ID: id, Address: "a1:100", Service: "s", Zone: "a1", Slots: 4,
		StartedMillis: time.Now().Add(-time.Minute).UnixMilli(), Sequence: 5, LastSeen: time.Now(),
	}
}

// TestDeregistrationOfUnknown guards against a deregistration that is acknowledged where
// the endpoint isn't known, and binds nobody: a heartbeat that is late must not make the
// endpoint usable, wherever and whenever it arrives, while a later start of it may.
func TestDeregistrationOfUnknown(t *testing.T) {
	for name, restarts := range map[string]bool{"late heartbeat": false, "restart before the heartbeat": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 2*time.Millisecond)
			is.NoErr(c.order(0, 2))
			c.settle()
			c.settle()
			is.NoErr(c.at("a1:1").controller.Deregister(t.Context(), "e1"))
			if restarts {
				c.restartAll()
			}
			for _, address := range []string{"b1:1", "a1:1", "a2:1"} {
				is.NoErr(c.at(address).controller.Announce(t.Context(), announcement("e1")))
			}
			is.Equal(c.maxSlots(3*time.Second), int64(0))
			again := announcement("e1")
			again.StartedMillis, again.LastSeen = time.Now().UnixMilli(), time.Now()
			is.NoErr(c.at("b1:1").controller.Announce(t.Context(), again))
			is.Equal(c.maxSlots(2*time.Second), int64(4))
		})
	}
}

// TestDeregistrationWhereCutOff guards against a controller without a majority that
// acknowledges the deregistration of an endpoint that it doesn't know.
func TestDeregistrationWhereCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2*time.Millisecond)
	is.NoErr(c.order(0, 2))
	c.settle()
	c.isolate("a1:1")
	is.True(c.at("a1:1").controller.Deregister(t.Context(), "e1") != nil)
}

// isolate cuts a controller off from all others.
func (c *cluster) isolate(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.members {
		c.blocked[[2]string{address, other}], c.blocked[[2]string{other, address}] = true, true
	}
}

// TestManyUnknownDeregistrations guards against memory that made-up IDs exhaust: what is
// acknowledged is kept, so that beyond a bound nothing is acknowledged.
func TestManyUnknownDeregistrations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 0)
	is.NoErr(c.order(0, 2))
	c.settle()
	refused := 0
	for i := range 1100 {
		if c.at("a1:1").controller.Deregister(t.Context(), fmt.Sprint("made-up-", i)) != nil {
			refused++
		}
	}
	is.Equal(refused, 1100-1024)
	known := announcement("e1")
	is.NoErr(c.at("b1:1").controller.Announce(t.Context(), known))
	time.Sleep(time.Second)
	is.NoErr(c.at("a1:1").controller.Deregister(t.Context(), "e1")) // one that is known isn't refused
}

// TestUnusableAnnouncementEndsNothing guards against an announcement of a service that the
// configuration doesn't name which takes a sound endpoint out of use, by its address or its
// ID, when the pools are filled again: with a change of the configuration, or by another
// dispatcher. The endpoint's own announcements were acknowledged all the while.
func TestUnusableAnnouncementEndsNothing(t *testing.T) {
	sound := announcement("e1")
	other := sound
	other.ID, other.Service, other.Sequence, other.StartedMillis = "f1", "x", 1, time.Now().UnixMilli()
	sameID := other
	sameID.ID, sameID.Address = sound.ID, "a1:200"
	leaving := sameID
	leaving.Leaving = true
	for name, foreign := range map[string]registry.Endpoint{"address": other, "ID": sameID, "ID, leaving": leaving} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 2*time.Millisecond)
			is.NoErr(c.order(0, 2))
			c.settle()
			is.NoErr(c.at("b1:1").controller.Announce(t.Context(), sound))
			c.settle()
			err := c.at("c1:1").controller.Announce(t.Context(), foreign)
			is.Equal(err != nil, foreign.ID == sound.ID) // one that isn't recorded isn't acknowledged
			is.NoErr(c.order(2, 3))
			is.Equal(c.maxSlots(500*time.Millisecond), int64(4))
			c.kill(c.dispatcher(is, ""))
			time.Sleep(3 * time.Second)
			is.Equal(c.maxSlots(500*time.Millisecond), int64(4))
		})
	}
}

// TestUnrecordedLeavingUnacknowledged guards against the acknowledgement of an announcement
// that an endpoint leaves which binds nobody, since a later start of its ID is known.
func TestUnrecordedLeavingUnacknowledged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2*time.Millisecond)
	is.NoErr(c.order(0, 2))
	c.settle()
	c.settle()
	is.NoErr(c.at("b1:1").controller.Announce(t.Context(), announcement("e1")))
	c.settle()
	leaving := announcement("e1")
	leaving.Leaving, leaving.Sequence, leaving.StartedMillis = true, 9, leaving.StartedMillis-5000
	is.True(c.at("c1:1").controller.Announce(t.Context(), leaving) != nil)
	leaving.StartedMillis = announcement("e1").StartedMillis + 1000
	is.NoErr(c.at("c1:1").controller.Announce(t.Context(), leaving))
	is.Equal(c.maxSlots(time.Second), int64(0))
}

// TestUnusableEndsHideNoCrash guards against a request that crashes endpoints and isn't stopped,
// because announcements of a service that the configuration doesn't name, which replace each
// other, count as endpoints that ended for a common cause.
func TestUnusableEndsHideNoCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, endpoints, gateways := newServedCluster(t)
	time.Sleep(8 * time.Second) // controllers that have just started learn from gateways, too
	for i := range 60 {
		foreign := announcement(fmt.Sprint("f", i%5))
		foreign.Service, foreign.Address, foreign.StartedMillis = "x", "a1:300", time.Now().UnixMilli()
		for _, address := range []string{"a1:1", "b1:1"} {
			is.NoErr(c.at(address).controller.Announce(t.Context(), foreign))
		}
		is.True(send(gateways[i%len(gateways)], fmt.Sprint("crash", i), crashTarget).Err != nil)
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%d crashes", endpoints.crashCount())
	is.True(endpoints.crashCount() <= 6)
}
