package dispatch

import "time"

const (
	// connectionFresh is how long after a run its gateway is assumed to keep the idle
	// connection. Gateways keep them for about as long if an endpoint doesn't state more.
	connectionFresh = 4 * time.Second
	// connectionCost is the time, besides a round trip, that a new connection is counted
	// for in the comparison of endpoints. It takes about 1 ms, and has a price. It is
	// small against a run: it decides among about equally good endpoints only.
	connectionCost = 5 * time.Millisecond
	// maxConnectedGateways bounds the gateways whose connections to an endpoint are
	// remembered. A region has some tens of gateways.
	maxConnectedGateways = 256
)

// connections holds the idle connections that gateways are assumed to have to an endpoint.
type connections map[string]idleConnections

// idleConnections are those of one gateway; the last one became idle at the time since.
type idleConnections struct {
	count int
	since time.Time
}

func (c connections) fresh(now time.Time, gateway string) bool {
	idle, ok := c[gateway]
	return ok && idle.count > 0 && now.Sub(idle.since) < connectionFresh
}

// take records that a run of a gateway begins.
func (c connections) take(now time.Time, gateway string) {
	idle, ok := c[gateway]
	switch {
	case !ok:
	case idle.count <= 1 || now.Sub(idle.since) >= connectionFresh:
		delete(c, gateway)
	default:
		idle.count--
		c[gateway] = idle
	}
}

// put records the end of a run after which its connection was kept.
func (c connections) put(now time.Time, gateway string) {
	if _, ok := c[gateway]; !ok && len(c) >= maxConnectedGateways {
		c.removeStale(now)
	}
	if _, ok := c[gateway]; ok || len(c) < maxConnectedGateways {
		c[gateway] = idleConnections{count: c[gateway].count + 1, since: now}
	}
}

func (c connections) removeStale(now time.Time) {
	for gateway, idle := range c {
		if now.Sub(idle.since) >= connectionFresh {
			delete(c, gateway)
		}
	}
}

// connectionCost returns the time in seconds for which a new connection of a gateway to the
// endpoint counts; 0 if the gateway has an idle one.
func (s *server) connectionCost(now time.Time, gateway string) float64 {
	if gateway == "" || s.connections.fresh(now, gateway) {
		return 0
	}
	return (connectionCost + s.roundTrip).Seconds()
}

// endConnection records the end of a run.
func (s *server) endConnection(now time.Time, gateway string, outcome Outcome) {
	if gateway != "" && (outcome == Served || outcome == Refused) {
		s.connections.put(now, gateway)
	}
}
