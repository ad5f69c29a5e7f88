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
	// AllP95 is the latency within which 95% of all requests were answered; 0
	// when fewer were.
	AllP95 time.Duration
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
	// Drain is the time from the drain until the place runs less than a
	// hundredth of what it ran before, for good; negative when it doesn't get
	// there, 0 for no drain.
	Drain time.Duration
	// Left is the part of its work that a drained place still runs in the last
	// seconds.
	Left float64
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
	w.record.drain = sc.drain
	w.record.starts = make([]int, int(sc.until/startBucket)+1)
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
		AllP95:    r.quantileOfAll(0.95),
		InTime:    float64(r.ends) / float64(r.offers),
		Spared:    float64(r.spared[1]) / float64(r.spared[0]),
		Headroom:  r.headroom,
		CapUse:    r.capUse(),
	}
	if sc.drain >= 0 {
		o.Drain, o.Left = r.drainTime(sc)
	}
	if sc.recovers > 0 {
		o.Before, o.After, o.Recovery = r.recovery(sc)
	}
	return o
}

// drainTime is the time from the fault until a place starts less than a
// hundredth of the requests that it started before, in every later second; and
// the part of its work that it still starts in the last seconds.
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

// startRate is the mean number of requests that started in a bucket.
func (r *record) startRate(from, to int) float64 {
	sum := 0
	for _, n := range r.starts[from:to] {
		sum += n
	}
	return float64(sum) / float64(to-from)
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
