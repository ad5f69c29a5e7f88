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
	"sassafrasreach/internal/core/quota"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// exchangePeriod is the time between two rounds of exchanges with the
	// other controllers: a fifth of livenessTimeout.
	exchangePeriod = 300 * time.Millisecond
	// livenessTimeout is the time since its last response after which a
	// controller or gateway counts as unreachable: long enough for a few rounds
	// of exchanges over a slow link.
	livenessTimeout = 1500 * time.Millisecond
	// callTimeout bounds a call to another controller.
	callTimeout = time.Second
	// endpointRetention is how long an endpoint that no longer announces
	// itself is remembered, so that a late announcement of it is recognized as
	// old.
	endpointRetention = 60 * time.Second
	// tickPeriod is the time between two checks of queued slot requests.
	tickPeriod = 20 * time.Millisecond
	// stallTime is the time between two ticks from which on the process counts
	// as having stood still: the others may have replaced it meanwhile.
	stallTime = livenessTimeout / 2
)

// Config holds the settings that a controller is started with.
type Config struct {
	Name string
	// Address is the IP:port where it serves controllers and gateways.
	Address string
	// Zone and Region are its failure domain and region.
	Zone, Region string
	// Zones maps each failure domain to its region.
	Zones map[string]string
	// Seeds are addresses of controllers. At the first start of the system all
	// controllers are given the same seeds, and these are the founding voters.
	Seeds []string
	// Retries bounds the retries in the whole system.
	Retries dispatch.RetryBudget
	// MaxShift bounds the share of a region's requests that may change the
	// region in which they run from one window of two seconds to the next; 0
	// sets no bound.
	MaxShift float64
	// LearnLimits selects the endpoints whose concurrency is limited by what the
	// dispatcher learns from run times.
	LearnLimits dispatch.LimitScope
	// ToleratedLosses is the number of controllers' disks that may be lost at the same
	// time without losing the register; 0 if it isn't known.
	ToleratedLosses int
	// Quotas are the bounds on the requests of client accounts; the zero value stands for
	// quota.DefaultBounds.
	Quotas quota.Bounds
	// Bootstrap is set when the system starts for the first time.
	Bootstrap bool
	// RevocationBound is the time after which no gateway may serve a revoked key; 0 if
	// gateways needn't be sure of that.
	RevocationBound time.Duration
}

// Ports are the external dependencies of a controller.
type Ports struct {
	Clock port.Clock
	// Boot measures the ages of confirmations; nil stands for one that follows Clock.
	Boot   port.BootClock
	Logger *slog.Logger
	Store  port.VoterStore
	// Hints stores what the next start begins with; nil stores nothing.
	Hints port.HintStore
	// Evidence stores what is known of requests that crash endpoints; nil stores nothing.
	Evidence port.EvidenceStore
	Meter    port.FleetMeter
	// Decoder decodes the configurations of former releases again; nil uses them as
	// they are.
	Decoder port.ConfigDecoder
	// Dial returns a client for another controller.
	Dial func(address string) (port.ControllerPeer, error)
}

// Controller implements port.ControllerService.
type Controller struct {
	config      Config
	ports       Ports
	incarnation uint64
	voter       *voter
	// proposing is a semaphore: it is full while this controller proposes.
	proposing chan struct{}

	// exchangeNow wakes exchangeRound before its period has passed.
	exchangeNow chan struct{}
	startedAt   time.Time

	// mu guards the fields below.
	mu    sync.Mutex
	peers map[string]*peer
	// fullReplies counts the controllers that have sent all that they know since the
	// start.
	fullReplies int
	epoch       quorum.Epoch
	// chosen is the latest value known to be chosen, in epoch chosenEpoch. Its
	// ballot is zero if it is the first value of an epoch that this controller
	// has opened.
	chosen      quorum.Accepted
	chosenEpoch uint64
	// seed is a value of epoch seedEpoch that a voter can enter the epoch
	// with.
	seed      *quorum.Value
	seedEpoch uint64
	state     *fleet.State
	// round is the highest round of a ballot that was used or seen here.
	round uint64
	// behindSince is when behind first returned true, shifted by jitter; zero
	// while it returns false.
	behindSince time.Time
	gateways    map[string]port.Gateway
	// watchers maps a gateway's address to the time of its last Watch call
	// here.
	watchers  map[string]time.Time
	endpoints *registry.Registry
	// localAnnounceSeq maps an endpoint to the value of announceSeq at its
	// last announcement; announceSeq counts the announcements made to this
	// controller and those of endpoints that leave or are gone.
	localAnnounceSeq map[string]uint64
	announceSeq      uint64
	// sharedAt is when an announcement of an endpoint was last passed on by this
	// controller or another.
	sharedAt map[string]time.Time
	// endedCount counts the endpoints that have begun to leave or ended.
	endedCount uint64
	hints      *hints
	evidence   *evidenceSaves
	quotas     quotas
	suspicions *suspicions
	// limits are the limits that endpoints named last, by the endpoint's ID;
	// limitChanges are the changes observed by this controller.
	limits       map[string]dispatch.Limit
	limitChanges changeLog[dispatch.Limit]
	grantedVotes *lease.GrantedVotes
	regions      map[string]*region
	// loads holds the last reported load of each region and service; loans,
	// the last reported loans by lending region.
	loads map[loadKey]reportedLoad
	loans map[string]reportedLoans
	// changed is closed and replaced at each change that watch calls wait for.
	changed chan struct{}
	// failedAt is when an exchange last failed.
	failedAt time.Time
	// ranSince is when this controller started or last went on after it stood
	// still, and lastTick the time of the last tick.
	ranSince, lastTick time.Time
	seeds              []string
	stopping           bool
}

var _ port.ControllerService = (*Controller)(nil)

// New returns a controller that resumes from the state on its disk. The error
// is of the disk.
func New(config Config, ports Ports) (*Controller, error) {
	now := ports.Clock.Now()
	if ports.Boot == nil {
		ports.Boot = port.BootClockOf(ports.Clock)
	}
	c := &Controller{
		config: config, ports: ports, incarnation: uint64(now.UnixNano()),
		peers: make(map[string]*peer), state: &fleet.State{},
		gateways: make(map[string]port.Gateway), watchers: make(map[string]time.Time), endpoints: registry.New(endpointRetention),
		localAnnounceSeq: make(map[string]uint64), sharedAt: make(map[string]time.Time), suspicions: newSuspicions(ports.Logger), limits: make(map[string]dispatch.Limit), grantedVotes: lease.NewGrantedVotes(now),
		regions: make(map[string]*region), loads: make(map[loadKey]reportedLoad), loans: make(map[string]reportedLoans),
		proposing: make(chan struct{}, 1), changed: make(chan struct{}), seeds: config.Seeds,
		ranSince: now, lastTick: now, startedAt: now, exchangeNow: make(chan struct{}, 1),
		quotas: newQuotas(config.Zones, config.Quotas),
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
	c.loadEpoch()
	if ports.Hints == nil {
		c.ports.Hints = noHints{}
	}
	c.loadHints(now, c.ports.Hints)
	if ports.Evidence == nil {
		c.ports.Evidence = noEvidence{}
	}
	c.loadEvidence(now, c.ports.Evidence)
	return c, nil
}

// loadEpoch takes the epoch from the disk, or the founding epoch at the first
// start of the system.
func (c *Controller) loadEpoch() {
	s := c.voter.savedState()
	c.epoch = s.Epoch
	if c.epoch.Number == 0 && c.config.Bootstrap {
		c.epoch = quorum.Founding(c.config.Seeds)
	}
	event.Log(context.Background(), c.ports.Logger, event.VoterStarted,
		slog.String("disk", s.ID), slog.Uint64("epoch", c.epoch.Number), slog.Int("voters", len(c.epoch.Voters)),
		slog.Bool("founding", c.config.Bootstrap))
}

// Run runs the periodic tasks until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { wait.EveryOrOn(ctx, exchangePeriod, c.exchangeNow, func() { c.exchangeRound(ctx) }) })
	group.Go(func() { wait.Every(ctx, exchangePeriod, func() { c.updateVoters(ctx) }) })
	group.Go(func() { wait.Every(ctx, exchangePeriod, func() { c.catchUp(ctx) }) })
	group.Go(func() { wait.Every(ctx, tickPeriod, c.tick) })
	group.Go(func() { wait.EveryOrOn(ctx, exchangePeriod, c.quotas.wake, func() { c.askOwners(ctx) }) })
	group.Go(func() {
		wait.Every(ctx, hintPeriod, func() {
			_ = c.saveHints()
			c.refreshEvidence()
		})
	})
	group.Go(func() { c.runEvidence(ctx) })
	group.Wait()
}

// Stop makes the controller give up its leases and its vote and no longer change the
// voters, so that others take over.
func (c *Controller) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	c.exchangeAtOnce()
}

// HandedOver reports whether a stopping controller may end: its disk doesn't vote any
// more, or the voters can't do without it.
func (c *Controller) HandedOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.epoch.Has(c.voter.id) ||
		len(c.spares(c.ports.Clock.Now())) == 0 && len(c.epoch.Voters) <= quorum.LeastVoters(c.config.ToleratedLosses)
}

// Gauges returns the current gauge values by name.
func (c *Controller) Gauges() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.ports.Clock.Now()
	out := map[string]int64{
		"register.epoch": int64(c.epoch.Number), "register.voters": int64(len(c.epoch.Voters)),
		"register.confirmed_ms_ago": -1, "config.version": int64(c.state.Config.Version),
		"controllers.live": int64(len(c.liveControllers(now))), "gateways.known": int64(len(c.gateways)),
	}
	c.quotaGauges(out)
	for _, g := range c.gateways {
		if live(now, g.LastSeen) {
			out["gateways.live"]++
		}
	}
	sinceBoot := c.ports.Boot.SinceBoot()
	if at, ok := c.confirmed(sinceBoot); ok {
		out["register.confirmed_ms_ago"] = (sinceBoot - at).Milliseconds()
	}
	for name, r := range c.regions {
		if r.pool == nil {
			continue
		}
		out["dispatch.shift_unlimited."+name] = 0
		if r.pool.ShiftLimitSuspended(now) {
			out["dispatch.shift_unlimited."+name] = 1
		}
		for service, use := range r.pool.Use(now) {
			key := name + "." + service
			out["dispatch.slots."+key], out["dispatch.busy."+key] = int64(use.Slots), int64(use.Busy)
			out["dispatch.waiting."+key], out["dispatch.lent."+key] = int64(use.Waiting), int64(use.Lent)
			out["dispatch.borrowed."+key], out["dispatch.kept_objects."+key] = int64(use.Borrowed), int64(use.KeptObjects)
			reportGauges(out, key, use.Reports)
			limitGauges(out, key, use.Limits)
		}
	}
	return out
}

// SetSeeds replaces the addresses at which other controllers are looked for.
func (c *Controller) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// self describes this controller to others. Must hold mu.
func (c *Controller) self(now time.Time) port.Controller {
	return port.Controller{
		Address: c.config.Address, Disk: c.voter.id, Zone: c.config.Zone, Region: c.config.Region,
		Incarnation: c.incarnation, LastSeen: now, Stopping: c.stopping,
	}
}

// notifyChanged wakes all watch calls that wait for a change. Must hold mu.
func (c *Controller) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// jitter returns a random time in [d/2, 3d/2).
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// live reports whether a VM was last known to be live, or a report was
// received, less than livenessTimeout ago.
func live(now, lastSeen time.Time) bool { return now.Sub(lastSeen) < livenessTimeout }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// newDispatchConfig returns the parameters of a region's pool. The pool's retry
// budget is an equal share of the system's. mu is held during every call to a
// pool, so also when the pool calls the functions given here.
func (c *Controller) newDispatchConfig(region string) dispatch.Config {
	retries := c.config.Retries
	retries.Extra /= float64(len(c.regions))
	return dispatch.Config{
		Retries: retries, Region: region, RoundTrip: c.roundTrip, MaxShift: c.config.MaxShift, LearnLimits: c.config.LearnLimits,
		Runs:     c.suspicions,
		RegionOf: func(zone string) string { return c.config.Zones[zone] },
		ColdRate: func(service string) float64 {
			for _, s := range c.state.Config.Services {
				if s.Name == service {
					return s.ColdPerSecond
				}
			}
			return 0
		},
		Random: rand.Float64,
	}
}
