package quota

import "time"

const (
	// farBeyond and farBeyondRequests are the RetryAfter of a dispatcher's refusal, and the
	// requests of the quota in that time, from which on an account counts as far beyond its
	// quota: as many refused requests wait for the next tokens. The first refused request of
	// a small account has a long RetryAfter, too.
	farBeyond         = 200 * time.Millisecond
	farBeyondRequests = 10
	// holdShare is the part of that time for which a gateway refuses the account itself, and
	// maxHold its bound: with the next slot request it learns of a quota that has changed.
	holdShare = 0.5
	maxHold   = 300 * time.Millisecond
	// grantedTime is the time before the last answer of a dispatcher whose grants bound what
	// a gateway may run without one.
	grantedTime = time.Second
	// grantedParts is the number of parts in which the grants of grantedTime are counted.
	grantedParts = 10
)

// Gate is what a gateway knows of the quotas of accounts: which are far beyond it, and how
// many requests it was granted lately. It is not safe for concurrent use.
type Gate struct {
	accounts map[string]*gateAccount
	// answeredAt is when a dispatcher last answered.
	answeredAt time.Time
}

// gateAccount is the state of one account.
type gateAccount struct {
	rate float64
	// heldUntil is until when the gateway refuses the account itself, and dueAt when the
	// account can be served again.
	heldUntil, dueAt time.Time
	// granted counts the grants of grantedTime in parts; the newest, at current, began at
	// partAt.
	granted [grantedParts]int
	current int
	partAt  time.Time
	// alone counts the requests that ran without a dispatcher since one answered at
	// aloneSince.
	alone      int
	aloneSince time.Time
}

// NewGate returns a gate that knows of no account.
func NewGate() *Gate { return &Gate{accounts: make(map[string]*gateAccount)} }

// SetLimits replaces the quotas.
func (g *Gate) SetLimits(limits []Limit) {
	before := g.accounts
	g.accounts = make(map[string]*gateAccount, len(limits))
	for _, l := range limits {
		a := before[l.Account]
		if a == nil {
			a = &gateAccount{}
		}
		a.rate = l.Rate
		g.accounts[l.Account] = a
	}
}

// Refused records a dispatcher's refusal for the quota.
func (g *Gate) Refused(now time.Time, name string, retryAfter time.Duration) {
	a := g.accounts[name]
	if a == nil || retryAfter < farBeyond || retryAfter.Seconds()*a.rate < farBeyondRequests {
		return
	}
	a.heldUntil = now.Add(min(time.Duration(holdShare*float64(retryAfter)), maxHold))
	a.dueAt = now.Add(retryAfter)
}

// Holds reports whether a request of an account is refused without a slot request, and
// after which time the client may try again.
func (g *Gate) Holds(now time.Time, name string) (retryAfter time.Duration, holds bool) {
	a := g.accounts[name]
	if a == nil || !now.Before(a.heldUntil) {
		return 0, false
	}
	return a.dueAt.Sub(now), true
}

// Answered records that a dispatcher answered a slot request.
func (g *Gate) Answered(now time.Time) { g.answeredAt = now }

// Granted records a granted slot of a request's first slot request.
func (g *Gate) Granted(now time.Time, name string) {
	if a := g.accounts[name]; a != nil {
		a.advance(now)
		a.granted[a.current]++
	}
}

// advance moves to the part of the current time and clears those that are too old.
func (a *gateAccount) advance(now time.Time) {
	const part = grantedTime / grantedParts
	if now.Sub(a.partAt) >= 2*grantedTime {
		a.granted, a.partAt = [grantedParts]int{}, now
	}
	for now.Sub(a.partAt) >= part {
		a.partAt = a.partAt.Add(part)
		a.current = (a.current + 1) % grantedParts
		a.granted[a.current] = 0
	}
}

// TakeAlone reports whether a request of an account may run without a dispatcher, and
// counts it. All such requests since the last answer of a dispatcher are at most as many as
// were granted in grantedTime before it.
func (g *Gate) TakeAlone(name string) bool {
	a := g.accounts[name]
	if a == nil {
		return true
	}
	if !a.aloneSince.Equal(g.answeredAt) {
		a.alone, a.aloneSince = 0, g.answeredAt
	}
	a.advance(g.answeredAt)
	granted := 0
	for _, n := range a.granted {
		granted += n
	}
	if a.alone >= granted {
		return false
	}
	a.alone++
	return true
}

// ReturnAlone takes back the count of a request that didn't run.
func (g *Gate) ReturnAlone(name string) {
	if a := g.accounts[name]; a != nil {
		a.alone = max(0, a.alone-1)
	}
}
