package controller_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/app/controller"
	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/port"
)

// errUnreachable is the error of a call to a controller that is stopped or cut
// off.
var errUnreachable = errors.New("unreachable")

// disk is an in-memory VoterStore whose content outlives its controller.
type disk struct {
	mu    sync.Mutex
	state quorum.State
	used  bool
}

func (d *disk) Load() (quorum.State, bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state, d.used, nil
}

func (d *disk) Save(s quorum.State) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state, d.used = s, true
	return nil
}

// hintDisk is an in-memory HintStore whose content outlives its controller.
type hintDisk struct {
	mu    sync.Mutex
	hints port.Hints
}

func (d *hintDisk) Load() (port.Hints, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hints, nil
}

func (d *hintDisk) Save(h port.Hints) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hints = h
	return nil
}

// evidenceDisk is an in-memory EvidenceStore whose content outlives its controller.
type evidenceDisk struct {
	mu  sync.Mutex
	all []quarantine.Evidence
	// lag is how long a save takes.
	lag time.Duration
}

func (d *evidenceDisk) Load() ([]quarantine.Evidence, int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.all, 0, nil
}

func (d *evidenceDisk) Save(all []quarantine.Evidence) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	time.Sleep(d.lag)
	d.all = all
	return nil
}

// member is one VM with its disk and controller.
type member struct {
	name, zone, region string
	disk               *disk
	hints              *hintDisk
	evidence           *evidenceDisk
	clock              *suspendedClock
	controller         *controller.Controller
	stop               context.CancelFunc
}

// cluster is a set of controllers on an in-memory network.
type cluster struct {
	t       *testing.T
	mu      sync.Mutex
	members map[string]*member
	blocked map[[2]string]bool
	delay   time.Duration
	// lag is how much later the responses to a controller arrive.
	lag   map[string]time.Duration
	seeds []string
	// rejection rejects exchanges; nil rejects none.
	rejection *rejection
}

var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

// newCluster starts one controller in each zone, in random order, as at the
// first start of the system.
func newCluster(t *testing.T, delay time.Duration) *cluster {
	c := &cluster{
		t: t, members: make(map[string]*member), blocked: make(map[[2]string]bool), delay: delay,
		lag:   make(map[string]time.Duration),
		seeds: []string{"a1:1", "b1:1", "c1:1"},
	}
	for zone, region := range regions {
		c.members[zone+":1"] = &member{name: zone, zone: zone, region: region, disk: &disk{}, hints: &hintDisk{}, evidence: &evidenceDisk{}, clock: &suspendedClock{}}
	}
	for address := range c.members {
		c.start(address, true)
	}
	t.Cleanup(func() {
		for address := range c.members {
			c.kill(address)
		}
	})
	return c
}

// link is the network connection from one controller to another.
type link struct {
	cluster  *cluster
	from, to string
}

// reach waits for the network delay and returns the controller, or
// errUnreachable if it is stopped or cut off.
func (l link) reach(ctx context.Context) (*controller.Controller, error) {
	select {
	case <-time.After(l.cluster.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	m := l.cluster.members[l.to]
	if m == nil || m.controller == nil || l.cluster.blocked[[2]string{l.from, l.to}] {
		return nil, errUnreachable
	}
	return m.controller, nil
}

// call runs a function on the controller at the other end of a link. The
// response is lost when the connection is cut before it arrives.
func call[A any](ctx context.Context, l link, do func(*controller.Controller) (A, error)) (A, error) {
	var none A
	c, err := l.reach(ctx)
	if err != nil {
		return none, err
	}
	out, err := do(c)
	if err != nil {
		return none, err
	}
	l.cluster.mu.Lock()
	lag := l.cluster.lag[l.from]
	l.cluster.mu.Unlock()
	time.Sleep(lag)
	if _, err := l.reach(ctx); err != nil {
		return none, err // the response is lost
	}
	return out, nil
}

func (l link) Prepare(ctx context.Context, m quorum.Prepare) (quorum.Promise, error) {
	return call(ctx, l, func(c *controller.Controller) (quorum.Promise, error) { return c.Prepare(ctx, m) })
}

func (l link) Accept(ctx context.Context, m quorum.Accept) (*quorum.Refusal, error) {
	return call(ctx, l, func(c *controller.Controller) (*quorum.Refusal, error) { return c.Accept(ctx, m) })
}

func (l link) Learn(ctx context.Context, e quorum.Epoch, v quorum.Accepted) error {
	_, err := call(ctx, l, func(c *controller.Controller) (struct{}, error) { return struct{}{}, c.Learn(ctx, e, v) })
	return err
}

func (l link) Exchange(ctx context.Context, m port.ExchangeRequest) (port.ExchangeReply, error) {
	return call(ctx, l, func(c *controller.Controller) (port.ExchangeReply, error) {
		if err := l.cluster.rejection.check(m); err != nil {
			return port.ExchangeReply{}, err
		}
		return c.Exchange(ctx, m)
	})
}

func (l link) Order(ctx context.Context, o fleet.Order) (port.OrderReply, error) {
	return call(ctx, l, func(c *controller.Controller) (port.OrderReply, error) { return c.Order(ctx, o) })
}

func (c *cluster) start(address string, bootstrap bool) {
	m := c.members[address]
	logs := io.Discard
	if os.Getenv("CLUSTER_LOG") != "" {
		logs = os.Stderr
	}
	made, err := controller.New(controller.Config{
		Name: m.name, Address: address, Zone: m.zone, Region: m.region, Zones: regions, Seeds: c.seeds, Bootstrap: bootstrap,
		Retries: dispatch.RetryBudget{Ratio: 0.2, Extra: 112, Window: 10 * time.Second}, ToleratedLosses: 2,
	}, controller.Ports{
		Clock:  m.clock,
		Logger: slog.New(slog.NewTextHandler(logs, nil)).With("at", address),
		Meter:  metrics.New(),
		Store:  m.disk,
		Hints:  m.hints, Evidence: m.evidence,
		Decoder: testDecoder{},
		Dial: func(to string) (port.ControllerPeer, error) {
			return link{cluster: c, from: address, to: to}, nil
		},
	})
	is.New(c.t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	m.controller, m.stop = made, cancel
	c.mu.Unlock()
	go made.Run(ctx)
}

// kill stops a controller at once and keeps its disk.
func (c *cluster) kill(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[address]
	if m.stop != nil {
		m.stop()
	}
	m.controller, m.stop = nil, nil
}

// wipe replaces a stopped controller's disk by an empty one.
func (c *cluster) wipe(address string) {
	m := c.members[address]
	m.disk, m.hints, m.evidence = &disk{}, &hintDisk{}, &evidenceDisk{}
}

// restartAll kills all controllers at once and starts them again.
func (c *cluster) restartAll() {
	for address := range c.members {
		c.kill(address)
	}
	for address := range c.members {
		c.start(address, false)
	}
}

// anyRunning returns one of the running controllers; nil if there is none.
func (c *cluster) anyRunning() *controller.Controller {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.controller != nil {
			return m.controller
		}
	}
	return nil
}

// order sends a configuration to a running controller until it is accepted or
// orderLimit has passed.
func (c *cluster) order(base, version uint64) error {
	change := fleet.Change{
		Base: base, Source: fmt.Appendf(nil, "source %d", version), Config: fleet.Config{
			Version: version, Services: []fleet.Service{{Name: "s"}},
			Routes: []fleet.Route{{
				Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Attempts: 1,
				Parts: []fleet.Part{{Service: "s", Weight: 1}},
			}},
		},
	}
	var err error
	for deadline := time.Now().Add(orderLimit); time.Now().Before(deadline); {
		if at := c.anyRunning(); at != nil {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			err = at.Configure(ctx, change)
			cancel()
			if err == nil {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// read returns the configuration version that a quorum confirms to a
// controller, retrying for a time.
func (c *cluster) read(address string, within time.Duration) (uint64, error) {
	state, err := c.readState(address, within)
	if err != nil {
		return 0, err
	}
	return state.Config.Version, nil
}

// readState is read for the whole state.
func (c *cluster) readState(address string, within time.Duration) (*fleet.State, error) {
	err := errUnreachable
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		c.mu.Lock()
		at := c.members[address].controller
		c.mu.Unlock()
		var state *fleet.State
		if state, err = at.Current(context.Background()); err == nil {
			return state, nil
		}
	}
	return nil, err
}

const (
	// orderLimit bounds the time in which a stable system accepts an order.
	orderLimit = 10 * time.Second
	// readLimit bounds the time in which the configuration is read back after
	// all controllers have restarted.
	readLimit = 10 * time.Second
)

// settle waits for the time in which all live controllers become voters of the
// newest epoch.
func (c *cluster) settle() {
	time.Sleep(1500 * time.Millisecond)
}

// TestDiskLossDuringFullRestart guards against the loss of an acknowledged
// order when all controllers lose power right after the acknowledgement and
// two random disks are lost with it, in half of the runs after an earlier loss
// of a disk. Every controller reads the acknowledged version back, and the
// next order is accepted.
func TestDiskLossDuringFullRestart(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			c := newCluster(t, time.Duration(1+rng.IntN(30))*time.Millisecond)
			is.NoErr(c.order(0, 2))
			c.settle()
			addresses := make([]string, 0, len(c.members))
			for zone := range regions {
				addresses = append(addresses, zone+":1")
			}
			if rng.IntN(2) == 0 { // a disk is lost earlier
				rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
				c.kill(addresses[0])
				c.wipe(addresses[0])
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				c.start(addresses[0], false)
				time.Sleep(4 * time.Second) // the lost disk counts as lost until the voters are changed
			}
			is.NoErr(c.order(2, 5))
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			for _, a := range addresses {
				c.kill(a)
			}
			rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
			c.wipe(addresses[0])
			c.wipe(addresses[1])
			for _, a := range addresses {
				c.start(a, false)
			}
			for _, a := range addresses {
				version, err := c.read(a, readLimit)
				is.NoErr(err)
				is.Equal(version, uint64(5))
			}
			is.NoErr(c.order(5, 9))
		})
	}
}
