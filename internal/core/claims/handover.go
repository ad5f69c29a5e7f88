package claims

import (
	"time"

	"sassafrasreach/internal/core/verdict"
)

// formerHome is what is known of a home whose claims were imported.
type formerHome struct {
	// complete says that the home started nothing besides the imported rows and
	// never will.
	complete bool
	// floor is the latest minting time among the evicted rows.
	floor time.Time
	// until is when all of the home's keys have expired.
	until time.Time
}

// HandOver is what one entry gives to others about the keys of one home.
type HandOver struct {
	// From is the home of all rows.
	From Home
	// Complete says that the home starts nothing any more and that the rows are
	// all that it started.
	Complete bool
	// Rows are the claims.
	Rows []Row
}

// Seal makes the table refuse every key that it doesn't know. It can't be
// undone. Attempts under way still finish, and resends get their answers.
func (t *Table) Seal() { t.sealed = true }

// Complete reports whether an Export made now holds everything that this home
// ever started: the table is sealed, and no claim was evicted before its time by
// a clock that has since been set back. Attempts may be under way; their rows
// say MayHaveRun until a later Export tells how they ended.
func (t *Table) Complete(now time.Time) bool {
	return t.sealed && now.Sub(t.ranFloor) >= t.cfg.Retention
}

// Export returns the claims of this home that may have run.
func (t *Table) Export(now time.Time) []Row { return t.rows(now, t.self) }

// HandOvers returns the claims of this home and of the former homes whose
// claims were imported here, for a planned stop.
func (t *Table) HandOvers(now time.Time) []HandOver {
	all := []HandOver{{From: t.self, Complete: t.Complete(now), Rows: t.Export(now)}}
	for home, former := range t.former {
		if now.Before(former.until) {
			complete := former.complete && now.Sub(former.floor) >= t.cfg.Retention
			all = append(all, HandOver{From: home, Complete: complete, Rows: t.rows(now, home)})
		}
	}
	return all
}

func (t *Table) rows(now time.Time, home Home) []Row {
	var rows []Row
	for _, c := range t.claims {
		kept := c.running || now.Before(c.expires)
		if c.key.Home == home && kept && c.outcome.Verdict != verdict.NotRun {
			rows = append(rows, c.row())
		}
	}
	return rows
}

func (c *claim) row() Row {
	r := Row{Key: c.key, Fingerprint: c.fingerprint, Outcome: c.outcome, Finished: !c.running}
	if c.running {
		r.Outcome = Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonHomeLost}
	}
	return r
}

// Import takes over rows of the home from. With complete set the rows must be
// everything that the home started, and the home must be sealed: then a key of
// it that is in no row is NotRun. The same rows may be imported again, in any
// order and by any number of entries. Import returns the number of rows that
// found no room; their keys, and unknown ones, are MayHaveRun.
func (t *Table) Import(now time.Time, from Home, rows []Row, complete bool) int {
	if from == t.self {
		return len(rows)
	}
	t.Expire(now)
	t.forgetFormer(now)
	lost := 0
	for _, r := range rows {
		if r.Key.Home != from || !t.importRow(r) {
			lost++
		}
	}
	t.former[from] = formerHome{
		floor:    t.former[from].floor,
		complete: (complete || t.former[from].complete) && lost == 0,
		until:    now.Add(t.cfg.Retention + t.cfg.ClockSkew),
	}
	return lost
}

// importRow stores one row and reports whether it is in the table. A row that
// is known stays, unless the new one knows how the attempt ended.
func (t *Table) importRow(r Row) bool {
	if known, ok := t.claims[r.Key.String()]; ok {
		if known.outcome.Verdict == verdict.Ran || r.Outcome.Verdict != verdict.Ran {
			return true
		}
		t.remove(known)
	}
	c := newClaim(r.Key, r.Fingerprint)
	if !t.fits(c.bytes) {
		return false
	}
	t.add(c)
	t.store(c, r.Outcome)
	return true
}

func (t *Table) forgetFormer(now time.Time) {
	for home, former := range t.former {
		if !now.Before(former.until) {
			delete(t.former, home)
		}
	}
}

// beginFormer decides on a key that another incarnation is the home of and that
// has no claim here. Such a key never starts here. It is NotRun only when the
// former home sealed its table and gave all its rows away.
func (t *Table) beginFormer(now time.Time, k Key) Decision {
	former, known := t.former[k.Home]
	if !known || !former.complete {
		return refusal(verdict.MayHaveRun, verdict.ReasonHomeLost)
	}
	tooOld := now.Sub(k.Minted) >= t.cfg.Retention-t.cfg.ClockSkew
	if tooOld || !k.Minted.After(former.floor) {
		return refusal(verdict.MayHaveRun, verdict.ReasonKeyExpired)
	}
	return refusal(verdict.NotRun, verdict.ReasonHomeLost)
}
