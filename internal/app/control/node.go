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
// Lock order: proposeSem, mu, tables.mu.
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

	// proposeSem is a semaphore that admits one propose call at a time:
	// concurrent attempts of one node would reject each other's ballots.
	proposeSem chan struct{}
	// sendCtx is the context of all outgoing messages. Run cancels it. sends
	// counts the goroutines that send messages. sendsMu makes sure that none
	// starts after sendCtx was canceled, so that Run can wait for all of them.
	sendCtx     context.Context
	cancelSends context.CancelFunc
	sendsMu     sync.Mutex
	sends       sync.WaitGroup
	// queries numbers the query rounds.
	queries atomic.Uint64
	// failedSignal is closed when the node's state can't be saved.
	failedSignal chan struct{}

	// mu guards the member's state, the disk and the fields below, except
	// tables.
	mu       sync.Mutex
	acceptor *register.Acceptor
	folder   *disk.Folder
	ballots  *register.BallotSource
	// failed is the answer to every further message of the register: the first
	// error in saving the state, or errStopped after Run.
	failed error
	// quorumRead is the start of the last round or attempt that read the newest
	// chosen value through a quorum; zero means never.
	quorumRead time.Time

	// tables holds the reports of entries and the recent lifts; it has its own
	// lock.
	tables entryTables
}

// errStopped is what a node answers after Run has returned.
var errStopped = errors.New("the control node has stopped")

var (
	_ port.ConfigStore    = (*Node)(nil)
	_ registergrpc.Member = (*Node)(nil)
)

// New returns a node with the state in its data folder, or with an empty state
// that doesn't vote when the folder has no usable one. The error wraps ErrConfig,
// disk.ErrFailed or registergrpc.ErrOtherGroup, among others.
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
		proposeSem: make(chan struct{}, 1), failedSignal: make(chan struct{}),
		ballots: register.NewBallotSource(self, cfg.Incarnation),
	}
	if err := n.open(cfg); err != nil {
		return nil, err
	}
	if err := n.connect(cfg); err != nil {
		return nil, err
	}
	n.sendCtx, n.cancelSends = context.WithCancel(context.Background())
	return n, nil
}

// connect creates a Remote for every other member.
func (n *Node) connect(cfg Config) error {
	for i, p := range n.peers {
		if register.MemberID(i) == n.self {
			continue
		}
		remote, err := cfg.Dial(p, n.groupID)
		if err != nil {
			return fmt.Errorf("connect to member %q: %w", p.Name, err)
		}
		n.remotes[i] = remote
	}
	return nil
}

// Register adds the node's services to a server, which needs the options of
// registergrpc.ServerOptions.
func (n *Node) Register(s *grpc.Server) { registergrpc.NewServer(n, n.groupID).Register(s) }

// Run obtains the member's vote, keeps its value up to date and returns when ctx
// ends or saving the state failed. The error joins that failure with those of
// closing the connections and the data folder; nil means none. The node must not
// be used afterwards.
func (n *Node) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { n.join(running) })
	loops.Go(func() { n.runAntiEntropy(running) })
	select {
	case <-ctx.Done():
	case <-n.failedSignal:
	}
	cancel()
	n.sendsMu.Lock()
	n.cancelSends()
	n.sendsMu.Unlock()
	loops.Wait()
	n.sends.Wait()
	return errors.Join(n.closeRemotes(), n.closeFolder())
}

// closeFolder releases the data folder and returns the errors of closing it and of
// an earlier failed save, if any. Every further message of the register is answered
// with an error.
func (n *Node) closeFolder() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	failed := n.failed
	if failed == nil {
		n.failed = errStopped
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

// failure returns the error that ended the node, or nil.
func (n *Node) failure() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failed
}
