package membership_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/membership"
)

// ownership summarizes the owners of a group over a period of observation.
type ownership struct {
	most   int           // most owners at one moment
	gap    time.Duration // longest time without one
	owners []string      // at the end
}

// observe runs the network and records the owners of a group after every step.
func (n *network) observe(d time.Duration, service, place string) ownership {
	s := ownership{}
	lastOwned := n.now
	n.afterStep = func() {
		s.owners = n.owners(service, place)
		s.most = max(s.most, len(s.owners))
		if len(s.owners) > 0 {
			lastOwned = n.now
		}
		s.gap = max(s.gap, n.now.Sub(lastOwned))
	}
	n.run(d)
	n.afterStep = nil
	return s
}

const service, homePlace = "roster-desk", "guro-a"

// TestOwnershipUnderFaults guards against two owners of a group at the same
// time, a group without an owner for too long, and an ownership that does not
// return to the first owner after the fault. Only under a partition may there
// be two owners.
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
		// most and gap are upper bounds during the fault; most holds afterwards
		// too.
		most  int
		gap   time.Duration
		taken bool // another entry owns the group at the end of the fault
		place string
	}{
		{"killed", func(n *network, o string) { n.tables[o] = nil }, 1, 3 * time.Second, true, homePlace},
		{"frozen", func(n *network, o string) { n.frozen[o] = true }, 1, 3 * time.Second, true, homePlace},
		{"outgoing messages lost", func(n *network, o string) { n.cut = from(o) }, 1, 3 * time.Second, true, homePlace},
		{"incoming messages lost", func(n *network, o string) { n.cut = func(_, b string) bool { return b == o } }, 1, time.Second, false, homePlace},
		{"outgoing messages to its place lost", func(n *network, o string) {
			n.cut = func(a, b string) bool { return a == o && strings.HasPrefix(b, homePlace) }
		}, 1, time.Second, true, homePlace},
		{"outgoing messages and incoming ones from its place lost", func(n *network, o string) {
			n.cut = func(a, b string) bool { return strings.HasPrefix(a, homePlace) && (a == o) != (b == o) }
		}, 2, 2 * time.Second, false, homePlace},
		{"leaving", func(n *network, o string) { n.tables[o].Leave(n.now) }, 1, time.Second, true, homePlace},
		{"place lost", func(n *network, _ string) { lost(n, homePlace) }, 1, 10 * time.Second, true, "pangyo-b"},
		{"place partitioned from the others", func(n *network, _ string) {
			n.cut = func(a, b string) bool { return strings.HasPrefix(a, homePlace) != strings.HasPrefix(b, homePlace) }
		}, 2, 0, false, homePlace},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(membership.Config{}, hanbit, 3)
			n.run(6 * time.Second)
			before := n.owners(service, homePlace)
			is.Equal(len(before), 1)
			c.fault(n, before[0])
			s := n.observe(15*time.Second, service, homePlace)
			t.Logf("most %d gap %v", s.most, s.gap)
			is.True(s.most <= c.most)
			is.True(s.gap <= c.gap)
			is.True(len(s.owners) >= 1)
			is.Equal(s.owners[0] != before[0], c.taken)
			is.True(strings.HasPrefix(s.owners[0], c.place))

			// The fault ends: entries resume, reconnect, or restart with a new
			// incarnation.
			n.cut = func(string, string) bool { return false }
			clear(n.frozen)
			for _, name := range n.order {
				if n.tables[name] == nil || c.name == "leaving" && name == before[0] {
					n.start(name, 2)
				}
			}
			s = n.observe(15*time.Second, service, homePlace)
			t.Logf("after: most %d gap %v", s.most, s.gap)
			is.True(s.most <= c.most)
			is.True(s.gap <= 2*time.Second)
			is.Equal(s.owners, before)
			for _, name := range n.order {
				owner, ok := n.tables[name].Owner(n.now, service, homePlace)
				is.True(ok)
				is.Equal(owner.Name, before[0])
				is.Equal(len(n.tables[name].Live(n.now, homePlace)), 3)
			}
		})
	}
}

// TestResumedOwnerIsFencedBeforeItsNextTick guards against an owner that was
// suspended for longer than its lease and acts as an owner again when it
// resumes, or that considers the others dead because it received nothing while
// suspended.
func TestResumedOwnerIsFencedBeforeItsNextTick(t *testing.T) {
	for _, perPlace := range []int{1, 3} {
		is := is.New(t)
		n := newNetwork(membership.Config{}, hanbit, perPlace)
		n.run(6 * time.Second)
		owner := n.owners(service, homePlace)[0]
		n.frozen[owner] = true
		n.run(10 * time.Second)
		is.True(!n.tables[owner].OwnsSelf(n.now, service, homePlace))
		is.Equal(len(n.tables[owner].Live(n.now, "pangyo-b")), perPlace) // its own stall is not taken for their failure
		n.tables[owner].Tick(n.now)
		is.True(!n.tables[owner].OwnsSelf(n.now, service, homePlace))
	}
}

// TestStartedEntryWaitsForUnseenEntries guards against a started entry that
// takes over a group before it can have received the heartbeats of the live
// owner.
func TestStartedEntryWaitsForUnseenEntries(t *testing.T) {
	is := is.New(t)
	n := newNetwork(membership.Config{}, hanbit, 1)
	table := n.tables["pangyo-b-e00"]
	var takeover time.Duration
	for d := time.Duration(0); takeover == 0 && d < time.Minute; d += period {
		table.Tick(n.now.Add(d))
		if table.OwnsSelf(n.now.Add(d), service, homePlace) {
			takeover = d
		}
	}
	is.Equal(takeover, 4*time.Second) // SuspectAfter plus the delay outside the cell, with 6 entries
}

// TestRestartStorm guards against two owners, a long time without one, and
// entries that keep the old incarnation of another when all entries restart at
// once.
func TestRestartStorm(t *testing.T) {
	is := is.New(t)
	n := newNetwork(membership.Config{}, hanbit, 3)
	n.run(6 * time.Second)
	for k, name := range n.order {
		n.start(name, uint64(2+k))
	}
	s := n.observe(8*time.Second, service, homePlace)
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

// TestLateAndReorderedHeartbeatsChangeNothing guards against old heartbeats
// that arrive late and in reverse order making a dead entry live, lowering an
// incarnation or superseding the receiver.
func TestLateAndReorderedHeartbeatsChangeNothing(t *testing.T) {
	is := is.New(t)
	n := newNetwork(membership.Config{}, hanbit, 3)
	var old []membership.Heartbeat
	n.onHeartbeat = func(hb membership.Heartbeat) { old = append(old, hb) }
	n.run(4 * time.Second)
	n.onHeartbeat = nil
	victim := n.owners(service, homePlace)[0]
	n.start(victim, 2)
	n.run(3 * time.Second)
	n.tables[victim] = nil
	n.run(10 * time.Second)
	observer := n.tables["pangyo-b-e00"]
	for i := len(old) - 1; i >= 0; i-- {
		observer.Receive(n.now, old[i])
	}
	_, live := observer.Member(n.now, victim)
	is.True(!live)
	incarnation, _ := observer.KnownIncarnation(victim)
	is.Equal(incarnation, uint64(2))
	is.True(!observer.Superseded())
	is.Equal(len(observer.Live(n.now, homePlace)), 2)
}

// TestRowsOfOldIncarnationsAreIgnored guards against rows of a former
// incarnation that arrive late and replace those of the present one.
func TestRowsOfOldIncarnationsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := membership.NewTable(membership.Member{Name: "b", Place: "p", Incarnation: 1}, membership.Config{})
	table.Tick(now)
	receive := func(incarnation, counter uint64, leaving bool) {
		row := membership.MemberRow{Name: "a", Place: "p", Incarnation: incarnation, Counter: counter, Leaving: leaving}
		group := membership.GroupRow{
			Service: "s", Place: "p", Owner: "a",
			OwnerIncarnation: incarnation, Counter: counter, Endpoints: int(counter),
		}
		table.Receive(now, membership.Heartbeat{
			From: "a", Members: []membership.MemberRow{row}, Groups: []membership.GroupRow{group},
		})
	}
	receive(5, 9, true)
	receive(5, 10, false) // leaving never reverts within an incarnation
	a, ok := table.Member(now, "a")
	is.True(ok && a.Leaving)
	receive(6, 1, false)
	receive(5, 99, true) // arrives late
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

// TestDuplicateNameWithHigherIncarnationFences guards against two processes
// with one name that both act as owners: the one with the lower incarnation
// must be fenced.
func TestDuplicateNameWithHigherIncarnationFences(t *testing.T) {
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

// TestRestartReportedFromOutsideTheCell guards against a cell member that
// restarted counting as an owner at once. The restart is first reported from
// another place, and the rows from the member itself then carry a known
// incarnation; it must still settle anew.
func TestRestartReportedFromOutsideTheCell(t *testing.T) {
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
	for n := range 100 { // a service whose group in p is owned by a
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

// TestMissingAcksOfLeavingMemberDoNotFence guards against an entry fenced for
// missing acknowledgements when the only other entry of its place leaves, ends
// and is replaced by a new one.
func TestMissingAcksOfLeavingMemberDoNotFence(t *testing.T) {
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

// TestMayNotLeaveOnRestartReportedFromOutside guards against an entry that
// leaves its place without an owner. The only other entry is leaving; then its
// restart is reported, but only from another place. It cannot own groups in
// either state.
func TestMayNotLeaveOnRestartReportedFromOutside(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := membership.NewTable(membership.Member{Name: "b", Place: "p", Incarnation: 1}, membership.Config{})
	table.SetPeers(now, []membership.Peer{
		{Name: "a", Place: "p", Region: "r"}, {Name: "b", Place: "p", Region: "r"}, {Name: "far", Place: "q", Region: "r"},
	})
	receive := func(from, place string, incarnation, counter uint64, leaving bool) {
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
		receive("a", "p", 1, n+1, false)
	}
	receive("a", "p", 1, 11, true)
	is.True(!table.MayLeave(now))
	receive("far", "q", 2, 12, false)
	is.True(!table.MayLeave(now))
}
