package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"slices"

	"sassafrasreach/internal/adapter/disk"
	"sassafrasreach/internal/adapter/registergrpc"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

// ErrConfig means that a Config can't be used.
var ErrConfig = errors.New("control node can't be configured so")

// Peer is a member of the group of control VMs.
type Peer struct {
	// Name identifies the member.
	Name string
	// Address is the IP:port of its gRPC server.
	Address string
}

// Remote sends messages to another member. An error leaves open what the
// member did with the message.
type Remote interface {
	Prepare(context.Context, register.Prepare) (register.Promise, error)
	Accept(context.Context, register.Accept) (register.Accepted, error)
	Learn(context.Context, register.Learn) error
	Query(context.Context, register.Query) (register.Report, error)
	Probe(context.Context, register.Probe) (register.ProbeReply, error)
	Fence(context.Context, register.Fence) (register.Fenced, error)
	Reports(context.Context) ([]registergrpc.EntryReport, error)
	Lift(ctx context.Context, operator, fingerprint string) error
	io.Closer
}

// Config says how a node is set up.
type Config struct {
	// Name is the node's own name among Peers.
	Name string
	// Incarnation must differ at each start of the node.
	Incarnation uint64
	// Peers are all members, the node itself included: 1, 3 or 5.
	Peers []Peer
	// DataDir is the folder of the node's state.
	DataDir string
	// Validate returns an error for a document with faults.
	Validate func([]byte) error
	// Clock gives the time for ages and audit records.
	Clock port.Clock
	// Logger takes the node's events.
	Logger *slog.Logger

	// Dial connects to another member; nil means gRPC.
	Dial func(to Peer, group uint64) (Remote, error)
	// Files is the file system of DataDir; nil means the operating system's.
	Files disk.FS
}

// check returns the members sorted by name and the node's index among them.
func (c Config) check() ([]Peer, register.MemberID, error) {
	if !slices.Contains([]int{1, 3, register.MaxMembers}, len(c.Peers)) {
		return nil, 0, fmt.Errorf("%w: %d members", ErrConfig, len(c.Peers))
	}
	if c.Validate == nil || c.Clock == nil || c.Logger == nil {
		return nil, 0, fmt.Errorf("%w: Validate, Clock and Logger are needed", ErrConfig)
	}
	peers := slices.Clone(c.Peers)
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	for i := 1; i < len(peers); i++ {
		if peers[i].Name == peers[i-1].Name {
			return nil, 0, fmt.Errorf("%w: member %q twice", ErrConfig, peers[i].Name)
		}
	}
	self := slices.IndexFunc(peers, func(p Peer) bool { return p.Name == c.Name })
	if self < 0 {
		return nil, 0, fmt.Errorf("%w: %q is not a member", ErrConfig, c.Name)
	}
	return peers, register.MemberID(self), nil
}

// groupID identifies a set of members by the FNV-1a hash of their names.
func groupID(sorted []Peer) uint64 {
	sum := fnv.New64a()
	for _, p := range sorted {
		_, _ = sum.Write([]byte(p.Name + "\n"))
	}
	return sum.Sum64()
}

func dialGRPC(to Peer, group uint64) (Remote, error) {
	return registergrpc.NewClient(to.Address, group)
}
