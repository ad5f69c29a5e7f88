package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sassafrasreach/internal/core/quota"
	"sassafrasreach/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, testseed.Settings{Seed: 20261206, Checks: 25}) }

var (
	simulationStart = time.Unix(1_800_000_000, 0)
	regions         = []string{"east", "north", "west"}
)

const (
	leaseTerm   = 1350 * time.Millisecond
	callTimeout = time.Second
)

// node is one controller. A killed one gets a new book, a frozen one handles nothing until
// it goes on, and one that is cut off reaches nobody.
type node struct {
	book        *quota.Book
	incarnation int
	frozenUntil time.Time
	cut, down   bool
	inFlight    map[int]bool
}

type simulationEvent struct {
	at time.Time
	do func()
}

type eventQueue []simulationEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simulationEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs six books, with node i in region i%3, that exchange requests over an
// unreliable network. One node at a time holds the lease of a region.
type simulation struct {
	random *rand.Rand
	now    time.Time
	events eventQueue
	nodes  [6]*node
	limits []quota.Limit
	bounds quota.Bounds
	// holder and until are the lease of each region.
	holder [3]int
	until  [3]time.Time
	// loss is the probability that a message is lost, slowest its longest time, and queued
	// the longest time that a request waits for its slot.
	loss            float64
	slowest, queued time.Duration
	// runs holds the times at which the requests of each account ran; taken and refused
	// count those that got a token, and that didn't.
	runs           map[string][]time.Time
	taken, refused int
	// asked is called for each request.
	asked func(account string)
}

func newSimulation(seed uint64, limits []quota.Limit, bounds quota.Bounds) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: simulationStart, limits: limits, bounds: bounds,
		holder: [3]int{-1, -1, -1}, runs: make(map[string][]time.Time), slowest: 110 * time.Millisecond, asked: func(string) {},
	}
	for i := range s.nodes {
		s.restart(i)
	}
	s.after(0, func() { s.every(50*time.Millisecond, s.renewLeases) })
	for i := range s.nodes {
		s.after(time.Duration(i)*40*time.Millisecond, func() {
			s.every(300*time.Millisecond, func() { s.onNode(i, func() { s.exchange(i, false) }) })
		})
	}
	return s
}

func (s *simulation) restart(i int) {
	n := &node{book: quota.NewBook(regions, s.bounds), inFlight: make(map[int]bool)}
	if s.nodes[i] != nil {
		n.incarnation = s.nodes[i].incarnation + 1
	}
	n.book.SetLimits(s.now, s.limits)
	s.nodes[i] = n
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, simulationEvent{s.now.Add(d), do})
}

func (s *simulation) every(d time.Duration, do func()) {
	do()
	s.after(d, func() { s.every(d, do) })
}

// onNode runs do on a node, now or once it goes on.
func (s *simulation) onNode(i int, do func()) {
	n := s.nodes[i]
	switch {
	case n.down:
	case s.now.Before(n.frozenUntil):
		s.after(n.frozenUntil.Sub(s.now), func() {
			if s.nodes[i] == n {
				s.onNode(i, do)
			}
		})
	default:
		do()
	}
}

// renewLeases extends the leases of nodes that work and gives those that have ended to
// another node, of the region itself if one works.
func (s *simulation) renewLeases() {
	works := func(i int) bool {
		return i >= 0 && !s.nodes[i].down && !s.nodes[i].cut && !s.now.Before(s.nodes[i].frozenUntil)
	}
	for r, region := range regions {
		if !s.now.Before(s.until[r]) {
			s.holder[r] = -1
			for i := range s.nodes {
				if h := s.holder[r]; works(i) && (h < 0 || i%3 == r && h%3 != r) {
					s.holder[r] = i
				}
			}
		}
		if h := s.holder[r]; works(h) {
			s.until[r] = s.now.Add(leaseTerm)
			s.nodes[h].book.SetLease(s.now, region, s.until[r])
		}
	}
}

// exchange sends the requests of a node to the owners that it knows.
func (s *simulation) exchange(from int, atOnce bool) {
	n := s.nodes[from]
	for to := range s.nodes {
		var owned []string
		for r, h := range s.holder {
			if h == to && h != from {
				owned = append(owned, regions[r])
			}
		}
		owner := fmt.Sprint(to, "/", s.nodes[to].incarnation)
		if n.inFlight[to] || !atOnce && !n.book.HasNews(s.now, owner, owned) {
			continue
		}
		r, returns, ok := n.book.Request(s.now, owner, owned)
		if !ok {
			continue
		}
		sentAt, waits := s.now, true
		n.inFlight[to] = true
		end := func() {
			if waits {
				waits, n.inFlight[to] = false, false
			}
		}
		s.after(callTimeout, end)
		s.send(from, to, func() {
			grants := s.nodes[to].book.Grant(s.now, fmt.Sprint(from, "/", n.incarnation), r, returns)
			s.send(to, from, func() {
				if waits {
					end()
					n.book.Receive(s.now, sentAt, owner, r, grants)
				}
			})
		})
	}
}

// send delivers a message, unless it is lost.
func (s *simulation) send(from, to int, deliver func()) {
	target := s.nodes[to]
	if s.nodes[from].cut || s.random.Float64() < s.loss {
		return
	}
	s.after(time.Duration(s.random.Int64N(int64(s.slowest))), func() {
		if s.nodes[to] == target && !target.cut {
			s.onNode(to, deliver)
		}
	})
}

// request is a request of an account that a node dispatches for a region. One in ten that
// was queued is refused.
func (s *simulation) request(i, region int, account string) {
	n := s.nodes[i]
	token, _, ok := n.book.Take(s.now, regions[region], account)
	if n.book.IsUrgent() {
		s.exchange(i, true)
	}
	if !ok {
		s.refused++
		return
	}
	s.taken++
	s.after(time.Duration(s.random.Int64N(int64(s.queued+1))), func() {
		s.onNode(i, func() {
			switch {
			case s.nodes[i] != n:
			case s.queued > 0 && s.random.IntN(10) == 0:
				n.book.GiveBack(s.now, token)
			default:
				n.book.Spend(token)
				s.runs[account] = append(s.runs[account], s.now)
			}
		})
	})
}

// load sends the requests of an account to a region's dispatcher, at a rate that is looked
// up every 20 ms.
func (s *simulation) load(region int, account string, rate func() float64) {
	const step = 20 * time.Millisecond
	s.every(step, func() {
		for at := s.random.ExpFloat64() / rate(); at < step.Seconds(); at += s.random.ExpFloat64() / rate() {
			s.after(time.Duration(at*float64(time.Second)), func() {
				s.asked(account)
				if i := s.holder[region]; i >= 0 {
					s.onNode(i, func() { s.request(i, region, account) })
				}
			})
		}
	})
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.events[0].at.Before(end); {
		e := heap.Pop(&s.events).(simulationEvent)
		s.now = e.at
		e.do()
	}
}

// most returns the largest number of an account's requests that ran in any window.
func (s *simulation) most(account string) int {
	most, first, runs := 0, 0, s.runs[account]
	for last := range runs {
		for runs[last].Sub(runs[first]) >= s.bounds.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
