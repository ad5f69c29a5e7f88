package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/verdict"
)

// TestObservation guards against a run that is forgotten because of how its answer ended,
// and against one that counts as not started without proof.
func TestObservation(t *testing.T) {
	cases := []struct {
		name string
		seen quarantine.Observation
		want quarantine.End
	}{
		{"nothing known", quarantine.Observation{}, quarantine.Abandoned},
		{"client left, deadline passed, or answer unusable", quarantine.Observation{Verdict: verdict.MayHaveRun}, quarantine.Abandoned},
		{"connection broke, before the answer or within it", quarantine.Observation{Verdict: verdict.MayHaveRun, ConnectionLost: true}, quarantine.Reset},
		{"refused, or nothing sent", quarantine.Observation{Verdict: verdict.NotRun}, quarantine.NotStarted},
		{"nothing listened", quarantine.Observation{Verdict: verdict.NotRun, ConnectionRefused: true}, quarantine.Down},
		{"answered", quarantine.Observation{Verdict: verdict.Ran}, quarantine.Answered},
		{"answered with a failure", quarantine.Observation{Verdict: verdict.Ran, Failure: true}, quarantine.Failed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.seen.End(), c.want)
			parsed, known := quarantine.ParseEnd(c.want.String())
			is.True(known)
			is.Equal(parsed, c.want)
		})
	}
	_, known := quarantine.ParseEnd("")
	is.New(t).True(!known)
}

// giveUp lets a run on the endpoint be given up.
func (b *testTable) giveUp(endpoint string) {
	b.BeginRun(b.now, endpoint, 1, poison, "roster-desk")
	b.end(endpoint, poison, quarantine.Abandoned)
}

// down lets another request find that nothing listens at the endpoint.
func (b *testTable) down(endpoint string) quarantine.Change {
	b.BeginRun(b.now, endpoint, 1, second, "roster-desk")
	return b.end(endpoint, second, quarantine.Down)
}

// TestGivenUpOnDownEndpoints guards against a request that goes on although the endpoints
// on which runs of it were given up have lost their processes, and against one that is
// held back because it was given up on endpoints that live, leave, or are only out of reach.
func TestGivenUpOnDownEndpoints(t *testing.T) {
	is := is.New(t)
	b := newTestTable()
	b.giveUp("w1")
	b.giveUp("w2")
	b.giveUp("w3")
	is.True(b.mayStart())
	is.Equal(b.down("w1").Suspected, fingerprints(poison))
	is.True(b.mayStart())
	is.Equal(b.down("w2").Suspected, fingerprints(poison))
	is.Equal(len(b.down("w2").Suspected), 0)
	is.True(!b.mayStart())
	b.advance(cfg.LivenessMargin)
	b.RecordReport(b.now, "w2", 1) // it listens again
	is.True(b.mayStart())
	b.RecordLeaving(b.now, "w3", 1)
	is.Equal(len(b.down("w3").Suspected), 0)
	is.True(b.mayStart())
	b.RecordDeath(b.now, "w1", 1)
	b.advance(time.Second)
	b.giveUp("w4")
	is.True(b.mayStart())
	is.Equal(b.RecordDeath(b.now, "w4", 1).Quarantined, fingerprints(poison))
	is.True(!b.mayStart())
}

// TestFailedAnswerLiftsNothing guards against a request that crashes endpoints and is
// cleared by one that answers it with a failure without having run it to its end.
func TestFailedAnswerLiftsNothing(t *testing.T) {
	is := is.New(t)
	b := newTestTable()
	b.reset("w1")
	b.reset("w2")
	b.BeginRun(b.now, "w3", 1, poison, "roster-desk")
	b.end("w3", poison, quarantine.Failed)
	is.True(!b.mayStart())
}

func fingerprints(all ...fingerprint.Fingerprint) []fingerprint.Fingerprint { return all }
