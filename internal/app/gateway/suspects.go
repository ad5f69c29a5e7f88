package gateway

import (
	"time"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/port"
)

const (
	// maxSuspects bounds the requests that are remembered, and maxSuspectResets the
	// endpoints of each.
	maxSuspects      = 256
	maxSuspectResets = 4
	// suspectRetention is how long a request is remembered after it last reset a
	// connection or was refused: longer than all controllers take to restart.
	suspectRetention = 30 * time.Second
)

// suspects remembers which requests reset connections of their endpoints, or were
// refused for that, as this gateway saw it. The controllers keep that in memory
// only: those that all started again learn it from the gateways, with the next slot
// request for the same content. It is not safe for concurrent use.
type suspects struct {
	requests map[fingerprint.Fingerprint]*suspect
}

type suspect struct {
	until       time.Time
	quarantined bool
	resets      []port.Suspicion
}

func newSuspects() *suspects {
	return &suspects{requests: make(map[fingerprint.Fingerprint]*suspect)}
}

// suspect returns the record of a request, which is kept for suspectRetention from
// now; nil if there is no room for it.
func (s *suspects) suspect(now time.Time, f fingerprint.Fingerprint) *suspect {
	x := s.requests[f]
	if x == nil && len(s.requests) >= maxSuspects {
		for other, y := range s.requests {
			if now.After(y.until) {
				delete(s.requests, other)
			}
		}
	}
	if x == nil && len(s.requests) >= maxSuspects {
		return nil
	}
	if x == nil || now.After(x.until) {
		x = &suspect{}
		s.requests[f] = x
	}
	x.until = now.Add(suspectRetention)
	return x
}

// recordReset records that a run ended with a reset connection.
func (s *suspects) recordReset(now time.Time, f fingerprint.Fingerprint, e registry.Endpoint) {
	if x := s.suspect(now, f); x != nil && len(x.resets) < maxSuspectResets {
		x.resets = append(x.resets, port.Suspicion{Fingerprint: f, Endpoint: e.ID, StartedMillis: e.StartedMillis})
	}
}

// recordQuarantined records that a dispatcher refused the request for its crashes.
func (s *suspects) recordQuarantined(now time.Time, f fingerprint.Fingerprint) {
	if x := s.suspect(now, f); x != nil {
		x.quarantined = true
	}
}

// recordAnswered records that a run was answered.
func (s *suspects) recordAnswered(f fingerprint.Fingerprint) { delete(s.requests, f) }

// known returns what is remembered of a request.
func (s *suspects) known(now time.Time, f fingerprint.Fingerprint) []port.Suspicion {
	x := s.requests[f]
	switch {
	case x == nil || now.After(x.until):
		return nil
	case x.quarantined:
		return []port.Suspicion{{Fingerprint: f, Quarantined: x.until.Sub(now)}}
	default:
		return x.resets
	}
}
