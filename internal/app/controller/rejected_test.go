package controller_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/port"
)

// rejection lets the controllers of a cluster reject the exchanges that it names, as
// one whose handler fails does.
type rejection struct {
	rejects func(m port.ExchangeRequest) bool
	count   atomic.Int64
}

func (r *rejection) check(m port.ExchangeRequest) error {
	if r == nil || !r.rejects(m) {
		return nil
	}
	r.count.Add(1)
	return port.ErrRejected
}

// knows reports whether a controller knows an endpoint.
func (c *cluster) knows(t *testing.T, address, id string) bool {
	reply, err := c.at(address).controller.Exchange(t.Context(), port.ExchangeRequest{From: port.Controller{Address: "b1:1"}, FullSync: true})
	is.New(t).NoErr(err)
	for _, e := range reply.Endpoints {
		if e.ID == id {
			return true
		}
	}
	return false
}

// TestRejectedChangeCostsItself guards against a change that others reject and that is
// repeated without end with all else: votes, liveness and other changes were lost with
// it, so that each controller took all others for lost and dispatched each region.
func TestRejectedChangeCostsItself(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2)
	c.rejection = &rejection{rejects: func(m port.ExchangeRequest) bool {
		for _, e := range m.Endpoints {
			if e.ID == "bad" {
				return true
			}
		}
		return len(m.Endpoints) > 6 // too large
	}}
	is.NoErr(c.order(0, 2))
	c.settle()
	is.NoErr(c.at("a1:1").controller.Announce(t.Context(), announcement("bad")))
	for i := range 20 {
		is.NoErr(c.at("a1:1").controller.Announce(t.Context(), announcement(fmt.Sprint("e", i))))
	}
	c.settle()
	for i := range 20 {
		is.True(c.knows(t, "c2:1", fmt.Sprint("e", i)))
	}
	before := c.rejection.count.Load()
	is.True(before > 0)
	c.settle()
	is.Equal(c.rejection.count.Load(), before) // it isn't sent again
	dispatchers := make(map[string]int)
	for address := range c.members {
		for _, l := range c.leases(t, address) {
			dispatchers[l.Region]++
		}
	}
	is.Equal(dispatchers, map[string]int{"a": 1, "b": 1, "c": 1})
}

// leases returns the leases that a controller holds.
func (c *cluster) leases(t *testing.T, address string) []port.Lease {
	reply, err := c.at(address).controller.Exchange(t.Context(), port.ExchangeRequest{From: port.Controller{Address: "b1:1"}})
	is.New(t).NoErr(err)
	return reply.HeldLeases
}

// TestUnreadableAnnouncementIgnored guards against an announcement that can't be passed
// on and reaches a controller in a message or from its disk.
func TestUnreadableAnnouncementIgnored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2)
	is.NoErr(c.order(0, 2))
	c.settle()
	bad := announcement("b\xfcro-1")
	bad.Leaving = true
	_, err := c.at("a1:1").controller.Exchange(t.Context(), port.ExchangeRequest{
		From: port.Controller{Address: "b1:1"}, Endpoints: []registry.Endpoint{bad, announcement("e1")},
	})
	is.NoErr(err)
	is.True(c.knows(t, "a1:1", "e1"))
	is.True(!c.knows(t, "a1:1", bad.ID))
	c.kill("a1:1")
	c.at("a1:1").hints.hints.Ended = []registry.Endpoint{bad}
	c.start("a1:1", false)
	is.True(!c.knows(t, "a1:1", bad.ID))
}
