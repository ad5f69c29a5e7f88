package reserve_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/core/reserve"
)

var begin = time.Unix(1_800_000_000, 0)

func endpoint(n int) registry.Endpoint {
	return registry.Endpoint{ID: fmt.Sprint("e", n), Service: "s", Slots: 2, StartedMillis: 1}
}

func any(registry.Endpoint, string) bool { return true }

// TestAllControllersLost lets gateways under load lose all dispatchers. It guards
// against requests that are refused although the slots that they would have got are
// free, and against more requests at once than the dispatchers granted before.
func TestAllControllersLost(t *testing.T) {
	is := is.New(t)
	const gateways, endpoints = 4, 6
	inUse := make(map[string]int)
	var tables []*reserve.Table
	now := begin
	for g := range gateways { // together they use all slots
		table := reserve.New()
		for n := range endpoints {
			if (n+g)%2 == 0 {
				table.Granted(now, endpoint(n), "r")
			}
		}
		tables = append(tables, table)
	}
	now = now.Add(100 * time.Millisecond)
	_, _, ok := tables[0].Take(now, "s", "", any)
	is.True(!ok) // its slots are in use
	for g, table := range tables {
		for n := range endpoints {
			if (n+g)%2 == 0 {
				table.Ended("s", endpoint(n).ID, true, false)
			}
		}
	}
	taken := 0
	for _, table := range tables {
		for {
			e, _, ok := table.Take(now, "s", "", any)
			if !ok {
				break
			}
			inUse[e.ID]++
			taken++
		}
	}
	is.Equal(taken, endpoints*2)
	for _, n := range inUse {
		is.Equal(n, 2) // as many as it has slots
	}
	_, _, ok = tables[0].Take(now.Add(2*time.Second), "s", "", any)
	is.True(!ok) // too long without word of the dispatchers
}

// TestTake guards against an endpoint that must not be used without a dispatcher.
func TestTake(t *testing.T) {
	cold := endpoint(0)
	cold.ColdUntil = begin.Add(time.Minute)
	cases := []struct {
		name      string
		e         registry.Endpoint
		limited   bool
		preferred string
		usable    func(registry.Endpoint, string) bool
		want      bool
	}{
		{name: "any", e: endpoint(0), usable: any, want: true},
		{name: "preferred", e: endpoint(0), preferred: "e0", usable: any, want: true},
		{name: "preferred but unknown", e: endpoint(0), preferred: "e9", usable: any, want: true},
		{name: "cold", e: cold, preferred: "e0", usable: any},
		{name: "with a limit", e: endpoint(0), limited: true, preferred: "e0", usable: any},
		{name: "not for this request", e: endpoint(0), preferred: "e0", usable: func(e registry.Endpoint, region string) bool { return e.ID != "e0" || region != "r" }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := reserve.New()
			table.Granted(begin, c.e, "r")
			table.Ended("s", "e0", true, c.limited)
			e, region, ok := table.Take(begin, "s", c.preferred, c.usable)
			is.Equal(ok, c.want)
			if !ok {
				return
			}
			is.Equal(e.ID+region, "e0r")
			table.Returned("s", "e0", false)
			_, _, ok = table.Take(begin, "s", "", any)
			is.True(!ok) // it wasn't reached
		})
	}
}
