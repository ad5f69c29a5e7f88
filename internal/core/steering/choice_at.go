package steering

// ChoiceAt returns every rule and every bounded link that a request of a service
// crosses when it moves from origin to the place at. Served at origin itself it
// crosses none, even if origin is drained. Otherwise, false means that a place
// is unknown, that no rule permits the request, or that at is drained for the
// service. False also means that the service is unknown.
func (t *Table) ChoiceAt(service, origin, at string) (Choice, bool) {
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
