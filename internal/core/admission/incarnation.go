package admission

// Incarnation returns the newest incarnation of an endpoint that was heard of,
// 0 for none, and whether that one says that it leaves.
func (g *Group) Incarnation(id string) (incarnation uint64, leaving bool) {
	e := g.byID[id]
	if e == nil {
		return 0, false
	}
	return e.incarnation, e.leaving
}
