package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/steering"
)

func testDocument() *document.Document {
	return &document.Document{
		Regions: []document.Region{{Name: "north", ReservePercent: 20}, {Name: "south", ReservePercent: 20}},
		Places: []document.Place{
			{Name: "n1", Region: "north", Clients: []string{"10.1.0.0/16", "2001:db8:1::/48"}},
			{Name: "n2", Region: "north", Clients: []string{"10.1.7.0/24"}},
			{Name: "s1", Region: "south", Clients: []string{"10.2.0.0/16"}},
			{Name: "s2", Region: "south"},
		},
		Links: []document.Link{{From: "south", To: "north"}, {From: "north", To: "south"}, {From: "west", To: "north"}},
		Services: []document.Service{{
			Name: "roster", Deadline: document.Duration(800 * time.Millisecond),
			Places: []string{"n1", "n2", "s1", "s2"},
		}},
		Rules: []document.Rule{
			{Name: "near", From: "north", To: "north", RequestsPerS: 10},
			{Name: "out", From: "n1", To: "south", RequestsPerS: 10},
			{Name: "roster-out", Service: "roster", From: "north", To: "s1", RequestsPerS: 10},
			{Name: "closed", From: "n2", To: "s2", RequestsPerS: 0},
		},
	}
}

// fixedView is a View with one fixed group per place.
type fixedView map[string]steering.GroupView

func (v fixedView) Group(_, place string) (steering.GroupView, bool) {
	g, ok := v[place]
	return g, ok
}

func healthy(busy int) steering.GroupView {
	return steering.GroupView{
		Live: true, Endpoints: 4, Slots: 20, Busy: busy, Latency: 40 * time.Millisecond,
	}
}

func with(g steering.GroupView, change func(*steering.GroupView)) steering.GroupView {
	change(&g)
	return g
}

func TestRank(t *testing.T) {
	stale := func(g *steering.GroupView) { g.Age = time.Minute }
	queue := func(g *steering.GroupView) { g.Busy, g.Queued = 20, 60 }
	dead := func(g *steering.GroupView) { g.Live = false }
	base := func(changes map[string]steering.GroupView) fixedView {
		v := fixedView{"n1": healthy(10), "n2": healthy(10), "s1": healthy(2), "s2": healthy(8)}
		for place, g := range changes {
			v[place] = g
		}
		return v
	}
	cases := []struct {
		name   string
		origin string
		drain  []document.Drain
		view   fixedView
		want   []string
	}{
		{"origin first, then near, then headroom", "n1", nil, base(nil), []string{"n1", "n2", "s1", "s2"}},
		{"no rule permits leaving", "s1", nil, base(nil), []string{"s1"}},
		{"rule with a zero budget", "n2", nil, base(nil), []string{"n2", "n1", "s1"}},
		{"dead origin", "n1", nil, base(map[string]steering.GroupView{"n1": with(healthy(0), dead)}), []string{"n2", "s1", "s2"}},
		{"no endpoints", "n1", nil, base(map[string]steering.GroupView{"n1": {Live: true}}), []string{"n2", "s1", "s2"}},
		{"overloaded origin", "n1", nil, base(map[string]steering.GroupView{"n1": with(healthy(0), queue)}), []string{"n2", "s1", "s2", "n1"}},
		{"drained origin", "n1", []document.Drain{{Place: "n1"}}, base(nil), []string{"n2", "s1", "s2", "n1"}},
		{"drained target", "n1", []document.Drain{{Place: "n2", Service: "roster"}}, base(nil), []string{"n1", "s1", "s2"}},
		{"drain of another service", "n1", []document.Drain{{Place: "n2", Service: "filing"}}, base(nil), []string{"n1", "n2", "s1", "s2"}},
		{"reserve reached", "n1", nil, base(map[string]steering.GroupView{"s1": healthy(16)}), []string{"n1", "n2", "s2"}},
		{"reserve reached and origin dead", "n1", nil, base(map[string]steering.GroupView{"n1": {}, "n2": healthy(16)}), []string{"s1", "s2", "n2"}},
		{"below the reserve", "n1", nil, base(map[string]steering.GroupView{"s1": healthy(15)}), []string{"n1", "n2", "s2", "s1"}},
		{"near place at its reserve", "n1", nil, base(map[string]steering.GroupView{"n2": healthy(16)}), []string{"n1", "s1", "s2"}},
		{"full place and overloaded origin", "n1", nil, base(map[string]steering.GroupView{"n1": with(healthy(0), queue), "n2": healthy(16)}), []string{"s1", "s2", "n1"}},
		{"full place before the drained origin", "n1", []document.Drain{{Place: "n1"}}, base(map[string]steering.GroupView{"s1": healthy(20)}), []string{"n2", "s2", "s1", "n1"}},
		{"near place below its reserve", "n1", nil, base(map[string]steering.GroupView{"n2": healthy(15)}), []string{"n1", "n2", "s1", "s2"}},
		{"stale target last", "n1", nil, base(map[string]steering.GroupView{"n2": with(healthy(1), stale)}), []string{"n1", "s1", "s2", "n2"}},
		{"most groups stale, last state used", "n1", nil, base(map[string]steering.GroupView{
			"n1": with(healthy(9), stale), "n2": with(healthy(1), stale), "s1": with(healthy(2), stale),
		}), []string{"n1", "n2", "s1", "s2"}},
		{"unknown groups", "n1", nil, fixedView{}, nil},
		{"unknown origin", "x", nil, base(nil), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			doc := testDocument()
			doc.Drains = c.drain
			table, err := steering.NewTable(doc)
			is.NoErr(err)
			var got []string
			for _, choice := range table.Rank("roster", c.origin, c.view) {
				got = append(got, choice.Place)
			}
			is.Equal(got, c.want)
		})
	}
}

func TestChoiceNamesEveryRuleAndLink(t *testing.T) {
	is := is.New(t)
	table, err := steering.NewTable(testDocument())
	is.NoErr(err)
	v := fixedView{"n2": healthy(0), "s1": healthy(0)}
	got := table.Rank("roster", "n1", v)
	is.Equal(len(got), 2)
	is.Equal(got[0].Rules, []string{"near"})
	is.Equal(len(got[0].Links), 0)
	is.Equal(got[1].Rules, []string{"out", "roster-out"})
	is.Equal(got[1].Links, []steering.LinkID{{From: "north", To: "south"}, {From: "south", To: "north"}})
	is.Equal(got[1].FreeSlots, 16)
	is.Equal(len(table.Rank("other", "n1", v)), 0)
}

func TestPlaceOf(t *testing.T) {
	table, err := steering.NewTable(testDocument())
	is.New(t).NoErr(err)
	for client, want := range map[string]string{
		"10.1.2.3": "n1", "10.1.7.9": "n2", "::ffff:10.1.7.9": "n2",
		"10.2.0.1": "s1", "2001:db8:1::5": "n1", "10.3.0.1": "", "2001:db8:2::1": "",
	} {
		t.Run(client, func(t *testing.T) {
			is := is.New(t)
			place, ok := table.PlaceOf(netip.MustParseAddr(client))
			is.Equal(place, want)
			is.Equal(ok, want != "")
		})
	}
}

// TestSpreadFollowsFreeSlots guards against all requests of a class going to one
// place: two far places with unequal free slots must share the requests in
// proportion to them, and the near place must stay first.
func TestSpreadFollowsFreeSlots(t *testing.T) {
	is := is.New(t)
	table, err := steering.NewTable(testDocument())
	is.NoErr(err)
	v := fixedView{"n2": healthy(15), "s1": healthy(4), "s2": healthy(12)} // free slots: 1, 12 and 4
	first := map[string]int{}
	for request := range uint64(4000) {
		choices := table.Rank("roster", "n1", v)
		steering.Spread(choices, request)
		is.Equal(choices[0].Place, "n2") // the near place is in a class of its own
		first[choices[1].Place]++
	}
	is.True(first["s1"] > 2900 && first["s1"] < 3100) // 12 of 16
	is.Equal(first["s1"]+first["s2"], 4000)
}
