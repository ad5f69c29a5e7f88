package budget

import "time"

const (
	defaultWindow     = time.Second
	defaultBins       = 100
	defaultDriftPPM   = 1000
	defaultTerm       = 3 * time.Second
	defaultForget     = 30 * time.Second
	defaultAskAtOnce  = 3
	defaultKeepOneIn  = 64
	defaultMaxHistory = 16
	partsPerMillion   = 1_000_000
	bitsPerByte       = 8
	bitsPerMegabit    = 1_000_000
	percent           = 100
)

// DefaultTransit bounds the time from when a request is written to when it
// arrives at an endpoint of the same place.
const DefaultTransit = 50 * time.Millisecond

// Owner is the entry that a ledger belongs to.
type Owner struct {
	// Entry is the entry's name.
	Entry string
	// Incarnation rises at each start of the entry.
	Incarnation uint64
}

// Config holds the times and bounds of a ledger. Window, Transit, DriftPPM and
// Term must be the same on all entries. Zero fields get defaults.
type Config struct {
	// Window is the window in which a cap holds.
	Window time.Duration
	// Transit bounds the time from when a request is written to when it arrives.
	Transit time.Duration
	// Bins is the number of parts of a window; use is counted per part.
	Bins int
	// DriftPPM bounds how much faster or slower than true a clock may run, in
	// parts per million.
	DriftPPM int
	// Term is the longest time of a loan.
	Term time.Duration
	// Forget is how long an entry that isn't heard of holds up the raising of a
	// share after a restart or a change; negative means for ever.
	Forget time.Duration
	// AskAtOnce bounds the new lenders asked in one round for one bucket.
	AskAtOnce int
	// KeepOneIn is the part of a share that is never lent: one in KeepOneIn.
	KeepOneIn int
	// MaxHistory bounds the former splits kept of one bucket.
	MaxHistory int
}

func (c Config) withDefaults() Config {
	setDuration(&c.Window, defaultWindow)
	setDuration(&c.Transit, DefaultTransit)
	setInt(&c.Bins, defaultBins)
	setInt(&c.DriftPPM, defaultDriftPPM)
	setDuration(&c.Term, defaultTerm)
	if c.Forget == 0 {
		c.Forget = defaultForget
	}
	setInt(&c.AskAtOnce, defaultAskAtOnce)
	setInt(&c.KeepOneIn, defaultKeepOneIn)
	setInt(&c.MaxHistory, defaultMaxHistory)
	return c
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

func setInt(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}

// slower is how long a duration of another clock may take on this one: both
// may be wrong by the drift bound, in opposite directions.
func (c Config) slower(d time.Duration) time.Duration {
	return d + 2*time.Duration(int64(d)/partsPerMillion*int64(c.DriftPPM)) + time.Millisecond
}

// lull is how long units must lie unused before another entry may use them: a
// window, and the transit of what was sent last.
func (c Config) lull() time.Duration { return c.slower(c.Window + c.Transit) }

// LinkID names a link by its two regions.
type LinkID struct {
	From, To string
}

// Charge is what one request needs.
type Charge struct {
	// Rules names the rules that the request crosses.
	Rules []string
	// Link is the link that the request crosses, from its origin to the entry
	// that admits it; nil for none.
	Link *LinkID
	// Bytes bounds what the request puts on the link.
	Bytes int64
	// AnswerBytes bounds what its answer puts on the link in the other
	// direction. When it is 0, Bytes is taken to bound both.
	AnswerBytes int64
}

// BorrowRequest asks another entry for the loan of an unused part of its share.
type BorrowRequest struct {
	// Bucket names the cap.
	Bucket string
	// Lender is the entry that is asked.
	Lender string
	// Borrower and BorrowerIncarnation name the entry that asks.
	Borrower            string
	BorrowerIncarnation uint64
	// Units is the whole amount wanted from this lender, with what it has
	// already lent.
	Units int64
	// Term is the time wanted.
	Term time.Duration
	// DocumentVersion is the version of the document in force at the borrower.
	DocumentVersion uint64
}

// Grant answers a BorrowRequest; no units is a refusal.
type Grant struct {
	// Units is the whole amount on loan.
	Units int64
	// Term is counted by the borrower from when it sent its request.
	Term time.Duration
}
