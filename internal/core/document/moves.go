package document

// Move is traffic that loses its place when one document follows another, and
// what may carry it elsewhere.
type Move struct {
	// Service and From name the service and the place that it leaves.
	Service string `json:"service"`
	From    string `json:"from"`
	// Slots is the part of the service's slots that the place had, with the
	// workers spread evenly over the service's places.
	Slots int `json:"slots"`
	// Ways are the rules that let the traffic shift; without one its requests
	// are refused.
	Ways []Way `json:"ways"`
}

// Way is a rule that lets traffic shift, with what its cap means for the links.
type Way struct {
	// Rule and To name the rule and its destination.
	Rule string `json:"rule"`
	To   string `json:"to"`
	// RequestsPerS is the rule's cap.
	RequestsPerS int `json:"requests_per_s"`
	// Ramp is the time in which the shift grows to the cap.
	Ramp Duration `json:"ramp"`
	// Link names the link that carries the answers; empty within a region.
	Link string `json:"link,omitempty"`
	// MbitPerS is what answers need at the cap, UsableMbitPerS what steering
	// may use of the link.
	MbitPerS       float64 `json:"mbit_per_s,omitempty"`
	UsableMbitPerS float64 `json:"usable_mbit_per_s,omitempty"`
}

// Moves returns the traffic that loses its place when new follows old: places
// that are newly drained or that a service no longer has. Both documents must
// be valid; a nil old one has no traffic.
func Moves(old, new *Document) []Move {
	if old == nil {
		return nil
	}
	after := newValidator(new)
	var moves []Move
	for i := range old.Services {
		s := &old.Services[i]
		for _, place := range s.Places {
			lost := new.Drained(place, s.Name) || !after.serves[[2]string{s.Name, place}]
			if !lost || old.Drained(place, s.Name) {
				continue
			}
			moves = append(moves, Move{
				Service: s.Name,
				From:    place,
				Slots:   s.Workers * s.Slots / len(s.Places),
				Ways:    after.ways(s.Name, place),
			})
		}
	}
	return moves
}

// ways returns the rules by which the service's traffic may leave the place.
func (v *validator) ways(service, place string) []Way {
	var ways []Way
	region := v.regionOf[place]
	for i := range v.doc.Rules {
		r := &v.doc.Rules[i]
		leaves := r.From == place || r.From == region
		if !leaves || (r.Service != "" && r.Service != service) {
			continue
		}
		way := Way{Rule: r.Name, To: r.To, RequestsPerS: r.RequestsPerS, Ramp: r.Ramp}
		to := r.To
		if in, ok := v.regionOf[to]; ok {
			to = in
		}
		if link := v.link[[2]string{to, region}]; link != nil {
			_, answer := v.sizes(r)
			way.Link = to + " to " + region
			way.MbitPerS = mbitPerS(r.RequestsPerS, answer)
			way.UsableMbitPerS = link.UsableMbitPerS()
		}
		ways = append(ways, way)
	}
	return ways
}

// mbitPerS returns the megabits per second of so many requests of a size.
func mbitPerS(requestsPerS int, bytes int64) float64 {
	return float64(requestsPerS) * float64(bytes) * 8 / bitsPerMbit
}
