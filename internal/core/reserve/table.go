package reserve

import (
	"cmp"
	"time"

	"sassafrasreach/internal/core/registry"
)

const (
	// aloneFor is how long after its last grant an endpoint is used: most of the time
	// that all controllers take to restart and choose a dispatcher. An endpoint that
	// left since the grant must get no requests after about as long.
	aloneFor = 2 * time.Second
	// peakBucket is the time over which the slots in use at once are taken; the last
	// two count.
	peakBucket = time.Second
	// maxEndpoints bounds the endpoints that are remembered of a service.
	maxEndpoints = 256
)

// Table holds the endpoints that dispatchers granted to a gateway. It is not safe
// for concurrent use.
type Table struct{ services map[string]*service }

// service is the state of one service.
type service struct {
	endpoints map[string]*endpoint
	// inUse counts the slots in use, those that were granted and those taken alone.
	inUse int
	// peak and peakBefore are the largest inUse of granted slots in the bucket that
	// began at bucket, and in the one before.
	peak, peakBefore int
	bucket           time.Time
}

// endpoint is an endpoint with the region that it is in.
type endpoint struct {
	registry.Endpoint
	region    string
	lastGrant time.Time
	limited   bool
	// alone counts the slots in use that were taken without a dispatcher.
	alone int
}

// New returns an empty table.
func New() *Table { return &Table{services: make(map[string]*service)} }

// Granted records that a dispatcher granted a slot; Ended must follow.
func (t *Table) Granted(now time.Time, e registry.Endpoint, region string) {
	s := t.services[e.Service]
	if s == nil {
		s = &service{endpoints: make(map[string]*endpoint)}
		t.services[e.Service] = s
	}
	x := s.endpoints[e.ID]
	if x == nil || x.StartedMillis != e.StartedMillis {
		s.makeRoom(now)
		x = &endpoint{}
		s.endpoints[e.ID] = x
	}
	x.Endpoint, x.region, x.lastGrant = e, region, now
	s.inUse++
	s.advance(now)
	s.peak = max(s.peak, s.inUse)
}

// makeRoom forgets the endpoints that weren't granted for aloneFor, and if the table
// is full an arbitrary one.
func (s *service) makeRoom(now time.Time) {
	if len(s.endpoints) < maxEndpoints {
		return
	}
	for id, e := range s.endpoints {
		if now.Sub(e.lastGrant) > aloneFor {
			delete(s.endpoints, id)
		}
	}
	for id := range s.endpoints {
		if len(s.endpoints) < maxEndpoints {
			return
		}
		delete(s.endpoints, id)
	}
}

// advance moves to the bucket of the current time.
func (s *service) advance(now time.Time) {
	switch passed := now.Sub(s.bucket); {
	case passed < peakBucket:
	case passed < 2*peakBucket:
		s.peakBefore, s.peak, s.bucket = s.peak, 0, now
	default:
		s.peakBefore, s.peak, s.bucket = 0, 0, now
	}
}

// Ended records the end of the use of a granted slot. limited says that the endpoint
// named a limit of its requests; answered, that it said anything.
func (t *Table) Ended(serviceName, id string, answered, limited bool) {
	s := t.services[serviceName]
	if s == nil {
		return
	}
	s.inUse--
	if x := s.endpoints[id]; x != nil && answered {
		x.limited = limited
	}
}

// Take returns an endpoint that a request may use without a dispatcher, and its
// region: the preferred one, else the one with the fewest such requests. It returns
// false if there is none. usable says whether the request may go to an endpoint of a
// region. Returned must follow.
func (t *Table) Take(now time.Time, serviceName, preferred string, usable func(e registry.Endpoint, region string) bool) (registry.Endpoint, string, bool) {
	s := t.services[serviceName]
	if s == nil || s.inUse >= max(s.peak, s.peakBefore) {
		return registry.Endpoint{}, "", false
	}
	var best *endpoint
	for _, x := range s.endpoints {
		if x.limited || now.Before(x.ColdUntil) || now.Sub(x.lastGrant) > aloneFor || x.alone >= x.Slots || !usable(x.Endpoint, x.region) {
			continue
		}
		if x.ID == preferred {
			best = x
			break
		}
		if best == nil || cmp.Or(cmp.Compare(x.alone, best.alone), best.lastGrant.Compare(x.lastGrant), cmp.Compare(x.ID, best.ID)) < 0 {
			best = x
		}
	}
	if best == nil {
		return registry.Endpoint{}, "", false
	}
	best.alone++
	s.inUse++
	return best.Endpoint, best.region, true
}

// Returned records the end of a request for which Take returned an endpoint. One that
// couldn't be reached, or refused the request, is not used again until it is granted.
func (t *Table) Returned(serviceName, id string, usable bool) {
	s := t.services[serviceName]
	if s == nil {
		return
	}
	s.inUse--
	x := s.endpoints[id]
	if x == nil {
		return
	}
	if x.alone--; !usable {
		delete(s.endpoints, id)
	}
}
