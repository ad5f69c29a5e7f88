package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasreach/internal/core/membership"
)

const (
	// backupPeriod is how often a daemon that doesn't speak for its place asks a
	// control VM itself.
	backupPeriod = 5 * time.Second
	// newVersion is the version that a change makes.
	newVersion = 9999
	// changeLimit bounds the simulated time that a change is followed.
	changeLimit = 30 * time.Second
	// changeSeed gives the order in which daemons look within a period, and the
	// moments at which they last asked a control VM.
	changeSeed = 1
)

// change is a change on its way from the control VMs to all daemons. Each
// daemon looks for it once in a period as entries do: at the nearest peer that
// has it, and at a control VM if it speaks for its place or hasn't asked one
// for long.
type change struct {
	*system
	// order is that in which daemons look within a period.
	order   []string
	lastOwn map[string]time.Time
	behind  map[string]bool
	// fetches are the requests to control VMs until all have the change;
	// documents are those of them that carry it.
	fetches, documents int
	// speakers are the documents that went to daemons that speak for a place.
	speakers int
	// served is how often each daemon passed the document on.
	served map[string]int
}

// changeCost is what one change costs.
type changeCost struct {
	size
	took                         time.Duration
	half                         time.Duration
	fetches, documents, speakers int
	mostServed                   int
}

func (c changeCost) row() string {
	return fmt.Sprintf("| %d | %d | %d | %d | %d | %d | %d | %.1f | %.1f |",
		c.places, c.perPlace, c.places*c.perPlace, c.fetches, c.documents, c.speakers, c.mostServed,
		c.half.Seconds(), c.took.Seconds())
}

// measureChange decides a change in a system that has settled and follows it.
func measureChange(s size, o options) changeCost {
	c := newChange(s, o)
	cost := changeCost{size: s}
	begin := c.now
	for len(c.behind) > 0 && c.now.Sub(begin) < changeLimit {
		c.lookAll()
		if cost.half == 0 && len(c.behind) <= len(c.names)/2 {
			cost.half = c.now.Sub(begin)
		}
	}
	cost.took = c.now.Sub(begin)
	cost.fetches, cost.documents, cost.speakers = c.fetches, c.documents, c.speakers
	for _, n := range c.served {
		cost.mostServed = max(cost.mostServed, n)
	}
	return cost
}

func newChange(s size, o options) *change {
	sys := newSystem(s, o, membership.NewDirectory(peersOf(s), cellSize))
	sys.run(warmUp)
	c := &change{
		system:  sys,
		order:   slices.Clone(sys.names),
		lastOwn: make(map[string]time.Time),
		behind:  make(map[string]bool),
		served:  make(map[string]int),
	}
	pick := rand.New(rand.NewPCG(changeSeed, 0))
	pick.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	for _, name := range c.order {
		c.behind[name] = true
		c.lastOwn[name] = sys.now.Add(-time.Duration(pick.Int64N(int64(backupPeriod))))
	}
	return c
}

// lookAll lets every daemon look once and send its heartbeats.
func (c *change) lookAll() {
	begin := c.now
	step := period / time.Duration(len(c.order))
	for k, name := range c.order {
		c.now = begin.Add(time.Duration(k) * step)
		c.look(name)
		c.tick(name)
	}
	c.now = begin.Add(period)
}

func (c *change) look(name string) {
	table := c.tables[name]
	if version, from, ok := table.NewestVersion(c.now); ok && version == newVersion {
		c.served[from.Name]++
		c.take(name)
	}
	self, _ := table.Peer(name)
	speaker, known := table.Representative(c.now, self.Place)
	speaks := !known || speaker.Name == name
	if !speaks && c.now.Sub(c.lastOwn[name]) < backupPeriod {
		return
	}
	c.lastOwn[name] = c.now
	c.fetches++
	if !c.behind[name] {
		return
	}
	c.documents++
	if speaks {
		c.speakers++
	}
	c.take(name)
}

// take puts the change in force and tells others of it at once.
func (c *change) take(name string) {
	delete(c.behind, name)
	c.tables[name].SetVersion(newVersion)
	c.tick(name)
}
