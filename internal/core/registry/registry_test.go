package registry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/registry"
)

var now = time.Unix(1_800_000_000, 0)

func announced(id, address string, born, sequence int64) registry.Endpoint {
	return registry.Endpoint{ID: id, Address: address, Service: "s", Slots: 1, Born: born, Sequence: sequence, Heard: now}
}

func leaving(e registry.Endpoint) registry.Endpoint {
	e.Leaving = true
	return e
}

func gone(e registry.Endpoint) registry.Endpoint {
	e.Leaving, e.Gone = true, true
	return e
}

// TestOrder holds the order of announcements: start, then sequence; leaving and
// being gone are final within a start.
func TestOrder(t *testing.T) {
	first := announced("a", "1:1", 10, 5)
	cases := []struct {
		name string
		have []registry.Endpoint
		next registry.Endpoint
		news bool
	}{
		{"first", nil, first, true},
		{"same again", []registry.Endpoint{first}, first, false},
		{"next", []registry.Endpoint{first}, announced("a", "1:1", 10, 6), true},
		{"late", []registry.Endpoint{first}, announced("a", "1:1", 10, 4), false},
		{"started again, counts anew", []registry.Endpoint{first}, announced("a", "1:1", 11, 1), true},
		{"late beat of an earlier start", []registry.Endpoint{first}, announced("a", "1:1", 9, 99), false},
		{"leaves", []registry.Endpoint{first}, leaving(announced("a", "1:1", 10, 6)), true},
		{"ready after it left", []registry.Endpoint{leaving(first)}, announced("a", "1:1", 10, 9), false},
		{"leaving goes on", []registry.Endpoint{leaving(first)}, leaving(announced("a", "1:1", 10, 9)), true},
		{"sign-off with an old sequence", []registry.Endpoint{first}, gone(announced("a", "1:1", 10, 5)), true},
		{"ready after it was gone", []registry.Endpoint{gone(first)}, announced("a", "1:1", 10, 9), false},
		{"started again after it was gone", []registry.Endpoint{gone(first)}, announced("a", "1:1", 12, 1), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := registry.New(time.Minute)
			for _, e := range c.have {
				r.Learn(e)
			}
			_, before := r.Since(0)
			is.Equal(r.Learn(c.next), c.news)
			changed, after := r.Since(before)
			is.Equal(after > before, c.news)
			is.Equal(len(changed) > 0, c.news)
		})
	}
}

// TestReusedAddress ends the endpoint whose address a later one has.
func TestReusedAddress(t *testing.T) {
	is := is.New(t)
	r := registry.New(time.Minute)
	r.Learn(announced("a", "1:1", 10, 5))
	r.Learn(announced("b", "1:1", 20, 1))
	a, _ := r.Get("a")
	is.True(a.Gone)
	is.True(!r.Learn(announced("a", "1:1", 10, 6))) // a beat that was held up
	b, _ := r.Get("b")
	is.True(!b.Gone)
}

func TestSignOffAndSweep(t *testing.T) {
	is := is.New(t)
	r := registry.New(time.Minute)
	_, news := r.SignOff("a", now)
	is.True(!news) // unknown
	r.Learn(announced("a", "1:1", 10, 5))
	e, news := r.SignOff("a", now)
	is.True(news && e.Gone && e.Leaving)
	_, news = r.SignOff("a", now)
	is.True(!news)
	is.Equal(len(r.Sweep(now.Add(time.Minute))), 0)
	is.Equal(len(r.Sweep(now.Add(time.Minute+1))), 1)
}
