package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"sassafrasreach/internal/adapter/registergrpc"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// readTimeout bounds a read when its context has no earlier deadline.
	readTimeout = 3 * time.Second
	// readTries is the number of query rounds in which a read waits for another
	// member's change in progress; readPause is the pause after each.
	readTries = 3
	readPause = 50 * time.Millisecond
)

// Current implements port.ConfigStore. It reads through a quorum.
func (n *Node) Current(ctx context.Context) (port.Config, error) {
	v, err := n.newest(ctx)
	if err != nil || v == nil {
		return port.Config{}, err
	}
	return v.Config, nil
}

// Audit implements port.ConfigStore. It reads through a quorum.
func (n *Node) Audit(ctx context.Context) ([]port.AuditRecord, error) {
	v, err := n.newest(ctx)
	if err != nil || v == nil {
		return nil, err
	}
	return slices.Clone(v.Audit), nil
}

// newest reads the newest chosen value through a quorum; nil means that the
// register is empty. When none of readTries query rounds shows a chosen value, it
// makes a quorum accept the newest value again.
func (n *Node) newest(ctx context.Context) (*register.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for range readTries {
		if h, chosen := n.readRound(ctx).Chosen(); chosen {
			return h.Value, nil
		}
		if !wait.For(ctx, readPause) {
			return nil, port.ErrNoQuorum
		}
	}
	return n.readByProposal(ctx)
}

// Status implements port.ConfigStore. The version and the digest are those that
// this member knows; the reports of entries are gathered from all members that
// reply in time.
func (n *Node) Status(ctx context.Context) (port.ControlStatus, error) {
	read := n.readRound(ctx)
	status := port.ControlStatus{Member: n.name, Quorum: read.Quorum()}
	if v := n.snapshot().CommittedValue; v != nil {
		status.Version, status.Digest = v.Version, v.Digest
	}
	newest := n.tables.all(n.clock.Now())
	round[[]registergrpc.EntryReport]{
		remote: func(ctx context.Context, to Remote) ([]registergrpc.EntryReport, error) { return to.Reports(ctx) },
		handle: func(reports []registergrpc.EntryReport) bool {
			newest = append(newest, reports...)
			return false
		},
	}.run(ctx, n)
	status.Entries = latestReports(newest)
	return status, n.failure()
}

// latestReports returns one report for each entry, sorted by name: the one of the
// highest incarnation, and among these the youngest.
func latestReports(reports []registergrpc.EntryReport) []port.EntryStatus {
	slices.SortFunc(reports, func(a, b registergrpc.EntryReport) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), -cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Age, b.Age))
	})
	out := make([]port.EntryStatus, 0, len(reports))
	for _, r := range reports {
		if len(out) == 0 || out[len(out)-1].Name != r.Name {
			out = append(out, r.EntryStatus)
		}
	}
	return out
}
