package claims

import (
	"time"

	"sassafrasreach/internal/core/verdict"
)

// formerCoordinator is the state kept of a coordinator whose claims were
// imported.
type formerCoordinator struct {
	// complete is set when the imported rows are all that may have run of the
	// coordinator's keys, and none of its other keys will ever start.
	complete bool
	// evictedUpTo is the latest minting time among the evicted rows.
	evictedUpTo time.Time
	// expires is when all of the coordinator's keys have expired.
	expires time.Time
}

// HandOver holds the claims of one coordinator that one entry hands over to
// others.
type HandOver struct {
	// From is the coordinator of all rows.
	From Coordinator
	// Complete is set when the coordinator starts nothing any more and the rows
	// are all that may have run of its keys.
	Complete bool
	// Rows are the claims of the coordinator that may have run.
	Rows []Row
}

// Seal makes the table refuse every key that it has no claim of. It can't be
// undone. Attempts in flight still finish, and resends get their stored
// outcomes.
func (t *Table) Seal() { t.sealed = true }

// Complete reports whether an Export made now holds all keys of this
// coordinator that may have run and haven't expired: the table is sealed, and
// no claim was evicted too early by a clock that has since been set back.
// Attempts may be in flight; their rows say MayHaveRun until a later Export has
// their outcomes.
func (t *Table) Complete(now time.Time) bool {
	return t.sealed && now.Sub(t.mayHaveRunUpTo) >= t.cfg.Retention
}

// Export returns the claims of this coordinator that may have run.
func (t *Table) Export(now time.Time) []Row { return t.rows(now, t.self) }

// HandOvers returns the claims of this coordinator and of the former
// coordinators whose claims were imported here, for a planned stop.
func (t *Table) HandOvers(now time.Time) []HandOver {
	all := []HandOver{{From: t.self, Complete: t.Complete(now), Rows: t.Export(now)}}
	for coordinator, former := range t.former {
		if now.Before(former.expires) {
			complete := former.complete && now.Sub(former.evictedUpTo) >= t.cfg.Retention
			all = append(all, HandOver{From: coordinator, Complete: complete, Rows: t.rows(now, coordinator)})
		}
	}
	return all
}

func (t *Table) rows(now time.Time, coordinator Coordinator) []Row {
	var rows []Row
	for _, c := range t.claims {
		kept := c.running || now.Before(c.expires)
		if c.key.Coordinator == coordinator && kept && c.outcome.Verdict != verdict.NotRun {
			rows = append(rows, c.row())
		}
	}
	return rows
}

func (c *claim) row() Row {
	r := Row{Key: c.key, Fingerprint: c.fingerprint, Outcome: c.outcome, Finished: !c.running}
	if c.running {
		r.Outcome = Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCoordinatorLost}
	}
	return r
}

// Import stores rows of the coordinator from; rows of the table's own
// coordinator are never stored. When complete is set, the rows must be all that
// may have run of the coordinator's keys, and the coordinator must be sealed: a
// key of that coordinator without a row is NotRun then. The same rows may be
// imported again, in any order and by any number of entries. Import returns the
// number of rows that it did not store, because the table has no room or they
// belong to another coordinator. If there are any, keys of the coordinator that
// have no row are MayHaveRun until a complete import stores all rows.
func (t *Table) Import(now time.Time, from Coordinator, rows []Row, complete bool) int {
	if from == t.self {
		return len(rows)
	}
	t.Expire(now)
	t.dropExpiredCoordinators(now)
	dropped := 0
	for _, r := range rows {
		if r.Key.Coordinator != from || !t.importRow(r) {
			dropped++
		}
	}
	t.former[from] = formerCoordinator{
		evictedUpTo: t.former[from].evictedUpTo,
		complete:    (complete || t.former[from].complete) && dropped == 0,
		expires:     now.Add(t.cfg.Retention + t.cfg.ClockSkew),
	}
	return dropped
}

// importRow stores one row and reports whether its key has a claim in the
// table. An existing claim is replaced only if the row says Ran and the claim
// does not: the row then has an outcome that wasn't known here.
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

func (t *Table) dropExpiredCoordinators(now time.Time) {
	for coordinator, former := range t.former {
		if !now.Before(former.expires) {
			delete(t.former, coordinator)
		}
	}
}

// beginFormer decides on a key that has another coordinator and no claim here.
// Such a key never starts here. It is NotRun only when the former coordinator
// sealed its table and all its rows were imported, and the key is too recent
// for its row to have been evicted.
func (t *Table) beginFormer(now time.Time, k Key) Decision {
	former, known := t.former[k.Coordinator]
	if !known || !former.complete {
		return refusal(verdict.MayHaveRun, verdict.ReasonCoordinatorLost)
	}
	tooOld := now.Sub(k.Minted) >= t.cfg.Retention-t.cfg.ClockSkew
	if tooOld || !k.Minted.After(former.evictedUpTo) {
		return refusal(verdict.MayHaveRun, verdict.ReasonKeyExpired)
	}
	return refusal(verdict.NotRun, verdict.ReasonCoordinatorLost)
}
