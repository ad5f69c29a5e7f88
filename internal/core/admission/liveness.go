package admission

import (
	"slices"
	"strings"
	"time"
)

const (
	// lateAfter is the age of the last announcement from which an endpoint
	// counts as late. Endpoints announce about every second.
	lateAfter = 1600 * time.Millisecond
	// maxTombstones bounds the endpoints that are remembered after they went.
	maxTombstones = 4096
	// forgetEvery is the time between two looks for endpoints to forget.
	forgetEvery = time.Second
	// maxTick bounds the time that slow start counts for one tick, so that a
	// stall doesn't warm anything.
	maxTick = 100 * time.Millisecond
)

// insert puts an endpoint in use, keeping the order by ID.
func (g *Group) insert(e *endpoint) {
	at, _ := slices.BinarySearchFunc(g.endpoints, e.id, compareID)
	g.endpoints = slices.Insert(g.endpoints, at, e)
}

// remove takes an endpoint out of use and remembers it.
func (g *Group) remove(now time.Time, e *endpoint) {
	g.drop(e)
	e.gone = true
	e.goneAt = now
}

// drop takes an endpoint out of use.
func (g *Group) drop(e *endpoint) {
	at, found := slices.BinarySearchFunc(g.endpoints, e.id, compareID)
	if found && g.endpoints[at] == e {
		g.endpoints = slices.Delete(g.endpoints, at, at+1)
	}
}

func compareID(e *endpoint, id string) int { return strings.Compare(e.id, id) }

// expireSilent removes endpoints that went silent. When over half of them are
// late at once, the reports are at fault and the last list is kept; then only
// those go whose requests fail too.
func (g *Group) expireSilent(now time.Time) {
	late := 0
	for _, e := range g.endpoints {
		if now.Sub(e.heard) > lateAfter {
			late++
		}
	}
	g.blind = 2*late > len(g.endpoints)
	for i := len(g.endpoints) - 1; i >= 0; i-- {
		e := g.endpoints[i]
		if now.Sub(e.heard) <= g.cfg.SilentAfter {
			continue
		}
		if g.blind && e.failures < failuresToEject {
			continue
		}
		g.remove(now, e)
	}
}

// forget drops what is remembered of endpoints that went long ago.
func (g *Group) forget(now time.Time) {
	for id, e := range g.byID {
		if e.gone && now.Sub(e.goneAt) > g.cfg.ForgetAfter {
			delete(g.byID, id)
		}
	}
	for len(g.byID)-len(g.endpoints) > maxTombstones {
		g.forgetOldest()
	}
}

func (g *Group) forgetOldest() {
	var oldest *endpoint
	for _, e := range g.byID {
		if e.gone && (oldest == nil || e.goneAt.Before(oldest.goneAt)) {
			oldest = e
		}
	}
	if oldest != nil {
		delete(g.byID, oldest.id)
	}
}

// warmUp grows cold endpoints whose latency stays near their warm peers'.
func (g *Group) warmUp(elapsed time.Duration) {
	step := float64(min(elapsed, maxTick)) / float64(g.cfg.SlowStart)
	step *= 1 - g.cfg.SlowStartFloor
	warm := g.warmLatency()
	anyWarm := g.anyWarm()
	for _, e := range g.endpoints {
		switch {
		case e.warm >= 1:
		case !anyWarm:
			e.warm = 1 // nobody else could serve instead
		case warm > 0 && e.latency > 2*slowFactor*warm:
		default:
			e.warm = min(1, e.warm+step)
		}
	}
}

// anyWarm says whether some usable endpoint has all its slots.
func (g *Group) anyWarm() bool {
	return slices.ContainsFunc(g.endpoints, func(e *endpoint) bool {
		return e.usable() && e.warm >= 1
	})
}

// warmLatency is the median latency of the endpoints that are warm.
func (g *Group) warmLatency() float64 {
	g.scratch = g.scratch[:0]
	for _, e := range g.endpoints {
		if e.warm >= 1 && e.samples >= minSamples {
			g.scratch = append(g.scratch, e.latency)
		}
	}
	return median(g.scratch)
}
