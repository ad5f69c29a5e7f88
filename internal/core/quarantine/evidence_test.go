package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
)

// restored returns a table of a process that starts after a time with the evidence of another.
func (b *testTable) restored(after time.Duration) *testTable {
	next := newTestTable()
	next.now = b.now.Add(after)
	for _, e := range b.Evidence(b.now) {
		if e.Quarantined == 0 {
			e.Age += after
		}
		next.Restore(next.now, e)
	}
	return next
}

// TestEvidenceOutlivesTable guards against crashes that a process forgets when it starts again, and
// against requests that are held back by them for longer than before.
func TestEvidenceOutlivesTable(t *testing.T) {
	cases := map[string]struct {
		play  func(b *testTable)
		after time.Duration
		// left is how many more crashes the request may cause.
		left int
	}{
		"nothing":             {play: func(*testTable) {}, left: 2},
		"one reset":           {play: func(b *testTable) { b.reset("w1") }, left: 1},
		"two resets":          {play: func(b *testTable) { b.reset("w1"); b.reset("w2") }, left: 0},
		"one death":           {play: func(b *testTable) { b.reset("w1"); b.RecordDeath(b.now, "w1", 1) }, left: 1},
		"a quarantine":        {play: func(b *testTable) { b.Add(b.now, poison, time.Minute) }, left: 0},
		"an old reset":        {play: func(b *testTable) { b.reset("w1") }, after: cfg.Hold, left: 2},
		"an alive one":        {play: func(b *testTable) { b.reset("w1"); b.advance(cfg.LivenessMargin); b.RecordReport(b.now, "w1", 1) }, left: 2},
		"an answer":           {play: func(b *testTable) { b.reset("w1"); b.answer("w2") }, left: 2},
		"after answers":       {play: func(b *testTable) { b.answer("w1"); b.reset("w2") }, left: 2},
		"kept for another VM": {play: func(b *testTable) { b.answer("w1"); b.reset("w2"); b.Keep(poison) }, left: 1},
		"three after answers": {play: func(b *testTable) {
			b.answer("w1")
			b.reset("w2")
			b.reset("w3")
			b.reset("w4")
		}, left: 0},
		"deaths of others": {play: func(b *testTable) {
			b.reset("w1")
			b.RecordDeath(b.now, "w1", 1)
			for i := range cfg.CorrelatedDeaths {
				b.RecordDeath(b.now, fmt.Sprint("other", i), 1)
			}
		}, left: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestTable()
			c.play(b)
			next := b.restored(c.after).restored(0)
			left := 0
			for next.mayStart() && left < 5 {
				left++
				next.reset(fmt.Sprint("next", left))
			}
			is.Equal(left, c.left)
		})
	}
}

// answer lets a run on the endpoint be answered.
func (b *testTable) answer(endpoint string) {
	b.BeginRun(b.now, endpoint, 1, poison, "roster-desk")
	b.end(endpoint, poison, quarantine.Answered)
}

// TestRestoreChecks guards against evidence that can't be used, is too old, or is older than a lift of
// the request, and has an effect.
func TestRestoreChecks(t *testing.T) {
	is := is.New(t)
	b := newTestTable()
	sound := quarantine.Evidence{Fingerprint: poison, Quarantined: time.Hour, Version: 5}
	for _, e := range []quarantine.Evidence{
		{Quarantined: time.Minute},
		{Fingerprint: poison},
		{Fingerprint: poison, Endpoint: "w1", Age: -1},
		{Fingerprint: poison, Endpoint: "w1", Age: cfg.Hold},
	} {
		is.True(!b.Restore(b.now, e))
	}
	is.True(b.mayStart())
	b.ApplyLift(b.now, poison, 6)
	is.True(!b.Restore(b.now, sound))
	is.True(b.mayStart())
	sound.Version = 7
	is.True(b.Restore(b.now, sound))
	b.advance(cfg.Hold) // no longer, whatever it says
	_, stopped := b.Check(b.now, poison)
	is.True(!stopped)
}

// TestEvidenceBounded guards against evidence that grows without bound, and against quarantines that
// it loses first.
func TestEvidenceBounded(t *testing.T) {
	is := is.New(t)
	b := newTestTable()
	for i := range 2 * quarantine.MaxEvidence {
		f := fingerprint.Of("s", "GET", fmt.Sprint("/", i))
		b.RecordReset(b.now, "w1", 1, f)
	}
	b.advance(time.Second)
	b.Add(b.now, poison, time.Minute)
	all := b.Evidence(b.now)
	is.Equal(len(all), quarantine.MaxEvidence)
	is.Equal(all[0].Fingerprint, poison)
}
