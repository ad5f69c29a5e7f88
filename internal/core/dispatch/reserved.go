package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sassafrasreach/internal/core/rendezvous"
)

// reserveInterval is the time in which at most one more endpoint of a service is
// reserved. The requests that ran there move to other endpoints, also of other regions,
// and count for the limit on shifts.
const reserveInterval = 2 * time.Second

// reservation keeps endpoints of the own region for requests that may run only in some
// regions. Other requests could use the slots of lent endpoints instead; without a
// reservation they fill the own ones, and the restricted requests have no other place.
type reservation struct {
	// load is the need of the restricted requests.
	load loadMeter
	// lastAdded is when an endpoint was last reserved.
	lastAdded time.Time
}

// isRestricted reports whether the request may run only in some regions.
func (req SlotRequest) isRestricted() bool { return len(req.Regions) > 0 }

// reservedFor reports whether the endpoint is kept for other requests.
func (s *server) reservedFor(req SlotRequest) bool { return s.reserved && !req.isRestricted() }

// reserve reserves own endpoints of a service for the share of the restricted requests:
// the slots that they need or, if the service is short, the same part of their need that
// all requests get.
func (p *Pool) reserve(now time.Time, svc *service) {
	var own []*server
	ownSlots, reserved := 0.0, 0
	for _, s := range svc.servers {
		if !s.own || s.lentTo != "" || !s.usable(now) {
			s.reserved = false
			continue
		}
		own = append(own, s)
		ownSlots += float64(s.capacity(svc))
		if s.reserved {
			reserved++
		}
	}
	part := math.Min(1, svc.supply(now))
	wanted := math.Min(ownSlots, part*svc.reservation.load.slots(now)/targetUtilization)
	slices.SortFunc(own, func(a, b *server) int {
		return cmp.Compare(rendezvous.Weight(b.endpoint.ID, reservedKey), rendezvous.Weight(a.endpoint.ID, reservedKey))
	})
	limit := reserved
	if p.ShiftLimitSuspended(now) || p.shift.learning(now) {
		limit = len(own)
	} else if now.Sub(svc.reservation.lastAdded) >= reserveInterval {
		limit = reserved + 1
	}
	for i, s := range own {
		capacity := float64(s.capacity(svc))
		s.reserved = wanted >= capacity/2 && i < limit
		wanted -= capacity
	}
	if countReserved(own) > reserved {
		svc.reservation.lastAdded = now
	}
}

// reservedKey is hashed with the endpoints' IDs, so that a new dispatcher reserves the
// same endpoints.
const reservedKey = "reserved"

func countReserved(servers []*server) int {
	n := 0
	for _, s := range servers {
		if s.reserved {
			n++
		}
	}
	return n
}
