package measure

import (
	"time"
)

// Outcome is what one policy did in one scenario.
type Outcome struct {
	// Policy names the policy.
	Policy string
	// P50 and P99 are latencies as callers see them, of answered requests.
	P50, P99 time.Duration
	// InTime is the part of all requests that was answered in time.
	InTime float64
	// Spared is the same for the places that the fault does not touch.
	Spared float64
	// SparedP99 is P99 for those places.
	SparedP99 time.Duration
	// Headroom is the lowest part of free slots in any second, per region.
	Headroom []float64
	// CapUse is the largest part of a rule's cap that was used in any second.
	CapUse float64
	// Drain is the time from the drain to the end of the last request in the
	// place; negative when requests still ran at the end, 0 for no drain.
	Drain time.Duration
	// Before and After are goodput before a fault and after what was lost came
	// back; Recovery is the time until goodput stayed above 95% of before, and
	// negative when it did not.
	Before, After float64
	Recovery      time.Duration
}

// Row compares the policies in one scenario.
type Row struct {
	// Scenario names the row.
	Scenario string
	// Outcomes are of the two baselines and of the policy, in this order.
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

// Compare runs every scenario with every policy on the same seeds, with up to
// parallel simulations at once.
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
	for _, place := range sc.hit {
		w.record.hit[place] = true
	}
	sc.set(w)
	w.run(sc.until)
	r := w.record
	o := Outcome{
		Policy:    p.name,
		P50:       quantile(r.latencies, 0.5),
		P99:       quantile(r.latencies, 0.99),
		SparedP99: quantile(r.untouched, 0.99),
		InTime:    float64(r.ends) / float64(r.offers),
		Spared:    float64(r.spared[1]) / float64(r.spared[0]),
		Headroom:  r.headroom,
		CapUse:    r.capUse(),
	}
	if sc.drain >= 0 {
		o.Drain = w.drainTime(sc.drain)
	}
	if sc.recovers > 0 {
		o.Before, o.After, o.Recovery = r.recovery(sc)
	}
	return o
}

// drainTime is the time from the fault to the end of the last work in a place.
func (w *world) drainTime(place int) time.Duration {
	last := time.Duration(0)
	for _, e := range w.endpoints {
		if e.place != place {
			continue
		}
		if len(e.running) > 0 {
			return -1
		}
		last = max(last, e.lastWork)
	}
	return last - faultAt
}

// recovery compares goodput before the fault with that after the cause is gone.
// The last second is left out, because its requests may still run.
func (r *record) recovery(sc scenario) (before, after float64, took time.Duration) {
	before = r.goodput(int(warmUp/time.Second), int(faultAt/time.Second))
	end := int(sc.until/time.Second) - 2
	from := int(sc.recovers / time.Second)
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
