package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// LoanTerm is how long a borrower may use an endpoint after it last
	// received the loan. It covers the time in which a lost dispatcher of the
	// lender is replaced.
	LoanTerm = 4 * time.Second
	// targetUtilization is the share of its needed slots that a region plans
	// to have in use; above it, waiting times grow steeply.
	targetUtilization = 0.6
	// loadWindow is the time over which the needed slots are averaged.
	loadWindow = 3 * time.Second
	// lendThreshold is the part of an endpoint that a borrower must lack
	// before one more is lent, and recallThreshold the part that it must have
	// in excess before one is recalled. Between the two nothing changes,
	// because each change abandons warm objects.
	lendThreshold   = 0.5
	recallThreshold = 0.75
	// minLoadShare is the share of all slots below which the needed slots are too
	// few to show where the clients are, so that gateways are counted instead.
	minLoadShare = 0.1
	// recallInterval is the time between two recalls of a service's
	// endpoints. Each takes one in recallDivisor of the endpoints that a
	// borrower has, because recalled endpoints leave warm objects behind.
	// Neither holds while the lender itself lacks slots.
	recallInterval = time.Second
	recallDivisor  = 8
	// maxReturnTime is how long a lender waits for a recalled endpoint. At the
	// limit on shifts, a region moves all its requests home in that time.
	maxReturnTime = 20 * time.Second
	// returnIdle is how long a recalled endpoint must have had no request before
	// the borrower returns it. Its share of the requests is small then.
	returnIdle = time.Second
	// resumeHold is how long a pool keeps the loans that it took over unchanged: by
	// then it has received the loads of all regions.
	resumeHold = 1200 * time.Millisecond
	// returnHoldBack is how long a cold endpoint gets no requests after its
	// recall. The borrower may use the loan until its term ends.
	returnHoldBack = LoanTerm + coldHoldBack
)

// loanState determines which pool grants an endpoint's slots.
type loanState struct {
	// own is true for an endpoint of the pool's own region.
	own bool
	// lentTo is the region that borrows an own endpoint, since lentAt; empty
	// if none.
	lentTo string
	lentAt time.Time
	// recalledAt is when the lender recalled an own endpoint that is lent; zero
	// if it hasn't.
	recalledAt time.Time
	// lender is the region that lends an endpoint of another region until
	// borrowedUntil.
	lender        string
	borrowedUntil time.Time
	// recalled is true for a borrowed endpoint that its lender wants back, and
	// returned once the pool has stopped using it for that reason.
	recalled, returned bool
	// urgent is true for a recalled endpoint whose lender lacks slots.
	urgent bool
	// drainedSince is when the pool began to drain a recalled endpoint whose lender
	// lacks slots; zero if it doesn't.
	drainedSince time.Time
	// lastGrant is the time of the last grant.
	lastGrant time.Time
}

// Load is the capacity that a region's requests for a service need.
type Load struct {
	Region, Service string
	// Need is the number of slots that serve the requests within their
	// targets.
	Need float64
	// Slots counts the slots of the region's own endpoints that are not
	// leaving, cold or unreachable, including those lent to other regions.
	Slots int
	// Gateways is the number of the region's gateways. While there are few
	// requests, clients are expected where the gateways are.
	Gateways int
}

// Loan lists the endpoints that one region lends another.
type Loan struct {
	Lender, Borrower string
	Endpoints        []string
	// Recalled lists those of the endpoints that the lender wants back. The
	// borrower moves its requests elsewhere, within the limit on shifts, and then
	// returns them.
	Recalled []string
	// Scarce lists the services of which the lender lacks slots. The borrower returns
	// their recalled endpoints sooner, and refuses what can't move.
	Scarce []string
}

// Return lists borrowed endpoints that their borrower no longer uses, because
// the lender recalled them.
type Return struct {
	Lender, Borrower string
	Endpoints        []string
}

// loadMeter is a moving average of the number of slots that requests need. It
// starts anew after a time without requests, so that this time doesn't count
// towards the average of the traffic that begins after it.
type loadMeter struct {
	// start is the time of the first request, and lastRequest that of the last
	// one. last is the time up to which sum has decayed.
	start, lastRequest, last time.Time
	sum                      float64
}

func (m *loadMeter) decay(now time.Time) {
	m.sum *= math.Exp(-now.Sub(m.last).Seconds() / loadWindow.Seconds())
	m.last = now
}

// add counts a request that needs a slot for the given time in seconds.
func (m *loadMeter) add(now time.Time, seconds float64) {
	if now.Sub(m.lastRequest) > loadWindow {
		m.start, m.last, m.sum = now, now, 0
	}
	m.lastRequest = now
	m.decay(now)
	m.sum += seconds
}

// slots returns the average number of slots that the counted requests need at
// the same time.
func (m *loadMeter) slots(now time.Time) float64 {
	m.decay(now)
	seen := 1 - math.Exp(-now.Sub(m.start).Seconds()/loadWindow.Seconds())
	return m.sum / loadWindow.Seconds() / math.Max(seen, 0.05)
}

// Loads returns the need of the pool's requests, by service. gateways is the
// number of gateways in the pool's region.
func (p *Pool) Loads(now time.Time, gateways int) []Load {
	var out []Load
	for name, svc := range p.services {
		l := Load{Region: p.config.Region, Service: name, Gateways: gateways}
		for _, s := range svc.servers {
			if s.own && !s.endpoint.Leaving && !s.cold(now) && s.connectFailures < maxConnectFailures {
				l.Slots += s.capacity(svc)
			}
		}
		l.Need = svc.need(now, float64(l.Slots))
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// need returns the number of slots that serve the requests within their targets. Restricted
// requests need no more than the own ones, as those of other regions don't help them.
func (svc *service) need(now time.Time, ownSlots float64) float64 {
	all, restricted := svc.load.slots(now)/targetUtilization, svc.reservation.load.slots(now)/targetUtilization
	return all - math.Max(0, restricted-ownSlots)
}

// Lend decides which endpoints other regions may use, from the loads received
// from all regions. Clients may be in other regions than the endpoints: a
// region that needs more slots than it has gets whole endpoints of regions
// that have more than they need. If all need more, each gets a proportional
// share.
func (p *Pool) Lend(now time.Time, loads []Load) []Loan {
	lent, recalled := make(map[string][]string), make(map[string][]string)
	for _, l := range loads {
		p.heard[l.Region] = now
	}
	var scarce []string
	for name, svc := range p.services {
		p.endUnheard(now, svc)
		p.reserve(now, svc)
		p.lend(now, svc, planLoans(loads, name, p.config.Region))
		if svc.short(now) {
			scarce = append(scarce, name)
		}
		for _, s := range svc.servers {
			if s.own && s.lentTo != "" {
				lent[s.lentTo] = append(lent[s.lentTo], s.endpoint.ID)
				if !s.recalledAt.IsZero() {
					recalled[s.lentTo] = append(recalled[s.lentTo], s.endpoint.ID)
				}
			}
		}
	}
	slices.Sort(scarce)
	var out []Loan
	for borrower, ids := range lent {
		slices.Sort(ids)
		slices.Sort(recalled[borrower])
		l := Loan{Lender: p.config.Region, Borrower: borrower, Endpoints: ids, Recalled: recalled[borrower]}
		if len(l.Recalled) > 0 {
			l.Scarce = scarce
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Loan) int { return cmp.Compare(a.Borrower, b.Borrower) })
	return out
}

// endUnheard ends the loans to regions from which no load was received for
// LoanTerm. Their dispatchers are lost and return nothing.
func (p *Pool) endUnheard(now time.Time, svc *service) {
	for _, s := range svc.servers {
		if s.own && s.lentTo != "" && now.Sub(later(s.lentAt, p.heard[s.lentTo])) > LoanTerm {
			s.endLoan(now)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// planLoans returns the slots of a service that the region lender lends to
// each other region. All regions compute the same plan from the same loads.
func planLoans(loads []Load, service, lender string) map[string]float64 {
	need, slots, gateways := 0.0, 0.0, 0.0
	for _, l := range loads {
		if l.Service == service {
			need += l.Need
			slots += float64(l.Slots)
			gateways += float64(l.Gateways)
		}
	}
	byGateways := need < minLoadShare*slots && gateways > 0
	if byGateways {
		need = slots
	}
	if need <= 0 {
		return nil
	}
	fraction := math.Min(1, slots/need)
	surplus, all := 0.0, 0.0
	missing := make(map[string]float64)
	for _, l := range loads {
		if byGateways {
			l.Need = slots * float64(l.Gateways) / gateways
		}
		excess := float64(l.Slots) - fraction*l.Need
		switch {
		case l.Service != service:
		case excess < 0:
			missing[l.Region] = -excess
		case l.Region == lender:
			surplus = excess
			all += excess
		default:
			all += excess
		}
	}
	for region := range missing {
		missing[region] *= surplus / math.Max(all, 1e-9)
	}
	return missing
}

// lend changes the loans of a service towards a plan.
func (p *Pool) lend(now time.Time, svc *service, plan map[string]float64) {
	lent := make(map[string][]*server)
	// A region that lacks slots itself recalls all excess at once.
	short := svc.short(now)
	for _, s := range svc.servers {
		switch {
		case !s.own || s.lentTo == "":
		case s.endpoint.Leaving, s.cold(now), !s.recalledAt.IsZero() && now.Sub(s.recalledAt) > maxReturnTime:
			s.endLoan(now)
		case !s.recalledAt.IsZero():
		default:
			lent[s.lentTo] = append(lent[s.lentTo], s)
		}
	}
	if now.Sub(p.resumedAt) < resumeHold {
		return
	}
	for _, borrower := range sortedNames(plan, lent) {
		if !svc.recallSome(now, plan[borrower], lent[borrower], short) {
			svc.lendMore(now, borrower, plan[borrower], lent[borrower])
		}
	}
}

func (svc *service) capacityOf(servers []*server) float64 {
	n := 0.0
	for _, s := range servers {
		n += float64(s.capacity(svc))
	}
	return n
}

// recallSome recalls endpoints, those lent last first, if a borrower has too
// many. It reports whether the borrower has too many. The borrower may use a
// recalled endpoint until it returns it, maxReturnTime at most. A lender that is
// short recalls until the borrower has its share to the nearest endpoint: one
// endpoint is a large part of a small service.
func (svc *service) recallSome(now time.Time, slots float64, lent []*server, short bool) bool {
	excess := svc.capacityOf(lent) - slots
	threshold := recallThreshold
	if short {
		threshold = lendThreshold
	}
	if len(lent) == 0 || excess <= threshold*float64(lent[0].capacity(svc)) {
		return false
	}
	if !short && now.Sub(svc.lastRecall) < recallInterval {
		return true
	}
	svc.lastRecall = now
	limit := max(1, len(lent)/recallDivisor)
	if short {
		limit = len(lent)
	}
	slices.SortFunc(lent, func(a, b *server) int { return b.lentAt.Compare(a.lentAt) })
	least := 1.0
	if short {
		least = lendThreshold
	}
	for _, s := range lent[:limit] {
		capacity := float64(s.capacity(svc))
		if excess < least*capacity {
			return true
		}
		excess -= capacity
		s.recall(now)
	}
	return true
}

// lendMore lends a borrower the endpoints that it lacks, while there are any
// to lend.
func (svc *service) lendMore(now time.Time, borrower string, slots float64, lent []*server) {
	slots -= svc.capacityOf(lent)
	for {
		next := svc.lendable(now, borrower)
		if next == nil || slots <= lendThreshold*float64(next.capacity(svc)) {
			return
		}
		if next.lentTo == "" {
			next.lentTo, next.lentAt = borrower, now
		}
		next.recalledAt = time.Time{}
		slots -= float64(next.capacity(svc))
	}
}

// lendable returns an endpoint that is recalled from the borrower, else the own
// endpoint with the fewest remembered objects, so that a loan abandons few warm
// objects; nil if none can be lent. The last endpoint stays: without it a region
// that has few requests for the service would refuse them all.
func (svc *service) lendable(now time.Time, borrower string) *server {
	var best *server
	usable := 0
	for _, s := range svc.servers {
		if s.own && s.lentTo == borrower && !s.recalledAt.IsZero() {
			return s
		}
		if s.usable(now) {
			usable++
		}
		if !s.own || s.reserved || !s.usable(now) || s.cold(now) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(len(s.memory.lastUse), len(best.memory.lastUse)),
			cmp.Compare(s.endpoint.ID, best.endpoint.ID)) < 0 {
			best = s
		}
	}
	if usable <= 1 {
		return nil
	}
	return best
}

// recall asks the borrower for an own endpoint.
func (s *server) recall(now time.Time) { s.recalledAt = now }

// endLoan ends the loan of an own endpoint.
func (s *server) endLoan(now time.Time) {
	s.lentTo, s.recalledAt = "", time.Time{}
	s.nextColdGrant = now.Add(returnHoldBack)
}

// TakeBack ends the loan of the endpoints that a borrower has returned. An
// endpoint that isn't recalled any more stays lent.
func (p *Pool) TakeBack(now time.Time, r Return) {
	for _, id := range r.Endpoints {
		if s := p.servers[id]; s != nil && s.own && s.lentTo == r.Borrower && !s.recalledAt.IsZero() {
			s.endLoan(now)
		}
	}
}

// Returns stops the use of recalled endpoints that have been idle for returnIdle or
// were drained, and lists all endpoints whose return the lender hasn't confirmed yet.
func (p *Pool) Returns(now time.Time) []Return {
	p.drainRecalled(now)
	byLender := make(map[string][]string)
	for id, s := range p.servers {
		if s.own || !s.recalled {
			continue
		}
		if s.inFlight == 0 && now.Sub(s.lastGrant) >= returnIdle || s.isDrained(now) {
			s.returned, s.borrowedUntil = true, time.Time{}
		}
		if s.returned {
			byLender[s.lender] = append(byLender[s.lender], id)
		}
	}
	var out []Return
	for lender, ids := range byLender {
		slices.Sort(ids)
		out = append(out, Return{Lender: lender, Borrower: p.config.Region, Endpoints: ids})
	}
	slices.SortFunc(out, func(a, b Return) int { return cmp.Compare(a.Lender, b.Lender) })
	return out
}

// Borrow applies a loan received from a lender. It replaces the lender's
// previous loan.
func (p *Pool) Borrow(now time.Time, l Loan) {
	for _, s := range p.servers {
		if s.lender == l.Lender {
			s.borrowedUntil = time.Time{}
			s.recalled = slices.Contains(l.Recalled, s.endpoint.ID)
			s.returned = s.returned && s.recalled
			if s.urgent = s.recalled && slices.Contains(l.Scarce, s.endpoint.Service); !s.recalled {
				s.drainedSince = time.Time{}
			}
		}
	}
	for _, id := range l.Endpoints {
		if s := p.servers[id]; s != nil && !s.own && !s.returned {
			s.lender, s.borrowedUntil = l.Lender, now.Add(LoanTerm)
			s.recalled = slices.Contains(l.Recalled, id)
			s.urgent = s.recalled && slices.Contains(l.Scarce, s.endpoint.Service)
			s.roundTrip = p.config.RoundTrip(s.region)
		}
	}
}

// ResumeLoad takes over the load that the region's previous dispatcher reported.
// The new one would otherwise seem to need nothing.
func (p *Pool) ResumeLoad(now time.Time, l Load) {
	svc := p.service(l.Service)
	svc.load = loadMeter{
		start: now.Add(-2 * loadWindow), last: now, lastRequest: now,
		sum: l.Need * targetUtilization * loadWindow.Seconds(),
	}
}

// Resume takes over a loan of the region's previous dispatcher.
func (p *Pool) Resume(now time.Time, l Loan) {
	p.resumedAt = now
	for _, id := range l.Endpoints {
		if s := p.servers[id]; s != nil && s.own {
			s.lentTo, s.lentAt = l.Borrower, now
			if slices.Contains(l.Recalled, id) {
				s.recalledAt = now
			}
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
