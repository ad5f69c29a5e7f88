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

// TestResumedDispatcherAsksFirst guards against a dispatcher that stood still and goes on
// with the endpoints that it knew before, though one of them has deregistered meanwhile:
// nobody can call it, and the controller that acknowledged the deregistration is gone.
func TestResumedDispatcherAsksFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 20*time.Millisecond)
	is.NoErr(c.order(0, 2))
	c.settle()
	c.settle()
	is.NoErr(c.at("b1:1").controller.Announce(t.Context(), announcement("e1")))
	c.settle()
	suspended := c.dispatcher(is, "")
	clock := c.at(suspended).clock
	clock.mu.Lock()
	time.Sleep(3 * time.Second)
	receiver := c.dispatcherBeside(is, suspended)
	is.NoErr(c.at(receiver).controller.Deregister(t.Context(), "e1"))
	c.kill(receiver)
	c.mu.Lock()
	for other := range c.members {
		c.blocked[[2]string{other, suspended}] = true
	}
	c.mu.Unlock()
	clock.mu.Unlock()
	time.Sleep(100 * time.Millisecond) // it notices within a few checks
	is.Equal(c.maxSlots(3*time.Second), int64(0))
}

// dispatcherBeside is dispatcher while one controller stands still, which can't be asked.
func (c *cluster) dispatcherBeside(is *is.I, suspended string) string {
	c.mu.Lock()
	m := c.members[suspended]
	delete(c.members, suspended)
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.members[suspended] = m
		c.mu.Unlock()
	}()
	return c.dispatcher(is, suspended)
}
