package membership_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/membership"
)

// spell is what was seen of a group's owners over a stretch of time.
type spell struct {
	most   int           // most owners at one moment
	gap    time.Duration // longest time without one
	owners []string      // at the end
}

// watch runs the network and looks at a group after every step.
func (n *network) watch(d time.Duration, service, place string) spell {
	s := spell{}
	lastOwned := n.now
	n.observe = func() {
		s.owners = n.owners(service, place)
		s.most = max(s.most, len(s.owners))
		if len(s.owners) > 0 {
			lastOwned = n.now
		}
		s.gap = max(s.gap, n.now.Sub(lastOwned))
	}
	n.run(d)
	n.observe = nil
	return s
}

const service, home = "roster-desk", "guro-a"

func TestOwnershipUnderFaults(t *testing.T) {
	lost := func(n *network, place string) {
		for _, name := range n.order {
			if strings.HasPrefix(name, place) {
				n.tables[name] = nil
			}
		}
	}
	from := func(who string) func(a, b string) bool {
		return func(a, _ string) bool { return a == who }
	}
	cases := []struct {
		name  string
		fault func(n *network, owner string)
		// most and gap bound what may be seen under the fault.
		most  int
		gap   time.Duration
		taken bool // another entry owns the group afterwards
		place string
	}{
		{"killed", func(n *network, o string) { n.tables[o] = nil }, 1, 3 * time.Second, true, home},
		{"frozen", func(n *network, o string) { n.frozen[o] = true }, 1, 3 * time.Second, true, home},
		{"unheard", func(n *network, o string) { n.cut = from(o) }, 1, 3 * time.Second, true, home},
		{"deaf", func(n *network, o string) { n.cut = func(_, b string) bool { return b == o } }, 1, time.Second, false, home},
		{"unheard by its place", func(n *network, o string) {
			n.cut = func(a, b string) bool { return a == o && strings.HasPrefix(b, home) }
		}, 1, time.Second, true, home},
		{"halves cut", func(n *network, o string) {
			n.cut = func(a, b string) bool { return strings.HasPrefix(a, home) && (a == o) != (b == o) }
		}, 2, 2 * time.Second, false, home},
		{"leaving", func(n *network, o string) { n.tables[o].Leave(n.now) }, 1, time.Second, true, home},
		{"place lost", func(n *network, _ string) { lost(n, home) }, 1, 10 * time.Second, true, "pangyo-b"},
		{"places cut", func(n *network, _ string) {
			n.cut = func(a, b string) bool { return strings.HasPrefix(a, home) != strings.HasPrefix(b, home) }
		}, 2, 0, false, home},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(membership.Config{}, hanbit, 3)
			n.run(6 * time.Second)
			before := n.owners(service, home)
			is.Equal(len(before), 1)
			c.fault(n, before[0])
			s := n.watch(15*time.Second, service, home)
			t.Logf("most %d gap %v", s.most, s.gap)
			is.True(s.most <= c.most)
			is.True(s.gap <= c.gap)
			is.True(len(s.owners) >= 1)
			is.Equal(s.owners[0] != before[0], c.taken)
			is.True(strings.HasPrefix(s.owners[0], c.place))

			// The fault ends: thawed, joined, or restarted with a new incarnation.
			n.cut = func(string, string) bool { return false }
			clear(n.frozen)
			for _, name := range n.order {
				if n.tables[name] == nil || c.name == "leaving" && name == before[0] {
					n.start(name, 2)
				}
			}
			s = n.watch(15*time.Second, service, home)
			t.Logf("after: most %d gap %v", s.most, s.gap)
			is.True(s.most <= c.most)
			is.True(s.gap <= 2*time.Second)
			is.Equal(s.owners, before)
			for _, name := range n.order {
				owner, ok := n.tables[name].Owner(n.now, service, home)
				is.True(ok)
				is.Equal(owner.Name, before[0])
				is.Equal(len(n.tables[name].Live(n.now, home)), 3)
			}
		})
	}
}

func TestThawedOwnerFencesItselfBeforeItsNextTick(t *testing.T) {
	for _, perPlace := range []int{1, 3} {
		is := is.New(t)
		n := newNetwork(membership.Config{}, hanbit, perPlace)
		n.run(6 * time.Second)
		owner := n.owners(service, home)[0]
		n.frozen[owner] = true
		n.run(10 * time.Second)
		is.True(!n.tables[owner].OwnsSelf(n.now, service, home))
		is.Equal(len(n.tables[owner].Live(n.now, "pangyo-b")), perPlace) // their silence was its own
		n.tables[owner].Tick(n.now)
		is.True(!n.tables[owner].OwnsSelf(n.now, service, home))
	}
}

func TestStartedEntryDoesNotTakeOverFromThoseItHasNotHeardYet(t *testing.T) {
	is := is.New(t)
	n := newNetwork(membership.Config{}, hanbit, 1)
	table := n.tables["pangyo-b-e00"]
	var took time.Duration
	for d := time.Duration(0); took == 0 && d < time.Minute; d += period {
		table.Tick(n.now.Add(d))
		if table.OwnsSelf(n.now.Add(d), service, home) {
			took = d
		}
	}
	is.Equal(took, 4*time.Second) // the suspicion time outside the cell, 6 entries
}

func TestRestartStorm(t *testing.T) {
	is := is.New(t)
	n := newNetwork(membership.Config{}, hanbit, 3)
	n.run(6 * time.Second)
	for k, name := range n.order {
		n.start(name, uint64(2+k))
	}
	s := n.watch(8*time.Second, service, home)
	is.True(s.most == 1)
	is.True(s.gap <= 4*time.Second)
	for _, name := range n.order {
		for k, other := range n.order {
			got, ok := n.tables[name].KnownIncarnation(other)
			is.True(ok)
			is.Equal(got, uint64(2+k))
		}
	}
}

func TestLateAndCrossedHeartbeatsChangeNothing(t *testing.T) {
	is := is.New(t)
	n := newNetwork(membership.Config{}, hanbit, 3)
	var old []membership.Heartbeat
	n.tap = func(hb membership.Heartbeat) { old = append(old, hb) }
	n.run(4 * time.Second)
	n.tap = nil
	victim := n.owners(service, home)[0]
	n.start(victim, 2)
	n.run(3 * time.Second)
	n.tables[victim] = nil
	n.run(10 * time.Second)
	watcher := n.tables["pangyo-b-e00"]
	for i := len(old) - 1; i >= 0; i-- {
		watcher.Receive(n.now, old[i])
	}
	_, live := watcher.Member(n.now, victim)
	is.True(!live)
	incarnation, _ := watcher.KnownIncarnation(victim)
	is.Equal(incarnation, uint64(2))
	is.True(!watcher.Superseded())
	is.Equal(len(watcher.Live(n.now, home)), 2)
}

func TestRowsOfAnOldIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := membership.NewTable(membership.Member{Name: "b", Place: "p", Incarnation: 1}, membership.Config{})
	table.Tick(now)
	say := func(incarnation, counter uint64, leaving bool) {
		row := membership.MemberRow{Name: "a", Place: "p", Incarnation: incarnation, Counter: counter, Leaving: leaving}
		group := membership.GroupRow{
			Service: "s", Place: "p", Owner: "a",
			OwnerIncarnation: incarnation, Counter: counter, Endpoints: int(counter),
		}
		table.Receive(now, membership.Heartbeat{
			From: "a", Members: []membership.MemberRow{row}, Groups: []membership.GroupRow{group},
		})
	}
	say(5, 9, true)
	say(5, 10, false) // leaving never reverts within an incarnation
	a, ok := table.Member(now, "a")
	is.True(ok && a.Leaving)
	say(6, 1, false)
	say(5, 99, true) // late
	late := membership.GroupRow{Service: "other", Place: "p", Owner: "a", OwnerIncarnation: 5, Counter: 1}
	table.Receive(now, membership.Heartbeat{From: "c", Groups: []membership.GroupRow{late}})
	_, _, known := table.Group(now, "other", "p")
	is.True(!known)
	a, ok = table.Member(now, "a")
	is.True(ok && !a.Leaving)
	is.Equal(a.Incarnation, uint64(6))
	group, _, ok := table.Group(now, "s", "p")
	is.True(ok)
	is.Equal(group.Endpoints, 1)
}

func TestTwinWithAHigherIncarnationFences(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := membership.NewTable(membership.Member{Name: "a", Place: "p", Incarnation: 5}, membership.Config{})
	table.Tick(now)
	is.True(!table.Fenced(now))
	rows := []membership.MemberRow{{Name: "b", Place: "p", Incarnation: 1}, {Name: "a", Incarnation: 6, Counter: 1}}
	table.Receive(now, membership.Heartbeat{From: "b", Members: rows})
	is.True(table.Superseded() && table.Fenced(now))
	incarnation, _ := table.KnownIncarnation("a")
	is.Equal(incarnation, uint64(6))
}

// TestRestartHeardFromAfar has an entry hear from another place first that its
// mate has restarted: the mate has to become an owner anew.
func TestRestartHeardFromAfar(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := membership.NewTable(membership.Member{Name: "b", Place: "p", Incarnation: 1}, membership.Config{})
	table.SetPeers(now, []membership.Peer{
		{Name: "a", Place: "p", Region: "r"}, {Name: "b", Place: "p", Region: "r"}, {Name: "far", Place: "q", Region: "r"},
	})
	counter := uint64(0)
	round := func(from, place string, incarnation uint64) {
		table.Tick(now)
		counter++
		rows := []membership.MemberRow{
			{Name: from, Place: place, Incarnation: 1, Counter: counter},
			{Name: "a", Place: "p", Incarnation: incarnation, Counter: counter},
			{Name: "b", Place: "p", Incarnation: 1, Counter: counter},
		}
		if from == "a" {
			rows = rows[1:]
		}
		table.Receive(now, membership.Heartbeat{From: from, Members: rows})
		now = now.Add(500 * time.Millisecond)
	}
	for range 10 {
		round("a", "p", 1)
	}
	service := ""
	for n := range 100 { // a service that belongs to a
		s := fmt.Sprint("s", n)
		if owner, ok := table.Owner(now, s, "p"); ok && owner.Name == "a" {
			service = s
			break
		}
	}
	round("far", "q", 2)
	round("a", "p", 2)
	is.True(table.OwnsSelf(now, service, "p"))
	owner, ok := table.Owner(now, service, "p")
	is.True(ok)
	is.Equal(owner.Name, "b")
}

// TestSilenceOfALeavingMate has the only other entry of a place leave and end,
// and a new one start in its stead: the silence between the two fences nobody.
func TestSilenceOfALeavingMate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := membership.NewTable(membership.Member{Name: "b", Place: "p", Incarnation: 1}, membership.Config{})
	table.SetPeers(now, []membership.Peer{{Name: "a", Place: "p", Region: "r"}, {Name: "b", Place: "p", Region: "r"}})
	counter := uint64(0)
	round := func(incarnation uint64, leaving bool) {
		table.Tick(now)
		counter++
		if incarnation > 0 {
			table.Receive(now, membership.Heartbeat{From: "a", Members: []membership.MemberRow{
				{Name: "a", Place: "p", Incarnation: incarnation, Counter: counter, Leaving: leaving},
				{Name: "b", Place: "p", Incarnation: 1, Counter: counter},
			}})
		}
		now = now.Add(500 * time.Millisecond)
	}
	for range 10 {
		round(1, false)
	}
	round(1, true)
	for range 3 {
		round(0, false)
		is.True(table.OwnsSelf(now, "s", "p"))
	}
	round(2, false)
	is.True(table.OwnsSelf(now, "s", "p"))
}

// TestReliefThatIsOnlyHeardOf has the only other entry of a place restart, known from
// another place alone: it is about to come, so this one isn't relieved yet.
func TestReliefThatIsOnlyHeardOf(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := membership.NewTable(membership.Member{Name: "b", Place: "p", Incarnation: 1}, membership.Config{})
	table.SetPeers(now, []membership.Peer{
		{Name: "a", Place: "p", Region: "r"}, {Name: "b", Place: "p", Region: "r"}, {Name: "far", Place: "q", Region: "r"},
	})
	hear := func(from, place string, incarnation, counter uint64, leaving bool) {
		table.Tick(now)
		rows := []membership.MemberRow{{Name: from, Place: place, Incarnation: 1, Counter: counter}}
		if from == "a" {
			rows = nil
		}
		rows = append(rows,
			membership.MemberRow{Name: "a", Place: "p", Incarnation: incarnation, Counter: counter, Leaving: leaving},
			membership.MemberRow{Name: "b", Place: "p", Incarnation: 1, Counter: counter})
		table.Receive(now, membership.Heartbeat{From: from, Members: rows})
		now = now.Add(500 * time.Millisecond)
	}
	for n := range uint64(10) {
		hear("a", "p", 1, n+1, false)
	}
	hear("a", "p", 1, 11, true)
	is.True(!table.Relieved(now))
	hear("far", "q", 2, 12, false)
	is.True(!table.Relieved(now))
}
