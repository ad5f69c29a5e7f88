package entry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"

	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/membership"
	"sassafrasreach/internal/core/steering"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// maxLookupEntries bounds the entries in the answer to one look-up.
const maxLookupEntries = 8

// Lookup ranks entries from local state alone. The owner of the best group
// comes first, so that the common case needs no second hop.
func (e *Entry) Lookup(q port.LookupQuery) (port.LookupAnswer, error) {
	s, err := e.current()
	if err != nil {
		return port.LookupAnswer{}, err
	}
	if _, ok := s.table.Service(q.Service); !ok {
		return port.LookupAnswer{}, unknownService(q.Service)
	}
	origin, err := e.OriginOf(q.Place, q.Client)
	if err != nil {
		return port.LookupAnswer{}, err
	}
	ranked := e.rankEntries(s, q.Service, origin)
	if len(ranked) == 0 {
		return port.LookupAnswer{}, verdict.NewError(verdict.NotRun, verdict.ReasonNoEndpoint, nil)
	}
	answer := port.LookupAnswer{
		Place:     origin,
		TTLMillis: lookupTTL.Milliseconds(),
		Version:   s.config.Version,
		KeyPrefix: e.keyToken(ranked[0]),
	}
	for _, member := range ranked {
		address := s.entries[member.Name]
		answer.Entries = append(answer.Entries, port.LookupEntry{
			Name:    member.Name,
			Place:   member.Place,
			Address: address.caller,
		})
	}
	return answer, nil
}

// rankEntries returns live entries: first the owners of the groups in steering
// order, then the other entries of these places in the same order, last the
// entries of the caller's and of this entry's place, which forward requests.
func (e *Entry) rankEntries(s *snapshot, service, origin string) []membership.Member {
	now := e.clock.Now()
	var ranked []membership.Member
	add := func(m membership.Member) {
		_, known := s.entries[m.Name]
		listed := slices.ContainsFunc(ranked, func(r membership.Member) bool { return r.Name == m.Name })
		if known && !listed && !m.Leaving && len(ranked) < maxLookupEntries {
			ranked = append(ranked, m)
		}
	}
	places := make([]string, 0, maxLookupEntries)
	choices := s.table.Rank(service, origin, view{e.members, now})
	steering.Spread(choices, rand.Uint64())
	for _, choice := range choices {
		places = append(places, choice.Place)
	}
	for _, place := range places {
		if owner, ok := e.members.owner(now, groupKey{service, place}); ok {
			add(owner)
		}
	}
	for _, place := range append(places, origin, e.config.Place) {
		for _, member := range e.members.live(now, place) {
			add(member)
		}
	}
	return ranked
}

// keyToken returns the token that begins the keys whose coordinator is the
// given incarnation of an entry.
func (e *Entry) keyToken(m membership.Member) string {
	coordinator := claims.Coordinator{Entry: m.Name, Incarnation: m.Incarnation}
	return claims.NewToken(coordinator, e.clock.Now())
}

// Terms returns the deadline and size bounds of a service, and whether method
// is once-only.
func (e *Entry) Terms(service, method string) (port.ServiceTerms, error) {
	s, err := e.current()
	if err != nil {
		return port.ServiceTerms{}, err
	}
	def, ok := s.table.Service(service)
	if !ok {
		return port.ServiceTerms{}, unknownService(service)
	}
	return port.ServiceTerms{
		Deadline:       def.Deadline.Std(),
		MaxBodyBytes:   def.MaxBodyBytes,
		MaxAnswerBytes: def.MaxAnswerBytes,
		OnceOnly:       !slices.Contains(def.IdempotentMethods, method),
	}, nil
}

// OriginOf returns the place of a caller: the named one, else that of its
// address, else the entry's own.
func (e *Entry) OriginOf(place string, client netip.Addr) (string, error) {
	s, err := e.current()
	if err != nil {
		return "", err
	}
	if place != "" {
		if _, ok := s.regions[place]; !ok {
			return "", verdict.NewError(verdict.NotRun, verdict.ReasonUnknownPlace, fmt.Errorf("place %q", place))
		}
		return place, nil
	}
	if place, ok := s.table.PlaceOf(client); ok {
		return place, nil
	}
	return e.config.Place, nil
}

// current returns the document in force.
func (e *Entry) current() (*snapshot, error) {
	s := e.snapshot.Load()
	if s == nil {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoDocument, nil)
	}
	return s, nil
}

func unknownService(name string) error {
	return verdict.NewError(verdict.NotRun, verdict.ReasonUnknownService, fmt.Errorf("service %q", name))
}
