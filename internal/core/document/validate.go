package document

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
)

// Validate returns all faults of the document, at most MaxFaults. The time that it
// takes is proportional to the document's size times the logarithm of the number
// of client blocks, which are sorted.
func (d *Document) Validate() Faults {
	v := newValidator(d)
	v.regions()
	v.places()
	v.clients()
	v.links()
	v.services()
	v.rules()
	v.drains()
	v.operators()
	return v.faults
}

// validator collects the faults of a document. Its maps index what the document
// defines.
type validator struct {
	doc      *Document
	faults   Faults
	regionOf map[string]string   // region by place
	region   map[string]bool     // set of names
	entryIn  map[string]string   // place by entry
	service  map[string]*Service // by name
	link     map[[2]string]*Link // by from and to region
	serves   map[[2]string]bool  // set of service and place
}

func newValidator(d *Document) *validator {
	v := &validator{
		doc:      d,
		regionOf: make(map[string]string, len(d.Places)),
		region:   make(map[string]bool, len(d.Regions)),
		entryIn:  make(map[string]string),
		service:  make(map[string]*Service, len(d.Services)),
		link:     make(map[[2]string]*Link, len(d.Links)),
		serves:   make(map[[2]string]bool),
	}
	for _, r := range d.Regions {
		v.region[r.Name] = true
	}
	for _, p := range d.Places {
		v.regionOf[p.Name] = p.Region
		for _, e := range p.Entries {
			v.entryIn[e.Name] = p.Name
		}
	}
	for i := range d.Links {
		v.link[[2]string{d.Links[i].From, d.Links[i].To}] = &d.Links[i]
	}
	for i := range d.Services {
		s := &d.Services[i]
		v.service[s.Name] = s
		for _, place := range s.Places {
			v.serves[[2]string{s.Name, place}] = true
		}
	}
	return v
}

// fault adds a fault unless there are MaxFaults already.
func (v *validator) fault(path, format string, args ...any) {
	if len(v.faults) < MaxFaults {
		v.faults = append(v.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
}

// between reports a number that is out of its inclusive bounds.
func (v *validator) between(path string, value, low, high int64) {
	if value < low || value > high {
		v.fault(path, "%d isn't between %d and %d", value, low, high)
	}
}

// duration reports a duration that is out of its inclusive bounds.
func (v *validator) duration(path string, value, low, high Duration) {
	if value < low || value > high {
		v.fault(path, "%v isn't between %v and %v", value.Std(), low.Std(), high.Std())
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// ValidName says whether text can be a name in a document: 1 to MaxNameBytes
// letters a-z, digits and hyphens, with no hyphen at either end.
func ValidName(text string) bool {
	return len(text) <= MaxNameBytes && namePattern.MatchString(text)
}

// name reports a name that is malformed or in seen.
func (v *validator) name(path, name string, seen map[string]string) {
	if !ValidName(name) {
		v.fault(path, "%q isn't a name: 1 to %d letters a-z, digits and hyphens are allowed, with no hyphen at either end", name, MaxNameBytes)
		return
	}
	v.unique(path, name, seen)
}

// unique reports a value that is in seen, which maps values to the paths of their
// first use, and adds it otherwise.
func (v *validator) unique(path, value string, seen map[string]string) {
	if first, ok := seen[value]; ok {
		v.fault(path, "%q is a duplicate of %s; it must be unique", value, first)
		return
	}
	seen[value] = path
}

func (v *validator) regions() {
	if len(v.doc.Regions) == 0 {
		v.fault("regions", "at least one region is needed")
	}
	seen := make(map[string]string)
	for i, r := range v.doc.Regions {
		path := fmt.Sprintf("regions[%d]", i)
		v.name(path+".name", r.Name, seen)
		v.between(path+".reserve_percent", int64(r.ReservePercent), 0, 100)
	}
}

func (v *validator) links() {
	seen := make(map[string]string)
	for i, l := range v.doc.Links {
		path := fmt.Sprintf("links[%d]", i)
		v.knownRegion(path+".from", l.From)
		v.knownRegion(path+".to", l.To)
		if l.From == l.To {
			v.fault(path+".to", "%q is also from; a link must connect two different regions", l.To)
		}
		v.unique(path, l.From+" to "+l.To, seen)
		v.between(path+".mbit_per_s", int64(l.MbitPerS), MinMbitPerS, MaxMbitPerS)
		v.between(path+".fill_percent", int64(l.FillPercent), 1, 100)
	}
}

// knownRegion reports a name that no region has.
func (v *validator) knownRegion(path, name string) {
	if !v.region[name] {
		v.fault(path, "no region is named %q; it must be listed in regions", name)
	}
}

// knownPlace reports a name that no place has, and says whether a place has it.
func (v *validator) knownPlace(path, name string) bool {
	_, ok := v.regionOf[name]
	if !ok {
		v.fault(path, "no place is named %q; it must be listed in places", name)
	}
	return ok
}

func (v *validator) services() {
	if len(v.doc.Services) == 0 {
		v.fault("services", "at least one service is needed")
	}
	seen := make(map[string]string)
	for i := range v.doc.Services {
		s := &v.doc.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		v.name(path+".name", s.Name, seen)
		v.methods(path, s)
		v.servicePlaces(path, s)
		v.serviceNumbers(path, s)
	}
}

// methods lists the HTTP methods that a request to an endpoint may have: those of
// RFC 9110 without CONNECT and TRACE, and PATCH of RFC 5789.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (v *validator) methods(path string, s *Service) {
	seen := make(map[string]string)
	for j, m := range s.IdempotentMethods {
		at := fmt.Sprintf("%s.idempotent_methods[%d]", path, j)
		if !slices.Contains(methods, m) {
			v.fault(at, "%q isn't one of %v", m, methods)
			continue
		}
		v.unique(at, m, seen)
	}
}

func (v *validator) servicePlaces(path string, s *Service) {
	if len(s.Places) == 0 {
		v.fault(path+".places", "at least one place is needed")
	}
	seen := make(map[string]string)
	for j, name := range s.Places {
		at := fmt.Sprintf("%s.places[%d]", path, j)
		if v.knownPlace(at, name) {
			v.unique(at, name, seen)
		}
	}
}

func (v *validator) serviceNumbers(path string, s *Service) {
	v.duration(path+".deadline", s.Deadline, Duration(MinDeadline), Duration(MaxDeadline))
	v.between(path+".max_body_bytes", s.MaxBodyBytes, 1, MaxBodyBytesBound)
	v.between(path+".max_answer_bytes", s.MaxAnswerBytes, 1, MaxAnswerBytesBound)
	v.between(path+".workers", int64(s.Workers), 1, MaxWorkers)
	v.between(path+".slots", int64(s.Slots), 1, MaxSlots)
	v.between(path+".connections", int64(s.Connections), 1, MaxConnections)
	v.between(path+".request_bytes", s.RequestBytes, 1, MaxBodyBytesBound)
	v.between(path+".answer_bytes", s.AnswerBytes, 1, MaxAnswerBytesBound)
	if s.Connections < s.Slots {
		v.fault(path+".connections", "%d connections can't fill %d slots: each carries one request at a time, so there must be at least as many as slots", s.Connections, s.Slots)
	}
}
