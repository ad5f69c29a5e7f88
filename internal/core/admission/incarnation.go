package admission

// Incarnation returns the newest known incarnation of an endpoint, 0 if none,
// and whether that one has announced that it leaves.
func (g *Group) Incarnation(id string) (incarnation uint64, leaving bool) {
	e := g.byID[id]
	if e == nil {
		return 0, false
	}
	return e.incarnation, e.leaving
}
