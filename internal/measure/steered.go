package measure

import (
	"maps"
	"slices"
	"time"

	"sassafrasreach/internal/core/admission"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/steering"
)

const (
	// tickPeriod is the time between two ticks of a group.
	tickPeriod = 20 * time.Millisecond
	// publishPeriod is the time between two reports of a group to other places.
	publishPeriod = 500 * time.Millisecond
	// deadAfter is the age of a report from which its group is considered dead.
	deadAfter = 3 * time.Second
	// suspectAfter is the number of consecutive failed dials after which a place is
	// considered dead until its next report arrives.
	suspectAfter = 3
)

// steered is the policy under test: packages steering and admission, with
// windows instead of distributed budgets.
type steered struct {
	w           *world
	table       *steering.Table
	groups      [][]*group // service, place
	rules       map[string]*window
	links       map[steering.LinkID]*window
	byID        map[string]*endpoint
	budgets     []*admission.RetryBudget // per place
	lastReport  []time.Duration          // per place: arrival of its last report
	failedDials []int                    // per place: consecutive failed dials
}

// group is an endpoint group: the owner's admission state and the last report of
// it that other places received.
type group struct {
	adm        *admission.Group
	pending    map[uint64]*attempt
	published  admission.Stats
	receivedAt time.Duration
}

// attempt is a request with the ranking of its places and the index of the next
// choice.
type attempt struct {
	r       *request
	choices []steering.Choice
	next    int
	ticket  admission.Ticket
}

func newSteered(w *world) policy {
	s := &steered{
		w:           w,
		rules:       map[string]*window{},
		links:       map[steering.LinkID]*window{},
		byID:        map[string]*endpoint{},
		lastReport:  make([]time.Duration, len(w.names)),
		failedDials: make([]int, len(w.names)),
	}
	for _, rule := range w.doc.Rules {
		s.rules[rule.Name] = &window{limit: rule.RequestsPerS, ramp: rule.Ramp.Std()}
	}
	for _, link := range w.doc.Links {
		bytes := link.MbitPerS * link.FillPercent / 100 * 1_000_000 / 8
		s.links[steering.LinkID{From: link.From, To: link.To}] = &window{limit: bytes}
	}
	for _, e := range w.endpoints {
		s.byID[e.id] = e
	}
	for service := range w.op.services {
		s.groups = append(s.groups, make([]*group, len(w.names)))
		for place := range w.names {
			s.groups[service][place] = &group{}
			s.startGroup(service, place)
			s.startTicks(service, place)
		}
	}
	for range w.names {
		s.budgets = append(s.budgets, admission.NewRetryBudget())
	}
	s.reconfigure(w.doc)
	return s
}

func (s *steered) reconfigure(doc *document.Document) {
	table, err := steering.NewTable(doc)
	if err != nil {
		panic(err) // the document is built in this package
	}
	s.table = table
}

func (s *steered) startGroup(service, place int) {
	g := s.groups[service][place]
	g.adm = admission.NewGroup(admission.Config{
		ReservePercent: s.w.op.reserve,
		MaxSlots:       s.w.op.services[service].slots,
	})
	g.pending = map[uint64]*attempt{}
}

func (s *steered) startTicks(service, place int) {
	g := s.groups[service][place]
	s.w.every(tickPeriod, tickPeriod, func() {
		if !s.w.alive[place] {
			return
		}
		grants, expired := g.adm.Tick(s.w.time())
		s.grant(g, place, grants)
		for _, id := range expired {
			s.w.fail(g.pending[id].r)
			delete(g.pending, id)
		}
	})
	s.w.every(publishPeriod, publishPeriod, func() {
		if !s.w.alive[place] {
			return
		}
		stats := g.adm.Stats(s.w.time())
		s.w.after(s.w.op.oneWayFar, func() {
			g.published, g.receivedAt = stats, s.w.now
			s.lastReport[place], s.failedDials[place] = s.w.now, 0
		})
	})
	g.published, g.receivedAt = admission.Stats{}, s.w.now
}

func (s *steered) announce(e *endpoint, a admission.Announcement) {
	s.groups[e.service][e.place].adm.Announce(s.w.time(), a)
}

func (s *steered) queued(place int) int {
	total := 0
	for service := range s.groups {
		total += s.groups[service][place].adm.Stats(s.w.time()).Queued
	}
	return total
}

// placeFailed fails the requests in the admission queues of a place; those on
// endpoints fail when the endpoints crash.
func (s *steered) placeFailed(place int) {
	for service := range s.groups {
		g := s.groups[service][place]
		for _, id := range slices.Sorted(maps.Keys(g.pending)) {
			if g.adm.Cancel(s.w.time(), id) {
				s.w.fail(g.pending[id].r)
			}
		}
	}
}

func (s *steered) placeRestored(place int) {
	for service := range s.groups {
		s.startGroup(service, place)
	}
}

// view is the state of all groups as the entries of one place know it.
type view struct {
	s     *steered
	place int
}

// Group implements steering.View.
func (v view) Group(service, place string) (steering.GroupView, bool) {
	s := v.s
	at := s.indexOf(place)
	g := s.groups[s.serviceIndex(service)][at]
	stats, age := g.published, s.w.now-g.receivedAt
	if at == v.place && s.w.alive[at] {
		stats, age = g.adm.Stats(s.w.time()), 0
	}
	return steering.GroupView{
		Live:      age < deadAfter && s.failedDials[at] < suspectAfter,
		Endpoints: stats.Endpoints,
		Slots:     stats.Slots,
		Busy:      stats.Busy,
		Queued:    stats.Queued,
		Latency:   stats.Latency,
		RoundTrip: 2 * s.w.oneWay(v.place, at),
		Age:       age,
	}, true
}

func (s *steered) indexOf(place string) int {
	for i, name := range s.w.names {
		if name == place {
			return i
		}
	}
	panic("unknown place " + place)
}

func (s *steered) serviceIndex(name string) int {
	for i, w := range s.w.op.services {
		if w.name == name {
			return i
		}
	}
	panic("unknown service " + name)
}

func (s *steered) handle(r *request) {
	choices := s.table.Rank(s.w.op.services[r.service].name, s.w.names[r.origin], view{s, r.origin})
	steering.Spread(choices, r.id)
	s.sendToNext(&attempt{r: r, choices: choices})
}

// sendToNext sends the request to the next place of its ranking to which the
// windows of rules and links permit it.
func (s *steered) sendToNext(a *attempt) {
	for a.next < len(a.choices) {
		choice := a.choices[a.next]
		a.next++
		if s.take(a.r, choice) {
			place := s.indexOf(choice.Place)
			s.w.after(s.w.oneWay(a.r.origin, place), func() { s.arrive(a, place) })
			return
		}
	}
	s.w.fail(a.r)
}

// take takes the request from the windows of all rules and links that the choice
// crosses, or from none of them if it doesn't fit into one.
func (s *steered) take(r *request, choice steering.Choice) bool {
	now := s.w.now
	bytes := s.w.op.services[r.service].answer
	for _, name := range choice.Rules {
		if !s.rules[name].fits(now, 1) {
			return false
		}
	}
	for _, id := range choice.Links {
		if !s.links[id].fits(now, bytes) {
			return false
		}
	}
	for _, name := range choice.Rules {
		s.rules[name].take(now, 1)
		s.w.record.recordMove(r.service, r.origin, s.indexOf(choice.Place))
	}
	for _, id := range choice.Links {
		s.links[id].take(now, bytes)
	}
	return true
}

// arrive offers the request to the owner of the group. If the place has failed,
// the dial fails, which proves that the request was not run, and the next choice
// is tried.
func (s *steered) arrive(a *attempt, place int) {
	if a.r.ended {
		return
	}
	if !s.w.alive[place] {
		s.w.after(dialTimeout, func() {
			s.failedDials[place]++
			s.tryNext(a)
		})
		return
	}
	g := s.groups[a.r.service][place]
	a.ticket = admission.Ticket{
		ID:       a.r.id,
		Deadline: epoch.Add(a.r.deadline - s.w.oneWay(a.r.origin, place) - s.w.userTrip()),
		Local:    a.r.origin == place,
	}
	s.offer(g, place, a)
}

func (s *steered) offer(g *group, place int, a *attempt) {
	d := g.adm.Offer(s.w.time(), a.ticket)
	switch d.Kind {
	case admission.Granted:
		s.dispatch(g, place, a, d.Endpoint.ID)
	case admission.Queued:
		g.pending[a.ticket.ID] = a
	case admission.Refused:
		s.w.after(s.w.oneWay(a.r.origin, place), func() { s.tryNext(a) })
	}
}

// tryNext tries the next choice unless the request has ended.
func (s *steered) tryNext(a *attempt) {
	if !a.r.ended {
		s.sendToNext(a)
	}
}

func (s *steered) grant(g *group, place int, grants []admission.Grant) {
	for _, grant := range grants {
		a := g.pending[grant.Ticket]
		delete(g.pending, grant.Ticket)
		s.dispatch(g, place, a, grant.Endpoint.ID)
	}
}

func (s *steered) dispatch(g *group, place int, a *attempt, id string) {
	adm := g.adm
	begun := s.w.now
	s.byID[id].serve(&job{request: a.r, end: func(kind admission.ResultKind) {
		s.handleResult(a, place, kind, id)
		grants := adm.Done(s.w.time(), a.ticket.ID, admission.Result{Kind: kind, Latency: s.w.now - begun})
		if adm == g.adm {
			s.grant(g, place, grants)
		}
	}})
}

// handleResult answers the caller, or retries at another endpoint if the retry
// budget permits it.
func (s *steered) handleResult(a *attempt, place int, kind admission.ResultKind, id string) {
	budget := s.budgets[place]
	if kind == admission.OK {
		budget.Deposit()
		s.w.answer(a.r, s.w.oneWay(a.r.origin, place)+s.w.userTrip())
		return
	}
	if kind == admission.Timeout || a.r.ended || !budget.Withdraw(s.w.time()) {
		s.w.fail(a.r)
		return
	}
	a.ticket.Exclude = append(a.ticket.Exclude, id)
	s.w.after(0, func() {
		if !s.w.alive[place] {
			s.tryNext(a)
			return
		}
		s.offer(s.groups[a.r.service][place], place, a)
	})
}
