package steering

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"sassafrasreach/internal/core/document"
)

// Errors of NewTable.
var (
	// ErrUnknownPlace means that a service names a place that the document does
	// not define.
	ErrUnknownPlace = errors.New("unknown place")
	// ErrUnknownRegion means that a place names a region that the document does
	// not define.
	ErrUnknownRegion = errors.New("unknown region")
	// ErrBlock means that a client block cannot be parsed.
	ErrBlock = errors.New("bad client block")
	// ErrTooManyPlaces means that the document has more than 65,535 places.
	ErrTooManyPlaces = errors.New("too many places")
)

// maxPlaces bounds the number of places so that an index fits in 16 bits.
const maxPlaces = math.MaxUint16

// LinkID identifies the network between two regions, in one direction.
type LinkID struct {
	// From and To are names of regions.
	From, To string
}

// Table is an immutable snapshot of a document, safe for concurrent use.
type Table struct {
	places       []place
	indexes      map[string]uint16
	services     map[string]*service
	linksBetween map[LinkID][]LinkID // bounded links crossed, by origin and destination region
	drained      map[drainKey]struct{}
	blocks       *blockTable
}

// place holds what the ranking needs of a document.Place.
type place struct {
	name    string
	region  string
	reserve int // percent
}

// service is a document.Service, prepared for ranking.
type service struct {
	doc    *document.Service
	places []uint16
	// rulesFrom holds the rules that apply to the service, by the index of the
	// place of origin.
	rulesFrom [][]rule
}

// rule is a document.Rule, kept for the places of origin to which it applies.
type rule struct {
	names  []string // only the rule's name; a slice so that choices can share it
	to     string
	closed bool // permits no requests
}

// drainKey identifies a drain; an empty service means every service.
type drainKey struct {
	service, place string
}

// NewTable builds the snapshot of a validated document. The table keeps
// references to doc's services, which the caller must not change afterwards.
// The error wraps one of the package's sentinel errors.
func NewTable(doc *document.Document) (*Table, error) {
	t := &Table{
		indexes:      make(map[string]uint16, len(doc.Places)),
		services:     make(map[string]*service, len(doc.Services)),
		linksBetween: make(map[LinkID][]LinkID, 2*len(doc.Links)),
		drained:      make(map[drainKey]struct{}, len(doc.Drains)),
	}
	if err := t.addPlaces(doc); err != nil {
		return nil, err
	}
	for i := range doc.Services {
		if err := t.addService(&doc.Services[i], doc.Rules); err != nil {
			return nil, err
		}
	}
	t.addLinks(doc.Links)
	for _, drain := range doc.Drains {
		t.drained[drainKey{drain.Service, drain.Place}] = struct{}{}
	}
	return t, t.addBlocks(doc.Places)
}

func (t *Table) addPlaces(doc *document.Document) error {
	if len(doc.Places) > maxPlaces {
		return fmt.Errorf("%w: %d", ErrTooManyPlaces, len(doc.Places))
	}
	reserves := make(map[string]int, len(doc.Regions))
	for _, region := range doc.Regions {
		reserves[region.Name] = region.ReservePercent
	}
	for i, p := range doc.Places {
		reserve, ok := reserves[p.Region]
		if !ok {
			return fmt.Errorf("%w: %q of place %q", ErrUnknownRegion, p.Region, p.Name)
		}
		t.places = append(t.places, place{p.Name, p.Region, reserve})
		t.indexes[p.Name] = uint16(i) //nolint:gosec // bounded by maxPlaces
	}
	return nil
}

func (t *Table) addService(doc *document.Service, rules []document.Rule) error {
	s := &service{doc: doc, rulesFrom: make([][]rule, len(t.places))}
	for _, name := range doc.Places {
		index, ok := t.indexes[name]
		if !ok {
			return fmt.Errorf("%w: %q of service %q", ErrUnknownPlace, name, doc.Name)
		}
		s.places = append(s.places, index)
	}
	for _, r := range rules {
		if r.Service == "" || r.Service == doc.Name {
			t.addRule(s, r)
		}
	}
	t.services[doc.Name] = s
	return nil
}

func (t *Table) addRule(s *service, r document.Rule) {
	compiled := rule{names: []string{r.Name}, to: r.To, closed: r.RequestsPerS <= 0}
	for origin := range t.places {
		if t.places[origin].within(r.From) {
			s.rulesFrom[origin] = append(s.rulesFrom[origin], compiled)
		}
	}
}

// within reports whether name, from a rule, is this place or its region.
func (p *place) within(name string) bool { return p.name == name || p.region == name }

// addLinks records for each pair of regions the bounded links that a request
// crosses: first the one that carries its body, then the one that carries the
// answer.
func (t *Table) addLinks(links []document.Link) {
	for _, link := range links {
		id := LinkID{link.From, link.To}
		t.linksBetween[id] = slices.Insert(t.linksBetween[id], 0, id)
		back := LinkID{link.To, link.From}
		t.linksBetween[back] = append(t.linksBetween[back], id)
	}
}

func (t *Table) addBlocks(places []document.Place) error {
	var blocks blockBuilder
	for i, p := range places {
		for _, text := range p.Clients {
			prefix, err := netip.ParsePrefix(text)
			if err != nil {
				return fmt.Errorf("%w: %q of place %q: %w", ErrBlock, text, p.Name, err)
			}
			blocks.add(prefix, uint16(i)) //nolint:gosec // bounded by maxPlaces
		}
	}
	t.blocks = blocks.build()
	return nil
}

// PlaceOf returns the place with the longest client block that contains the
// address. False means that no block does.
func (t *Table) PlaceOf(client netip.Addr) (string, bool) {
	index, ok := t.blocks.lookup(client.Unmap())
	if !ok {
		return "", false
	}
	return t.places[index].name, true
}

// Service returns the service of the given name. False means that the document
// has none.
func (t *Table) Service(name string) (*document.Service, bool) {
	s, ok := t.services[name]
	if !ok {
		return nil, false
	}
	return s.doc, true
}

// Region returns the region of a place. False means that the place is unknown.
func (t *Table) Region(place string) (string, bool) {
	index, ok := t.indexes[place]
	if !ok {
		return "", false
	}
	return t.places[index].region, true
}

// Reserve returns the percentage of a place's slots that requests from other
// places may not use. False means that the place is unknown.
func (t *Table) Reserve(place string) (int, bool) {
	index, ok := t.indexes[place]
	if !ok {
		return 0, false
	}
	return t.places[index].reserve, true
}

// Drained reports whether a place is drained for a service, or for every service.
func (t *Table) Drained(service, place string) bool {
	if _, ok := t.drained[drainKey{"", place}]; ok {
		return true
	}
	_, ok := t.drained[drainKey{service, place}]
	return ok
}
