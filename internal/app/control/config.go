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

// ErrConfig means that a Config is invalid. New wraps it with the reason.
var ErrConfig = errors.New("invalid configuration of the control node")

// Peer is a member of the group of control VMs.
type Peer struct {
	// Name identifies the member.
	Name string
	// Address is the IP:port of its gRPC server.
	Address string
}

// Remote sends messages to another member. After an error the member may or may
// not have processed the message.
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

// Config holds the settings and dependencies of a node.
type Config struct {
	// Name is the node's own name; it must be among Peers.
	Name string
	// Incarnation must differ at each start of the node: ballots are unique only
	// if no two starts of a member share it.
	Incarnation uint64
	// Peers lists all 1, 3 or 5 members, including the node itself.
	Peers []Peer
	// DataDir is the folder that holds the node's state.
	DataDir string
	// Validate returns an error for an invalid document.
	Validate func([]byte) error
	// Clock gives the time for the ages of reports, lifts and quorum reads, and
	// for audit records.
	Clock port.Clock
	// Logger receives the node's events.
	Logger *slog.Logger

	// Dial connects to another member; nil means gRPC.
	Dial func(to Peer, group uint64) (Remote, error)
	// Files is the file system of DataDir; nil means the operating system's.
	Files disk.FS
}

// check validates c and returns the members sorted by name and the node's index
// among them. The index is the node's register.MemberID on every member.
func (c Config) check() ([]Peer, register.MemberID, error) {
	if !slices.Contains([]int{1, 3, register.MaxMembers}, len(c.Peers)) {
		return nil, 0, fmt.Errorf("%w: Peers has %d members; 1, 3 or 5 are allowed", ErrConfig, len(c.Peers))
	}
	if c.Validate == nil || c.Clock == nil || c.Logger == nil {
		return nil, 0, fmt.Errorf("%w: Validate, Clock and Logger must all be set", ErrConfig)
	}
	peers := slices.Clone(c.Peers)
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	for i := 1; i < len(peers); i++ {
		if peers[i].Name == peers[i-1].Name {
			return nil, 0, fmt.Errorf("%w: Peers lists member %q twice; names must be unique", ErrConfig, peers[i].Name)
		}
	}
	self := slices.IndexFunc(peers, func(p Peer) bool { return p.Name == c.Name })
	if self < 0 {
		return nil, 0, fmt.Errorf("%w: Name %q is not listed in Peers", ErrConfig, c.Name)
	}
	return peers, register.MemberID(self), nil
}

// groupID returns the FNV-1a hash of the members' names. It identifies the group:
// a member rejects state on disk that belongs to another group.
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
