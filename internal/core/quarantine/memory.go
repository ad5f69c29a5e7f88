package quarantine

import (
	"slices"
	"time"

	"sassafrasreach/internal/core/fingerprint"
)

// UnresponsiveEndpoint identifies an endpoint incarnation that lost a run and
// is presumed dead: for DetectionTimeout it has shown no evidence of liveness,
// that is, no report and no answer.
type UnresponsiveEndpoint struct {
	Endpoint    string
	Incarnation uint64
}

// Expire removes expired records. It is cheap enough to be called once a
// second. The endpoints that it returns are to be presumed dead.
func (t *Table) Expire(now time.Time) []UnresponsiveEndpoint {
	t.deaths = slices.DeleteFunc(t.deaths, func(d death) bool {
		return now.Sub(d.at) >= t.cfg.Hold
	})
	var unresponsive []UnresponsiveEndpoint
	for f, r := range t.records {
		t.dropOldRuns(now, r)
		t.dropIdle(now, f, r)
		unresponsive = append(unresponsive, t.unresponsive(now, r)...)
	}
	t.expireEndpoints(now)
	for f, at := range t.proven {
		if now.Sub(at) >= t.cfg.Proven {
			delete(t.proven, f)
		}
	}
	return unresponsive
}

// unresponsive returns the endpoints of the record's runs that are presumed
// dead.
func (t *Table) unresponsive(now time.Time, r *record) []UnresponsiveEndpoint {
	var all []UnresponsiveEndpoint
	for _, x := range r.runs {
		old := !x.lost.IsZero() && now.Sub(x.lost) >= t.cfg.DetectionTimeout
		if old && (x.reset || t.stoppedReporting(now, x.on)) {
			all = append(all, UnresponsiveEndpoint{Endpoint: x.on.endpoint, Incarnation: x.on.number})
		}
	}
	return all
}

// stoppedReporting reports whether an incarnation reported itself before, but
// for DetectionTimeout has neither done so again nor been sent a request that
// it answered. An incarnation that announced that it leaves isn't included.
func (t *Table) stoppedReporting(now time.Time, on incarnation) bool {
	at, ok := t.lastReport[on]
	return ok && now.Sub(later(at, t.answeredRunStart[on])) >= t.cfg.DetectionTimeout
}

// expireEndpoints removes the reports and answers that are older than Hold.
func (t *Table) expireEndpoints(now time.Time) {
	for on, started := range t.answeredRunStart {
		if now.Sub(started) >= t.cfg.Hold {
			delete(t.answeredRunStart, on)
		}
	}
	for on, at := range t.lastAnswer {
		if now.Sub(at) >= t.cfg.Hold {
			delete(t.lastAnswer, on)
		}
	}
	for on, at := range t.lastReset {
		if now.Sub(at) >= t.cfg.Hold {
			delete(t.lastReset, on)
		}
	}
	for on, at := range t.left {
		if now.Sub(at) >= t.cfg.Hold {
			delete(t.left, on)
		}
	}
	for on, at := range t.lastReport {
		if now.Sub(at) >= t.cfg.Hold {
			delete(t.lastReport, on)
		}
	}
}

// dropOldRuns removes the lost runs to which no death can be attributed any
// more. It also removes the deaths if the fingerprint isn't in quarantine and
// wasn't requested for Hold.
func (t *Table) dropOldRuns(now time.Time, r *record) {
	r.runs = slices.DeleteFunc(r.runs, func(x run) bool { return t.runExpired(now, x) })
	if !now.Before(r.quarantinedUntil) && now.Sub(r.lastRequested) >= t.cfg.Hold {
		r.deaths = nil
	}
}

// runExpired reports whether no death can be attributed to a lost run any more.
// A run that was given up expires early, after DetectionTimeout, while there
// are more records than half of MaxEntries.
func (t *Table) runExpired(now time.Time, x run) bool {
	age := now.Sub(x.lost)
	if x.lost.IsZero() || age < t.cfg.DetectionTimeout {
		return false
	}
	if x.reset {
		return t.endpointAlive(x) || age >= t.cfg.Hold
	}
	return age >= t.cfg.AttributionTimeout || len(t.records) > t.cfg.MaxEntries/2
}

// endpointAlive reports whether the run's endpoint showed evidence of liveness
// LivenessMargin or more after the run was lost.
func (t *Table) endpointAlive(x run) bool {
	return t.answeredLaterRun(x) || t.lastReport[x.on].Sub(x.lost) >= t.cfg.LivenessMargin
}

// answeredLaterRun reports whether the run's endpoint answered a request that
// started LivenessMargin or more after the run was lost.
func (t *Table) answeredLaterRun(x run) bool {
	return t.answeredRunStart[x.on].Sub(x.lost) >= t.cfg.LivenessMargin
}

// dropIdle removes a record that holds no state any more.
func (t *Table) dropIdle(now time.Time, f fingerprint.Fingerprint, r *record) {
	idle := len(r.runs) == 0 && len(r.deaths) == 0
	remembered := now.Before(r.quarantinedUntil) || now.Before(r.suspectedUntil) || now.Before(r.liftRememberedUntil)
	if idle && !remembered {
		delete(t.records, f)
	}
}

// record returns the record of f and adds one if there is none.
func (t *Table) record(f fingerprint.Fingerprint) *record {
	r := t.records[f]
	if r == nil {
		r = &record{}
		t.records[f] = r
	}
	return r
}

func (t *Table) isProven(now time.Time, f fingerprint.Fingerprint) bool {
	at, ok := t.proven[f]
	return ok && now.Sub(at) < t.cfg.Proven
}

// markProven records that f was answered. When MaxEntries fingerprints are
// proven, it evicts an arbitrary one, which is limited to two runs until it is
// answered again.
func (t *Table) markProven(now time.Time, f fingerprint.Fingerprint) {
	if _, ok := t.proven[f]; !ok && len(t.proven) >= t.cfg.MaxEntries {
		for other := range t.proven {
			delete(t.proven, other)
			break
		}
	}
	t.proven[f] = now
}

// Size returns the number of fingerprints that have a record, and the number of
// those that are proven.
func (t *Table) Size() (records, proven int) { return len(t.records), len(t.proven) }
