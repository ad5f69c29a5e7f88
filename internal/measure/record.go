package measure

import (
	"slices"
	"time"
)

const (
	// warmUp is the time at the start of a simulation that isn't counted.
	warmUp = 5 * time.Second
	// loadSample is the time between two looks at the load.
	loadSample = 100 * time.Millisecond
	// loadWindow is the number of looks that make one value of headroom.
	loadWindow = 10
	// goodputBucket is the time over which goodput is counted.
	goodputBucket = time.Second
	// startBucket is the time over which requests that start in a place are
	// counted.
	startBucket = 50 * time.Millisecond
	// drainedPart is the part of its work below which a place is drained.
	drainedPart = 0.01
	// lastSeconds is the time at the end over which the work that is left in a
	// drained place is counted.
	lastSeconds = 10
)

// move counts the requests that one rule moved in buckets of 10 ms.
type move struct {
	limit   int
	buckets []int
}

// record collects what a simulation shows.
type record struct {
	w         *world
	offers    int
	ends      int // answered in time
	latencies []time.Duration
	untouched []time.Duration // latencies in places that the scenario spares
	offersIn  []int           // per second, by the time of the first try
	endsIn    []int
	spared    [2]int // of places that the scenario spares: offered, answered
	hit       map[int]bool
	loads     [][]float64 // per region, sums of samples
	headroom  []float64   // per region, lowest
	moves     map[string]*move
	drain     int   // place whose work is counted in starts; -1 for none
	starts    []int // per startBucket
}

func newRecord(w *world) *record {
	r := &record{
		w:        w,
		hit:      map[int]bool{},
		headroom: make([]float64, len(w.op.regions)),
		loads:    make([][]float64, len(w.op.regions)),
		moves:    map[string]*move{},
		drain:    -1,
	}
	for i := range r.headroom {
		r.headroom[i] = 1
	}
	for _, rule := range w.doc.Rules {
		r.moves[rule.Name] = &move{limit: rule.RequestsPerS}
	}
	w.every(warmUp, loadSample, r.sampleLoad)
	return r
}

func (r *record) offered(q *request) {
	r.count(&r.offersIn, q)
	if q.first < warmUp {
		return
	}
	r.offers++
	if !r.hit[q.origin] {
		r.spared[0]++
	}
}

func (r *record) answered(q *request) {
	r.count(&r.endsIn, q)
	if q.first < warmUp {
		return
	}
	r.ends++
	r.latencies = append(r.latencies, r.w.now-q.first)
	if !r.hit[q.origin] {
		r.spared[1]++
		r.untouched = append(r.untouched, r.w.now-q.first)
	}
}

// started notes that an endpoint of a place started a request.
func (r *record) started(place int) {
	if place == r.drain {
		r.starts[int(r.w.now/startBucket)]++
	}
}

func (r *record) count(series *[]int, q *request) {
	at := int(q.first / goodputBucket)
	for len(*series) <= at {
		*series = append(*series, 0)
	}
	(*series)[at]++
}

// moved notes that a request was sent to another place.
func (r *record) moved(service, from, to int) {
	w := r.w
	m := r.moves[ruleName(w.op.services[service].name, w.names[from], w.names[to])]
	at := int(w.now / slot)
	for len(m.buckets) <= at {
		m.buckets = append(m.buckets, 0)
	}
	m.buckets[at]++
}

// capUse is the largest part of a cap that was used in any second.
func (r *record) capUse() float64 {
	most := 0.0
	for _, m := range r.moves {
		sum := 0
		for i, n := range m.buckets {
			sum += n
			if i >= slotsPerSecond {
				sum -= m.buckets[i-slotsPerSecond]
			}
			most = max(most, float64(sum)/float64(m.limit))
		}
	}
	return most
}

// sampleLoad looks at how full the regions are: requests that run or wait as a
// part of the live slots. Above 1 a region has more than it can run.
func (r *record) sampleLoad() {
	w := r.w
	slots := make([]int, len(w.op.regions))
	taken := make([]int, len(w.op.regions))
	for _, e := range w.endpoints {
		if e.alive {
			slots[w.region[e.place]] += e.slots
			taken[w.region[e.place]] += len(e.running) + len(e.waiting)
		}
	}
	for p := range w.names {
		if w.alive[p] {
			taken[w.region[p]] += w.policy.queued(p)
		}
	}
	for i := range slots {
		if slots[i] == 0 {
			r.loads[i] = nil
			continue
		}
		r.loads[i] = append(r.loads[i], float64(taken[i])/float64(slots[i]))
		if len(r.loads[i]) == loadWindow {
			r.headroom[i] = min(r.headroom[i], 1-mean(r.loads[i]))
			r.loads[i] = nil
		}
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// quantile sorts latencies and returns one of them.
func quantile(latencies []time.Duration, q float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[int(q*float64(len(latencies)-1))]
}

// quantileOfAll is a quantile that counts requests without an answer as the
// slowest; 0 when it falls among those.
func (r *record) quantileOfAll(q float64) time.Duration {
	part := q * float64(r.offers) / float64(r.ends)
	if part > 1 {
		return 0
	}
	return quantile(r.latencies, part)
}

// goodput is the part of the requests of some seconds that were answered.
func (r *record) goodput(from, to int) float64 {
	offers, ends := 0, 0
	for i := from; i < to && i < len(r.offersIn); i++ {
		offers += r.offersIn[i]
		if i < len(r.endsIn) {
			ends += r.endsIn[i]
		}
	}
	if offers == 0 {
		return 0
	}
	return float64(ends) / float64(offers)
}
