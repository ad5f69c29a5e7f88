package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// LoanTerm is how long a borrower may use an endpoint after it was last told of
	// the loan: several rounds of news.
	LoanTerm = 1500 * time.Millisecond
	// useTarget is the share of its slots that a region needs in use before it
	// borrows: beyond, waits grow steeply.
	useTarget = 0.6
	// loadWindow is the time over which needed slots are averaged.
	loadWindow = 3 * time.Second
	// lendAbove is the part of an endpoint that must be missing before one more is
	// lent, and recallBelow the part that must be left over before one is called back: between
	// the two nothing changes, since each change leaves warm objects behind.
	lendAbove   = 0.5
	recallBelow = 0.75
	// expectBelow is the part of all slots needed below which the loads say little
	// of where clients are.
	expectBelow = 0.1
	// recallPause is the time between two recalls of a service's endpoints, each of
	// one in recallPart of those that a borrower has, while the lender isn't short
	// itself: what is called back leaves warm objects behind.
	recallPause = time.Second
	recallPart  = 8
	// returnHoldBack is how long a cold endpoint gets nothing after a loan ended: the
	// borrower may still go by it for its term.
	returnHoldBack = LoanTerm + coldHoldBack
)

// tenure is who grants an endpoint's slots.
type tenure struct {
	// own says that the endpoint is of the pool's region.
	own bool
	// lentTo is the region that borrows an own endpoint, since lentAt.
	lentTo string
	lentAt time.Time
	// lender is the region that lends another's endpoint until borrowedUntil.
	lender        string
	borrowedUntil time.Time
}

// Load is what a region's requests for a service need.
type Load struct {
	Region, Service string
	// Need is the number of slots that serve them in time.
	Need float64
	// Slots are those of the region's own usable endpoints, lent ones too.
	Slots int
	// Gateways is the number of the region's gateways: where nothing was asked yet,
	// the clients are expected to be where they are.
	Gateways int
}

// Loan is the endpoints that one region lends another.
type Loan struct {
	Lender, Borrower string
	Endpoints        []string
}

// loadMeter averages how many slots requests need.
type loadMeter struct {
	began, last time.Time
	sum         float64
}

func (m *loadMeter) decay(now time.Time) {
	if m.began.IsZero() {
		m.began, m.last = now, now
	}
	m.sum *= math.Exp(-now.Sub(m.last).Seconds() / loadWindow.Seconds())
	m.last = now
}

// add counts a request that takes some seconds.
func (m *loadMeter) add(now time.Time, seconds float64) {
	m.decay(now)
	m.sum += seconds
}

// slots is the average number of requests that are being served.
func (m *loadMeter) slots(now time.Time) float64 {
	m.decay(now)
	seen := 1 - math.Exp(-now.Sub(m.began).Seconds()/loadWindow.Seconds())
	return m.sum / loadWindow.Seconds() / math.Max(seen, 0.05)
}

// Loads returns what the pool's requests need; its region has a number of gateways.
func (p *Pool) Loads(now time.Time, gateways int) []Load {
	var out []Load
	for name, svc := range p.services {
		l := Load{
			Region: p.setup.Region, Service: name, Need: svc.load.slots(now) / useTarget, Gateways: gateways,
		}
		for _, s := range svc.servers {
			if s.own && !s.endpoint.Leaving && !s.cold(now) && s.misses < lostAfterMisses {
				l.Slots += s.endpoint.Slots
			}
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// Lend decides which endpoints other regions may use, given the loads of all
// regions that were heard of. It answers the load of clients that are not where
// the endpoints are: a region that needs more slots than it has gets whole
// endpoints of those that have more than they need, and where all need more,
// each gets its share.
func (p *Pool) Lend(now time.Time, loads []Load) []Loan {
	lent := make(map[string][]string)
	for name, svc := range p.services {
		p.lend(now, svc, planLoans(loads, name, p.setup.Region))
		for _, s := range svc.servers {
			if s.own && s.lentTo != "" {
				lent[s.lentTo] = append(lent[s.lentTo], s.endpoint.ID)
			}
		}
	}
	var out []Loan
	for borrower, ids := range lent {
		slices.Sort(ids)
		out = append(out, Loan{Lender: p.setup.Region, Borrower: borrower, Endpoints: ids})
	}
	slices.SortFunc(out, func(a, b Loan) int { return cmp.Compare(a.Borrower, b.Borrower) })
	return out
}

// planLoans returns the slots of a service that a region lends to each other
// one. All regions work it out alike from the same loads.
func planLoans(loads []Load, service, lender string) map[string]float64 {
	need, slots, gateways := 0.0, 0.0, 0.0
	for _, l := range loads {
		if l.Service == service {
			need += l.Need
			slots += float64(l.Slots)
			gateways += float64(l.Gateways)
		}
	}
	expected := need < expectBelow*slots && gateways > 0
	if expected {
		need = slots
	}
	if need <= 0 {
		return nil
	}
	part := math.Min(1, slots/need)
	surplus, all := 0.0, 0.0
	missing := make(map[string]float64)
	for _, l := range loads {
		if expected {
			l.Need = slots * float64(l.Gateways) / gateways
		}
		over := float64(l.Slots) - part*l.Need
		switch {
		case l.Service != service:
		case over < 0:
			missing[l.Region] = -over
		case l.Region == lender:
			surplus = over
			all += over
		default:
			all += over
		}
	}
	for region := range missing {
		missing[region] *= surplus / math.Max(all, 1e-9)
	}
	return missing
}

// lend brings the loans of a service closer to a plan.
func (p *Pool) lend(now time.Time, svc *service, plan map[string]float64) {
	lent := make(map[string][]*server)
	held := 0.0
	for _, s := range svc.servers {
		switch {
		case !s.own && s.usable(now), s.own && s.lentTo == "":
			held += float64(s.endpoint.Slots)
		case !s.own:
		case s.endpoint.Leaving || s.cold(now):
			s.recall(now)
		default:
			lent[s.lentTo] = append(lent[s.lentTo], s)
		}
	}
	// A region that is short itself calls back all that is over at once.
	short := held < svc.load.slots(now)/useTarget
	for _, borrower := range sortedNames(plan, lent) {
		if !svc.recallSome(now, plan[borrower], lent[borrower], short) {
			svc.lendMore(now, borrower, plan[borrower], lent[borrower])
		}
	}
}

func slotsOf(servers []*server) float64 {
	n := 0.0
	for _, s := range servers {
		n += float64(s.endpoint.Slots)
	}
	return n
}

// recallSome calls endpoints back if a borrower has too many, those that it has had
// for the shortest time first. It reports whether the borrower has too many.
func (svc *service) recallSome(now time.Time, slots float64, lent []*server, short bool) bool {
	over := slotsOf(lent) - slots
	if len(lent) == 0 || over <= recallBelow*float64(lent[0].endpoint.Slots) {
		return false
	}
	if !short && now.Sub(svc.recalled) < recallPause {
		return true
	}
	svc.recalled = now
	most := max(1, len(lent)/recallPart)
	if short {
		most = len(lent)
	}
	slices.SortFunc(lent, func(a, b *server) int { return b.lentAt.Compare(a.lentAt) })
	for _, s := range lent[:most] {
		if over -= float64(s.endpoint.Slots); over < 0 {
			return true
		}
		s.recall(now)
	}
	return true
}

// lendMore lends a borrower what it lacks.
func (svc *service) lendMore(now time.Time, borrower string, slots float64, lent []*server) {
	slots -= slotsOf(lent)
	for {
		next := svc.lendable(now)
		if next == nil || slots <= lendAbove*float64(next.endpoint.Slots) {
			return
		}
		next.lentTo, next.lentAt = borrower, now
		slots -= float64(next.endpoint.Slots)
	}
}

// lendable returns the own endpoint that keeps the fewest objects warm, so that
// least is lost with it.
func (svc *service) lendable(now time.Time) *server {
	var best *server
	for _, s := range svc.servers {
		if !s.own || !s.usable(now) || s.cold(now) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(len(s.memory.used), len(best.memory.used)),
			cmp.Compare(s.endpoint.ID, best.endpoint.ID)) < 0 {
			best = s
		}
	}
	return best
}

func (s *server) recall(now time.Time) {
	s.lentTo = ""
	s.coldNext = now.Add(returnHoldBack)
}

// Borrow takes a lender's word of what it lends to this region.
func (p *Pool) Borrow(now time.Time, l Loan) {
	for _, s := range p.servers {
		if s.lender == l.Lender {
			s.borrowedUntil = time.Time{}
		}
	}
	for _, id := range l.Endpoints {
		if s := p.servers[id]; s != nil && !s.own {
			s.lender, s.borrowedUntil = l.Lender, now.Add(LoanTerm)
			s.way = p.setup.Way(s.region)
		}
	}
}

// Resume takes the loans of the region's former dispatcher over.
func (p *Pool) Resume(now time.Time, l Loan) {
	for _, id := range l.Endpoints {
		if s := p.servers[id]; s != nil && s.own {
			s.lentTo, s.lentAt = l.Borrower, now
		}
	}
}

func sortedNames[A, B any](a map[string]A, b map[string]B) []string {
	var out []string
	for name := range a {
		out = append(out, name)
	}
	for name := range b {
		if _, both := a[name]; !both {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
