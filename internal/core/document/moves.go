package document

// Move is the traffic of one service that loses its place when one document
// replaces another, with the rules by which it may shift elsewhere.
type Move struct {
	// Service names the service, From the place that its traffic leaves.
	Service string `json:"service"`
	From    string `json:"from"`
	// Slots is the place's part of the service's slots in the old document, if
	// the workers are spread evenly over the service's places.
	Slots int `json:"slots"`
	// Rules are the rules that permit the traffic to shift. Without any, its
	// requests are refused.
	Rules []ShiftRule `json:"ways"`
}

// ShiftRule is a rule that permits traffic to shift, with the bandwidth that
// the answers need at its cap on the link between the regions.
type ShiftRule struct {
	// Rule and To name the rule and its destination.
	Rule string `json:"rule"`
	To   string `json:"to"`
	// RequestsPerS is the rule's cap in requests per second.
	RequestsPerS int `json:"requests_per_s"`
	// Ramp is the time in which the shift increases to the cap.
	Ramp Duration `json:"ramp"`
	// Link names the link that carries the answers, as in "south to north". It
	// is empty without such a link, as within a region.
	Link string `json:"link,omitempty"`
	// MbitPerS is the bandwidth that the answers need at the cap, and
	// UsableMbitPerS the bandwidth of the link that steering may use, both in
	// megabits per second.
	MbitPerS       float64 `json:"mbit_per_s,omitempty"`
	UsableMbitPerS float64 `json:"usable_mbit_per_s,omitempty"`
}

// Moves returns the traffic that loses its place when new replaces old, because
// the place is newly drained or the service no longer lists it. Both documents
// must be valid. Without an old document (nil) there is no traffic.
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
				Rules:   after.shiftRules(s.Name, place),
			})
		}
	}
	return moves
}

// shiftRules returns the rules that permit the service's traffic to leave the
// place.
func (v *validator) shiftRules(service, place string) []ShiftRule {
	var shiftRules []ShiftRule
	region := v.regionOf[place]
	for i := range v.doc.Rules {
		r := &v.doc.Rules[i]
		leaves := r.From == place || r.From == region
		if !leaves || (r.Service != "" && r.Service != service) {
			continue
		}
		shiftRule := ShiftRule{Rule: r.Name, To: r.To, RequestsPerS: r.RequestsPerS, Ramp: r.Ramp}
		to := r.To
		if in, ok := v.regionOf[to]; ok {
			to = in
		}
		if link := v.link[[2]string{to, region}]; link != nil {
			_, answer := v.messageSizes(r)
			shiftRule.Link = to + " to " + region
			shiftRule.MbitPerS = mbitPerS(r.RequestsPerS, answer)
			shiftRule.UsableMbitPerS = link.UsableMbitPerS()
		}
		shiftRules = append(shiftRules, shiftRule)
	}
	return shiftRules
}

// mbitPerS returns the bandwidth of requestsPerS messages per second of the given
// size, in megabits per second.
func mbitPerS(requestsPerS int, bytes int64) float64 {
	return float64(requestsPerS) * float64(bytes) * 8 / bitsPerMbit
}
