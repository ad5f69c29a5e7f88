package budget

import "time"

const (
	defaultWindow         = time.Second
	defaultBins           = 100
	defaultDriftPPM       = 1000
	defaultTerm           = 3 * time.Second
	defaultReportTimeout  = 30 * time.Second
	defaultMaxNewLenders  = 3
	defaultReserveDivisor = 64
	defaultMaxHistory     = 16
	partsPerMillion       = 1_000_000
	bitsPerByte           = 8
	bitsPerMegabit        = 1_000_000
	percent               = 100
)

// DefaultTransit is the default bound on the time between writing a request and
// its arrival at an endpoint of the same place.
const DefaultTransit = 50 * time.Millisecond

// Owner identifies the entry that a ledger belongs to.
type Owner struct {
	// Entry is the entry's name.
	Entry string
	// Incarnation increases at each start of the entry.
	Incarnation uint64
}

// Config holds the times and bounds of a ledger. Window, Transit, DriftPPM and
// Term must be the same on all entries. Zero fields get defaults.
type Config struct {
	// Window is the length of the sliding window in which a cap holds.
	Window time.Duration
	// Transit bounds the time between writing a request and its arrival.
	Transit time.Duration
	// Bins is the number of parts into which a window is divided; use is
	// counted per part.
	Bins int
	// DriftPPM bounds how much faster or slower than real time a clock may run,
	// in parts per million.
	DriftPPM int
	// Term is the longest time for which units are lent.
	Term time.Duration
	// ReportTimeout is how long after its last version report an entry can
	// block the raising of a share. For an entry without a report it counts
	// from the end of the wait after the start. Negative means no limit.
	ReportTimeout time.Duration
	// MaxNewLenders bounds the new lenders tried in one round for one bucket.
	MaxNewLenders int
	// ReserveDivisor gives the part of a share that is never lent: one in
	// ReserveDivisor.
	ReserveDivisor int
	// MaxHistory bounds the earlier splits kept of one bucket.
	MaxHistory int
}

func (c Config) withDefaults() Config {
	setDuration(&c.Window, defaultWindow)
	setDuration(&c.Transit, DefaultTransit)
	setInt(&c.Bins, defaultBins)
	setInt(&c.DriftPPM, defaultDriftPPM)
	setDuration(&c.Term, defaultTerm)
	if c.ReportTimeout == 0 {
		c.ReportTimeout = defaultReportTimeout
	}
	setInt(&c.MaxNewLenders, defaultMaxNewLenders)
	setInt(&c.ReserveDivisor, defaultReserveDivisor)
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

// withDrift returns how long a duration by another clock may last by this one:
// both may be wrong by the drift bound, in opposite directions.
func (c Config) withDrift(d time.Duration) time.Duration {
	return d + 2*time.Duration(int64(d)/partsPerMillion*int64(c.DriftPPM)) + time.Millisecond
}

// quietPeriod returns how long units must be unused before another entry may
// use them: a window, and the transit of the last request.
func (c Config) quietPeriod() time.Duration { return c.withDrift(c.Window + c.Transit) }

// LinkID identifies a link by its two regions.
type LinkID struct {
	From, To string
}

// Charge is what one request needs of rules and links.
type Charge struct {
	// Rules names the rules that apply to the request.
	Rules []string
	// Link is the link over which the request goes from its origin to the entry
	// that admits it; nil for none.
	Link *LinkID
	// Bytes is the most that the request may send over the link.
	Bytes int64
	// AnswerBytes is the most that its answer may send over the link in the
	// other direction. When it is 0, Bytes covers request and answer.
	AnswerBytes int64
}

// LoanRequest requests the loan of an unused part of another entry's share.
type LoanRequest struct {
	// Bucket is the name of the cap's bucket.
	Bucket string
	// Lender is the entry that the request is sent to.
	Lender string
	// Borrower and BorrowerIncarnation identify the entry that sends the
	// request.
	Borrower            string
	BorrowerIncarnation uint64
	// Units is the total amount requested from this lender, including what it
	// has already lent.
	Units int64
	// Term is the requested time.
	Term time.Duration
	// DocumentVersion is the version of the document in force at the borrower.
	DocumentVersion uint64
}

// Grant answers a LoanRequest; zero Units means a refusal.
type Grant struct {
	// Units is the total amount on loan.
	Units int64
	// Term is how long the loan lasts. The borrower counts it from when it sent
	// its request.
	Term time.Duration
}
