package steering

// Crossing returns the choice of serving a request at the place at: every rule
// that it crosses from origin and every bounded link. For origin itself it
// crosses nothing. False means that the service or a place is unknown, that no
// rule permits it, or that the place is drained for the service.
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
	links := t.linksCrossed(t.places[from].region, to.region)
	return Choice{Place: at, Rules: rules, Links: links}, true
}
