package measure

import "time"

// scenario is a row of the comparison.
type scenario struct {
	name  string
	until time.Duration
	setUp func(w *world)
	// affected lists the places whose own requests the fault affects.
	affected []int
	// drain is the place whose drain time is measured; -1 for none.
	drain int
	// recoversAt is the time from which goodput should recover; 0 when recovery
	// isn't measured.
	recoversAt time.Duration
}

const (
	// faultAt is the time of a fault.
	faultAt = 15 * time.Second
	// restoreAt is the time at which failed places restart.
	restoreAt = 30 * time.Second
	// endAt is the end of a simulation.
	endAt = 60 * time.Second
	// halfLoad is a demand of half of the capacity.
	halfLoad = 0.5
	// stormFactor is the demand in a retry storm as a multiple of the capacity.
	stormFactor = 2
	// stormEnd is the end of a retry storm.
	stormEnd = 25 * time.Second
	// misreportSlowdown multiplies the work of an endpoint that falsely
	// reports that it is idle.
	misreportSlowdown = 5
)

func scenarios() []scenario {
	return []scenario{
		{name: "steady 70%", until: 40 * time.Second, setUp: func(*world) {}, drain: -1},
		{name: "one place lost", until: 40 * time.Second, setUp: failPlaces(0), affected: []int{0}, drain: -1},
		{name: "one region lost", until: endAt, setUp: failRegion, affected: []int{0, 1}, drain: -1, recoversAt: restoreAt},
		{name: "drain of a place", until: 40 * time.Second, setUp: drainPlace, affected: []int{0}, drain: 0},
		{name: "drain at 50%", until: 40 * time.Second, setUp: drainAtHalf, affected: []int{0}, drain: 0},
		{name: "restart with cold caches", until: endAt, setUp: coldRestart, affected: []int{0}, drain: -1, recoversAt: restoreAt},
		{name: "retry storm", until: 50 * time.Second, setUp: retryStorm, drain: -1, recoversAt: stormEnd},
		{name: "false load reports", until: 40 * time.Second, setUp: misreportLoad, drain: -1},
	}
}

func failPlaces(places ...int) func(w *world) {
	return func(w *world) {
		for _, p := range places {
			w.after(faultAt, func() { w.failPlace(p) })
		}
	}
}

func restorePlaces(w *world, places ...int) {
	for _, p := range places {
		w.after(restoreAt, func() { w.restorePlace(p) })
	}
}

func failRegion(w *world) {
	failPlaces(0, 1)(w)
	restorePlaces(w, 0, 1)
}

func coldRestart(w *world) {
	failPlaces(0)(w)
	restorePlaces(w, 0)
}

func drainPlace(w *world) {
	w.after(faultAt, func() { w.addDrain(0) })
}

// drainAtHalf drains a place while the others have free capacity for its work.
func drainAtHalf(w *world) {
	w.demand = func(time.Duration) float64 { return halfLoad }
	drainPlace(w)
}

// retryStorm raises the demand to stormFactor times the capacity for a time;
// callers retry after a failure.
func retryStorm(w *world) {
	w.callersRetry = true
	w.demand = func(now time.Duration) float64 {
		if now >= faultAt && now < stormEnd {
			return stormFactor
		}
		return loadFactor
	}
}

// misreportLoad makes two endpoints of each group in the first place of each
// region report a false load throughout: one reports that it is idle although it
// is slow, the other that it is full although it works normally.
func misreportLoad(w *world) {
	for _, groups := range w.byPlace {
		for place, group := range groups {
			if place > 0 && w.region[place] == w.region[place-1] {
				continue
			}
			group[0].reportMode, group[0].slowdown = reportsIdle, misreportSlowdown
			group[1].reportMode = reportsFull
		}
	}
}
