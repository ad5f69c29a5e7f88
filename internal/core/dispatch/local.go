package dispatch

import (
	"math"
	"time"
)

const (
	// localBytes is the mean size of the responses from which on requests are kept in
	// the gateway's failure domain. Links between failure domains carry everybody's
	// traffic, and large responses are most of it.
	localBytes = 16 << 10
	// localWaitShare is the share of its target that such a request may wait for the
	// endpoint in its failure domain that keeps its object warm.
	localWaitShare = 0.2
	// localUse is the share of an endpoint's slots up to which it takes another object
	// for its failure domain.
	localUse = 0.75
	// localKept is the share of the objects that an endpoint keeps warm up to which it
	// takes another one for that reason. Copies that evict other objects cost more runs
	// than they save bytes.
	localKept = 0.75
)

// RecordResponse records the size in bytes of the response to the request of a grant,
// before the grant is released. An unknown ID and a size of 0 change nothing.
func (p *Pool) RecordResponse(id string, bytes int64) {
	g, ok := p.grants[id]
	if !ok || bytes <= 0 {
		return
	}
	if g.kind.responseBytes == 0 {
		g.kind.responseBytes = float64(bytes)
	}
	g.kind.responseBytes += smoothing * (float64(bytes) - g.kind.responseBytes)
}

// chooseLocal returns an endpoint in the gateway's failure domain for a request whose
// response is expected to be large; nil if none takes it soon. An object that is warm only
// elsewhere gets a copy in the failure domain, where there is room: it pays from the
// second request on.
func (p *Pool) chooseLocal(now time.Time, svc *service, req SlotRequest) *server {
	k, object := svc.kind(req), req.object()
	if req.Zone == "" || k.responseBytes < localBytes {
		return nil
	}
	var warm, other *server
	leastWarm, leastOther := math.Inf(1), math.Inf(1)
	for _, s := range svc.servers {
		if s.endpoint.Zone != req.Zone || s.avoided() || !s.healthy() || !eligible(now, s, req) {
			continue
		}
		if svc.keepsWarm(s, object) {
			if cost := s.cost(now, svc, k, true); cost < leastWarm {
				warm, leastWarm = s, cost
			}
			continue
		}
		hasRoom := s.free(now) && float64(s.inFlight) < localUse*float64(s.endpoint.Slots) && float64(s.kept(svc)) < localKept*float64(svc.kept.limit)
		if cost := s.cost(now, svc, k, false); hasRoom && p.mayMove(now, s) && cost < leastOther {
			other, leastOther = s, cost
		}
	}
	if warm == nil {
		return other
	}
	if warm.wait(now, svc) > localWaitShare*req.Target.Seconds() {
		return nil
	}
	return warm
}
