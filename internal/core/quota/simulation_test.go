package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
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

// simulation runs books, with node i in region i%3, that exchange requests over an unreliable
// network. One node at a time holds the lease of a region.
type simulation struct {
	random *rand.Rand
	now    time.Time
	events eventQueue
	nodes  []*node
	limits []quota.Limit
	bounds quota.Bounds
	// holder and until are the lease of each region.
	holder []int
	until  []time.Time
	// loss is the probability that a message is lost; delay draws its time.
	loss  float64
	delay func() time.Duration
	// queued is the longest time that a request waits for its slot.
	queued time.Duration
	// runs holds the times at which the requests of each account ran; taken and refused
	// count those that got a token, and that didn't.
	runs           map[string][]time.Time
	taken, refused map[string]int
	// central counts the requests that one bucket for all regions would refuse.
	central map[string]*centralBucket
}

// centralBucket is a token bucket without regions.
type centralBucket struct {
	at      time.Time
	level   float64
	refused int
}

func (c *centralBucket) take(now time.Time, l quota.Limit) {
	c.level = min(l.Burst, c.level+l.Rate*now.Sub(c.at).Seconds())
	c.at = now
	if c.level < 1 {
		c.refused++
		return
	}
	c.level--
}

func newSimulation(seed uint64, nodes int, limits []quota.Limit, bounds quota.Bounds) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: simulationStart, limits: limits, bounds: bounds, runs: make(map[string][]time.Time),
		holder: []int{-1, -1, -1}, until: make([]time.Time, len(regions)), taken: make(map[string]int), refused: make(map[string]int),
		delay: func() time.Duration { return 55 * time.Millisecond },
	}
	for i := range nodes {
		s.nodes = append(s.nodes, nil)
		s.restart(i)
	}
	s.every(50*time.Millisecond, s.renewLeases)
	for i := range nodes {
		s.every(300*time.Millisecond, func() { s.onNode(i, func() { s.exchange(i, false) }) })
	}
	return s
}

func (s *simulation) restart(i int) {
	incarnation := 0
	if s.nodes[i] != nil {
		incarnation = s.nodes[i].incarnation + 1
	}
	s.nodes[i] = &node{book: quota.NewBook(regions, s.bounds), incarnation: incarnation, inFlight: make(map[int]bool)}
	s.nodes[i].book.SetLimits(s.now, s.limits)
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, simulationEvent{at: s.now.Add(d), do: do})
}

func (s *simulation) every(d time.Duration, do func()) {
	s.after(time.Duration(s.random.Int64N(int64(d))), func() {
		do()
		s.after(d, func() { s.every0(d, do) })
	})
}

func (s *simulation) every0(d time.Duration, do func()) {
	do()
	s.after(d, func() { s.every0(d, do) })
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

func (s *simulation) works(i int) bool {
	n := s.nodes[i]
	return !n.down && !n.cut && !s.now.Before(n.frozenUntil)
}

// renewLeases extends the leases of nodes that work and gives those that have ended to
// another node, of the region itself if one works.
func (s *simulation) renewLeases() {
	for r, region := range regions {
		if h := s.holder[r]; h >= 0 && s.works(h) && s.now.Before(s.until[r]) {
			s.until[r] = s.now.Add(leaseTerm)
			s.nodes[h].book.SetLease(s.now, region, s.until[r])
			continue
		}
		if s.now.Before(s.until[r]) {
			continue
		}
		best := -1
		for i := range s.nodes {
			if s.works(i) && (best < 0 || i%3 == r && best%3 != r) {
				best = i
			}
		}
		if s.holder[r] = best; best >= 0 {
			s.until[r] = s.now.Add(leaseTerm)
			s.nodes[best].book.SetLease(s.now, region, s.until[r])
		}
	}
}

// exchange sends the requests of a node to the owners that it knows.
func (s *simulation) exchange(from int, urgentOnly bool) {
	byOwner := make(map[int][]string)
	for r, h := range s.holder {
		if h >= 0 && h != from {
			byOwner[h] = append(byOwner[h], regions[r])
		}
	}
	n := s.nodes[from]
	for to := range s.nodes {
		owned := byOwner[to]
		owner := fmt.Sprint(to, "/", s.nodes[to].incarnation)
		if n.inFlight[to] || !urgentOnly && !n.book.HasNews(s.now, owner, owned) {
			continue
		}
		r, returns, ok := n.book.Request(s.now, owner, owned)
		if !ok {
			continue
		}
		n.inFlight[to] = true
		sentAt, replied := s.now, false
		end := func() { n.inFlight[to], replied = false, true }
		s.after(callTimeout, func() {
			if !replied {
				end()
			}
		})
		s.send(from, to, func() {
			grants := s.nodes[to].book.Grant(s.now, fmt.Sprint(from, "/", n.incarnation), r, returns)
			s.send(to, from, func() {
				if !replied && s.nodes[from] == n {
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
	s.after(s.delay(), func() {
		if s.nodes[to] == target && !target.cut {
			s.onNode(to, deliver)
		}
	})
}

// request is a request of an account that a node dispatches for a region.
func (s *simulation) request(i, region int, account string) {
	s.onNode(i, func() {
		n := s.nodes[i]
		if central := s.central[account]; central != nil {
			central.take(s.now, s.limits[slices.IndexFunc(s.limits, func(l quota.Limit) bool { return l.Account == account })])
		}
		token, _, ok := n.book.Take(s.now, regions[region], account)
		if len(n.book.Urgent()) > 0 {
			s.exchange(i, true)
		}
		if !ok {
			s.refused[account]++
			return
		}
		s.taken[account]++
		wait := time.Duration(s.random.Int64N(int64(s.queued + 1)))
		s.after(wait, func() {
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
	})
}

// load sends the requests of an account to a region at a rate that may change, to the node
// that holds the region's lease.
func (s *simulation) load(region int, account string, rate func() float64) {
	perSecond := rate()
	if perSecond <= 0 {
		s.after(20*time.Millisecond, func() { s.load(region, account, rate) })
		return
	}
	gap := time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	if gap > 100*time.Millisecond { // the rate may rise meanwhile
		s.after(100*time.Millisecond, func() { s.load(region, account, rate) })
		return
	}
	s.after(gap, func() {
		if i := s.holder[region]; i >= 0 {
			s.request(i, region, account)
		}
		s.load(region, account, rate)
	})
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); len(s.events) > 0 && s.events[0].at.Before(end); {
		e := heap.Pop(&s.events).(simulationEvent)
		s.now = e.at
		e.do()
	}
}

// most returns the largest number of an account's requests that ran in any window.
func (s *simulation) most(account string, window time.Duration) int {
	most, first, runs := 0, 0, s.runs[account]
	for last := range runs {
		for runs[last].Sub(runs[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
