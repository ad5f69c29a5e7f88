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

// regionPool returns the pool of one region in a system where each region has
// the given number of endpoints with four slots.
func regionPool(now time.Time, own string, endpoints map[string]int) *dispatch.Pool {
	return regionPoolAt(now, own, endpoints, 20*time.Millisecond)
}

// regionPoolAt is regionPool with a round-trip time to the other regions.
func regionPoolAt(now time.Time, own string, endpoints map[string]int, roundTrip time.Duration) *dispatch.Pool {
	pool := dispatch.NewPool(own+"/", dispatch.Config{
		ColdRate: func(string) float64 { return 5 }, Random: func() float64 { return 0 }, Region: own,
		RegionOf:  func(zone string) string { return zone },
		RoundTrip: func(string) time.Duration { return roundTrip },
		MaxShift:  0.15,
	})
	for region, n := range endpoints {
		for i := range n {
			pool.Update(now, registry.Endpoint{
				ID: fmt.Sprintf("%s%d", region, i), Zone: region, Service: "s", Slots: 4, StartedMillis: 1, LastSeen: now,
			})
		}
	}
	return pool
}

// lendingSystem holds the pools of all regions, which exchange loads and
// loans every 300 ms.
type lendingSystem struct {
	pools map[string]*dispatch.Pool
	now   time.Time
	loans []dispatch.Loan
	runs  []regionRun
	// arrivals is the number of requests due by region; the fraction is
	// carried to the next step.
	arrivals map[string]float64
	// grantCounts counts grants by the region of the request, by window of
	// 2 s and by the region of the endpoint.
	grantCounts map[string]map[int64]map[string]float64
	objects     int
}

// regionRun is a run of a request from a region.
type regionRun struct {
	region, grant string
	endsAt        time.Time
}

func newLendingSystem(endpoints map[string]int) *lendingSystem {
	s := &lendingSystem{
		pools: make(map[string]*dispatch.Pool), now: time.Unix(1_800_000_000, 0), arrivals: make(map[string]float64),
		grantCounts: make(map[string]map[int64]map[string]float64),
	}
	for region := range endpoints {
		s.grantCounts[region] = make(map[int64]map[string]float64)
		s.pools[region] = regionPool(s.now, region, endpoints)
		s.pools[region].SetExclusive(s.now, true)
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
				for _, r := range other.Returns(s.now) {
					if r.Lender == lender {
						p.TakeBack(s.now, r)
					}
				}
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

// object returns the object that the next request concerns. Those of the small service
// concern few objects, which stay warm where they run.
func (s *lendingSystem) object(service string) string {
	if service == "s" {
		return ""
	}
	s.objects++
	return fmt.Sprint(s.objects % 24)
}

// sourceOf is the key of a region's requests in the maps of run: the region alone for the
// large service, with "/small" for the small one and with "/own" for those that may run only
// in the region.
func sourceOf(region string, req dispatch.SlotRequest) string {
	switch {
	case len(req.Regions) > 0:
		return region + "/own"
	case req.Service == "small":
		return region + "/small"
	default:
		return region
	}
}

// run sends each region's given number of requests per second, which take
// 200 ms each, and returns the refused share, both by sourceOf.
func (s *lendingSystem) run(seconds float64, perSecond map[string]float64) map[string]float64 {
	requested, refused := make(map[string]float64), make(map[string]float64)
	record := func(region string, d dispatch.Decision) {
		if d.Grant == "" {
			refused[sourceOf(region, d.Request)]++
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
		for len(s.runs) > 0 && !s.runs[0].endsAt.After(s.now) {
			r := s.runs[0]
			s.runs = s.runs[1:]
			for _, d := range s.pools[r.region].Release(s.now, r.grant, dispatch.Served, 200*time.Millisecond) {
				record(r.region, d)
			}
		}
		for region, p := range s.pools {
			for _, d := range p.Tick(s.now) {
				record(region, d)
			}
			for _, request := range []dispatch.SlotRequest{{Service: "s"}, {Service: "small"}, {Service: "s", Regions: []string{region}}} {
				key := sourceOf(region, request)
				for s.arrivals[key] += perSecond[key] / 100; s.arrivals[key] >= 1; s.arrivals[key]-- {
					requested[key]++
					request.ID, request.Affinity = fmt.Sprint(key, requested[key]), s.object(request.Service)
					request.Target, request.Deadline = 300*time.Millisecond, s.now.Add(2*time.Second)
					d, decided := p.Acquire(s.now, request)
					if decided {
						record(region, d)
					}
				}
			}
		}
	}
	for region := range requested {
		refused[region] /= requested[region]
	}
	return refused
}

func (s *lendingSystem) count(from, to string) {
	window := s.now.Unix() / 2
	if s.grantCounts[from][window] == nil {
		s.grantCounts[from][window] = make(map[string]float64)
	}
	s.grantCounts[from][window][to]++
}

// worstShift returns the largest share of a region's requests that changed
// the region in which they run from one window to the next.
func (s *lendingSystem) worstShift(from string) float64 {
	worst := 0.0
	for window, counts := range s.grantCounts[from] {
		next := s.grantCounts[from][window+1]
		all, allNext := 0.0, 0.0
		for region := range s.pools {
			all += counts[region]
			allNext += next[region]
		}
		if all < 50 || allNext < 50 {
			continue // incomplete window
		}
		moved := 0.0
		for region := range s.pools {
			moved += math.Max(0, next[region]/allNext-counts[region]/all)
		}
		worst = math.Max(worst, moved)
	}
	return worst
}

// TestShiftLimitWithLoans guards against loans that move too many requests to
// other regions at once. All clients start at the same time, and the load of
// one region doubles later.
func TestShiftLimitWithLoans(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 9, "mid": 9, "few": 2})
	for range 4 {
		s.exchange()
		s.now = s.now.Add(500 * time.Millisecond)
	}
	s.run(12, map[string]float64{"big": 60, "mid": 60, "few": 60})
	s.run(8, map[string]float64{"big": 60, "mid": 60, "few": 120})
	is.True(s.worstShift("few") <= 0.15)
}

// TestLending guards against refusals in a region with a tenth of the
// endpoints and a third of the clients. Without loans most of its requests
// are refused. With loans hardly any are, although each pool grants only the
// slots that it holds.
func TestLending(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 9, "mid": 9, "few": 2})
	even := map[string]float64{"big": 90, "mid": 90, "few": 90} // 18 of 80 slots each
	s.run(3, even)
	refused := s.run(10, even)
	for _, part := range refused {
		is.True(part < 0.02)
	}
	is.True(s.lent("few") >= 3)
	is.Equal(s.lent("big")+s.lent("mid"), 0)
}

// TestLendingUnderOverload guards against a region that is refused much more
// often than others when the offered load exceeds the capacity of all
// regions.
func TestLendingUnderOverload(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 9, "mid": 9, "few": 2})
	heavy := map[string]float64{"big": 200, "mid": 200, "few": 200} // 120 of 80 slots
	s.run(4, heavy)
	refused := s.run(10, heavy)
	for _, part := range refused {
		is.True(part > 0.2 && part < 0.5)
	}
}

// TestSmallServiceReclaimed guards against a region that refuses its own requests for a
// small service for long, because another region goes on using the few endpoints that it
// was lent: the demand for the small service moves from one region to the other, while a
// large service uses up the limit on shifts.
func TestSmallServiceReclaimed(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 30, "mid": 30, "few": 6})
	for _, p := range s.pools {
		for i, zone := range []string{"big", "big", "big", "big", "mid", "few"} {
			p.Update(s.now, registry.Endpoint{
				ID: fmt.Sprint("small", zone, i), Zone: zone, Service: "small", Slots: 4, StartedMillis: 1, LastSeen: s.now,
			})
		}
	}
	before := s.run(6, map[string]float64{"big": 100, "mid": 260, "few": 500, "few/small": 66, "mid/small": 12, "big/small": 2})
	is.True(before["big/small"] < 0.1) // one endpoint isn't lent
	moved := map[string]float64{"big": 330, "mid": 320, "few": 330, "few/small": 62, "mid/small": 8, "big/small": 34}
	s.run(5, moved)
	refused := s.run(4, moved)
	t.Logf("refused: %v, worst shifts: few %.3f, mid %.3f", refused, s.worstShift("few"), s.worstShift("mid"))
	is.True(refused["big/small"] < 0.25)
	is.True(s.worstShift("few") <= maxShift)
}

// TestReserved guards against requests that may run only in a region with few endpoints and
// are refused there, while requests that could use lent endpoints fill the region's own.
func TestReserved(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 20, "mid": 20, "few": 4})
	load := map[string]float64{"big": 150, "mid": 150, "few": 250, "few/own": 50} // 10 of few's 16 slots
	s.run(4, load)
	refused := s.run(8, load)
	t.Logf("refused: %v, worst shift of few: %.3f", refused, s.worstShift("few"))
	is.True(refused["few/own"] < 0.05)
	is.True(refused["few"] < 0.05)
	is.True(s.worstShift("few") <= maxShift)
	// Above capacity the restricted requests get their part, but no more.
	overload := map[string]float64{"big": 500, "mid": 500, "few": 500, "few/own": 60}
	s.run(6, overload)
	refused = s.run(8, overload)
	t.Logf("refused above capacity: %v", refused)
	is.True(refused["few/own"] < refused["big"]+0.15)
	is.True(refused["few"] < refused["big"]+0.15)
}

// TestUnneededLoansRecalled guards against loans that stay after the
// borrower's load has dropped. Endpoints are recalled gradually.
func TestUnneededLoansRecalled(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 9, "mid": 9, "few": 2})
	s.run(6, map[string]float64{"big": 20, "mid": 20, "few": 120})
	is.True(s.lent("few") >= 4)
	s.run(16, map[string]float64{"big": 20, "mid": 20, "few": 10})
	is.True(s.lent("few") <= 1)
}

// TestLendingAfterRetryStorm guards against a slow recall after a retry
// storm: a large region that lent most of its endpoints must have as many as
// it needs again four seconds after its own load rises.
func TestLendingAfterRetryStorm(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 120, "few": 4})
	s.run(6, map[string]float64{"big": 20, "few": 1400})
	is.True(s.lent("few") >= 80)
	s.run(4, map[string]float64{"big": 20, "few": 200}) // the load average decays
	s.run(4, map[string]float64{"big": 1000, "few": 200})
	refused := s.run(4, map[string]float64{"big": 1000, "few": 200})
	is.True(refused["big"] < 0.02)
	is.True(s.lent("few") <= 30)
}

// TestLendingBeforeTraffic guards against a region without endpoints when the
// first requests arrive: before any request, each region gets endpoints in
// proportion to its gateways.
func TestLendingBeforeTraffic(t *testing.T) {
	is := is.New(t)
	s := newLendingSystem(map[string]int{"big": 9, "mid": 9, "few": 2})
	s.exchange()
	is.True(s.lent("few") >= 4)
}

// TestEndpointGoneWithQueuedRequest guards against a grant at an endpoint that has
// gone: the endpoint goes while a slot request is queued for it, and one of its
// slots is released afterwards.
func TestEndpointGoneWithQueuedRequest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	pool := regionPool(now, "big", map[string]int{"big": 1})
	var grants []string
	for i := range 5 {
		d, decided := pool.Acquire(now, dispatch.SlotRequest{
			ID: fmt.Sprint(i), Service: "s", Target: time.Second, Deadline: now.Add(2 * time.Second),
		})
		is.Equal(decided, i < 4)
		grants = append(grants, d.Grant)
	}
	e := registry.Endpoint{ID: "big0", Zone: "big", Service: "s", Slots: 4, StartedMillis: 1, Leaving: true, Gone: true, LastSeen: now}
	pool.Update(now, e)
	is.Equal(len(pool.Release(now, grants[0], dispatch.Served, time.Second)), 0)
}

// TestLoanEnds guards against the use of an endpoint after its loan. A
// borrower that receives nothing further uses the endpoint until the end of
// the term, and a cold endpoint not at all.
func TestLoanEnds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	pool := regionPool(now, "few", map[string]int{"few": 0, "big": 1})
	request := func(id string) bool {
		d, decided := pool.Acquire(now, dispatch.SlotRequest{
			ID: id, Service: "s", Target: time.Second, Deadline: now.Add(time.Second),
		})
		return decided && d.Grant != ""
	}
	is.True(!request("before"))
	pool.Borrow(now, dispatch.Loan{Lender: "big", Borrower: "few", Endpoints: []string{"big0"}})
	is.True(request("within"))
	now = now.Add(dispatch.LoanTerm)
	is.True(!request("after"))
	pool.Borrow(now, dispatch.Loan{Lender: "big", Borrower: "few", Endpoints: []string{"big0"}})
	pool.Update(now, registry.Endpoint{
		ID: "big0", Zone: "big", Service: "s", Slots: 4, StartedMillis: 1, Sequence: 2, LastSeen: now, ColdUntil: now.Add(time.Second),
	})
	is.True(!request("cold"))
}

// TestLoansSurviveDispatcherFailover guards against loans that change when
// the lender's dispatcher is replaced: the new one continues the loans that
// it received.
func TestLoansSurviveDispatcherFailover(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	pool := regionPool(now, "big", map[string]int{"big": 2})
	pool.Resume(now, dispatch.Loan{Lender: "big", Borrower: "few", Endpoints: []string{"big0", "big1"}})
	loans := pool.Lend(now, append(pool.Loads(now, 1), dispatch.Load{Region: "few", Service: "s", Need: 8}))
	is.Equal(len(loans), 1)
	is.Equal(loans[0].Endpoints, []string{"big0", "big1"})
	loans = pool.Lend(now.Add(time.Second), pool.Loads(now, 1)) // the borrower's load isn't known yet
	is.Equal(len(loans), 1)
	is.Equal(len(loans[0].Recalled), 0)
}
