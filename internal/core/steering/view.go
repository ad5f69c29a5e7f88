package steering

import "time"

// GroupView is what is known of one group: the endpoints of a service in a
// place.
type GroupView struct {
	// Live says that an entry of the place and at least one endpoint are in
	// reach.
	Live bool
	// Endpoints counts the endpoints that take work.
	Endpoints int
	// Slots counts the requests that the endpoints may run at once.
	Slots int
	// Busy counts the slots in use.
	Busy int
	// Queued counts the requests that wait for a slot.
	Queued int
	// Latency is the median time that an endpoint needs for a request.
	Latency time.Duration
	// RoundTrip is the measured network round trip to the group's owner; 0
	// means not measured.
	RoundTrip time.Duration
	// Age is the time since the group was last heard of.
	Age time.Duration
}

// View gives the state of groups as one VM sees them.
type View interface {
	// Group returns the state of a service's group in a place; false means
	// that nothing was ever heard of it.
	Group(service, place string) (GroupView, bool)
}

// usable says whether the group can run a request at all.
func (g GroupView) usable() bool { return g.Live && g.Endpoints > 0 && g.Slots > 0 }

// taken counts the requests that run or wait.
func (g GroupView) taken() int { return g.Busy + g.Queued }

// wait estimates the time until a slot comes free for one more request.
func (g GroupView) wait() time.Duration {
	ahead := g.taken() + 1 - g.Slots
	if ahead <= 0 {
		return 0
	}
	return g.Latency * time.Duration(ahead) / time.Duration(g.Slots)
}

// headroom is the share of slots that is free, from 0 to 1.
func (g GroupView) headroom() float64 {
	free := g.Slots - g.taken()
	if free <= 0 {
		return 0
	}
	return float64(free) / float64(g.Slots)
}
