package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/core/confirmation"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/holdoff"
	"sassafrasreach/internal/core/link"
	"sassafrasreach/internal/core/quota"
	"sassafrasreach/internal/core/reserve"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// Config holds the settings that a gateway is started with.
type Config struct {
	Name string
	// Address is the IP:port where it serves clients.
	Address      string
	Zone, Region string
	// Seeds are addresses of controllers.
	Seeds []string
	// RevocationBound is the time after the acknowledgement of a configuration without a
	// key from which on no request with it may run; 0 if it needn't be kept to.
	RevocationBound time.Duration
	// LinkBitsPerSecond is the capacity of the VM's link in each direction; 0 if unknown.
	LinkBitsPerSecond float64
}

// Ports are the external dependencies of a gateway.
type Ports struct {
	Clock port.Clock
	// Boot measures the confirmation lease; nil stands for one that follows Clock.
	Boot      port.BootClock
	Logger    *slog.Logger
	Endpoints port.EndpointCaller
	Meter     port.FleetMeter
	// Traffic returns the bytes sent to and received from clients and endpoints so far;
	// nil if they aren't counted.
	Traffic func() (sent, received int64)
	// Dial returns a client for a controller.
	Dial func(address string) (port.ControllerLink, error)
}

// Gateway implements port.GatewayService.
type Gateway struct {
	config      Config
	ports       Ports
	incarnation uint64
	serial      atomic.Uint64
	// stop is the planned stop that has begun; nil before.
	stop     atomic.Pointer[plannedStop]
	inFlight atomic.Int64
	// quotaHeld counts the requests that were refused for the quota of their account without
	// a slot request.
	quotaHeld atomic.Int64
	table     atomic.Pointer[fleet.Table]
	// lease is the latest confirmation of the applied state; nil before the first.
	// refusing is true from the first request that is refused for lack of a valid one
	// until it is renewed.
	lease    atomic.Pointer[confirmation.Lease]
	refusing atomic.Bool
	// keySecret protects the look-up of keys.
	keySecret []byte

	// mu guards the fields below.
	mu    sync.Mutex
	seeds []string
	// sequence is the sequence of the applied state.
	sequence uint64
	// former is set if the applied state is one whose configuration a former release
	// decoded, and keyed if one that needs keys was ever applied.
	former, keyed bool
	// formerSent holds the sequence of the last such state that each watcher was sent by
	// the controller that it watches.
	formerSent [watcherCount]uint64
	// newest is the sequence of the latest state that a controller reported;
	// newestSince is when that was first reported.
	newest      uint64
	newestSince time.Time
	links       map[string]port.ControllerLink
	known       map[string]port.Controller
	// avoidUntil is until when a controller isn't picked for watching.
	avoidUntil map[string]time.Time
	// skipUntil is until when no slots are requested from an unresponsive
	// controller.
	skipUntil map[string]time.Time
	// timeouts counts the consecutive slot requests that timed out at a
	// controller.
	timeouts map[string]int
	// lastEndpoint maps an object to the endpoint that last served it.
	lastEndpoint map[string]string
	// lists holds the controllers that each watcher was last sent.
	lists [watcherCount][]port.Controller
	// watched is the address of the controller that each watcher watches.
	watched     [watcherCount]string
	dispatchers map[string]dispatcher
	// holdoff holds the endpoints that get nothing from this gateway.
	holdoff  *holdoff.Table
	suspects *suspects
	// reserve holds the endpoints that are used while no dispatcher answers;
	// evacuated are the failure domains that get nothing.
	reserve   *reserve.Table
	evacuated []string
	quotas    *quota.Gate
	// heardAt is when a controller last answered.
	heardAt       time.Time
	releaseQueues map[string]*releaseQueue
	// resetReports counts the resets that are being reported by reportReset.
	resetReports atomic.Int64
	linkUse      *link.Meter
}

// dispatcher is the last known dispatcher of a region and the end of its
// lease.
type dispatcher struct {
	address string
	until   time.Time
}

var _ port.GatewayService = (*Gateway)(nil)

// New returns a gateway.
func New(config Config, ports Ports) *Gateway {
	if ports.Boot == nil {
		ports.Boot = port.BootClockOf(ports.Clock)
	}
	return &Gateway{
		config: config, ports: ports, incarnation: uint64(ports.Clock.Now().UnixNano()), seeds: config.Seeds, keySecret: newKeySecret(),
		links: make(map[string]port.ControllerLink), known: make(map[string]port.Controller),
		avoidUntil: make(map[string]time.Time), skipUntil: make(map[string]time.Time), timeouts: make(map[string]int), lastEndpoint: make(map[string]string), dispatchers: make(map[string]dispatcher),
		holdoff: holdoff.New(), suspects: newSuspects(), reserve: reserve.New(), quotas: quota.NewGate(), releaseQueues: make(map[string]*releaseQueue),
		linkUse: link.NewMeter(config.LinkBitsPerSecond),
	}
}

// Run watches controllers until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	var group sync.WaitGroup
	for watcher := range watcherCount {
		group.Go(func() { g.watch(ctx, watcher) })
	}
	group.Wait()
}

// plannedStop is a stop of the gateway. Until acceptUntil every request is served;
// after that only one that is answered before end, whatever its endpoint does.
type plannedStop struct{ acceptUntil, end time.Time }

// serves reports whether a request is served that is answered by limit at the latest.
func (s *plannedStop) serves(now, limit time.Time) bool {
	return s == nil || now.Before(s.acceptUntil) || limit.Before(s.end)
}

// Stop begins a planned stop that cuts off what is in flight at end. The gateway is
// no longer ready, so that clients use others. Clients with an old look-up still
// arrive: until acceptUntil all are served, later only those whose requests can't
// outlast the stop. The others are refused at once and can be sent elsewhere.
func (g *Gateway) Stop(acceptUntil, end time.Time) {
	g.stop.Store(&plannedStop{acceptUntil, end})
	event.Log(context.Background(), g.ports.Logger, event.StopBegun, slog.Int64("in_flight", g.inFlight.Load()))
}

// SetSeeds replaces the addresses at which controllers are looked for.
func (g *Gateway) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// InFlight is the number of in-flight requests.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Gauges returns the current gauge values by name.
func (g *Gateway) Gauges() map[string]int64 {
	out := map[string]int64{"request.in_flight": g.InFlight()}
	if table := g.table.Load(); table != nil {
		out["config.version"] = int64(table.Config().Version)
	}
	out["quota.held"] = g.quotaHeld.Load()
	if g.config.strict() {
		out["lease.age_ms"] = g.leaseAge()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out["controllers.known"] = int64(len(g.known))
	for _, address := range g.watched {
		if address != "" {
			out["controllers.watched"]++
		}
	}
	if g.config.LinkBitsPerSecond > 0 {
		out["link.use_percent"] = int64(g.linkUse.Percent())
		out["link.full"] = 0
		if g.linkUse.Full() {
			out["link.full"] = 1
		}
	}
	return out
}

// Idempotent implements port.GatewayService.
func (g *Gateway) Idempotent(host, path string) bool {
	table := g.table.Load()
	if table == nil {
		return false
	}
	route := table.Route(host, path)
	return route != nil && route.Idempotent
}

// Ready implements port.GatewayService.
func (g *Gateway) Ready() bool { return g.table.Load() != nil && !g.Stopping() }

// Stopping implements port.GatewayService.
func (g *Gateway) Stopping() bool { return g.stop.Load() != nil }

// Limits implements port.GatewayService.
func (g *Gateway) Limits() (fleet.Limits, bool) {
	table := g.table.Load()
	if table == nil {
		return fleet.Limits{}, false
	}
	return table.Config().Limits, true
}
