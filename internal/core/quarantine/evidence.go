package quarantine

import (
	"cmp"
	"slices"
	"time"

	"sassafrasreach/internal/core/fingerprint"
)

// MaxEvidence bounds the evidence that a Table returns.
const MaxEvidence = 1024

// Evidence is one thing that holds against a request: the quarantine that it is in, or an endpoint
// that it crashed or may have crashed. It outlives the Table in which it was recorded.
type Evidence struct {
	Fingerprint fingerprint.Fingerprint
	// Quarantined is the time left in quarantine; 0 for an endpoint.
	Quarantined time.Duration
	// Endpoint and Incarnation identify the endpoint, and Age is the time since its death or since
	// it reset the connection.
	Endpoint    string
	Incarnation uint64
	Age         time.Duration
	// Version is that of the newest change of the request that isn't a lift.
	Version uint64
}

// Evidence returns what holds against requests: all quarantines, and the newest of the endpoints
// that count in MayStart, up to MaxEvidence. A request that was answered lately and may start has
// none, unless Keep was called for it.
func (t *Table) Evidence(now time.Time) []Evidence {
	var out []Evidence
	for f, r := range t.records {
		if now.Before(r.quarantinedUntil) {
			out = append(out, Evidence{Fingerprint: f, Quarantined: r.quarantinedUntil.Sub(now), Version: r.changed})
			continue
		}
		unresolved := t.unresolvedResets(now, r, f)
		if !r.kept && t.isProven(now, f) && len(r.deaths) == 0 && len(unresolved) <= maxDeaths {
			continue
		}
		for _, d := range r.deaths {
			if t.counts(f, d) {
				out = append(out, evidenceOf(now, f, r, d.on, d.at))
			}
		}
		for on, at := range unresolved {
			out = append(out, evidenceOf(now, f, r, on, at))
		}
	}
	if len(out) > MaxEvidence {
		slices.SortFunc(out, func(a, b Evidence) int { return cmp.Compare(a.Age, b.Age) }) // quarantines have no age
		out = out[:MaxEvidence]
	}
	return out
}

func evidenceOf(now time.Time, f fingerprint.Fingerprint, r *record, on incarnation, at time.Time) Evidence {
	return Evidence{Fingerprint: f, Endpoint: on.endpoint, Incarnation: on.number, Age: max(0, now.Sub(at)), Version: r.changed}
}

// Keep lets Evidence return what holds against f although f was answered here lately: another VM, which
// relies on it, knows of no answer.
func (t *Table) Keep(f fingerprint.Fingerprint) {
	if r := t.records[f]; r != nil {
		r.kept = true
	}
}

// Harmless reports whether f was answered lately and no death is attributed to it. A reset
// connection alone says little about it.
func (t *Table) Harmless(now time.Time, f fingerprint.Fingerprint) bool {
	r := t.records[f]
	return t.isProven(now, f) && (r == nil || len(r.deaths) == 0)
}

// Restore records evidence of a former Table, or of another one. It returns false for evidence that
// is incomplete, too old, or older than a lift of the request.
func (t *Table) Restore(now time.Time, e Evidence) bool {
	known := t.records[e.Fingerprint]
	switch {
	case e.Fingerprint.IsZero() || e.Age < 0 || e.Age >= t.cfg.Hold || e.Quarantined <= 0 && e.Endpoint == "":
		return false
	case known != nil && known.lifted > 0 && e.Version <= known.lifted:
		return false
	}
	r := t.record(e.Fingerprint)
	r.changed = max(r.changed, e.Version)
	switch {
	case e.Quarantined > 0:
		t.Add(now, e.Fingerprint, min(e.Quarantined, t.cfg.Hold))
	default:
		t.RecordReset(now.Add(-e.Age), e.Endpoint, e.Incarnation, e.Fingerprint)
	}
	return true
}
