package measure

import (
	"container/heap"
	"time"
)

// event is a function call at a point in simulated time.
type event struct {
	at    time.Duration
	order uint64 // breaks ties by the order of scheduling
	call  func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// schedule is the clock and the event queue of one simulation.
type schedule struct {
	now   time.Duration // since the start
	order uint64
	queue eventHeap
}

// epoch is the time at which simulated time starts.
var epoch = time.Unix(1_800_000_000, 0)

func (s *schedule) time() time.Time { return epoch.Add(s.now) }

// after schedules a call once d has passed.
func (s *schedule) after(d time.Duration, call func()) {
	s.order++
	heap.Push(&s.queue, event{s.now + d, s.order, call})
}

// every schedules a periodic call, first after offset.
func (s *schedule) every(offset, period time.Duration, call func()) {
	s.after(offset, func() {
		call()
		s.every(period, period, call)
	})
}

// run executes the events up to the given time.
func (s *schedule) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.call()
	}
	s.now = until
}
