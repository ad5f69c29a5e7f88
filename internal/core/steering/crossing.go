package steering

// Crossing returns what a request of a service from origin crosses when it is
// served at place: every matching rule and every bounded link. False means
// that no rule permits it, or that the place is drained for the service.
func (t *Table) Crossing(service, origin, place string) (Choice, bool) {
	s, ok := t.services[service]
	if !ok {
		return Choice{}, false
	}
	if place == origin {
		return Choice{Place: place}, true
	}
	if t.Drained(service, place) {
		return Choice{}, false
	}
	rules := t.rules(s, origin, place)
	if len(rules) == 0 {
		return Choice{}, false
	}
	return Choice{Place: place, Rules: rules, Links: t.crossed(origin, place)}, true
}
