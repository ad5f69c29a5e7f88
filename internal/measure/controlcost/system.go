package main

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "sassafrasreach/api/peer/v1"
	"sassafrasreach/internal/core/membership"
)

const (
	period          = 500 * time.Millisecond
	warmUp          = 20 * time.Second
	placesPerRegion = 3
	cellSize        = 4
	kilobyte        = 1024
)

// size is the size of a system.
type size struct{ places, perPlace int }

// options apply to all sizes: the measured simulated seconds, the number of
// services in each place, and the length of a daemon's list of places to follow.
type options struct{ seconds, services, interest int }

// cost is the average cost of one daemon. Messages, and the bytes out and in,
// are per second.
type cost struct {
	size
	messages, out, in float64
	cpuPercent        float64
	heapKB            float64
	directoryKB       float64
	// ownerKnown is the percentage of the groups of followed places for which a
	// daemon's table names the acting owner.
	ownerKnown float64
	// spread is the simulated time until every daemon has received a new version
	// number.
	spread time.Duration
}

func (c cost) row() string {
	return fmt.Sprintf("| %d | %d | %d | %.1f | %.0f | %.0f | %.3f | %.0f | %.0f | %.1f | %.1f |",
		c.places, c.perPlace, c.places*c.perPlace, c.messages, c.out, c.in, c.cpuPercent, c.heapKB, c.directoryKB,
		c.ownerKnown, c.spread.Seconds())
}

// system holds the membership tables of all daemons and counts the messages and
// bytes that they send.
type system struct {
	now      time.Time
	names    []string
	tables   map[string]*membership.Table
	groups   map[string][]membership.GroupRow
	counting bool
	messages int
	bytes    int
}

// measure runs a system and returns the cost of one daemon. Each message counts
// twice: once at its sender and once at its receiver.
func measure(s size, o options) cost {
	empty := heap()
	dir := membership.NewDirectory(peersOf(s), cellSize)
	withDirectory := heap()
	sys := newSystem(s, o, dir)
	sys.run(warmUp)
	withTables := heap()
	sys.counting = true
	begin := processorTime()
	sys.run(time.Duration(o.seconds) * time.Second)
	spent := processorTime() - begin
	sys.counting = false
	daemons := float64(len(sys.names))
	perDaemon := daemons * float64(o.seconds)
	return cost{
		size:        s,
		messages:    2 * float64(sys.messages) / perDaemon,
		out:         float64(sys.bytes) / perDaemon,
		in:          float64(sys.bytes) / perDaemon,
		cpuPercent:  100 * spent.Seconds() / perDaemon,
		heapKB:      float64(withTables-withDirectory) / daemons / kilobyte,
		directoryKB: float64(withDirectory-empty) / kilobyte,
		ownerKnown:  sys.ownerKnown(s, o),
		spread:      sys.spread(),
	}
}

// ownerKnown compares the owners that every daemon's table names for the groups
// of the places on its list with the daemons that act as owners.
func (sys *system) ownerKnown(s size, o options) float64 {
	total, correct := 0, 0
	for i, name := range sys.names {
		table := sys.tables[name]
		followed := interestOf(s, o, i/s.perPlace)
		if followed == nil {
			followed = allPlaces(s)
		}
		for _, place := range followed {
			for _, row := range sys.groups[place] {
				total++
				owner, ok := table.Owner(sys.now, row.Service, place)
				if ok && sys.tables[owner.Name].OwnsSelf(sys.now, row.Service, place) {
					correct++
				}
			}
		}
	}
	return 100 * float64(correct) / float64(max(1, total))
}

// spread sets a new version at one daemon and runs until all daemons have
// received it, for at most a minute.
func (sys *system) spread() time.Duration {
	const version = 9999
	sys.tables[sys.names[0]].SetVersion(version)
	begin := sys.now
	left := sys.names[1:]
	for len(left) > 0 && sys.now.Sub(begin) < time.Minute {
		sys.run(period)
		var still []string
		for _, name := range left {
			newest, _, ok := sys.tables[name].NewestVersion(sys.now)
			if ok && newest == version {
				sys.tables[name].SetVersion(version)
				continue
			}
			still = append(still, name)
		}
		left = still
	}
	return sys.now.Sub(begin)
}

func placeName(k int) string  { return fmt.Sprintf("place-%02d", k) }
func regionName(k int) string { return fmt.Sprintf("region-%02d", k/placesPerRegion) }

func peersOf(s size) []membership.Peer {
	var peers []membership.Peer
	for p := range s.places {
		for k := range s.perPlace {
			peers = append(peers, membership.Peer{
				Name:    fmt.Sprintf("%s-e%02d", placeName(p), k),
				Place:   placeName(p),
				Region:  regionName(p),
				Address: fmt.Sprintf("10.%d.%d.1:7000", p, k),
			})
		}
	}
	return peers
}

func newSystem(s size, o options, dir *membership.Directory) *system {
	sys := &system{
		now:    time.Unix(1_800_000_000, 0),
		tables: make(map[string]*membership.Table),
		groups: make(map[string][]membership.GroupRow),
		names:  dir.Names(),
	}
	for i, name := range sys.names {
		peer, _ := dir.Peer(name)
		self := membership.Member{
			Name:        name,
			Place:       peer.Place,
			Incarnation: uint64(1_800_000_000_000 + i),
			Version:     1234,
		}
		t := membership.NewTable(self, membership.Config{CellSize: cellSize})
		t.SetInterest(interestOf(s, o, i/s.perPlace))
		t.SetDirectory(sys.now, dir)
		sys.tables[name] = t
	}
	for p := range s.places {
		for k := range o.services {
			sys.groups[placeName(p)] = append(sys.groups[placeName(p)], membership.GroupRow{
				Service: fmt.Sprintf("service-%02d", k), Place: placeName(p),
				Endpoints: 35, Slots: 105, Busy: 70, Queued: 2, Latency: 80 * time.Millisecond,
			})
		}
	}
	return sys
}

// interestOf returns the places that a daemon of the given place follows beyond
// its region: every placesPerRegion-th one in the order of their numbers,
// beginning with its own. Nil means all places.
func interestOf(s size, o options, place int) []string {
	if o.interest == 0 || o.interest >= s.places {
		return nil
	}
	var places []string
	for k := range o.interest {
		places = append(places, placeName((place+k*placesPerRegion)%s.places))
	}
	return places
}

func allPlaces(s size) []string {
	var places []string
	for p := range s.places {
		places = append(places, placeName(p))
	}
	return places
}

// run advances simulated time; the ticks of the daemons are distributed evenly
// over the period.
func (sys *system) run(d time.Duration) {
	step := period / time.Duration(len(sys.names))
	for range int(d / period) {
		begin := sys.now
		for k, name := range sys.names {
			sys.now = begin.Add(time.Duration(k) * step)
			sys.tick(name)
		}
		sys.now = begin.Add(period)
	}
}

func (sys *system) tick(name string) {
	table := sys.tables[name]
	table.SetGroups(sys.now, sys.owned(table, name))
	for _, target := range table.Tick(sys.now) {
		sys.count(target.Heartbeat)
		reply := sys.tables[target.Peer.Name].Receive(sys.now, target.Heartbeat)
		sys.count(reply)
		table.Receive(sys.now, reply)
	}
}

func (sys *system) owned(table *membership.Table, name string) []membership.GroupRow {
	self, _ := table.Peer(name)
	var own []membership.GroupRow
	for _, row := range sys.groups[self.Place] {
		if table.OwnsSelf(sys.now, row.Service, row.Place) {
			own = append(own, row)
		}
	}
	return own
}

func (sys *system) count(hb membership.Heartbeat) {
	if !sys.counting {
		return
	}
	sys.messages++
	sys.bytes += proto.Size(encode(hb))
}

// encode returns the protobuf message that entries send for a heartbeat.
func encode(hb membership.Heartbeat) *peerv1.HeartbeatRequest {
	m := &peerv1.HeartbeatRequest{From: hb.From}
	for _, r := range hb.Members {
		m.Members = append(m.Members, &peerv1.MemberRow{
			Name: r.Name, Place: r.Place, Incarnation: r.Incarnation,
			Counter: r.Counter, Version: r.Version, Leaving: r.Leaving,
		})
	}
	for _, r := range hb.Groups {
		m.Groups = append(m.Groups, &peerv1.GroupRow{
			Service: r.Service, Place: r.Place, Owner: r.Owner,
			OwnerIncarnation: r.OwnerIncarnation, Counter: r.Counter,
			Endpoints: uint32(r.Endpoints), Slots: uint32(r.Slots),
			Busy: uint32(r.Busy), Queued: uint32(r.Queued),
			LatencyMicros: uint64(r.Latency.Microseconds()),
		})
	}
	return m
}

// heap returns the size of the live heap in bytes, after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
