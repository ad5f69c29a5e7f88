package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasreach/internal/core/membership"
)

const (
	// backupPeriod is the period at which a daemon that isn't the representative
	// of its place fetches from a control VM.
	backupPeriod = 5 * time.Second
	// newVersion is the document version that the change creates.
	newVersion = 9999
	// changeLimit bounds the simulated time for which a change is followed.
	changeLimit = 30 * time.Second
	// changeSeed is the seed of the order in which daemons check for the change
	// within a period, and of the times of their last fetches.
	changeSeed = 1
)

// change simulates the propagation of a change from the control VMs to all
// daemons. Each daemon checks for it once per period, as entries do: it takes
// the document from the nearest peer that has it, and fetches from a control VM
// if it is the representative of its place or its last fetch is at least
// backupPeriod ago.
type change struct {
	*system
	// order is the order in which daemons check for the change within a period.
	order     []string
	lastFetch map[string]time.Time
	outdated  map[string]bool
	// fetches is the number of requests to control VMs until all daemons have the
	// change; documents is the number of those whose answer contains the document.
	fetches, documents int
	// representatives is the number of documents that control VMs sent to
	// representatives of a place.
	representatives int
	// served is the number of times that each daemon sent the document to a peer.
	served map[string]int
}

// changeCost is the cost of propagating one change. half and took are the
// simulated times until half of the daemons and all of them have it.
type changeCost struct {
	size
	took                                time.Duration
	half                                time.Duration
	fetches, documents, representatives int
	mostServed                          int
}

func (c changeCost) row() string {
	return fmt.Sprintf("| %d | %d | %d | %d | %d | %d | %d | %.1f | %.1f |",
		c.places, c.perPlace, c.places*c.perPlace, c.fetches, c.documents, c.representatives, c.mostServed,
		c.half.Seconds(), c.took.Seconds())
}

// measureChange makes a change in a system whose membership has converged, and
// follows it until all daemons have it or changeLimit has passed.
func measureChange(s size, o options) changeCost {
	c := newChange(s, o)
	cost := changeCost{size: s}
	begin := c.now
	for len(c.outdated) > 0 && c.now.Sub(begin) < changeLimit {
		c.checkAll()
		if cost.half == 0 && len(c.outdated) <= len(c.names)/2 {
			cost.half = c.now.Sub(begin)
		}
	}
	cost.took = c.now.Sub(begin)
	cost.fetches, cost.documents, cost.representatives = c.fetches, c.documents, c.representatives
	for _, n := range c.served {
		cost.mostServed = max(cost.mostServed, n)
	}
	return cost
}

func newChange(s size, o options) *change {
	sys := newSystem(s, o, membership.NewDirectory(peersOf(s), cellSize))
	sys.run(warmUp)
	c := &change{
		system:    sys,
		order:     slices.Clone(sys.names),
		lastFetch: make(map[string]time.Time),
		outdated:  make(map[string]bool),
		served:    make(map[string]int),
	}
	pick := rand.New(rand.NewPCG(changeSeed, 0))
	pick.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	for _, name := range c.order {
		c.outdated[name] = true
		c.lastFetch[name] = sys.now.Add(-time.Duration(pick.Int64N(int64(backupPeriod))))
	}
	return c
}

// checkAll lets every daemon check for the change and send its heartbeats once.
func (c *change) checkAll() {
	begin := c.now
	step := period / time.Duration(len(c.order))
	for k, name := range c.order {
		c.now = begin.Add(time.Duration(k) * step)
		c.check(name)
		c.tick(name)
	}
	c.now = begin.Add(period)
}

func (c *change) check(name string) {
	table := c.tables[name]
	if version, from, ok := table.NewestVersion(c.now); ok && version == newVersion {
		c.served[from.Name]++
		c.applyVersion(name)
	}
	self, _ := table.Peer(name)
	representative, known := table.Representative(c.now, self.Place)
	represents := !known || representative.Name == name
	if !represents && c.now.Sub(c.lastFetch[name]) < backupPeriod {
		return
	}
	c.lastFetch[name] = c.now
	c.fetches++
	if !c.outdated[name] {
		return
	}
	c.documents++
	if represents {
		c.representatives++
	}
	c.applyVersion(name)
}

// applyVersion puts the change in force at a daemon, which sends heartbeats with
// the new version at once.
func (c *change) applyVersion(name string) {
	delete(c.outdated, name)
	c.tables[name].SetVersion(newVersion)
	c.tick(name)
}
