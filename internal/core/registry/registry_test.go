package registry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/registry"
)

var now = time.Unix(1_800_000_000, 0)

func announced(id, address string, started, sequence int64) registry.Endpoint {
	return registry.Endpoint{ID: id, Address: address, Service: "s", Slots: 1, StartedMillis: started, Sequence: sequence, LastSeen: now}
}

func leaving(e registry.Endpoint) registry.Endpoint {
	e.Leaving = true
	return e
}

func gone(e registry.Endpoint) registry.Endpoint {
	e.Leaving, e.Gone = true, true
	return e
}

// TestOrder checks the order of announcements, by start time and then by sequence,
// so that a delayed one replaces no newer one. Within an incarnation an endpoint
// that is leaving or gone doesn't become ready again.
func TestOrder(t *testing.T) {
	first := announced("a", "1:1", 10, 5)
	cases := []struct {
		name     string
		have     []registry.Endpoint
		next     registry.Endpoint
		accepted bool
	}{
		{"first", nil, first, true},
		{"repeated", []registry.Endpoint{first}, first, false},
		{"next sequence", []registry.Endpoint{first}, announced("a", "1:1", 10, 6), true},
		{"earlier sequence", []registry.Endpoint{first}, announced("a", "1:1", 10, 4), false},
		{"new start with a lower sequence", []registry.Endpoint{first}, announced("a", "1:1", 11, 1), true},
		{"delayed announcement of an earlier start", []registry.Endpoint{first}, announced("a", "1:1", 9, 99), false},
		{"leaving", []registry.Endpoint{first}, leaving(announced("a", "1:1", 10, 6)), true},
		{"ready after leaving", []registry.Endpoint{leaving(first)}, announced("a", "1:1", 10, 9), false},
		{"leaving again", []registry.Endpoint{leaving(first)}, leaving(announced("a", "1:1", 10, 9)), true},
		{"deregistration with an old sequence", []registry.Endpoint{first}, gone(announced("a", "1:1", 10, 5)), true},
		{"ready after being gone", []registry.Endpoint{gone(first)}, announced("a", "1:1", 10, 9), false},
		{"new start after being gone", []registry.Endpoint{gone(first)}, announced("a", "1:1", 12, 1), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := registry.New(time.Minute)
			for _, e := range c.have {
				r.Record(e)
			}
			_, before := r.Since(0)
			is.Equal(r.Record(c.next), c.accepted)
			changed, after := r.Since(before)
			is.Equal(after > before, c.accepted)
			is.Equal(len(changed) > 0, c.accepted)
		})
	}
}

// TestReusedAddress checks that an endpoint is replaced when one that started later
// announces the same address.
func TestReusedAddress(t *testing.T) {
	is := is.New(t)
	r := registry.New(time.Minute)
	r.Record(announced("a", "1:1", 10, 5))
	r.Record(announced("b", "1:1", 20, 1))
	is.True(r.Replaced("a"))
	r.Record(announced("a", "1:1", 10, 6)) // a delayed announcement
	is.True(r.Replaced("a"))
	is.True(!r.Replaced("b"))
}

func TestDeregisterAndSweep(t *testing.T) {
	is := is.New(t)
	r := registry.New(time.Minute)
	is.True(r.Record(announced("a", "1:1", 10, 5)))
	is.True(r.Record(r.Deregistered("a", 20, now)))
	e, _ := r.Get("a")
	is.True(e.Gone && e.Leaving && e.Service != "")
	is.True(!r.Record(r.Deregistered("a", 20, now))) // the same once more
	is.Equal(len(r.Sweep(now.Add(time.Minute))), 0)
	is.Equal(len(r.Sweep(now.Add(time.Minute+1))), 1)
}

// TestDeregisterUnknown guards against a deregistration that binds nobody since no
// announcement of the endpoint is known, or only one of an earlier incarnation.
func TestDeregisterUnknown(t *testing.T) {
	is := is.New(t)
	r := registry.New(time.Minute)
	is.True(r.Record(announced("b", "1:2", 5, 1)))
	for _, id := range []string{"a", "b"} {
		is.True(r.Record(r.Deregistered(id, 20, now)))
		is.True(!r.Record(announced(id, "1:1", 10, 5))) // a delayed announcement
		is.True(!r.Record(announced(id, "1:1", 20, 6)))
		e, _ := r.Get(id)
		is.True(e.Gone)
	}
	is.Equal(r.UnknownCount(), 1)
	is.True(r.Record(announced("a", "1:1", 21, 1))) // a later incarnation
	e, _ := r.Get("a")
	is.True(!e.Gone && !e.Leaving)
	is.Equal(r.UnknownCount(), 0)
}
