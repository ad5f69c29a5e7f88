package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
)

var (
	epoch  = time.Unix(1_000_000, 0)
	cfg    = quarantine.DefaultConfig()
	poison = fingerprint.Of("roster-desk", "GET", "/poison", nil)
	second = fingerprint.Of("roster-desk", "GET", "/second", nil)
)

// testTable is a table with a clock of its own.
type testTable struct {
	*quarantine.Table
	now time.Time
}

func newTestTable() *testTable { return &testTable{quarantine.NewTable(cfg), epoch} }

func (b *testTable) advance(d time.Duration) { b.now = b.now.Add(d) }

func (b *testTable) start(endpoint string, f fingerprint.Fingerprint) quarantine.Admission {
	return b.StartRun(b.now, endpoint, 1, f, "roster-desk")
}

func (b *testTable) end(endpoint string, f fingerprint.Fingerprint, end quarantine.End) quarantine.Change {
	return b.EndRun(b.now, endpoint, 1, f, end)
}

// kill starts f on the endpoint, which then dies.
func (b *testTable) kill(endpoint string, f fingerprint.Fingerprint) quarantine.Change {
	b.start(endpoint, f)
	b.end(endpoint, f, quarantine.Reset)
	b.advance(time.Second)
	return b.RecordDeath(b.now, endpoint, 1)
}

// prove lets a run of f be answered once.
func (b *testTable) prove(f fingerprint.Fingerprint) {
	b.start("w0", f)
	b.end("w0", f, quarantine.Answered)
}

// TestAdmission prepares a table and checks whether another run of the
// fingerprint may start. It guards against admitting a run that may crash a
// third endpoint, and against refusing a request that is not suspected.
func TestAdmission(t *testing.T) {
	type B = *testTable
	const ok, wait, no = quarantine.Admitted, quarantine.Wait, quarantine.Refused
	kill := func(endpoints ...string) func(B) {
		return func(b B) {
			for _, e := range endpoints {
				b.kill(e, poison)
			}
		}
	}
	correlated := func(others int, apart time.Duration) func(B) {
		return func(b B) {
			b.start("w1", poison)
			b.start("w2", poison)
			b.RecordDeath(b.now, "w1", 1)
			b.RecordDeath(b.now, "w2", 1)
			b.advance(apart)
			for n := range others {
				b.RecordDeath(b.now, fmt.Sprint("o", n), 1)
			}
		}
	}
	giveUp := func(b B, end quarantine.End, after time.Duration) {
		b.start("w1", poison)
		b.start("w2", poison)
		b.end("w1", poison, end)
		b.end("w2", poison, end)
		b.advance(after)
		b.start("w2", second)
		b.end("w2", second, quarantine.Answered)
	}
	died := func(b B) { b.RecordDeath(b.now, "w1", 1) }
	expire := func(b B) {
		for _, dead := range b.Expire(b.now) {
			b.RecordDeath(b.now, dead.Endpoint, dead.Incarnation)
		}
	}
	// dieLater gives up a run whose endpoint dies after a while.
	dieLater := func(b B, after time.Duration, die func(B)) {
		b.start("w1", poison)
		b.end("w1", poison, quarantine.Abandoned)
		b.advance(after)
		die(b)
		b.kill("w2", poison)
	}
	cases := []struct {
		name   string
		before func(B)
		want   quarantine.Admission
	}{
		{"first", func(B) {}, ok},
		{"two in flight", func(b B) { b.start("w1", poison); b.start("w2", poison) }, wait},
		{"proven, many in flight", func(b B) { b.prove(poison); b.start("w1", poison); b.start("w2", poison) }, ok},
		{"one answered of two", func(b B) { b.start("w1", poison); b.start("w2", poison); b.end("w1", poison, quarantine.Answered) }, ok},
		{"not started twice", func(b B) {
			b.start("w1", poison)
			b.start("w2", poison)
			b.end("w1", poison, quarantine.NotStarted)
			b.end("w2", poison, quarantine.NotStarted)
		}, ok},
		{"two resets, no death reported yet", func(b B) {
			b.start("w1", poison)
			b.start("w2", poison)
			b.end("w1", poison, quarantine.Reset)
			b.end("w2", poison, quarantine.Reset)
		}, no},
		{"two resets long ago", func(b B) {
			b.start("w1", poison)
			b.start("w2", poison)
			b.end("w1", poison, quarantine.Reset)
			b.end("w2", poison, quarantine.Abandoned)
			b.advance(cfg.DetectionTimeout)
		}, ok},
		{"two given up, an endpoint answers later", func(b B) { giveUp(b, quarantine.Abandoned, cfg.LivenessMargin) }, ok},
		{"two given up, an endpoint answers at once", func(b B) { giveUp(b, quarantine.Abandoned, cfg.LivenessMargin-1) }, no},
		{"two resets, an endpoint answers later", func(b B) { giveUp(b, quarantine.Reset, cfg.LivenessMargin) }, no},
		{"two resets, an endpoint answers long after", func(b B) { giveUp(b, quarantine.Reset, cfg.DetectionTimeout) }, ok},
		{"two resets, an endpoint reports itself", func(b B) {
			giveUp(b, quarantine.Reset, cfg.LivenessMargin)
			b.RecordReport(b.now, "w1", 1)
			b.advance(cfg.DetectionTimeout)
		}, ok},
		{"two resets, no report or answer", func(b B) {
			giveUp(b, quarantine.Reset, 0)
			b.RecordReport(b.now, "w1", 1)
			b.advance(cfg.DetectionTimeout)
			expire(b)
			b.advance(cfg.Hold - 1)
		}, no},
		{"one death", kill("w1"), ok},
		{"one death, one in flight", func(b B) { b.kill("w1", poison); b.start("w2", poison) }, wait},
		{"one death, one lost", func(b B) { b.kill("w1", poison); b.start("w2", poison); b.end("w2", poison, quarantine.Abandoned) }, no},
		{"one death, proven before", func(b B) { b.prove(poison); b.kill("w1", poison); b.start("w2", poison) }, wait},
		{"one death reported twice", func(b B) { b.kill("w1", poison); b.RecordDeath(b.now, "w1", 1, poison) }, ok},
		{"one death, then an answer", func(b B) { b.kill("w1", poison); b.start("w2", poison); b.end("w2", poison, quarantine.Answered) }, ok},
		{"two deaths, an answer between", func(b B) {
			b.kill("w1", poison)
			b.start("w2", poison)
			b.end("w2", poison, quarantine.Answered)
			b.advance(cfg.Proven)
			b.kill("w3", poison)
		}, ok},
		{"two deaths", kill("w1", "w2"), no},
		{"two deaths, fingerprint named in the report", func(b B) {
			b.RecordDeath(b.now, "w1", 1, second)
			b.RecordDeath(b.now, "w1", 1, poison)
			b.RecordDeath(b.now, "w2", 1, poison)
		}, no},
		{"death after the fingerprint is no longer held back", func(b B) { dieLater(b, cfg.AttributionTimeout-1, died) }, no},
		{"death long after the loss", func(b B) { dieLater(b, cfg.AttributionTimeout, died) }, ok},
		{"late death, an answer between", func(b B) {
			dieLater(b, cfg.DetectionTimeout, func(b B) { b.prove(poison); b.advance(cfg.Proven); died(b) })
		}, ok},
		{"given up, the endpoint stops reporting", func(b B) { b.RecordReport(b.now, "w1", 1); dieLater(b, cfg.DetectionTimeout, expire) }, no},
		{"given up, the endpoint answers others", func(b B) {
			b.RecordReport(b.now, "w1", 1)
			dieLater(b, cfg.DetectionTimeout, func(b B) { b.start("w1", second); b.end("w1", second, quarantine.Answered); expire(b) })
		}, ok},
		{"given up, the endpoint left", func(b B) {
			b.RecordReport(b.now, "w1", 1)
			b.RecordLeaving(b.now, "w1", 1)
			dieLater(b, cfg.DetectionTimeout, expire)
		}, ok},
		{"quarantine, requested before its end", func(b B) {
			kill("w1", "w2")(b)
			b.advance(cfg.Hold - 1)
			b.start("w3", poison)
			b.advance(cfg.Hold - 1)
		}, no},
		{"quarantine over", func(b B) { kill("w1", "w2")(b); b.advance(cfg.Hold) }, ok},
		{"quarantine lifted", func(b B) { kill("w1", "w2")(b); b.Lift(poison) }, ok},
		{"quarantine from a peer", func(b B) { b.Add(b.now, poison, time.Minute) }, no},
		{"suspect of a peer", func(b B) { b.Suspect(b.now, poison, time.Minute) }, no},
		{"suspect of a peer, proven here", func(b B) { b.prove(poison); b.Suspect(b.now, poison, time.Minute) }, ok},
		{"correlated failure", correlated(cfg.CorrelatedDeaths, cfg.CorrelationWindow), ok},
		{"fewer other deaths", correlated(cfg.CorrelatedDeaths-1, cfg.CorrelationWindow), no},
		{"other deaths later", correlated(cfg.CorrelatedDeaths, cfg.CorrelationWindow+1), no},
		{"correlated failure, proven on all", func(b B) {
			b.prove(poison)
			for n := range 6 {
				b.start(fmt.Sprint("w", n), poison)
			}
			for n := range 6 {
				b.RecordDeath(b.now, fmt.Sprint("w", n), 1)
			}
		}, ok},
		{"two poisons at once", func(b B) {
			b.RecordDeath(b.now, "v1", 1, second)
			b.RecordDeath(b.now, "v2", 1, second)
			b.RecordDeath(b.now, "o1", 1)
			b.RecordDeath(b.now, "o2", 1)
			b.RecordDeath(b.now, "w1", 1, poison)
			b.RecordDeath(b.now, "w2", 1, poison)
		}, no},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestTable()
			c.before(b)
			is.New(t).Equal(b.start("w9", poison), c.want)
		})
	}
}

// TestChanges checks which changes a table returns for the other entries: a
// suspicion after a reset and after a first death, a quarantine after the
// second, and a lift when both turn out to be part of a correlated failure.
func TestChanges(t *testing.T) {
	is := is.New(t)
	b := newTestTable()
	all := []fingerprint.Fingerprint{poison}
	b.start("w1", poison)
	is.Equal(b.end("w1", poison, quarantine.Reset).Suspected, all)
	is.Equal(b.RecordDeath(b.now, "w1", 1).Suspected, all)
	is.Equal(b.kill("w2", poison).Quarantined, all)
	is.Equal(b.List(b.now), []quarantine.Entry{{Fingerprint: poison, Service: "roster-desk", Remaining: cfg.Hold}})
	remaining, quarantined := b.Check(b.now.Add(time.Minute), poison)
	is.True(quarantined)
	is.Equal(remaining, cfg.Hold-time.Minute)
	var lifted []fingerprint.Fingerprint
	for n := range cfg.CorrelatedDeaths {
		lifted = append(lifted, b.RecordDeath(b.now, fmt.Sprint("o", n), 1).Lifted...)
	}
	is.Equal(lifted, all)
	is.Equal(len(b.List(b.now)), 0)
}

// TestChangesFromOtherEntries applies changes of other entries in another order
// than they were made. It guards against an older change that undoes a lift.
func TestChangesFromOtherEntries(t *testing.T) {
	const at = uint64(1_000_000_000_000) // epoch in microseconds
	type B = *testTable
	applyChange := func(b B, version uint64) {
		if b.AcceptChange(poison, version) {
			b.Add(b.now, poison, cfg.Hold)
		}
	}
	liftByOperator := func(b B) bool { _, again := b.LiftByOperator(b.now, poison); return again }
	cases := []struct {
		name string
		do   func(B)
		want int // fingerprints in quarantine
	}{
		{"change", func(b B) { applyChange(b, at) }, 1},
		{"lift after it", func(b B) { applyChange(b, at); b.ApplyLift(b.now, poison, at+1) }, 0},
		{"lift older than it", func(b B) { applyChange(b, at); b.ApplyLift(b.now, poison, at-1) }, 1},
		{"change older than a lift", func(b B) { b.ApplyLift(b.now, poison, at+1); b.Expire(b.now); applyChange(b, at) }, 0},
		{"change after a lift", func(b B) { b.ApplyLift(b.now, poison, at); applyChange(b, b.NewChangeVersion(b.now, poison)) }, 1},
		{"late change after an order", func(b B) { applyChange(b, at); liftByOperator(b); applyChange(b, at+1_000_000) }, 0},
		{"order repeated", func(b B) {
			liftByOperator(b)
			applyChange(b, b.NewChangeVersion(b.now, poison))
			b.advance(10 * time.Second)
			liftByOperator(b)
		}, 1},
		{"second order", func(b B) {
			liftByOperator(b)
			applyChange(b, b.NewChangeVersion(b.now, poison))
			b.advance(11 * time.Second)
			liftByOperator(b)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestTable()
			c.do(b)
			is.New(t).Equal(len(b.List(b.now)), c.want)
		})
	}
}
