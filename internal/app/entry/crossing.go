package entry

import (
	"sync/atomic"
	"time"

	"sassafrasreach/internal/core/budget"
	"sassafrasreach/internal/core/steering"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// headerBytes is charged for the header of a request and for that of its
// answer.
const headerBytes = 2 << 10

// crossing is the reservation of a request that is served outside its place of
// origin.
type crossing struct {
	entry  *Entry
	charge budget.Charge
	// link reserves bytes in both directions of the link between the regions;
	// it is empty if both places are in one region.
	link *budget.Reservation
}

// admitCrossing admits a request that is served outside its place of origin, if
// every rule and the link that it uses have capacity. The crossing is nil for a
// request that is served in its place of origin.
func (e *Entry) admitCrossing(req *port.Request, key groupKey) (*crossing, error) {
	if req.Origin == key.place {
		return nil, nil
	}
	choice, ok := e.snapshot.Load().table.ChoiceAt(req.Service, req.Origin, key.place)
	if !ok {
		return nil, errCapReached()
	}
	charge := e.chargeOf(req, choice)
	link := e.ledger.admit(e.clock.Now(), charge)
	if link == nil {
		return nil, errCapReached()
	}
	return &crossing{entry: e, charge: charge, link: link}, nil
}

func errCapReached() error {
	return verdict.NewError(verdict.NotRun, verdict.ReasonCap, nil)
}

func (e *Entry) chargeOf(req *port.Request, choice steering.Choice) budget.Charge {
	regions := e.snapshot.Load().regions
	charge := budget.Charge{Rules: choice.Rules}
	from, to := regions[req.Origin].name, regions[choice.Place].name
	if from != to {
		charge.Link = &budget.LinkID{From: from, To: to}
		charge.Bytes = req.BodyBytes() + headerBytes
		charge.AnswerBytes = req.MaxAnswerBytes + headerBytes
	}
	return charge
}

// end settles the reservation with the bytes of the answer. A streamed answer
// is settled when its body is closed, and counts with its bound. The response
// is nil for a failed request, which counts with its bound too, since it may
// have transferred as much as it reserved.
func (c *crossing) end(response *port.Response) {
	switch {
	case c == nil:
	case response == nil:
		c.settle(c.charge.AnswerBytes)
	case response.Rest != nil:
		response.Rest = &closer{ReadCloser: response.Rest, after: func() {
			c.settle(c.charge.AnswerBytes)
		}}
	default:
		c.settle(int64(len(response.Body)) + headerBytes)
	}
}

func (c *crossing) settle(bytes int64) {
	c.entry.ledger.settle(c.entry.clock.Now(), c.link, bytes)
}

// attemptGate is the gate of one attempt of a crossing request. It reserves a
// unit of each rule right before the request is written. The units stay
// reserved until the attempt ends, but not beyond budget.DefaultTransit after
// the request was written, since it has certainly arrived by then. They then
// count for one more window. So every window around the arrival counts them,
// however long writing takes.
type attemptGate struct {
	crossing    *crossing
	reservation atomic.Pointer[budget.Reservation] // nil before Open and after it is settled or released
}

// Open implements port.Gate.
func (g *attemptGate) Open() error {
	e := g.crossing.entry
	reservation := e.ledger.take(e.clock.Now(), g.crossing.charge.Rules)
	if reservation == nil {
		return errCapReached()
	}
	g.reservation.Store(reservation)
	for _, rule := range g.crossing.charge.Rules {
		e.meter.RecordCrossing(rule)
	}
	return nil
}

// Written implements port.Gate.
func (g *attemptGate) Written() {
	time.AfterFunc(budget.DefaultTransit, g.settleReservation)
}

// settleReservation ends the reservation; the attempt counts from now on for a
// window.
func (g *attemptGate) settleReservation() {
	e := g.crossing.entry
	if reservation := g.reservation.Swap(nil); reservation != nil {
		e.ledger.settle(e.clock.Now(), reservation, 0)
	}
}

// end ends the reservation when the attempt has ended. An attempt that was
// never written does not count against the caps; a shed attempt was written and
// counts.
func (g *attemptGate) end(err error) {
	if verdict.Of(err) != verdict.NotRun || verdict.ReasonOf(err) == verdict.ReasonShed {
		g.settleReservation()
		return
	}
	if reservation := g.reservation.Swap(nil); reservation != nil {
		g.crossing.entry.ledger.release(reservation)
	}
}
