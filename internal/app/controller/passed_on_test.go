package controller_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/port"
)

// suspendedClock is a clock that stands still, with all that looks at it, while it is
// suspended.
type suspendedClock struct{ mu sync.RWMutex }

func (c *suspendedClock) Now() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return time.Now()
}

// dispatcher returns the address of the controller that dispatches region a.
func (c *cluster) dispatcher(is *is.I, except string) string {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		c.mu.Lock()
		for address, m := range c.members {
			if address != except && m.controller != nil && m.controller.Gauges()["dispatch.slots.a.s"] > 0 {
				c.mu.Unlock()
				return address
			}
		}
		c.mu.Unlock()
	}
	is.Fail() // nobody dispatches
	return ""
}

// gone reports whether a controller knows that an endpoint is gone.
func (c *cluster) gone(t *testing.T, address, id string) bool {
	from := port.Controller{Address: "b1:1"}
	reply, err := c.at(address).controller.Exchange(t.Context(), port.ExchangeRequest{From: from, FullSync: true})
	if err != nil {
		return false
	}
	for _, e := range reply.Endpoints {
		if e.ID == id {
			return e.Gone
		}
	}
	return false
}

// TestDeregistrationOutlivesItsReceiver guards against a deregistration that a majority
// knows and nobody passes on, because the controller that acknowledged it is gone, with
// its disk or without, when one that was cut off is back.
func TestDeregistrationOutlivesItsReceiver(t *testing.T) {
	for name, wiped := range map[string]bool{"killed": false, "disk lost": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 2*time.Millisecond)
			is.NoErr(c.order(0, 2))
			c.settle()
			c.settle()
			is.NoErr(c.at("b1:1").controller.Announce(t.Context(), announcement("e1")))
			c.settle()
			cutOff := c.dispatcher(is, "c1:1")
			c.isolate(cutOff)
			c.settle()
			is.NoErr(c.at("c1:1").controller.Deregister(t.Context(), "e1"))
			c.kill("c1:1")
			if wiped {
				c.wipe("c1:1")
			}
			c.mu.Lock()
			clear(c.blocked)
			c.mu.Unlock()
			time.Sleep(time.Second)
			is.True(c.gone(t, cutOff, "e1"))
		})
	}
}
