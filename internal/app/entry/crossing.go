package entry

import (
	"sync/atomic"
	"time"

	"sassafrasreach/internal/core/budget"
	"sassafrasreach/internal/core/steering"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// headBytes is charged for the header of a request and of its answer.
const headBytes = 2 << 10

// crossing is a request that is served outside its place of origin.
type crossing struct {
	entry  *Entry
	charge budget.Charge
	// link holds the bytes on the link that the request crosses.
	link *budget.Hold
}

// cross admits a request that is served outside its place of origin, if every
// rule and the link that it crosses have room for it. The crossing is nil for
// one that is served at home.
func (e *Entry) cross(req *port.Request, key groupKey) (*crossing, error) {
	if req.Origin == key.place {
		return nil, nil
	}
	choice, ok := e.snapshot.Load().table.Crossing(req.Service, req.Origin, key.place)
	if !ok {
		return nil, errNoRoom()
	}
	charge := e.chargeOf(req, choice)
	link := e.ledger.admit(e.clock.Now(), charge)
	if link == nil {
		return nil, errNoRoom()
	}
	return &crossing{entry: e, charge: charge, link: link}, nil
}

func errNoRoom() error {
	return verdict.NewError(verdict.NotRun, verdict.ReasonCap, nil)
}

func (e *Entry) chargeOf(req *port.Request, choice steering.Choice) budget.Charge {
	regions := e.snapshot.Load().regions
	charge := budget.Charge{Rules: choice.Rules}
	from, to := regions[req.Origin].name, regions[choice.Place].name
	if from != to {
		charge.Link = &budget.LinkID{From: from, To: to}
		charge.Bytes = int64(len(req.Body)) + headBytes
		charge.AnswerBytes = req.MaxAnswerBytes + headBytes
	}
	return charge
}

// end counts the bytes that an answer really took. Those of a streamed answer
// are known when its body is closed; until then its bound counts. The response
// is nil for a failed request, which may have moved as much as it reserved.
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
		c.settle(int64(len(response.Body)) + headBytes)
	}
}

func (c *crossing) settle(bytes int64) {
	c.entry.ledger.settle(c.entry.clock.Now(), c.link, bytes)
}

// sending is the gate of one attempt of a crossing request. Its units of the
// rules are taken right before it is written, and count until a window after
// it has surely arrived: however long writing takes, no window around the
// arrival misses them.
type sending struct {
	crossing *crossing
	hold     atomic.Pointer[budget.Hold] // nil before Open and after its end
}

// Open implements port.Gate.
func (s *sending) Open() error {
	e := s.crossing.entry
	hold := e.ledger.take(e.clock.Now(), s.crossing.charge.Rules)
	if hold == nil {
		return errNoRoom()
	}
	s.hold.Store(hold)
	for _, rule := range s.crossing.charge.Rules {
		e.meter.Moved(rule)
	}
	return nil
}

// Written implements port.Gate.
func (s *sending) Written() {
	time.AfterFunc(budget.DefaultTransit, s.arrived)
}

// arrived counts the attempt from now on for a window.
func (s *sending) arrived() {
	e := s.crossing.entry
	if hold := s.hold.Swap(nil); hold != nil {
		e.ledger.settle(e.clock.Now(), hold, 0)
	}
}

// end takes in how the attempt ended. One that was never written isn't counted.
func (s *sending) end(err error) {
	if verdict.Of(err) != verdict.NotRun || verdict.ReasonOf(err) == verdict.ReasonShed {
		s.arrived()
		return
	}
	if hold := s.hold.Swap(nil); hold != nil {
		s.crossing.entry.ledger.release(hold)
	}
}
