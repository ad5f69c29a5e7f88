package steering

import "time"

// GroupView is the known state of one group: the endpoints of a service in a
// place.
type GroupView struct {
	// Live says that the group has a live owner and at least one reachable
	// endpoint.
	Live bool
	// Endpoints counts the endpoints that accept requests.
	Endpoints int
	// Slots counts the requests that the endpoints may run at the same time.
	Slots int
	// Busy counts the slots in use.
	Busy int
	// Queued counts the requests that wait for a slot.
	Queued int
	// Latency is the median time that an endpoint takes for a request.
	Latency time.Duration
	// RoundTrip is the measured network round trip to the group's owner; 0
	// means that it was not measured.
	RoundTrip time.Duration
	// Age is the time since the last report of the group.
	Age time.Duration
}

// View provides the state of groups as one VM knows it.
type View interface {
	// Group returns the state of a service's group in a place; false means that
	// no report of it was ever received.
	Group(service, place string) (GroupView, bool)
}

// usable reports whether the group can run a request.
func (g GroupView) usable() bool { return g.Live && g.Endpoints > 0 && g.Slots > 0 }

// outstanding counts the requests that run or wait.
func (g GroupView) outstanding() int { return g.Busy + g.Queued }

// estimatedWait estimates the time until a slot becomes free for one more
// request.
func (g GroupView) estimatedWait() time.Duration {
	ahead := g.outstanding() + 1 - g.Slots
	if ahead <= 0 {
		return 0
	}
	return g.Latency * time.Duration(ahead) / time.Duration(g.Slots)
}

// headroom is the fraction of slots that are free, from 0 to 1.
func (g GroupView) headroom() float64 {
	free := g.Slots - g.outstanding()
	if free <= 0 {
		return 0
	}
	return float64(free) / float64(g.Slots)
}
