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

// bench drives a table with a clock of its own.
type bench struct {
	*quarantine.Table
	now time.Time
}

func newBench() *bench { return &bench{quarantine.NewTable(cfg), epoch} }

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

func (b *bench) start(endpoint string, f fingerprint.Fingerprint) quarantine.Admission {
	return b.Started(b.now, endpoint, 1, f, "roster-desk")
}

func (b *bench) end(endpoint string, f fingerprint.Fingerprint, end quarantine.End) quarantine.Change {
	return b.Ended(b.now, endpoint, 1, f, end)
}

// kill starts f on the endpoint, which then dies.
func (b *bench) kill(endpoint string, f fingerprint.Fingerprint) quarantine.Change {
	b.start(endpoint, f)
	b.end(endpoint, f, quarantine.Reset)
	b.pass(time.Second)
	return b.Died(b.now, endpoint, 1)
}

// prove has f answered once.
func (b *bench) prove(f fingerprint.Fingerprint) {
	b.start("w0", f)
	b.end("w0", f, quarantine.Answered)
}

func TestAdmission(t *testing.T) {
	type B = *bench
	const ok, wait, no = quarantine.Admitted, quarantine.Wait, quarantine.Refused
	kill := func(endpoints ...string) func(B) {
		return func(b B) {
			for _, e := range endpoints {
				b.kill(e, poison)
			}
		}
	}
	wider := func(others int, apart time.Duration) func(B) {
		return func(b B) {
			b.start("w1", poison)
			b.start("w2", poison)
			b.Died(b.now, "w1", 1)
			b.Died(b.now, "w2", 1)
			b.pass(apart)
			for n := range others {
				b.Died(b.now, fmt.Sprint("o", n), 1)
			}
		}
	}
	giveUp := func(b B, end quarantine.End, after time.Duration) {
		b.start("w1", poison)
		b.start("w2", poison)
		b.end("w1", poison, end)
		b.end("w2", poison, end)
		b.pass(after)
		b.start("w2", second)
		b.end("w2", second, quarantine.Answered)
	}
	died := func(b B) { b.Died(b.now, "w1", 1) }
	expire := func(b B) {
		for _, dead := range b.Expire(b.now) {
			b.Died(b.now, dead.Endpoint, dead.Number)
		}
	}
	// late gives a run up, whose endpoint dies after a while.
	late := func(b B, after time.Duration, die func(B)) {
		b.start("w1", poison)
		b.end("w1", poison, quarantine.Lost)
		b.pass(after)
		die(b)
		b.kill("w2", poison)
	}
	cases := []struct {
		name   string
		before func(B)
		want   quarantine.Admission
	}{
		{"first", func(B) {}, ok},
		{"two under way", func(b B) { b.start("w1", poison); b.start("w2", poison) }, wait},
		{"proven, many under way", func(b B) { b.prove(poison); b.start("w1", poison); b.start("w2", poison) }, ok},
		{"one answered of two", func(b B) { b.start("w1", poison); b.start("w2", poison); b.end("w1", poison, quarantine.Answered) }, ok},
		{"not started twice", func(b B) {
			b.start("w1", poison)
			b.start("w2", poison)
			b.end("w1", poison, quarantine.NotStarted)
			b.end("w2", poison, quarantine.NotStarted)
		}, ok},
		{"two resets without news of a death", func(b B) {
			b.start("w1", poison)
			b.start("w2", poison)
			b.end("w1", poison, quarantine.Reset)
			b.end("w2", poison, quarantine.Reset)
		}, no},
		{"two resets long ago", func(b B) {
			b.start("w1", poison)
			b.start("w2", poison)
			b.end("w1", poison, quarantine.Reset)
			b.end("w2", poison, quarantine.Lost)
			b.pass(cfg.Blame)
		}, ok},
		{"two given up, an endpoint answers later", func(b B) { giveUp(b, quarantine.Lost, cfg.Settle) }, ok},
		{"two given up, an endpoint answers at once", func(b B) { giveUp(b, quarantine.Lost, cfg.Settle-1) }, no},
		{"two resets, an endpoint answers later", func(b B) { giveUp(b, quarantine.Reset, cfg.Settle) }, no},
		{"two resets, an endpoint answers long after", func(b B) { giveUp(b, quarantine.Reset, cfg.Blame) }, ok},
		{"two resets, an endpoint is heard of", func(b B) {
			giveUp(b, quarantine.Reset, cfg.Settle)
			b.Heard(b.now, "w1", 1)
			b.pass(cfg.Blame)
		}, ok},
		{"two resets, no sign of life", func(b B) {
			giveUp(b, quarantine.Reset, 0)
			b.Heard(b.now, "w1", 1)
			b.pass(cfg.Blame)
			expire(b)
			b.pass(cfg.Hold - 1)
		}, no},
		{"one death", kill("w1"), ok},
		{"one death, one under way", func(b B) { b.kill("w1", poison); b.start("w2", poison) }, wait},
		{"one death, one lost", func(b B) { b.kill("w1", poison); b.start("w2", poison); b.end("w2", poison, quarantine.Lost) }, no},
		{"one death, proven before", func(b B) { b.prove(poison); b.kill("w1", poison); b.start("w2", poison) }, wait},
		{"one death told twice", func(b B) { b.kill("w1", poison); b.Died(b.now, "w1", 1, poison) }, ok},
		{"one death, then an answer", func(b B) { b.kill("w1", poison); b.start("w2", poison); b.end("w2", poison, quarantine.Answered) }, ok},
		{"two deaths, an answer between", func(b B) {
			b.kill("w1", poison)
			b.start("w2", poison)
			b.end("w2", poison, quarantine.Answered)
			b.pass(cfg.Proven)
			b.kill("w3", poison)
		}, ok},
		{"two deaths", kill("w1", "w2"), no},
		{"two deaths, told by the caller", func(b B) {
			b.Died(b.now, "w1", 1, second)
			b.Died(b.now, "w1", 1, poison)
			b.Died(b.now, "w2", 1, poison)
		}, no},
		{"death after the fingerprint is free again", func(b B) { late(b, cfg.Late-1, died) }, no},
		{"death long after the loss", func(b B) { late(b, cfg.Late, died) }, ok},
		{"late death, an answer between", func(b B) {
			late(b, cfg.Blame, func(b B) { b.prove(poison); b.pass(cfg.Proven); died(b) })
		}, ok},
		{"given up, the endpoint falls silent", func(b B) { b.Heard(b.now, "w1", 1); late(b, cfg.Blame, expire) }, no},
		{"given up, the endpoint answers others", func(b B) {
			b.Heard(b.now, "w1", 1)
			late(b, cfg.Blame, func(b B) { b.start("w1", second); b.end("w1", second, quarantine.Answered); expire(b) })
		}, ok},
		{"given up, the endpoint left", func(b B) { b.Heard(b.now, "w1", 1); b.Left("w1", 1); late(b, cfg.Blame, expire) }, ok},
		{"quarantine, asked before its end", func(b B) { kill("w1", "w2")(b); b.pass(cfg.Hold - 1); b.start("w3", poison); b.pass(cfg.Hold - 1) }, no},
		{"quarantine over", func(b B) { kill("w1", "w2")(b); b.pass(cfg.Hold) }, ok},
		{"quarantine lifted", func(b B) { kill("w1", "w2")(b); b.Lift(poison) }, ok},
		{"quarantine from a peer", func(b B) { b.Add(b.now, poison, time.Minute) }, no},
		{"suspect of a peer", func(b B) { b.Suspect(b.now, poison, time.Minute) }, no},
		{"suspect of a peer, proven here", func(b B) { b.prove(poison); b.Suspect(b.now, poison, time.Minute) }, ok},
		{"wider failure", wider(cfg.WiderDeaths, cfg.Window), ok},
		{"fewer others", wider(cfg.WiderDeaths-1, cfg.Window), no},
		{"others later", wider(cfg.WiderDeaths, cfg.Window+1), no},
		{"wider failure, proven on all", func(b B) {
			b.prove(poison)
			for n := range 6 {
				b.start(fmt.Sprint("w", n), poison)
			}
			for n := range 6 {
				b.Died(b.now, fmt.Sprint("w", n), 1)
			}
		}, ok},
		{"two poisons at once", func(b B) {
			b.Died(b.now, "v1", 1, second)
			b.Died(b.now, "v2", 1, second)
			b.Died(b.now, "o1", 1)
			b.Died(b.now, "o2", 1)
			b.Died(b.now, "w1", 1, poison)
			b.Died(b.now, "w2", 1, poison)
		}, no},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench()
			c.before(b)
			is.New(t).Equal(b.start("w9", poison), c.want)
		})
	}
}

func TestChanges(t *testing.T) {
	is := is.New(t)
	b := newBench()
	all := []fingerprint.Fingerprint{poison}
	b.start("w1", poison)
	is.Equal(b.end("w1", poison, quarantine.Reset).Suspected, all)
	is.Equal(b.Died(b.now, "w1", 1).Suspected, all)
	is.Equal(b.kill("w2", poison).Quarantined, all)
	is.Equal(b.List(b.now), []quarantine.Entry{{Fingerprint: poison, Service: "roster-desk", Remaining: cfg.Hold}})
	remaining, quarantined := b.Check(b.now.Add(time.Minute), poison)
	is.True(quarantined)
	is.Equal(remaining, cfg.Hold-time.Minute)
	var lifted []fingerprint.Fingerprint
	for n := range cfg.WiderDeaths {
		lifted = append(lifted, b.Died(b.now, fmt.Sprint("o", n), 1).Lifted...)
	}
	is.Equal(lifted, all)
	is.Equal(len(b.List(b.now)), 0)
}

// TestOrder takes news of other entries in an order that isn't theirs.
func TestOrder(t *testing.T) {
	const at = uint64(1_000_000_000_000) // epoch in microseconds
	type B = *bench
	take := func(b B, version uint64) {
		if b.TakeChange(poison, version) {
			b.Add(b.now, poison, cfg.Hold)
		}
	}
	order := func(b B) bool { _, again := b.LiftByOrder(b.now, poison); return again }
	cases := []struct {
		name string
		do   func(B)
		want int // in quarantine
	}{
		{"change", func(b B) { take(b, at) }, 1},
		{"lift after it", func(b B) { take(b, at); b.TakeLift(b.now, poison, at+1) }, 0},
		{"lift from before it", func(b B) { take(b, at); b.TakeLift(b.now, poison, at-1) }, 1},
		{"change from before a lift", func(b B) { b.TakeLift(b.now, poison, at+1); b.Expire(b.now); take(b, at) }, 0},
		{"change after a lift", func(b B) { b.TakeLift(b.now, poison, at); take(b, b.Changed(b.now, poison)) }, 1},
		{"late change after an order", func(b B) { take(b, at); order(b); take(b, at+1_000_000) }, 0},
		{"order told again", func(b B) { order(b); take(b, b.Changed(b.now, poison)); b.pass(10 * time.Second); order(b) }, 1},
		{"second order", func(b B) { order(b); take(b, b.Changed(b.now, poison)); b.pass(11 * time.Second); order(b) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench()
			c.do(b)
			is.New(t).Equal(len(b.List(b.now)), c.want)
		})
	}
}
