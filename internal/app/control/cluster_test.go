package control_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/disk"
	"sassafrasreach/internal/adapter/registergrpc"
	"sassafrasreach/internal/app/control"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

var errUnreachable = errors.New("unreachable")

// kind is the type of a message between members.
type kind string

const (
	prepare kind = "prepare"
	accept  kind = "accept"
	learn   kind = "learn"
	query   kind = "query"
	probe   kind = "probe"
	fence   kind = "fence"
	other   kind = "other"
)

// event is a message that is about to be delivered.
type event struct {
	kind     kind
	from, to int
	// answer marks the answer to a message. It travels in the opposite
	// direction; from and to remain those of the message that it answers.
	answer bool
	// value says that the message carries a value of the register.
	value bool
}

// cluster runs members in one process and injects faults into the network between
// them. It must be used in a synctest bubble.
type cluster struct {
	t     *testing.T
	peers []control.Peer
	// files overrides the file system of members.
	files map[int]disk.FS

	// mu guards the fields below.
	mu      sync.Mutex
	members []*running
	cut     map[int]bool
	frozen  map[int]bool
	watch   func(event)
	write   func() // called before each write
	latency time.Duration
	starts  uint64
	all     []*running
	// restarting is locked from a crash to the restart. Lock order: restarting,
	// mu.
	restarting sync.Mutex
}

// running is one start of a member.
type running struct {
	node *control.Node
	disk *processFS
	dir  string
	stop context.CancelFunc
	done chan error
	dead bool
}

// unsyncedFS is the operating system's file system without syncs, for speed.
type unsyncedFS struct{ disk.OS }

type unsyncedFile struct{ disk.File }

func (unsyncedFS) Create(path string) (disk.File, error) {
	f, err := disk.OS{}.Create(path)
	return unsyncedFile{f}, err
}
func (unsyncedFS) SyncFolder(string) error { return nil }
func (unsyncedFile) Sync() error           { return nil }

// processFS is the file system of one start of a member. After crash every write
// fails and the lock of the folder is released.
type processFS struct {
	disk.FS
	c *cluster

	mu      sync.Mutex
	crashed bool
	lock    io.Closer
}

type processFile struct {
	disk.File
	of *processFS
}

func (p *processFS) do(write func() error) error {
	p.c.mu.Lock()
	before := p.c.write
	p.c.mu.Unlock()
	before()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashed {
		return errUnreachable
	}
	return write()
}

func (p *processFS) Create(path string) (f disk.File, err error) {
	err = p.do(func() error { f, err = p.FS.Create(path); return err })
	return processFile{f, p}, err
}

func (p *processFS) Rename(from, to string) error {
	return p.do(func() error { return p.FS.Rename(from, to) })
}

func (p *processFS) Lock(path string) (lock io.Closer, err error) {
	p.lock, err = p.FS.Lock(path)
	return p.lock, err
}

func (f processFile) Write(b []byte) (n int, err error) {
	err = f.of.do(func() error { n, err = f.File.Write(b); return err })
	return n, err
}

// crash waits for the write in progress before it makes further writes fail.
func (p *processFS) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashed = true
	_ = p.lock.Close()
}

func newCluster(t *testing.T, members int) *cluster {
	c := &cluster{
		t: t, files: make(map[int]disk.FS), cut: make(map[int]bool), frozen: make(map[int]bool),
		watch: func(event) {}, write: func() {}, members: make([]*running, members), latency: time.Millisecond,
	}
	for i := range members {
		c.peers = append(c.peers, control.Peer{Name: fmt.Sprint("control-", i)})
	}
	return c
}

// startAll starts every member with an empty folder and waits for their votes.
func startAll(t *testing.T, members int) *cluster {
	c := newCluster(t, members)
	for i := range members {
		c.start(i, t.TempDir())
	}
	for i := range members {
		c.eventually("vote", func() bool { return c.votes(i) })
	}
	return c
}

func (c *cluster) start(i int, dir string) {
	c.mu.Lock()
	c.starts++
	incarnation := c.starts
	files := c.files[i]
	c.mu.Unlock()
	if files == nil {
		files = unsyncedFS{}
	}
	r := &running{dir: dir, done: make(chan error, 1), disk: &processFS{FS: files, c: c}}
	node, err := control.New(control.Config{
		Name: c.peers[i].Name, Incarnation: incarnation, Peers: c.peers, DataDir: dir,
		Validate: func(d []byte) error {
			if string(d) == "invalid" {
				return errors.New("invalid")
			}
			return nil
		},
		Clock: port.ClockFunc(time.Now), Logger: slog.New(slog.DiscardHandler), Files: r.disk,
		Dial: func(to control.Peer, _ uint64) (control.Remote, error) {
			var j int
			_, err := fmt.Sscanf(to.Name, "control-%d", &j)
			return &link{c: c, owner: r, from: i, to: j}, err
		},
	})
	is.New(c.t).NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	r.node, r.stop = node, stop
	go func() { r.done <- node.Run(ctx) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[i] = r
	c.all = append(c.all, r)
}

// kill simulates a crash of a member: none of its messages are delivered any more
// and its writes fail. It returns the member's data folder.
func (c *cluster) kill(i int) (dir string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[i].dead = true
	c.members[i].disk.crash()
	c.members[i].stop()
	return c.members[i].dir
}

// crash crashes all members and restarts them with their folders.
func (c *cluster) crash() {
	c.restarting.Lock()
	defer c.restarting.Unlock()
	dirs := make([]string, len(c.peers))
	for i := range dirs {
		dirs[i] = c.kill(i)
	}
	for i, dir := range dirs {
		c.start(i, dir)
	}
}

// loseDisk restarts a member with an empty folder.
func (c *cluster) loseDisk(i int) {
	c.restarting.Lock()
	defer c.restarting.Unlock()
	c.kill(i)
	c.start(i, c.t.TempDir())
}

// end stops the nodes of all starts, crashed ones included, and waits for them.
func (c *cluster) end() {
	c.mu.Lock()
	all := c.all
	c.mu.Unlock()
	for _, r := range all {
		r.stop()
		<-r.done
	}
}

func (c *cluster) node(i int) *control.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[i].node
}

func (c *cluster) votes(i int) bool {
	report, err := c.node(i).Query(register.Query{})
	return err == nil && report.Voting
}

func (c *cluster) set(table map[int]bool, i int, to bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	table[i] = to
}

func (c *cluster) onEvent(f func(event)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch = f
}

// eventually waits for a condition, up to a minute of the bubble's fake time.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	for range 1200 {
		if holds() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("condition not met within a minute: %s", what)
}

// link is the connection from one start of a member to another member.
type link struct {
	c        *cluster
	owner    *running
	from, to int
}

// deliver waits for the latency of the network and returns an error for a message
// that is lost. A message of a frozen sender is delayed until it is thawed; a
// message to a frozen member, or from or to one that is cut off, is lost.
func (l *link) deliver(e event) error {
	e.from, e.to = l.from, l.to
	l.c.mu.Lock()
	latency := l.c.latency
	l.c.mu.Unlock()
	time.Sleep(latency)
	for l.is(l.c.frozen, l.from) {
		time.Sleep(100 * time.Millisecond)
	}
	if l.is(l.c.cut, l.from) || l.is(l.c.cut, l.to) || l.is(l.c.frozen, l.to) {
		time.Sleep(time.Second)
		return errUnreachable
	}
	l.c.mu.Lock()
	watch := l.c.watch
	l.c.mu.Unlock()
	watch(e)
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	if l.owner.dead || l.c.members[l.to] == nil || l.c.members[l.to].dead {
		return errUnreachable
	}
	return nil
}

func (l *link) is(table map[int]bool, i int) bool {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	return table[i]
}

// call delivers a message and its answer. The answer of a member that was
// restarted in between is lost.
func call[R any](l *link, k kind, value bool, do func(*control.Node) (R, error), carries func(R) bool) (R, error) {
	var none R
	if err := l.deliver(event{kind: k, value: value}); err != nil {
		return none, err
	}
	to := l.c.node(l.to)
	r, err := do(to)
	if err != nil {
		return none, err
	}
	if err := l.deliver(event{kind: k, answer: true, value: carries(r)}); err != nil {
		return none, err
	}
	if to != l.c.node(l.to) {
		return none, errUnreachable
	}
	return r, nil
}

func no[R any](R) bool { return false }

func (l *link) Prepare(_ context.Context, m register.Prepare) (register.Promise, error) {
	return call(l, prepare, false, func(n *control.Node) (register.Promise, error) { return n.Prepare(m) },
		func(r register.Promise) bool { return r.Value != nil })
}

func (l *link) Accept(_ context.Context, m register.Accept) (register.Accepted, error) {
	return call(l, accept, true, func(n *control.Node) (register.Accepted, error) { return n.Accept(m) }, no)
}

func (l *link) Learn(_ context.Context, m register.Learn) error {
	_, err := call(l, learn, false, func(n *control.Node) (any, error) { return nil, n.Learn(m) }, no)
	return err
}

func (l *link) Query(_ context.Context, m register.Query) (register.Report, error) {
	return call(l, query, false, func(n *control.Node) (register.Report, error) { return n.Query(m) },
		func(r register.Report) bool { return r.Value != nil })
}

func (l *link) Probe(_ context.Context, m register.Probe) (register.ProbeReply, error) {
	return call(l, probe, false, func(n *control.Node) (register.ProbeReply, error) { return n.Probe(m) }, no)
}

func (l *link) Fence(_ context.Context, m register.Fence) (register.Fenced, error) {
	return call(l, fence, false, func(n *control.Node) (register.Fenced, error) { return n.Fence(m) },
		func(r register.Fenced) bool { return r.Value != nil })
}

func (l *link) Reports(context.Context) ([]registergrpc.EntryReport, error) {
	return call(l, other, false, func(n *control.Node) ([]registergrpc.EntryReport, error) { return n.Reports(), nil }, no)
}

func (l *link) Lift(_ context.Context, operator, fingerprint string) error {
	_, err := call(l, other, false, func(n *control.Node) (any, error) { n.Lift(operator, fingerprint); return nil, nil }, no)
	return err
}

func (l *link) Close() error { return nil }

func change(id string, base uint64) port.Change {
	return port.Change{ID: id, Operator: "op-" + id, BaseVersion: base, Document: []byte("document " + id)}
}

// submit sends a change to the given members in round-robin order until its
// outcome is known.
func (c *cluster) submit(ch port.Change, through ...int) port.Outcome {
	c.t.Helper()
	var out port.Outcome
	turn := 0
	c.eventually("outcome of "+ch.ID, func() bool {
		var err error
		out, err = c.node(through[turn%len(through)]).Submit(context.Background(), ch)
		turn++
		return err == nil && out.State != port.ChangeUnknown
	})
	return out
}

func copyDir(t *testing.T, from string) string {
	to := t.TempDir()
	is.New(t).NoErr(os.CopyFS(to, os.DirFS(from)))
	return to
}
