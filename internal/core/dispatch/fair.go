package dispatch

import "time"

const (
	// leastServedShare bounds how much less often than all requests together an account is
	// served, before the bounds of the other accounts take part of it: with at most
	// 1 + leastServedShare times the weights in total, a quarter is left.
	leastServedShare = 0.35
	// arrivalSmoothing is the weight of the arrivals of the last tick in the average by which
	// an account's share of the requests is known.
	arrivalSmoothing = 0.02
	// idleArrivals is the average number of arrivals in a tick below which an account is
	// forgotten: its last request came some seconds ago.
	idleArrivals = 0.0005
)

// fairness orders the queued slot requests of a service by start-time fair queueing (Goyal,
// Vin and Cheng, 1996), within each priority and between accounts. Each slot request has a
// virtual start time; the queue serves the lowest first. That of an account that uses less
// than its share is the virtual time itself, so its requests go before those that an account
// beyond its share has in the queue.
type fairness struct {
	flows map[flowKey]*flow
	// virtual is the virtual time of each priority: the start time of the last slot request
	// that was granted from the queue.
	virtual map[int]float64
}

// flowKey names the requests of one account and priority. Requests without an account count
// as those of one.
type flowKey struct {
	priority int
	account  string
}

// flow is the state of the requests of one account and priority.
type flow struct {
	// finish is the virtual time at which its last request ends.
	finish float64
	// given is the weight in its last slot request; 0 if none. share is the weight that is
	// used.
	given, share float64
	// arrived counts its requests since the last tick, and arrivals is the average for a
	// tick.
	arrived  int
	arrivals float64
}

func newFairness() fairness {
	return fairness{flows: make(map[flowKey]*flow), virtual: make(map[int]float64)}
}

// flow returns the flow of a slot request.
func (f *fairness) flow(req SlotRequest) *flow {
	key := flowKey{req.Priority, req.Account}
	w := f.flows[key]
	if w == nil {
		w = &flow{share: 1}
		f.flows[key] = w
	}
	if given := max(req.Weight, 0); given != w.given {
		w.given = given
		if given > 0 {
			w.share = given
		}
	}
	return w
}

// arrive counts a request.
func (f *fairness) arrive(req SlotRequest) { f.flow(req).arrived++ }

// start returns the virtual start time of a slot request if it were queued now.
func (f *fairness) start(req SlotRequest) float64 {
	return max(f.virtual[req.Priority], f.flow(req).finish)
}

// charge accounts for a slot request that takes the given time in seconds, and returns its
// virtual start time and length.
func (f *fairness) charge(req SlotRequest, seconds float64) (start, length float64) {
	w := f.flow(req)
	start, length = f.start(req), seconds/w.share
	w.finish = start + length
	return start, length
}

// granted moves the virtual time to a slot request that was granted from the queue.
func (f *fairness) granted(w queuedRequest) {
	f.virtual[w.request.Priority] = max(f.virtual[w.request.Priority], w.start)
}

// withdrawn takes back the charge of a slot request that left the queue without a slot.
func (f *fairness) withdrawn(w queuedRequest) { f.flow(w.request).finish -= w.length }

// tick updates the shares of the flows and forgets those without requests. The virtual times
// begin anew while the queue is empty.
func (f *fairness) tick(queueEmpty bool) {
	if queueEmpty {
		clear(f.virtual)
	}
	type sums struct{ weights, weighted, arrivals, flows float64 }
	total := make(map[int]sums)
	for key, w := range f.flows {
		w.arrivals += arrivalSmoothing * (float64(w.arrived) - w.arrivals)
		w.arrived = 0
		if queueEmpty {
			w.finish = 0
		}
		if queueEmpty && w.arrivals < idleArrivals {
			delete(f.flows, key)
			continue
		}
		sum := total[key.priority]
		sum.arrivals, sum.flows = sum.arrivals+w.arrivals, sum.flows+1
		if w.given > 0 {
			sum.weights, sum.weighted = sum.weights+w.given, sum.weighted+1
		}
		total[key.priority] = sum
	}
	for key, w := range f.flows {
		sum := total[key.priority]
		mean := 1.0
		if sum.weighted > 0 {
			mean = sum.weights / sum.weighted
		}
		w.share = w.given
		if w.given == 0 {
			w.share = mean
		}
		if sum.arrivals > 0 {
			w.share = max(w.share, leastServedShare*w.arrivals/sum.arrivals*mean*sum.flows)
		}
	}
}

// servableIn returns how many slot requests are expected to get a slot in the given time.
func (svc *service) servableIn(d time.Duration) float64 {
	return float64(svc.slots) / svc.slotTime * d.Seconds()
}
