package claims

import (
	"container/heap"
	"time"

	"sassafrasreach/internal/core/verdict"
)

// DefaultFirstUse is how long after its minting a key may start.
const DefaultFirstUse = time.Minute

const (
	// claimBytes is the memory of one claim without its key and answer.
	claimBytes = 704
	// headerFieldBytes and headerValueBytes are the memory of a header field
	// and of each of its values, without their text.
	headerFieldBytes = 96
	headerValueBytes = 16
	// maxAnswerDivisor gives the part of MaxBytes that one answer may take: one
	// in maxAnswerDivisor.
	maxAnswerDivisor = 8
)

// Config bounds a Table.
type Config struct {
	// MaxEntries bounds the number of claims.
	MaxEntries int
	// MaxBytes bounds the estimated memory of all claims, in bytes.
	MaxBytes int64
	// Retention is how long after its minting the claim of a key that may have
	// run is kept.
	Retention time.Duration
	// FirstUse is how long after its minting a key may start; zero means
	// DefaultFirstUse. A value above Retention is lowered to it.
	FirstUse time.Duration
	// ClockSkew bounds the difference between the clocks of two entries.
	ClockSkew time.Duration
}

// Table holds the claims of one coordinator, and claims imported from former
// coordinators. It isn't safe for concurrent use.
type Table struct {
	self   Coordinator
	cfg    Config
	claims map[string]*claim
	// expiryHeap orders the finished claims by expiry; those in flight are
	// never evicted.
	expiryHeap claimHeap
	bytes      int64
	// mayHaveRunUpTo is the latest minting time among the evicted claims of this
	// coordinator that may have run. notRunUpTo is the latest among its keys that
	// were reported NotRun and have no claim. Keys minted up to these times never
	// start, so that an evicted key can't start after the clock is set back.
	mayHaveRunUpTo time.Time
	notRunUpTo     time.Time
	// former holds the former coordinators whose claims were imported.
	former map[Coordinator]formerCoordinator
	sealed bool
	// running is the number of attempts in flight.
	running int
}

type claim struct {
	key         Key
	text        string
	fingerprint Fingerprint
	running     bool
	outcome     Outcome
	bytes       int64
	// expires is when a finished claim may be evicted, and index its position
	// in the heap.
	expires time.Time
	index   int
}

// NewTable returns an empty table for the coordinator self.
func NewTable(self Coordinator, cfg Config) *Table {
	if cfg.FirstUse <= 0 {
		cfg.FirstUse = DefaultFirstUse
	}
	cfg.FirstUse = min(cfg.FirstUse, cfg.Retention)
	return &Table{
		self:   self,
		cfg:    cfg,
		claims: make(map[string]*claim),
		former: make(map[Coordinator]formerCoordinator),
	}
}

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }

// Bytes returns the estimated memory of all claims.
func (t *Table) Bytes() int64 { return t.bytes }

// Running returns the number of attempts in flight.
func (t *Table) Running() int { return t.running }

// Begin decides on an attempt of key k. A refusal as NotRun is final: the key
// never starts afterwards, though copies of the request may still be in flight,
// and the caller takes a new key to try again.
//
// A key that was used with another request before is refused as MayHaveRun,
// unless its outcome was NotRun. The reason is a caller that encodes one request
// in two ways and so sends the same key with two bodies: on NotRun it would send
// the request again with a new key, although the first body may have run.
func (t *Table) Begin(now time.Time, k Key, f Fingerprint) Decision {
	t.Expire(now)
	if c, ok := t.claims[k.String()]; ok {
		return c.decide(f)
	}
	if k.Coordinator != t.self {
		return t.beginFormer(now, k)
	}
	if t.mayHaveBeenEvicted(now, k) {
		return refusal(verdict.MayHaveRun, verdict.ReasonKeyExpired)
	}
	if t.sealed {
		return refusal(verdict.NotRun, verdict.ReasonStopping)
	}
	if now.Sub(k.Minted) >= t.cfg.FirstUse || !k.Minted.After(t.notRunUpTo) {
		return t.refuseNotRun(k, verdict.ReasonKeyExpired)
	}
	c := newClaim(k, f)
	if !t.fits(c.bytes) {
		return t.refuseNotRun(k, verdict.ReasonClaimsFull)
	}
	c.running = true
	t.running++
	t.add(c)
	return Decision{Kind: Start}
}

// refuseNotRun refuses a key that has no claim as NotRun, and makes that final.
func (t *Table) refuseNotRun(k Key, reason verdict.Reason) Decision {
	t.notRunUpTo = later(t.notRunUpTo, k.Minted)
	return refusal(verdict.NotRun, reason)
}

// mayHaveBeenEvicted reports whether a key without a claim may have had one
// that was evicted, or can't have been minted by the coordinator because its
// time is too far in the future.
func (t *Table) mayHaveBeenEvicted(now time.Time, k Key) bool {
	tooOld := now.Sub(k.Minted) >= t.cfg.Retention
	tooNew := k.Minted.Sub(now) > t.cfg.ClockSkew
	return tooOld || tooNew || !k.Minted.After(t.mayHaveRunUpTo)
}

// decide answers an attempt of a key that has a claim.
func (c *claim) decide(f Fingerprint) Decision {
	switch {
	case c.fingerprint != f && !c.running && c.outcome.Verdict == verdict.NotRun:
		return refusal(verdict.NotRun, verdict.ReasonKeyReused)
	case c.fingerprint != f:
		return refusal(verdict.MayHaveRun, verdict.ReasonKeyReused)
	case c.running:
		return Decision{Kind: Wait}
	default:
		return Decision{Kind: Stored, Outcome: c.outcome}
	}
}

// Finish ends the attempt that a Start began and stores its outcome: NotRun
// until the key may no longer start, any other verdict until Retention is over.
// The table keeps o.Header and o.Body: the caller must not change them
// afterwards.
func (t *Table) Finish(now time.Time, k Key, o Outcome) {
	c, ok := t.claims[k.String()]
	if !ok || !c.running {
		return
	}
	c.running = false
	t.running--
	t.store(c, o)
	t.Expire(now)
}

// store sets the outcome of c. It omits header and body when they don't fit.
func (t *Table) store(c *claim, o Outcome) {
	size := answerBytes(o)
	if size > t.cfg.MaxBytes/maxAnswerDivisor || t.bytes+size > t.cfg.MaxBytes {
		o = withoutAnswer(o)
		size = 0
	}
	c.outcome = o
	c.bytes += size
	t.bytes += size
	c.expires = c.key.Minted.Add(t.cfg.Retention)
	if o.Verdict == verdict.NotRun {
		c.expires = c.key.Minted.Add(t.cfg.FirstUse)
	}
	heap.Push(&t.expiryHeap, c)
}

// Expire evicts the finished claims that have expired.
func (t *Table) Expire(now time.Time) {
	for len(t.expiryHeap) > 0 && !now.Before(t.expiryHeap[0].expires) {
		c := t.expiryHeap[0]
		t.remove(c)
		t.recordEviction(c)
	}
}

// recordEviction keeps the keys minted up to the evicted one from starting.
func (t *Table) recordEviction(c *claim) {
	former, imported := t.former[c.key.Coordinator]
	switch {
	case c.key.Coordinator != t.self && !imported:
		// Keys of an unknown coordinator are refused as MayHaveRun in any case.
	case imported:
		former.evictedUpTo = later(former.evictedUpTo, c.key.Minted)
		t.former[c.key.Coordinator] = former
	case c.outcome.Verdict == verdict.NotRun:
		t.notRunUpTo = later(t.notRunUpTo, c.key.Minted)
	default:
		t.mayHaveRunUpTo = later(t.mayHaveRunUpTo, c.key.Minted)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *Table) fits(size int64) bool {
	return len(t.claims) < t.cfg.MaxEntries && t.bytes+size <= t.cfg.MaxBytes
}

func newClaim(k Key, f Fingerprint) *claim {
	text := k.String()
	return &claim{key: k, text: text, fingerprint: f, bytes: claimBytes + int64(2*len(text)), index: notQueued}
}

func (t *Table) add(c *claim) {
	t.claims[c.text] = c
	t.bytes += c.bytes
}

func (t *Table) remove(c *claim) {
	delete(t.claims, c.text)
	t.bytes -= c.bytes
	if c.index != notQueued {
		heap.Remove(&t.expiryHeap, c.index)
	}
}
