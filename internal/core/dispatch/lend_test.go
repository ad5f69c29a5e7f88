package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
)

// regionPool returns the pool of a region in a system in which each region has a
// number of endpoints with four slots.
func regionPool(now time.Time, own string, endpoints map[string]int) *dispatch.Pool {
	pool := dispatch.NewPool(own+"/", dispatch.Setup{
		ColdRate: func(string) float64 { return 5 }, Draw: func() float64 { return 0 }, Region: own,
		RegionOf: func(zone string) string { return zone },
		Way:      func(string) time.Duration { return 20 * time.Millisecond },
		MaxShift: 0.15,
	})
	for region, n := range endpoints {
		for i := range n {
			pool.Learn(now, registry.Endpoint{
				ID: fmt.Sprintf("%s%d", region, i), Zone: region, Service: "s", Slots: 4, Born: 1, Heard: now,
			})
		}
	}
	return pool
}

// lendingSystem is the pools of all regions, which hear each other's loads and
// loans each 300 ms.
type lendingSystem struct {
	pools map[string]*dispatch.Pool
	now   time.Time
	loans []dispatch.Loan
	runs  []regionRun
	due   map[string]float64
	// ran counts a region's grants by window of 2 s and region of the endpoint.
	ran map[string]map[int64]map[string]float64
}

// regionRun is a run of a region's request.
type regionRun struct {
	region, grant string
	ends          time.Time
}

func newLendingSystem(endpoints map[string]int) *lendingSystem {
	s := &lendingSystem{
		pools: make(map[string]*dispatch.Pool), now: time.Unix(1_800_000_000, 0), due: make(map[string]float64),
		ran: make(map[string]map[int64]map[string]float64),
	}
	for region := range endpoints {
		s.ran[region] = make(map[int64]map[string]float64)
		s.pools[region] = regionPool(s.now, region, endpoints)
		s.pools[region].SetFirm(s.now, true)
	}
	return s
}

func (s *lendingSystem) exchange() {
	var loads []dispatch.Load
	for _, p := range s.pools {
		loads = append(loads, p.Loads(s.now, 1)...)
	}
	s.loans = nil
	for lender, p := range s.pools {
		loans := p.Lend(s.now, loads)
		s.loans = append(s.loans, loans...)
		for borrower, other := range s.pools {
			mine := dispatch.Loan{Lender: lender, Borrower: borrower}
			for _, l := range loans {
				if l.Borrower == borrower {
					mine = l
				}
			}
			if borrower != lender {
				other.Borrow(s.now, mine)
			}
		}
	}
}

// lent counts the endpoints that are lent to a region.
func (s *lendingSystem) lent(borrower string) int {
	n := 0
	for _, l := range s.loans {
		if l.Borrower == borrower {
			n += len(l.Endpoints)
		}
	}
	return n
}

// play has each region's clients send requests a second that take 200 ms, and
// returns which part of each region's was refused.
func (s *lendingSystem) play(seconds float64, perSecond map[string]float64) map[string]float64 {
	asked, refused := make(map[string]float64), make(map[string]float64)
	began := func(region string, d dispatch.Decision) {
		if d.Grant == "" {
			refused[region]++
			return
		}
		s.count(region, d.Region)
		s.runs = append(s.runs, regionRun{region, d.Grant, s.now.Add(200 * time.Millisecond)})
	}
	for step := range int(seconds * 100) {
		s.now = s.now.Add(10 * time.Millisecond)
		if step%30 == 0 {
			s.exchange()
		}
		for len(s.runs) > 0 && !s.runs[0].ends.After(s.now) {
			r := s.runs[0]
			s.runs = s.runs[1:]
			for _, d := range s.pools[r.region].Release(s.now, r.grant, dispatch.Served, 200*time.Millisecond) {
				began(r.region, d)
			}
		}
		for region, p := range s.pools {
			for _, d := range p.Tick(s.now) {
				began(region, d)
			}
			for s.due[region] += perSecond[region] / 100; s.due[region] >= 1; s.due[region]-- {
				asked[region]++
				id := fmt.Sprint(region, asked[region])
				d, decided := p.Acquire(s.now, dispatch.Ask{
					ID: id, Service: "s", Target: 300 * time.Millisecond, Deadline: s.now.Add(2 * time.Second),
				})
				if decided {
					began(region, d)
				}
			}
		}
	}
	for region := range asked {
		refused[region] /= asked[region]
	}
	return refused
}

func (s *lendingSystem) count(from, to string) {
	window := s.now.Unix() / 2
	if s.ran[from][window] == nil {
		s.ran[from][window] = make(map[string]float64)
	}
	s.ran[from][window][to]++
}

// worstShift is the largest part of a region's requests that changed the region
// in which they run from one window to the next.
func (s *lendingSystem) worstShift(from string) float64 {
	worst := 0.0
	for window, counts := range s.ran[from] {
		next := s.ran[from][window+1]
		all, allNext := 0.0, 0.0
		for region := range s.pools {
			all += counts[region]
			allNext += next[region]
		}
		if all < 50 || allNext < 50 {
			continue // not a whole window
		}
		moved := 0.0
		for region := range s.pools {
			moved += math.Max(0, next[region]/allNext-counts[region]/all)
		}
		worst = math.Max(worst, moved)
	}
	return worst
}

// TestShiftOfLoans has all clients come at once, and twice as many later: what
// runs elsewhere changes by no more than the bound between windows.
func TestShiftOfLoans(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 9, "mid": 9, "few": 2})
	for range 4 {
		s.exchange()
		s.now = s.now.Add(500 * time.Millisecond)
	}
	s.play(12, map[string]float64{"big": 60, "mid": 60, "few": 60})
	s.play(8, map[string]float64{"big": 60, "mid": 60, "few": 120})
	is.True(s.worstShift("few") <= 0.15)
}

// TestLending answers the load of clients that are not where the endpoints are:
// a region with a tenth of the endpoints and a third of the clients. Without
// loans most of its requests are refused; with them hardly any are, although each
// region grants only slots that it holds.
func TestLending(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 9, "mid": 9, "few": 2})
	even := map[string]float64{"big": 90, "mid": 90, "few": 90} // 18 of 80 slots each
	s.play(3, even)
	refused := s.play(10, even)
	for _, part := range refused {
		is.True(part < 0.02)
	}
	is.True(s.lent("few") >= 3)
	is.Equal(s.lent("big")+s.lent("mid"), 0)
}

// TestLendingUnderOverload answers offered work above all capacity: no region is
// refused much more often than another.
func TestLendingUnderOverload(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 9, "mid": 9, "few": 2})
	heavy := map[string]float64{"big": 200, "mid": 200, "few": 200} // 120 of 80 slots
	s.play(4, heavy)
	refused := s.play(10, heavy)
	for _, part := range refused {
		is.True(part > 0.2 && part < 0.5)
	}
}

// TestLendingFollows has the load move on: what isn't needed any more is called
// back, one endpoint after the other.
func TestLendingFollows(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 9, "mid": 9, "few": 2})
	s.play(6, map[string]float64{"big": 20, "mid": 20, "few": 120})
	is.True(s.lent("few") >= 4)
	s.play(16, map[string]float64{"big": 20, "mid": 20, "few": 10})
	is.True(s.lent("few") <= 1)
}

// TestLendingAfterAStorm answers a storm of retries that has passed: a large region
// that lent most of its endpoints has as many as it needs again within two seconds
// of news.
func TestLendingAfterAStorm(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 120, "few": 4})
	s.play(6, map[string]float64{"big": 20, "few": 1400})
	is.True(s.lent("few") >= 80)
	s.play(4, map[string]float64{"big": 20, "few": 200}) // the average follows
	s.play(4, map[string]float64{"big": 1000, "few": 200})
	refused := s.play(4, map[string]float64{"big": 1000, "few": 200})
	is.True(refused["big"] < 0.02)
	is.True(s.lent("few") <= 30)
}

// TestLendingAhead has nobody ask anything yet: each region gets the part of the
// endpoints that its gateways let expect.
func TestLendingAhead(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 9, "mid": 9, "few": 2})
	s.exchange()
	is.True(s.lent("few") >= 4)
}

// TestGoneWhileAwaited has an endpoint end while a request waits for it: the slot
// that comes free there is granted to nobody.
func TestGoneWhileAwaited(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	pool := regionPool(now, "big", map[string]int{"big": 1})
	var grants []string
	for i := range 5 {
		d, decided := pool.Acquire(now, dispatch.Ask{
			ID: fmt.Sprint(i), Service: "s", Target: time.Second, Deadline: now.Add(2 * time.Second),
		})
		is.Equal(decided, i < 4)
		grants = append(grants, d.Grant)
	}
	e := registry.Endpoint{ID: "big0", Zone: "big", Service: "s", Slots: 4, Born: 1, Leaving: true, Gone: true, Heard: now}
	pool.Learn(now, e)
	is.Equal(len(pool.Release(now, grants[0], dispatch.Served, time.Second)), 0)
}

// TestLoanEnds has a borrower hear nothing more: it uses what it borrowed for the
// term and not beyond, and a cold endpoint not at all.
func TestLoanEnds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	pool := regionPool(now, "few", map[string]int{"few": 0, "big": 1})
	ask := func(id string) bool {
		d, decided := pool.Acquire(now, dispatch.Ask{
			ID: id, Service: "s", Target: time.Second, Deadline: now.Add(time.Second),
		})
		return decided && d.Grant != ""
	}
	is.True(!ask("before"))
	pool.Borrow(now, dispatch.Loan{Lender: "big", Borrower: "few", Endpoints: []string{"big0"}})
	is.True(ask("within"))
	now = now.Add(dispatch.LoanTerm)
	is.True(!ask("after"))
	pool.Borrow(now, dispatch.Loan{Lender: "big", Borrower: "few", Endpoints: []string{"big0"}})
	pool.Learn(now, registry.Endpoint{
		ID: "big0", Zone: "big", Service: "s", Slots: 4, Born: 1, Sequence: 2, Heard: now, ColdUntil: now.Add(time.Second),
	})
	is.True(!ask("cold"))
}

// TestLoansOutliveTheirDispatcher has the lender's dispatcher replaced: the new
// one goes on with the loans that it heard of.
func TestLoansOutliveTheirDispatcher(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	pool := regionPool(now, "big", map[string]int{"big": 2})
	pool.Resume(now, dispatch.Loan{Lender: "big", Borrower: "few", Endpoints: []string{"big0", "big1"}})
	loans := pool.Lend(now, append(pool.Loads(now, 1), dispatch.Load{Region: "few", Service: "s", Need: 8}))
	is.Equal(len(loans), 1)
	is.Equal(loans[0].Endpoints, []string{"big0", "big1"})
}
