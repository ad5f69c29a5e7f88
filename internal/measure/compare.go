package measure

import (
	"time"
)

// Outcome is the result of one policy in one scenario.
type Outcome struct {
	// Policy names the policy.
	Policy string
	// P50 and P99 are the latencies of answered requests as callers see them.
	P50, P99 time.Duration
	// AllP95 is the latency within which 95% of all requests were answered; 0
	// when fewer were.
	AllP95 time.Duration
	// InTime is the fraction of all requests that were answered in time.
	InTime float64
	// Unaffected is InTime for the places that the fault doesn't affect.
	Unaffected float64
	// UnaffectedP99 is P99 for those places.
	UnaffectedP99 time.Duration
	// Headroom is the lowest fraction of free slots in any second, per region. It
	// is negative when more requests wait than slots are free.
	Headroom []float64
	// CapUse is the largest fraction of a rule's cap that was used in any second.
	CapUse float64
	// Drain is the time from the drain until the place starts less than a
	// hundredth of the requests that it started before, in every later second. It
	// is negative when that isn't reached and 0 when the scenario has no drain.
	Drain time.Duration
	// Left is the fraction of its earlier requests that a drained place still
	// starts in the last seconds of the simulation.
	Left float64
	// Before is the goodput before a fault and After that at the end, when its
	// cause is gone. Recovery is the time from the end of the cause until goodput
	// stayed at or above 95% of Before; it is negative when that isn't reached.
	Before, After float64
	Recovery      time.Duration
}

// Row compares the policies in one scenario.
type Row struct {
	// Scenario names the row.
	Scenario string
	// Outcomes are those of the two baselines and of the policy under test, in
	// this order.
	Outcomes []Outcome
}

type namedPolicy struct {
	name string
	make func(*world) policy
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"random endpoint", newRandomBaseline},
		{"least reported load", newLeastLoadBaseline},
		{"this policy", newSteered},
	}
}

// Compare runs every scenario with every policy on the same seed, up to parallel
// simulations at a time.
func Compare(op Operation, seed uint64, parallel int) []Row {
	rows := make([]Row, len(scenarios()))
	slots := make(chan struct{}, parallel)
	done := make(chan struct{})
	count := 0
	for i, sc := range scenarios() {
		rows[i] = Row{Scenario: sc.name, Outcomes: make([]Outcome, len(policies()))}
		for j, p := range policies() {
			count++
			go func() {
				slots <- struct{}{}
				rows[i].Outcomes[j] = simulate(op, seed, sc, p)
				<-slots
				done <- struct{}{}
			}()
		}
	}
	for range count {
		<-done
	}
	return rows
}

// simulate runs one scenario with one policy.
func simulate(op Operation, seed uint64, sc scenario, p namedPolicy) Outcome {
	w := newWorld(op, seed, p.make)
	w.record.drain = sc.drain
	w.record.starts = make([]int, int(sc.until/startBucket)+1)
	for _, place := range sc.affected {
		w.record.affected[place] = true
	}
	sc.setUp(w)
	w.run(sc.until)
	r := w.record
	o := Outcome{
		Policy:        p.name,
		P50:           quantile(r.latencies, 0.5),
		P99:           quantile(r.latencies, 0.99),
		UnaffectedP99: quantile(r.unaffectedLatencies, 0.99),
		AllP95:        r.quantileOfAll(0.95),
		InTime:        float64(r.inTime) / float64(r.offers),
		Unaffected:    float64(r.unaffected[1]) / float64(r.unaffected[0]),
		Headroom:      r.headroom,
		CapUse:        r.capUse(),
	}
	if sc.drain >= 0 {
		o.Drain, o.Left = r.drainTime(sc)
	}
	if sc.recoversAt > 0 {
		o.Before, o.After, o.Recovery = r.recovery(sc)
	}
	return o
}

// drainTime returns Outcome.Drain and Outcome.Left: the time from the fault until
// a place starts less than a hundredth of the requests that it started before, in
// every later second, and the fraction that it still starts in the last seconds.
func (r *record) drainTime(sc scenario) (time.Duration, float64) {
	from := int(faultAt / startBucket)
	end := int(sc.until / startBucket)
	perSecond := int(time.Second / startBucket)
	before := r.startRate(int(warmUp/startBucket), from)
	left := r.startRate(end-lastSeconds*perSecond, end) / before
	quiet := end
	for quiet > from && r.startRate(max(from, quiet-perSecond), quiet) < drainedPart*before {
		quiet--
	}
	if end-quiet < perSecond {
		return -1, left
	}
	return max(startBucket, time.Duration(quiet-from)*startBucket), left
}

// startRate returns the mean number of requests that started per bucket.
func (r *record) startRate(from, to int) float64 {
	sum := 0
	for _, n := range r.starts[from:to] {
		sum += n
	}
	return float64(sum) / float64(to-from)
}

// recovery returns the goodput before the fault, the goodput at the end, and the
// time that goodput took to recover after the cause ended. The last two seconds
// are left out, because their requests may still run.
func (r *record) recovery(sc scenario) (before, after float64, took time.Duration) {
	before = r.goodput(int(warmUp/time.Second), int(faultAt/time.Second))
	end := int(sc.until/time.Second) - 2
	from := int(sc.recoversAt / time.Second)
	after = r.goodput(end-10, end)
	good := end
	for good > from && r.goodput(good-1, good) >= 0.95*before {
		good--
	}
	if good == end {
		return before, after, -1
	}
	return before, after, time.Duration(good-from) * time.Second
}
