package measure

import (
	"slices"
	"time"
)

const (
	// warmUp is the time at the start of a simulation that results leave out.
	warmUp = 5 * time.Second
	// loadSample is the period at which the load is sampled.
	loadSample = 100 * time.Millisecond
	// loadWindow is the number of samples averaged into one value of headroom.
	loadWindow = 10
	// goodputBucket is the width of the buckets in which goodput is counted.
	goodputBucket = time.Second
	// startBucket is the width of the buckets in which the requests that start in
	// a place are counted.
	startBucket = 50 * time.Millisecond
	// drainedPart is the fraction of its earlier requests below which a place
	// counts as drained.
	drainedPart = 0.01
	// lastSeconds is the number of seconds at the end over which the requests that
	// still start in a drained place are counted.
	lastSeconds = 10
)

// move counts the requests that one rule moved in buckets of 10 ms.
type move struct {
	limit   int
	buckets []int
}

// record collects the figures of a simulation.
type record struct {
	w                   *world
	offers              int
	inTime              int // answered in time
	latencies           []time.Duration
	unaffectedLatencies []time.Duration // latencies in places that the fault doesn't affect
	offersPerSecond     []int           // by the time of the first attempt
	inTimePerSecond     []int
	unaffected          [2]int // in places that the fault doesn't affect: offered, answered
	affected            map[int]bool
	loads               [][]float64 // per region, samples of the current loadWindow
	headroom            []float64   // per region, lowest
	moves               map[string]*move
	drain               int   // place whose started requests are counted; -1 for none
	starts              []int // per startBucket
}

func newRecord(w *world) *record {
	r := &record{
		w:        w,
		affected: map[int]bool{},
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

func (r *record) recordOffer(q *request) {
	r.count(&r.offersPerSecond, q)
	if q.first < warmUp {
		return
	}
	r.offers++
	if !r.affected[q.origin] {
		r.unaffected[0]++
	}
}

func (r *record) recordAnswer(q *request) {
	r.count(&r.inTimePerSecond, q)
	if q.first < warmUp {
		return
	}
	r.inTime++
	r.latencies = append(r.latencies, r.w.now-q.first)
	if !r.affected[q.origin] {
		r.unaffected[1]++
		r.unaffectedLatencies = append(r.unaffectedLatencies, r.w.now-q.first)
	}
}

// recordStart counts a request that an endpoint of a place started.
func (r *record) recordStart(place int) {
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

// recordMove counts a request that was sent to another place.
func (r *record) recordMove(service, from, to int) {
	w := r.w
	m := r.moves[ruleName(w.op.services[service].name, w.names[from], w.names[to])]
	at := int(w.now / bucketWidth)
	for len(m.buckets) <= at {
		m.buckets = append(m.buckets, 0)
	}
	m.buckets[at]++
}

// capUse returns the largest fraction of a cap that was used in any second.
func (r *record) capUse() float64 {
	most := 0.0
	for _, m := range r.moves {
		sum := 0
		for i, n := range m.buckets {
			sum += n
			if i >= bucketsPerSecond {
				sum -= m.buckets[i-bucketsPerSecond]
			}
			most = max(most, float64(sum)/float64(m.limit))
		}
	}
	return most
}

// sampleLoad samples the load of the regions: the requests that run or wait as a
// fraction of the live slots. Above 1, a region has more requests than slots.
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

// quantile sorts latencies and returns the given quantile, or 0 for none.
func quantile(latencies []time.Duration, q float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[int(q*float64(len(latencies)-1))]
}

// quantileOfAll returns a quantile of the latencies of all requests, where those
// without an answer count as the slowest; 0 when it falls among them.
func (r *record) quantileOfAll(q float64) time.Duration {
	part := q * float64(r.offers) / float64(r.inTime)
	if part > 1 {
		return 0
	}
	return quantile(r.latencies, part)
}

// goodput returns the fraction of the requests first sent in the given seconds
// that were answered.
func (r *record) goodput(from, to int) float64 {
	offers, ends := 0, 0
	for i := from; i < to && i < len(r.offersPerSecond); i++ {
		offers += r.offersPerSecond[i]
		if i < len(r.inTimePerSecond) {
			ends += r.inTimePerSecond[i]
		}
	}
	if offers == 0 {
		return 0
	}
	return float64(ends) / float64(offers)
}
