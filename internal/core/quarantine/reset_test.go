package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
)

func (b *testTable) mayStart() bool { return b.MayStart(b.now, poison) }

// reset lets a run on the endpoint end with a reset connection.
func (b *testTable) reset(endpoint string) {
	b.BeginRun(b.now, endpoint, 1, poison, "roster-desk")
	b.end(endpoint, poison, quarantine.Reset)
}

// TestMayStartAfterResets guards against a request that is sent on after it has
// reset the connections of two endpoints that show no evidence of liveness, and
// against one that stays held back once the endpoints have shown it.
func TestMayStartAfterResets(t *testing.T) {
	is := is.New(t)
	b := newTestTable()
	is.True(b.mayStart())
	b.reset("w1")
	b.reset("w1") // an endpoint can crash once
	is.True(b.mayStart())
	b.reset("w2")
	is.True(!b.mayStart())
	b.advance(cfg.LivenessMargin)
	b.RecordReport(b.now, "w2", 1)
	is.True(b.mayStart())
}

// TestMayStartBesideAnswers guards against a request that is held back for a second
// and more by resets of endpoints that go on answering other requests.
func TestMayStartBesideAnswers(t *testing.T) {
	is := is.New(t)
	b := newTestTable()
	b.BeginRun(b.now, "w1", 1, second, "roster-desk")
	b.reset("w1")
	b.reset("w2")
	is.True(!b.mayStart())
	b.advance(cfg.AnswerMargin)
	b.end("w1", second, quarantine.Answered)
	is.True(b.mayStart())
	b.reset("w3")
	is.True(!b.mayStart())
}

// TestMayStartAfterReportedResets guards against runs of other owners that don't
// count: two of them, then the deaths of their endpoints, put the fingerprint into
// quarantine, whichever is recorded first.
func TestMayStartAfterReportedResets(t *testing.T) {
	is := is.New(t)
	b := newTestTable()
	b.RecordReset(b.now, "w1", 1, poison)
	b.RecordReset(b.now, "w1", 1, poison) // reported twice
	is.True(b.mayStart())
	b.RecordDeath(b.now, "w1", 1)
	is.True(b.mayStart())
	b.RecordDeath(b.now, "w2", 1)
	change := b.RecordReset(b.now, "w2", 1, poison)
	is.Equal(change.Quarantined, []fingerprint.Fingerprint{poison})
	is.True(!b.mayStart())
	b.advance(cfg.Hold - time.Second)
	is.True(!b.mayStart()) // it still comes, so the quarantine goes on
	b.advance(cfg.Hold - time.Second)
	is.True(!b.mayStart())
}

// TestMayStartOfServedRequest guards against a quarantine of a request that is
// answered all the time and was in flight when two endpoints crashed together.
func TestMayStartOfServedRequest(t *testing.T) {
	is := is.New(t)
	b := newTestTable()
	for _, endpoint := range []string{"w0", "w1", "w2"} {
		b.BeginRun(b.now, endpoint, 1, poison, "roster-desk")
	}
	b.end("w0", poison, quarantine.Answered)
	b.end("w1", poison, quarantine.Reset)
	b.end("w2", poison, quarantine.Reset)
	is.True(b.mayStart())
	b.advance(time.Second)
	b.RecordDeath(b.now, "w1", 1)
	b.RecordDeath(b.now, "w2", 1)
	is.Equal(len(b.List(b.now)), 0)
	is.True(b.mayStart())
	b.BeginRun(b.now, "w0", 1, poison, "roster-desk")
	b.end("w0", poison, quarantine.Answered)
	is.True(b.mayStart())
}

// TestMayStartOfTurnedRequest guards against a request that was answered a moment ago and is
// sent on without end although it crashes its endpoints now, and against one that is held
// back because its endpoints were lost with others.
func TestMayStartOfTurnedRequest(t *testing.T) {
	for others, want := range map[int]bool{0: false, 2: false, 3: true} {
		is := is.New(t)
		b := newTestTable()
		b.prove(poison)
		for n := range others {
			endpoint := fmt.Sprint("o", n)
			b.BeginRun(b.now, endpoint, 1, second, "roster-desk")
			b.end(endpoint, second, quarantine.Reset)
		}
		for _, endpoint := range []string{"w1", "w2", "w3"} {
			is.True(b.mayStart())
			b.reset(endpoint)
			b.advance(300 * time.Millisecond)
		}
		is.Equal(b.mayStart(), want)
		b.prove(second)
		b.RecordReport(b.now.Add(time.Second), "w1", 1)
		is.True(b.mayStart())
	}
}
