package control

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"sassafrasreach/internal/adapter/registergrpc"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

const (
	// quorumReadMaxAge is how long after the start of a quorum read Fetch still
	// reports a quorum.
	quorumReadMaxAge = time.Second
	// reportRetention is how long an entry's last report is kept.
	reportRetention = 10 * time.Minute
	// liftRetention is how long Fetch returns a lifted quarantine.
	liftRetention = 10 * time.Second
	// maxReports and maxLifts bound the tables.
	maxReports = 10000
	maxLifts   = 1000
)

// entryTables holds the latest report of each entry and the recently lifted
// quarantines, which entries receive with their next fetch.
type entryTables struct {
	// mu guards both tables.
	mu      sync.Mutex
	reports map[string]timedReport
	lifts   []lift
}

type timedReport struct {
	registergrpc.EntryReport
	at time.Time
}

type lift struct {
	fingerprint string
	at          time.Time
}

// put stores reports that were received at now. A report of an earlier
// incarnation than the stored one is stale and dropped. So is the report of an
// entry without a stored one when the table holds maxReports.
func (t *entryTables) put(now time.Time, reports []registergrpc.EntryReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = make(map[string]timedReport)
	}
	for _, r := range reports {
		known, found := t.reports[r.Name]
		if found && r.Incarnation < known.Incarnation || !found && len(t.reports) >= maxReports {
			continue
		}
		t.reports[r.Name] = timedReport{EntryReport: r, at: now}
	}
}

// all returns the reports with their ages at now, and deletes those older than
// reportRetention.
func (t *entryTables) all(now time.Time) []registergrpc.EntryReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]registergrpc.EntryReport, 0, len(t.reports))
	for name, r := range t.reports {
		r.Age = now.Sub(r.at)
		if r.Age > reportRetention {
			delete(t.reports, name)
			continue
		}
		out = append(out, r.EntryReport)
	}
	return out
}

// addLift stores a fingerprint whose quarantine was lifted at now. When the table
// holds maxLifts, the oldest lift is dropped.
func (t *entryTables) addLift(now time.Time, fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOldLifts(now)
	if len(t.lifts) >= maxLifts {
		t.lifts = t.lifts[1:]
	}
	t.lifts = append(t.lifts, lift{fingerprint: fingerprint, at: now})
}

// recentLifts returns the fingerprints whose quarantine was lifted within
// liftRetention before now.
func (t *entryTables) recentLifts(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOldLifts(now)
	out := make([]string, 0, len(t.lifts))
	for _, l := range t.lifts {
		out = append(out, l.fingerprint)
	}
	return out
}

// dropOldLifts removes lifts older than liftRetention. The caller must hold mu.
func (t *entryTables) dropOldLifts(now time.Time) {
	t.lifts = slices.DeleteFunc(t.lifts, func(l lift) bool { return now.Sub(l.at) > liftRetention })
}

// Fetch implements registergrpc.Member. It stores the reports and returns the
// committed document that this member knows, without its text when the caller has
// that version or a newer one.
func (n *Node) Fetch(haveVersion uint64, reports []registergrpc.EntryReport) (registergrpc.FetchAnswer, error) {
	if err := n.failure(); err != nil {
		return registergrpc.FetchAnswer{}, err
	}
	now := n.clock.Now()
	n.tables.put(now, reports)
	out := registergrpc.FetchAnswer{Config: n.committed(), Lifted: n.tables.recentLifts(now)}
	if out.Config.Version <= haveVersion {
		out.Config.Document = nil
	}
	out.Quorum = n.hasRecentQuorumRead()
	return out, nil
}

// committed returns the newest document that this member knows to be chosen, or
// the zero Config.
func (n *Node) committed() port.Config {
	if v := n.snapshot().CommittedValue; v != nil {
		return v.Config
	}
	return port.Config{}
}

// hasRecentQuorumRead says whether the last quorum read began at most
// quorumReadMaxAge ago.
func (n *Node) hasRecentQuorumRead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.quorumRead.IsZero() && n.clock.Now().Sub(n.quorumRead) <= quorumReadMaxAge
}

// Reports implements registergrpc.Member.
func (n *Node) Reports() []registergrpc.EntryReport { return n.tables.all(n.clock.Now()) }

// Lift implements registergrpc.Member. Entries receive the fingerprint with their
// fetches from this member.
func (n *Node) Lift(operator, fingerprint string) {
	event.Log(context.Background(), n.logger, event.QuarantineLift, slog.Any("operator", operator), slog.Any("fingerprint", fingerprint))
	n.tables.addLift(n.clock.Now(), fingerprint)
}
