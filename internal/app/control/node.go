package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"sassafrasreach/internal/adapter/disk"
	"sassafrasreach/internal/adapter/registergrpc"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

// Node is a control VM's member of the register. It is safe for concurrent use.
// Its locks are taken in the order turn, mu, tables.
type Node struct {
	name     string
	self     register.MemberID
	group    register.Group
	groupID  uint64
	peers    []Peer
	remotes  []Remote
	validate func([]byte) error
	clock    port.Clock
	logger   *slog.Logger

	// turn admits one attempt of this node at a time.
	turn chan struct{}
	// life ends when Run ends; calls counts the goroutines that send messages.
	// None starts after life ended: callsMu orders the two.
	life    context.Context
	end     context.CancelFunc
	callsMu sync.Mutex
	calls   sync.WaitGroup
	// queries numbers the query rounds.
	queries atomic.Uint64
	// stopped is closed when the disk has failed.
	stopped chan struct{}

	// mu guards the member's state, the disk and the fields below.
	mu       sync.Mutex
	acceptor *register.Acceptor
	folder   *disk.Folder
	ballots  *register.BallotSource
	failed   error
	// quorumRead is when the last round began that read the newest chosen
	// value from a quorum; zero means never.
	quorumRead time.Time

	// tables holds what entries said; it has its own lock.
	tables entryTables
}

// errEnded is what a node answers after Run has ended.
var errEnded = errors.New("the control node has ended")

var (
	_ port.ConfigStore    = (*Node)(nil)
	_ registergrpc.Member = (*Node)(nil)
)

// New returns a node with the state that its folder holds. The error wraps
// ErrConfig, disk.ErrFailed or registergrpc.ErrOtherGroup.
func New(cfg Config) (*Node, error) {
	peers, self, err := cfg.check()
	if err != nil {
		return nil, err
	}
	if cfg.Dial == nil {
		cfg.Dial = dialGRPC
	}
	if cfg.Files == nil {
		cfg.Files = disk.OS{}
	}
	n := &Node{
		name: cfg.Name, self: self, group: register.Group{Members: len(peers)}, groupID: groupID(peers),
		peers: peers, remotes: make([]Remote, len(peers)),
		validate: cfg.Validate, clock: cfg.Clock, logger: cfg.Logger.With("member", cfg.Name),
		turn: make(chan struct{}, 1), stopped: make(chan struct{}),
		ballots: register.NewBallotSource(self, cfg.Incarnation),
	}
	if err := n.open(cfg); err != nil {
		return nil, err
	}
	if err := n.connect(cfg); err != nil {
		return nil, err
	}
	n.life, n.end = context.WithCancel(context.Background())
	return n, nil
}

func (n *Node) connect(cfg Config) error {
	for i, p := range n.peers {
		if register.MemberID(i) == n.self {
			continue
		}
		remote, err := cfg.Dial(p, n.groupID)
		if err != nil {
			return fmt.Errorf("connect to %s: %w", p.Name, err)
		}
		n.remotes[i] = remote
	}
	return nil
}

// Register adds the node's services to a server, which needs the options of
// registergrpc.ServerOptions.
func (n *Node) Register(s *grpc.Server) { registergrpc.NewServer(n, n.groupID).Register(s) }

// Run joins the group, keeps up with it, and returns nil when ctx ends, or the
// disk's error. The node must not be used afterwards.
func (n *Node) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { n.join(running) })
	loops.Go(func() { n.keepUp(running) })
	select {
	case <-ctx.Done():
	case <-n.stopped:
	}
	cancel()
	n.callsMu.Lock()
	n.end()
	n.callsMu.Unlock()
	loops.Wait()
	n.calls.Wait()
	return errors.Join(n.closeRemotes(), n.closeFolder())
}

// closeFolder gives the data folder free and returns the disk's error, if any.
// The member gives no more answers.
func (n *Node) closeFolder() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	failed := n.failed
	if failed == nil {
		n.failed = errEnded
	}
	return errors.Join(failed, n.folder.Close())
}

func (n *Node) closeRemotes() error {
	var errs []error
	for _, r := range n.remotes {
		if r != nil {
			errs = append(errs, r.Close())
		}
	}
	return errors.Join(errs...)
}

func (n *Node) failure() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failed
}
