package measure

import "time"

// scenario is a row of the comparison.
type scenario struct {
	name  string
	until time.Duration
	set   func(w *world)
	// hit are the places whose own requests the fault touches.
	hit []int
	// drain is the place whose drain is timed; -1 for none.
	drain int
	// recovers is the moment from which goodput must come back; 0 for none.
	recovers time.Duration
}

const (
	// faultAt is the moment of a fault.
	faultAt = 15 * time.Second
	// backAt is the moment at which what was lost starts again.
	backAt = 30 * time.Second
	// endAt is the end of a simulation.
	endAt = 60 * time.Second
	// halfLoad is the demand at half of the capacity.
	halfLoad = 0.5
	// stormFactor is the demand in a storm as a part of the capacity.
	stormFactor = 2
	// stormEnd is the end of a storm.
	stormEnd = 25 * time.Second
	// liarSlowness multiplies the work of an endpoint that says it is idle.
	liarSlowness = 5
)

func scenarios() []scenario {
	return []scenario{
		{name: "steady 70%", until: 40 * time.Second, set: func(*world) {}, drain: -1},
		{name: "one place lost", until: 40 * time.Second, set: losePlaces(0), hit: []int{0}, drain: -1},
		{name: "one region lost", until: endAt, set: loseRegion, hit: []int{0, 1}, drain: -1, recovers: backAt},
		{name: "drain of a place", until: 40 * time.Second, set: drainPlace, hit: []int{0}, drain: 0},
		{name: "drain at 50%", until: 40 * time.Second, set: drainAtHalf, hit: []int{0}, drain: 0},
		{name: "cold return", until: endAt, set: coldReturn, hit: []int{0}, drain: -1, recovers: backAt},
		{name: "retry storm", until: 50 * time.Second, set: storm, drain: -1, recovers: stormEnd},
		{name: "lying reports", until: 40 * time.Second, set: liars, drain: -1},
	}
}

func losePlaces(places ...int) func(w *world) {
	return func(w *world) {
		for _, p := range places {
			w.after(faultAt, func() { w.lose(p) })
		}
	}
}

func restorePlaces(w *world, places ...int) {
	for _, p := range places {
		w.after(backAt, func() { w.restore(p) })
	}
}

func loseRegion(w *world) {
	losePlaces(0, 1)(w)
	restorePlaces(w, 0, 1)
}

func coldReturn(w *world) {
	losePlaces(0)(w)
	restorePlaces(w, 0)
}

func drainPlace(w *world) {
	w.after(faultAt, func() { w.drain(0) })
}

// drainAtHalf drains a place while the others have room for its work.
func drainAtHalf(w *world) {
	w.demand = func(time.Duration) float64 { return halfLoad }
	drainPlace(w)
}

// storm doubles the demand of callers that send again after a failure.
func storm(w *world) {
	w.impatient = true
	w.demand = func(now time.Duration) float64 {
		if now >= faultAt && now < stormEnd {
			return stormFactor
		}
		return loadFactor
	}
}

// liars lets one endpoint of each group in the first place of each region say
// that it is idle while it is slow, and another say for ever that it is full
// while it is fine.
func liars(w *world) {
	for _, groups := range w.byPlace {
		for place, group := range groups {
			if place > 0 && w.region[place] == w.region[place-1] {
				continue
			}
			group[0].lie, group[0].slow = saysIdle, liarSlowness
			group[1].lie = saysFull
		}
	}
}
