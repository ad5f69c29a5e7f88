package claims

import (
	"container/heap"
	"time"

	"sassafrasreach/internal/core/verdict"
)

const (
	// claimBytes is the memory of one claim without its key and answer.
	claimBytes = 512
	// headerFieldBytes and headerValueBytes are the memory of a header field
	// and of each of its values, without their text.
	headerFieldBytes = 96
	headerValueBytes = 16
	// answerShare is the part of MaxBytes that one answer may take, as a
	// divisor.
	answerShare = 8
)

// Config bounds a Table.
type Config struct {
	// MaxEntries bounds the number of claims.
	MaxEntries int
	// MaxBytes bounds the memory of all claims, in bytes as estimated.
	MaxBytes int64
	// Retention is how long after its minting a key may be used.
	Retention time.Duration
	// ClockSkew bounds the difference between the clocks of two entries.
	ClockSkew time.Duration
}

// Table holds the claims of one home. It isn't safe for concurrent use.
type Table struct {
	self   Home
	cfg    Config
	claims map[string]*claim
	// oldest orders the finished claims; those under way are never evicted.
	oldest claimHeap
	bytes  int64
	// floor is the latest minting time among the evicted claims. A key minted
	// by then is refused whatever the clock says, so that a clock that is set
	// back can't bring an evicted key to life.
	floor time.Time
	// former holds the homes whose claims were imported.
	former map[Home]formerHome
	sealed bool
	// running counts the attempts under way.
	running int
}

type claim struct {
	key         Key
	text        string
	fingerprint Fingerprint
	running     bool
	outcome     Outcome
	bytes       int64
	index       int
}

// NewTable returns an empty table for the home self.
func NewTable(self Home, cfg Config) *Table {
	return &Table{
		self:   self,
		cfg:    cfg,
		claims: make(map[string]*claim),
		former: make(map[Home]formerHome),
	}
}

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }

// Bytes returns the estimated memory of all claims.
func (t *Table) Bytes() int64 { return t.bytes }

// Running returns the number of attempts under way.
func (t *Table) Running() int { return t.running }

// Begin decides on an attempt of key k.
//
// A key that came with another request before is refused as MayHaveRun: a
// caller that encodes one filing in two ways sends the same key with two
// bodies, and to tell it NotRun would have it file again.
func (t *Table) Begin(now time.Time, k Key, f Fingerprint) Decision {
	if c, ok := t.claims[k.String()]; ok && !t.expired(now, k) {
		return c.decide(f)
	}
	if k.Home != t.self {
		return t.beginFormer(now, k)
	}
	if t.expired(now, k) {
		return refusal(verdict.MayHaveRun, verdict.ReasonKeyExpired)
	}
	if t.sealed {
		return refusal(verdict.NotRun, verdict.ReasonStopping)
	}
	t.Expire(now)
	c := newClaim(k, f)
	if !t.fits(c.bytes) {
		return refusal(verdict.NotRun, verdict.ReasonClaimsFull)
	}
	c.running = true
	t.running++
	t.add(c)
	return Decision{Kind: Start}
}

// expired reports whether k is out of its time. The home's own keys are judged
// by its own clock; those of a former home by a clock that may differ.
func (t *Table) expired(now time.Time, k Key) bool {
	retention := t.cfg.Retention
	if k.Home != t.self {
		retention -= t.cfg.ClockSkew
	}
	tooOld := now.Sub(k.Minted) >= retention
	tooNew := k.Minted.Sub(now) > t.cfg.ClockSkew
	evicted := k.Home == t.self && !k.Minted.After(t.floor)
	return tooOld || tooNew || evicted
}

// decide answers an attempt of a key that has a claim.
func (c *claim) decide(f Fingerprint) Decision {
	switch {
	case c.fingerprint != f:
		return refusal(verdict.MayHaveRun, verdict.ReasonKeyReused)
	case c.running:
		return Decision{Kind: Wait}
	default:
		return Decision{Kind: Stored, Outcome: c.outcome}
	}
}

// Finish ends the attempt that a Start began. NotRun releases the key; any
// other outcome is stored until the key expires. The table keeps o.Header and
// o.Body: the caller must not change them afterwards.
func (t *Table) Finish(now time.Time, k Key, o Outcome) {
	c, ok := t.claims[k.String()]
	if !ok || !c.running {
		return
	}
	c.running = false
	t.running--
	if o.Verdict == verdict.NotRun {
		t.remove(c)
		return
	}
	t.store(c, o)
	heap.Push(&t.oldest, c)
	t.Expire(now)
}

// store sets the outcome of c, without its answer where that doesn't fit.
func (t *Table) store(c *claim, o Outcome) {
	size := answerBytes(o)
	if size > t.cfg.MaxBytes/answerShare || t.bytes+size > t.cfg.MaxBytes {
		o = withoutAnswer(o)
		size = 0
	}
	c.outcome = o
	c.bytes += size
	t.bytes += size
}

// Expire evicts the finished claims whose keys have expired.
func (t *Table) Expire(now time.Time) {
	for len(t.oldest) > 0 {
		c := t.oldest[0]
		if now.Sub(c.key.Minted) < t.cfg.Retention {
			return
		}
		if c.key.Home == t.self && c.key.Minted.After(t.floor) {
			t.floor = c.key.Minted
		}
		t.remove(c)
	}
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
		heap.Remove(&t.oldest, c.index)
	}
}
