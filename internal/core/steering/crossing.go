package steering

// Crossing returns what a request of a service from origin crosses when it is
// served at a place: every matching rule and every bounded link. False means
// that no rule permits it, or that the place is drained for the service.
func (t *Table) Crossing(service, origin, at string) (Choice, bool) {
	s, ok := t.services[service]
	if !ok {
		return Choice{}, false
	}
	if at == origin {
		return Choice{Place: at}, true
	}
	from, okFrom := t.indexes[origin]
	index, okTo := t.indexes[at]
	if !okFrom || !okTo || t.Drained(service, at) {
		return Choice{}, false
	}
	to := &t.places[index]
	rules := rulesTo(s.rulesFrom[from], to)
	if len(rules) == 0 {
		return Choice{}, false
	}
	links := t.crossed(t.places[from].region, to.region)
	return Choice{Place: at, Rules: rules, Links: links}, true
}
