package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// Config is what a gateway is told at its start.
type Config struct {
	Name string
	// Address is the IP:port where it serves clients.
	Address      string
	Zone, Region string
	// Seeds are addresses of controllers.
	Seeds []string
}

// Ports are what a gateway needs of the outside.
type Ports struct {
	Clock     port.Clock
	Logger    *slog.Logger
	Endpoints port.EndpointCaller
	Meter     port.FleetMeter
	// Dial returns the way to a controller.
	Dial func(address string) (port.ControllerLink, error)
}

// Gateway implements port.GatewayService.
type Gateway struct {
	config      Config
	ports       Ports
	incarnation uint64
	serial      atomic.Uint64
	stopping    atomic.Bool
	inFlight    atomic.Int64
	table       atomic.Pointer[fleet.Table]

	// mu guards what follows.
	mu       sync.Mutex
	seeds    []string
	sequence uint64
	// newest is the latest state that a controller told of, since a moment.
	newest      uint64
	newestSince time.Time
	links       map[string]port.ControllerLink
	known       map[string]port.Controller
	avoid       map[string]time.Time
	// deaf holds until when a controller that didn't answer isn't asked for slots.
	deaf map[string]time.Time
	// late counts the asks in a row that a controller hasn't answered in time.
	late map[string]int
	// served remembers which endpoint last served an object.
	served   map[string]string
	watching [watchers]string
	regions  map[string]dispatcher
	releases map[string]*outbox
}

// dispatcher is who dispatches a region, as far as is known.
type dispatcher struct {
	address string
	until   time.Time
}

var _ port.GatewayService = (*Gateway)(nil)

// New returns a gateway.
func New(config Config, ports Ports) *Gateway {
	return &Gateway{
		config: config, ports: ports, incarnation: uint64(ports.Clock.Now().UnixNano()), seeds: config.Seeds,
		links: make(map[string]port.ControllerLink), known: make(map[string]port.Controller),
		avoid: make(map[string]time.Time), deaf: make(map[string]time.Time), late: make(map[string]int), served: make(map[string]string), regions: make(map[string]dispatcher),
		releases: make(map[string]*outbox),
	}
}

// Run keeps the gateway up to date until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	var group sync.WaitGroup
	for slot := range watchers {
		group.Go(func() { g.watch(ctx, slot) })
	}
	group.Wait()
}

// Stop begins a planned stop: clients are sent elsewhere.
func (g *Gateway) Stop() {
	g.stopping.Store(true)
	event.Log(context.Background(), g.ports.Logger, event.StopBegun, slog.Int64("in_flight", g.inFlight.Load()))
}

// SetSeeds replaces the addresses to look for controllers at.
func (g *Gateway) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// InFlight is the number of requests that are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Gauges returns what the gateway is at: counts by name.
func (g *Gateway) Gauges() map[string]int64 {
	out := map[string]int64{"request.in_flight": g.InFlight()}
	if table := g.table.Load(); table != nil {
		out["config.version"] = int64(table.Config().Version)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out["controllers.known"] = int64(len(g.known))
	for _, address := range g.watching {
		if address != "" {
			out["controllers.watched"]++
		}
	}
	return out
}

// Ready implements port.GatewayService.
func (g *Gateway) Ready() bool { return g.table.Load() != nil && !g.stopping.Load() }

// Stopping implements port.GatewayService.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// Limits implements port.GatewayService.
func (g *Gateway) Limits() (fleet.Limits, bool) {
	table := g.table.Load()
	if table == nil {
		return fleet.Limits{}, false
	}
	return table.Config().Limits, true
}
