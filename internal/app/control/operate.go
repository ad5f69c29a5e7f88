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
	// readTries is the number of rounds that wait for another member's change
	// to be done, readPause the time between them.
	readTries = 3
	readPause = 50 * time.Millisecond
)

// Current implements port.ConfigStore.
func (n *Node) Current(ctx context.Context) (port.Config, error) {
	v, err := n.newest(ctx)
	if err != nil || v == nil {
		return port.Config{}, err
	}
	return v.Config, nil
}

// Audit implements port.ConfigStore.
func (n *Node) Audit(ctx context.Context) ([]port.AuditRecord, error) {
	v, err := n.newest(ctx)
	if err != nil || v == nil {
		return nil, err
	}
	return slices.Clone(v.Audit), nil
}

// newest reads the newest chosen value through a quorum; nil is an empty
// register.
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
	return n.settle(ctx)
}

// Status implements port.ConfigStore.
func (n *Node) Status(ctx context.Context) (port.ControlStatus, error) {
	read := n.readRound(ctx)
	status := port.ControlStatus{Member: n.name, Quorum: read.Quorum()}
	if v := n.snapshot().CommittedValue; v != nil {
		status.Version, status.Digest = v.Version, v.Digest
	}
	newest := n.tables.all(n.clock.Now())
	round[[]registergrpc.EntryReport]{
		remote: func(ctx context.Context, to Remote) ([]registergrpc.EntryReport, error) { return to.Reports(ctx) },
		take: func(reports []registergrpc.EntryReport) bool {
			newest = append(newest, reports...)
			return false
		},
	}.run(ctx, n)
	status.Entries = youngest(newest)
	return status, n.failure()
}

// youngest keeps the youngest report of each entry, sorted by name.
func youngest(reports []registergrpc.EntryReport) []port.EntryStatus {
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
