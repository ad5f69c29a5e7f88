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
	// quorumFresh is how long a quorum read counts as just made.
	quorumFresh = time.Second
	// reportRetention is how long a silent entry stays in the table.
	reportRetention = 10 * time.Minute
	// liftRetention is how long entries are told of a lifted quarantine.
	liftRetention = 10 * time.Second
	// maxReports and maxLifts bound the tables.
	maxReports = 10000
	maxLifts   = 1000
)

// entryTables holds what entries said and what they are to be told.
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

// put takes reports that came at now. A report of an earlier incarnation than
// the known one is late and dropped.
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

// all returns the reports with their ages at now, and forgets silent entries.
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

// addLift takes a fingerprint that was lifted at now.
func (t *entryTables) addLift(now time.Time, fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOldLifts(now)
	if len(t.lifts) >= maxLifts {
		t.lifts = t.lifts[1:]
	}
	t.lifts = append(t.lifts, lift{fingerprint: fingerprint, at: now})
}

// liftedAt returns the fingerprints that entries are to forget at now.
func (t *entryTables) liftedAt(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOldLifts(now)
	out := make([]string, 0, len(t.lifts))
	for _, l := range t.lifts {
		out = append(out, l.fingerprint)
	}
	return out
}

// dropOldLifts must hold mu.
func (t *entryTables) dropOldLifts(now time.Time) {
	t.lifts = slices.DeleteFunc(t.lifts, func(l lift) bool { return now.Sub(l.at) > liftRetention })
}

// Fetch implements registergrpc.Member.
func (n *Node) Fetch(haveVersion uint64, reports []registergrpc.EntryReport) (registergrpc.Fetched, error) {
	if err := n.failure(); err != nil {
		return registergrpc.Fetched{}, err
	}
	now := n.clock.Now()
	n.tables.put(now, reports)
	out := registergrpc.Fetched{Config: n.committed(), Lifted: n.tables.liftedAt(now)}
	if out.Config.Version <= haveVersion {
		out.Config.Document = nil
	}
	out.Quorum = n.readJustNow()
	return out, nil
}

func (n *Node) committed() port.Config {
	if v := n.snapshot().CommittedValue; v != nil {
		return v.Config
	}
	return port.Config{}
}

// readJustNow says whether the member has just read through a quorum.
func (n *Node) readJustNow() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.quorumRead.IsZero() && n.clock.Now().Sub(n.quorumRead) <= quorumFresh
}

// Reports implements registergrpc.Member.
func (n *Node) Reports() []registergrpc.EntryReport { return n.tables.all(n.clock.Now()) }

// Lift implements registergrpc.Member.
func (n *Node) Lift(operator, fingerprint string) {
	event.Log(context.Background(), n.logger, event.QuarantineLift, slog.Any("operator", operator), slog.Any("fingerprint", fingerprint))
	n.tables.addLift(n.clock.Now(), fingerprint)
}
