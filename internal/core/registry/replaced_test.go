package registry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/registry"
)

func ofService(e registry.Endpoint, service string) registry.Endpoint {
	e.Service = service
	return e
}

func at(e registry.Endpoint, since time.Duration) registry.Endpoint {
	e.LastSeen = now.Add(since)
	return e
}

// TestUnusableReplacesNothing guards against an announcement of a service that the
// configuration doesn't name which takes another endpoint out of use, by its address or its
// ID. The standing of both follows the configuration, whichever came first.
func TestUnusableReplacesNothing(t *testing.T) {
	sound := announced("a", "1:1", 10, 5)
	foreign := ofService(announced("f", "1:1", 20, 1), "x")
	sameID := ofService(announced("a", "1:2", 20, 1), "x")
	leavingID := leaving(sameID)
	earlier := ofService(announced("a", "1:1", 10, 9), "x")
	for name, other := range map[string]registry.Endpoint{
		"address": foreign, "ID": sameID, "ID, leaving": leavingID, "ID, next sequence": earlier,
	} {
		for _, foreignFirst := range []bool{false, true} {
			for _, configFirst := range []bool{false, true} {
				t.Run(name, func(t *testing.T) {
					is := is.New(t)
					r := registry.New(time.Minute)
					if configFirst {
						r.SetServices([]string{"s"})
					}
					if foreignFirst {
						r.Record(other)
					}
					r.Record(sound)
					if !foreignFirst {
						r.Record(other)
					}
					r.SetServices([]string{"s"})
					next := sound
					next.Sequence++ // the endpoint announces itself again
					r.Record(next)
					a, _ := r.Get("a")
					is.Equal(a, next)
					is.True(!r.Replaced("a"))
					is.Equal(r.Covers(other), other.ID != "a")
					is.True(r.Covers(sound))
				})
			}
		}
	}
}

// TestReplacedFollowsConfiguration guards against an endpoint that stays out of use after the
// configuration doesn't name the service of the one at its address any more.
func TestReplacedFollowsConfiguration(t *testing.T) {
	is := is.New(t)
	r := registry.New(time.Minute)
	r.SetServices([]string{"s"})
	r.Record(announced("a", "1:1", 10, 5))
	r.Record(ofService(announced("b", "1:1", 20, 1), "x"))
	is.Equal(len(r.TakeReplacements()), 0)
	for _, step := range []struct {
		services []string
		replaced bool
	}{{[]string{"s", "x"}, true}, {[]string{"s"}, false}, {[]string{"x"}, true}, {[]string{"s"}, false}} {
		r.SetServices(step.services)
		is.Equal(r.Replaced("a"), step.replaced)
		changes := r.TakeReplacements()
		is.Equal(len(changes), 1)
		is.Equal(changes[0].Endpoint.ID, "a")
		is.Equal(changes[0].By.ID != "", step.replaced)
	}
}

// TestLiveEndpointKeepsItsAddress guards against an endpoint that stays out of use because
// another one announced its address, though it goes on announcing itself. One that has ended
// stays replaced, also after the later one is gone, whatever arrives late.
func TestLiveEndpointKeepsItsAddress(t *testing.T) {
	is := is.New(t)
	r := registry.New(time.Minute)
	r.Record(announced("a", "1:1", 10, 5))
	r.Record(announced("b", "1:1", 20, 1))
	is.True(r.Replaced("a"))
	is.True(!r.Replaced("b"))
	is.True(r.Record(at(announced("a", "1:1", 10, 6), 4*time.Second))) // delayed
	is.True(r.Replaced("a"))
	is.True(r.Record(r.Deregistered("b", 40, now)))
	is.True(r.Replaced("a"))
	is.True(r.Record(announced("c", "1:1", 30, 1))) // started before b's deregistration arrived
	is.True(!r.Replaced("c"))
	is.True(r.Record(at(announced("a", "1:1", 10, 7), 5*time.Second)))
	is.True(!r.Replaced("a"))
	is.True(!r.Replaced("c"))
	r.Record(announced("c", "1:2", 50, 1)) // c has moved
	is.Equal(len(r.Sweep(now.Add(time.Minute+1))), 2)
	is.Equal(len(r.Sweep(now.Add(time.Minute+6*time.Second))), 1)
}
