package admission

import (
	"slices"
	"strings"
	"time"
)

const (
	// lateAfter is the age of the last announcement above which an endpoint
	// counts as late. Endpoints announce themselves about every second.
	lateAfter = 1600 * time.Millisecond
	// maxTombstones bounds the remembered endpoints that are gone.
	maxTombstones = 4096
	// tombstoneCheckInterval is the time between two removals of old
	// tombstones.
	tombstoneCheckInterval = time.Second
	// maxSlowStartStep bounds the time that counts for slow start in one
	// tick, so that a stall of this process doesn't end a slow start early.
	maxSlowStartStep = 100 * time.Millisecond
)

// insert puts an endpoint into use and keeps the order by ID.
func (g *Group) insert(e *endpoint) {
	at, _ := slices.BinarySearchFunc(g.endpoints, e.id, compareID)
	g.endpoints = slices.Insert(g.endpoints, at, e)
}

// retire takes an endpoint out of use and keeps it as a tombstone.
func (g *Group) retire(now time.Time, e *endpoint) {
	g.takeOut(e)
	e.gone = true
	e.goneAt = now
}

// takeOut takes an endpoint out of use.
func (g *Group) takeOut(e *endpoint) {
	at, found := slices.BinarySearchFunc(g.endpoints, e.id, compareID)
	if found && g.endpoints[at] == e {
		g.endpoints = slices.Delete(g.endpoints, at, at+1)
	}
}

func compareID(e *endpoint, id string) int { return strings.Compare(e.id, id) }

// expireUnresponsive retires endpoints whose announcements have stopped. If
// more than half of the endpoints are late at once, the delivery of
// announcements is assumed to be at fault and the last list is kept; then
// only endpoints are retired whose requests fail too.
func (g *Group) expireUnresponsive(now time.Time) {
	late := 0
	for _, e := range g.endpoints {
		if now.Sub(e.lastAnnounced) > lateAfter {
			late++
		}
	}
	g.announcementsStale = 2*late > len(g.endpoints)
	for i := len(g.endpoints) - 1; i >= 0; i-- {
		e := g.endpoints[i]
		if now.Sub(e.lastAnnounced) <= g.cfg.UnresponsiveAfter {
			continue
		}
		if g.announcementsStale && e.failures < maxConsecutiveFailures {
			continue
		}
		g.retire(now, e)
	}
}

// removeTombstones removes old and excess tombstones.
func (g *Group) removeTombstones(now time.Time) {
	for id, e := range g.byID {
		if e.gone && now.Sub(e.goneAt) > g.cfg.TombstoneTTL {
			delete(g.byID, id)
		}
	}
	for len(g.byID)-len(g.endpoints) > maxTombstones {
		g.removeOldestTombstone()
	}
}

func (g *Group) removeOldestTombstone() {
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

// advanceSlowStart raises the allowed slots of cold endpoints, except those
// whose latency is above 2*slowFactor times that of their warm peers. Without
// any warm peer, cold endpoints get all their slots.
func (g *Group) advanceSlowStart(elapsed time.Duration) {
	step := float64(min(elapsed, maxSlowStartStep)) / float64(g.cfg.SlowStart)
	step *= 1 - g.cfg.SlowStartFloor
	warm := g.warmLatency()
	anyWarm := g.anyWarm()
	for _, e := range g.endpoints {
		switch {
		case e.warm >= 1:
		case !anyWarm:
			e.warm = 1 // no warm endpoint could serve instead
		case warm > 0 && e.latency > 2*slowFactor*warm:
		default:
			e.warm = min(1, e.warm+step)
		}
	}
}

// anyWarm reports whether a usable endpoint has completed its slow start.
func (g *Group) anyWarm() bool {
	return slices.ContainsFunc(g.endpoints, func(e *endpoint) bool {
		return e.usable() && e.warm >= 1
	})
}

// warmLatency is the median latency of the warm endpoints with enough
// samples.
func (g *Group) warmLatency() float64 {
	g.scratch = g.scratch[:0]
	for _, e := range g.endpoints {
		if e.warm >= 1 && e.samples >= minSamples {
			g.scratch = append(g.scratch, e.latency)
		}
	}
	return median(g.scratch)
}
