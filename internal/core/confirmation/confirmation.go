// Package confirmation decides for how long a gateway may serve requests with keys by the
// configuration that it applies, although it may not hear of a later one.
//
// A confirmation proves that at some time T0 a majority of the voters had accepted no later
// state, so that none was acknowledged before. Until T0 and the revocation bound, less what
// clocks may differ, the state is recent enough.
package confirmation

import "time"

// rateMargin is the divisor that gives the part of the bound, 2%, by which clocks of two
// VMs may differ over it.
const rateMargin = 50

// DefaultBound is the revocation bound where the settings name none.
const DefaultBound = 5 * time.Second

// Term returns how long a confirmation holds, given the revocation bound.
func Term(bound time.Duration) time.Duration { return bound - bound/rateMargin }

// holdDivisor is the divisor that gives the longest time for which a watch call may be held
// as a part of the bound. With a bound of 5 s it is 0.5 s. A lease then is at most 1.7 s
// old when the last path is lost: 0.7 s since the exchange that confirmed it (0.6 s and a
// round trip), 0.5 s until the call returned, and two round trips of 0.11 s, with 0.3 s to
// spare for late processes. So it holds for 3.2 s more, where 0.6 of the bound is 3 s.
const holdDivisor = 10

// MaxHold returns how long a watch call that renews a lease may be held.
func MaxHold(bound time.Duration) time.Duration { return bound / holdDivisor }

// CalmBound is the least bound with which exchanges between controllers may pause for 0.6 s
// while there is nothing new. With a lower one the confirmations would be too old.
const CalmBound = 4 * time.Second

// Answer is a controller's answer to a watch call. All times are since the gateway's boot,
// all durations at least 0.
type Answer struct {
	// Sent is when the gateway sent the call, and Received when it had the answer.
	Sent, Received time.Duration
	// Held is how long the controller held the call until it took the Age of its
	// confirmation.
	Held, Age time.Duration
}

// Since returns a time by which the confirmation still held, T0. The age was taken at Sent +
// Held or later, and before Received. The time of receipt isn't used otherwise, since the
// answer may have been on its way for any time.
func (a Answer) Since() time.Duration {
	held := min(max(0, a.Held), max(0, a.Received-a.Sent))
	return a.Sent + held - max(0, a.Age)
}

// Lease is the latest confirmation of the applied state. The zero Lease has none. Times are
// since the gateway's boot.
type Lease struct {
	// Since is T0, and Known is false if there was no confirmation.
	Since time.Duration
	Known bool
}

// Renewed returns the lease after an answer whose state isn't later than the applied one.
func (l Lease) Renewed(a Answer) Lease {
	since := a.Since()
	if l.Known && l.Since >= since {
		return l
	}
	return Lease{Since: since, Known: true}
}

// Valid reports whether the lease holds at a time, given the revocation bound.
func (l Lease) Valid(now, bound time.Duration) bool {
	return l.Known && now < l.Since+Term(bound)
}
