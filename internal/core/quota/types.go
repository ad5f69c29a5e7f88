package quota

import "time"

// Bounds are the settings that the bound on an account's requests is computed from.
type Bounds struct {
	// Window is the time over which requests are counted.
	Window time.Duration
	// Excess and Slack are what an account may exceed its quota by in a window: a share
	// of the quota, and a number of requests.
	Excess, Slack float64
}

// DefaultBounds are the bounds of a process whose settings give none.
var DefaultBounds = Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// Limit is the quota of an account: Rate in requests per second, greater than 0, and Burst
// in requests.
type Limit struct {
	Account     string
	Rate, Burst float64
}

// Allowed returns how many requests of an account may run in any window.
func (b Bounds) Allowed(l Limit) float64 { return b.quota(l) + b.excess(l) }

func (b Bounds) quota(l Limit) float64 { return l.Rate*b.Window.Seconds() + l.Burst }

// excess is what a window allows beyond the quota.
func (b Bounds) excess(l Limit) float64 { return b.quota(l)*b.Excess + b.Slack }

const (
	// Term is how long an owner counts the tokens that it issued, from its last reply to
	// the holder: some periods of the exchange, so that the holder has tokens while an
	// owner is replaced.
	Term = 2500 * time.Millisecond
	// holderTerm is how long a holder uses them, from when it sent the request. The
	// difference covers clocks that run at different rates.
	holderTerm = Term - Term/50
	// stockTime is the time for which a holder has tokens in stock: two periods of the
	// exchange and a round trip between regions.
	stockTime = 750 * time.Millisecond
	// lowTime is the time that the stock must last, or else the owner is asked at once:
	// about two round trips between regions.
	lowTime = 250 * time.Millisecond
	// askGap is the shortest time between two requests to an owner that are sent at once.
	askGap = 50 * time.Millisecond
	// scarceAskGap is that time for an account for which the owner had less than was wanted.
	scarceAskGap = 150 * time.Millisecond
	// stockShare is the largest part of the capacity that a holder wants to have: several
	// regions with a small demand would otherwise hold all tokens of a small account.
	stockShare = 0.4
	// surplusFactor is the factor by which a stock may exceed what is wanted before it is
	// returned.
	surplusFactor = 1.25
	// stockDeviations is how many standard deviations of the number of arrivals in
	// stockTime the stock covers beyond their mean.
	stockDeviations = 1
	// capacityTime is the time for which a bucket holds tokens at least, if its burst is
	// smaller: owners and holders exchange tokens several times a second only.
	capacityTime = 500 * time.Millisecond
	// floorShare is the part of the excess that all floors get; strangerShare, the part
	// that an owner may store while it doesn't know what holders have; capacityShare, the
	// part by which capacityTime may enlarge a bucket.
	floorShare, strangerShare, capacityShare = 0.5, 0.25, 0.25
	// floorBurst is the part of a floor that can be used at once; the rest is refilled
	// over the window.
	floorBurst = 0.75
	// negligibleDemand is the rate in requests per second below which a region needs no
	// stock: it had no request for some seconds.
	negligibleDemand = 0.1
	// minRetryAfter is the shortest time that a refused client is told to wait.
	minRetryAfter = 50 * time.Millisecond
	// replyTime is the time until an owner that was asked at once has replied: a round trip
	// between regions and a little more.
	replyTime = 150 * time.Millisecond
	// incomeShare is the least part of the rate that a holder is assumed to get, for the
	// time that a refused client is told to wait.
	incomeShare = 0.1
	// incomeSmoothing is the weight of the newest reply in the estimate of that rate.
	incomeSmoothing = 0.3
)

// Request is what a holder reports to an owner and requests of it.
type Request struct {
	// Sequence increases with each request of a holder.
	Sequence uint64
	// Digest identifies the list of accounts that the indices in Items refer to.
	Digest uint32
	// Regions are the regions that the holder dispatches; Owners, those that it takes the
	// receiver for the owner of. Both are sets of bits by the index in the sorted list of
	// regions.
	Regions, Owners uint32
	Items           []Item
}

// Item is the part of a Request about one account.
type Item struct {
	// Account is its index in the list of accounts with a quota, sorted by name.
	Account int
	// Held is the number of tokens that the holder has, also for queued requests; Wanted,
	// how many more it wants.
	Held, Wanted int
}

// Return is the tokens of one account that a holder gives back with a Request.
type Return struct{ Account, Tokens int }

// Grants is an owner's reply to a Request.
type Grants struct {
	// Sequence is that of the request; 0 if the owner rejected it.
	Sequence uint64
	// Tokens are the tokens issued for each of the request's items. Items at the end that
	// get none may be left out.
	Tokens []int
}
