package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/lease"
	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// exchangePeriod is the time between two rounds of news: a quarter of the
	// time after which a controller counts as silent.
	exchangePeriod = 300 * time.Millisecond
	// silentAfter is how long after its last answer a controller or gateway is
	// taken to be out of reach: a few rounds of news and a slow link.
	silentAfter = 1500 * time.Millisecond
	// callTimeout bounds a call to another controller.
	callTimeout = time.Second
	// endpointMemory is how long a silent endpoint is remembered, so that late
	// news of it is told from new.
	endpointMemory = 60 * time.Second
	// tickPeriod is the time between two looks at waiting requests.
	tickPeriod = 20 * time.Millisecond
)

// Config is what a controller is told at its start.
type Config struct {
	Name string
	// Address is the IP:port where it answers controllers and gateways.
	Address string
	// Zone and Region say where it runs.
	Zone, Region string
	// Zones gives the region of each failure domain.
	Zones map[string]string
	// Seeds are addresses of controllers; at the first start of the system all
	// are told the same, and these found it.
	Seeds []string
	// Retries bounds the second sends in the whole system.
	Retries dispatch.RetryBudget
	// MaxShift is the share of a region's requests that may change the region in
	// which they run from one window to the next; 0 sets no bound.
	MaxShift float64
	// Founding says that the system starts for the first time.
	Founding bool
}

// Ports are what a controller needs of the outside.
type Ports struct {
	Clock  port.Clock
	Logger *slog.Logger
	Store  port.VoterStore
	Meter  port.FleetMeter
	// Dial returns the way to another controller.
	Dial func(address string) (port.ControllerPeer, error)
}

// Controller implements port.ControllerService.
type Controller struct {
	config      Config
	ports       Ports
	incarnation uint64
	voter       *voter
	// proposing is full while this controller proposes.
	proposing chan struct{}

	// mu guards what follows.
	mu       sync.Mutex
	peers    map[string]*peer
	epoch    quorum.Epoch
	chosen   quorum.Accepted
	chosenIn uint64
	// seed is a value of epoch seedIn that a voter can enter it with.
	seed   *quorum.Value
	seedIn uint64
	state  *fleet.State
	round  uint64
	// doubted is since when a voter has reported a later value than chosen.
	doubted  time.Time
	gateways map[string]port.Gateway
	// watchers holds when a gateway last watched this controller.
	watchers  map[string]time.Time
	endpoints *registry.Registry
	// heardHere counts the announcements that were made to this controller; it
	// holds the count at an endpoint's last one.
	heardHere map[string]uint64
	heardSeq  uint64
	ballots   *lease.Ballots
	regions   map[string]*region
	// loads and loans are what regions were last said to need, and to lend by
	// lender.
	loads    map[loadKey]heardLoad
	loans    map[string]heardLoans
	changed  chan struct{}
	seeds    []string
	stopping bool
}

var _ port.ControllerService = (*Controller)(nil)

// New returns a controller that goes on from what its disk holds. The error is
// of the disk.
func New(config Config, ports Ports) (*Controller, error) {
	now := ports.Clock.Now()
	c := &Controller{
		config: config, ports: ports, incarnation: uint64(now.UnixNano()),
		peers: make(map[string]*peer), state: &fleet.State{},
		gateways: make(map[string]port.Gateway), watchers: make(map[string]time.Time), endpoints: registry.New(endpointMemory),
		heardHere: make(map[string]uint64), ballots: lease.NewBallots(now),
		regions: make(map[string]*region), loads: make(map[loadKey]heardLoad), loans: make(map[string]heardLoans),
		proposing: make(chan struct{}, 1), changed: make(chan struct{}), seeds: config.Seeds,
	}
	for _, name := range config.Zones {
		if c.regions[name] == nil {
			c.regions[name] = &region{name: name, candidate: lease.NewCandidate()}
		}
	}
	v, err := newVoter(config, ports)
	if err != nil {
		return nil, fmt.Errorf("voter: %w", err)
	}
	c.voter = v
	c.begin()
	return c, nil
}

// begin takes the epoch from the disk, or the founding one.
func (c *Controller) begin() {
	s := c.voter.standing()
	c.epoch = s.Epoch
	if c.epoch.Number == 0 && c.config.Founding {
		c.epoch = quorum.Founding(c.config.Seeds)
	}
	event.Log(context.Background(), c.ports.Logger, event.VoterStarted,
		slog.String("disk", s.ID), slog.Uint64("epoch", c.epoch.Number), slog.Int("voters", len(c.epoch.Voters)),
		slog.Bool("founding", c.config.Founding))
}

// Run keeps the controller going until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { wait.Each(ctx, exchangePeriod, func() { c.exchangeRound(ctx) }) })
	group.Go(func() { wait.Each(ctx, exchangePeriod, func() { c.keepVoters(ctx) }) })
	group.Go(func() { wait.Each(ctx, exchangePeriod, func() { c.catchUp(ctx) }) })
	group.Go(func() { wait.Each(ctx, tickPeriod, c.tick) })
	group.Wait()
}

// Stop makes the controller give up what others can take over.
func (c *Controller) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}

// Gauges returns what the controller is at: counts by name.
func (c *Controller) Gauges() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.ports.Clock.Now()
	out := map[string]int64{
		"register.epoch": int64(c.epoch.Number), "register.voters": int64(len(c.epoch.Voters)),
		"register.confirmed_ms_ago": -1, "config.version": int64(c.state.Config.Version),
		"controllers.live": int64(len(c.controllers(now))), "gateways.known": int64(len(c.gateways)),
	}
	if at := c.confirmed(now); !at.IsZero() {
		out["register.confirmed_ms_ago"] = now.Sub(at).Milliseconds()
	}
	for name, r := range c.regions {
		if r.pool == nil {
			continue
		}
		for service, use := range r.pool.Use(now) {
			key := name + "." + service
			out["dispatch.slots."+key], out["dispatch.busy."+key] = int64(use.Slots), int64(use.Busy)
			out["dispatch.waiting."+key], out["dispatch.lent."+key] = int64(use.Waiting), int64(use.Lent)
			out["dispatch.borrowed."+key], out["dispatch.kept_objects."+key] = int64(use.Borrowed), int64(use.KeptObjects)
		}
	}
	return out
}

// SetSeeds replaces the addresses to look for other controllers at.
func (c *Controller) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// self tells of this controller. Must hold mu.
func (c *Controller) self(now time.Time) port.Controller {
	return port.Controller{
		Address: c.config.Address, Disk: c.voter.id, Zone: c.config.Zone, Region: c.config.Region,
		Incarnation: c.incarnation, Heard: now,
	}
}

// wake tells all that wait for a change. Must hold mu.
func (c *Controller) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// jitter returns a random time in [d/2, 3d/2).
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// live says whether something was heard of lately.
func live(now, heard time.Time) bool { return now.Sub(heard) < silentAfter }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// newDispatchSetup returns the figures of a region's pool. The pool calls them with
// mu held, as all of a pool is called.
func (c *Controller) newDispatchSetup(region string) dispatch.Setup {
	retries := c.config.Retries
	retries.Extra /= float64(len(c.regions))
	return dispatch.Setup{
		Retries: retries, Region: region, Way: c.way, MaxShift: c.config.MaxShift,
		RegionOf: func(zone string) string { return c.config.Zones[zone] },
		ColdRate: func(service string) float64 {
			for _, s := range c.state.Config.Services {
				if s.Name == service {
					return s.ColdPerSecond
				}
			}
			return 0
		},
		Draw: rand.Float64,
	}
}
