package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/app/workers"
	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/port"
)

const (
	// lookupTTL is how long a caller may cache the answer to a look-up.
	lookupTTL = 2 * time.Second
	// announceInterval is the period at which endpoints should announce
	// themselves.
	announceInterval = time.Second
	// peerTimeout is the timeout of one call to another VM that forwards no
	// request, and of one probe of an endpoint. A hand-over has its own.
	peerTimeout = 400 * time.Millisecond
	// callWorkers bounds the concurrent requests to endpoints.
	callWorkers = 1024
	// backgroundWorkers bounds the concurrent calls of inBackground.
	backgroundWorkers = 32
)

// Config holds the settings of one entry.
type Config struct {
	// Name and Place identify the entry as the document does.
	Name  string
	Place string
	// Incarnation increases with each start of the entry.
	Incarnation uint64
	// Control lists the IP:port addresses of the control VMs.
	Control []string
	// Seeds lists IP:port addresses of other entries. The first document is
	// fetched from them if no control quorum answers.
	Seeds []string
	// MemoryBytes is the memory that the process may use; 0 if it isn't known.
	MemoryBytes int64
}

// Ports holds the adapters that an entry uses.
type Ports struct {
	Clock     port.Clock
	Logger    *slog.Logger
	Peers     port.PeerClient
	Control   port.ControlClient
	Endpoints port.EndpointCaller
	Meter     port.Meter
	// Memory is charged with answers that are read whole; nil means no bound.
	Memory *memory.Budget
}

// Entry is the process of an entry VM. It implements port.Entry and
// port.PeerHandler.
type Entry struct {
	config Config
	clock  port.Clock
	logger *slog.Logger

	peers     port.PeerClient
	control   port.ControlClient
	endpoints port.EndpointCaller
	meter     port.Meter
	memory    *memory.Budget

	snapshot    atomic.Pointer[snapshot]
	pull        puller
	members     *members
	groups      *groups
	ledger      *ledger
	claims      *claimTable
	suspects    *suspects
	broadcaster *broadcaster
	attempts    *attempts
	retries     *retryBudget
	outbox      *outbox

	calls          *workers.Pool
	background     *workers.Pool
	heartbeatNow   chan struct{}
	placeNotListed chan struct{} // closed when the first document doesn't list this entry's place
	stopping       atomic.Bool
	// plannedStop is the stop that has begun, if its time is limited; nil before.
	plannedStop atomic.Pointer[plannedStop]
	inFlight    atomic.Int64
}

var (
	_ port.Entry       = (*Entry)(nil)
	_ port.PeerHandler = (*Entry)(nil)
)

// New returns an entry. It refuses requests until Run has applied a first
// document.
func New(config Config, ports Ports) *Entry {
	now := ports.Clock.Now()
	self := claims.Coordinator{Entry: config.Name, Incarnation: config.Incarnation}
	return &Entry{
		config:         config,
		clock:          ports.Clock,
		logger:         ports.Logger,
		peers:          ports.Peers,
		control:        ports.Control,
		endpoints:      ports.Endpoints,
		meter:          ports.Meter,
		memory:         ports.Memory,
		members:        newMembers(config),
		groups:         newGroups(),
		ledger:         newLedger(config, now),
		claims:         newClaimTable(self, config.MemoryBytes),
		suspects:       newSuspects(),
		broadcaster:    newBroadcaster(),
		attempts:       newAttempts(),
		retries:        newRetryBudget(),
		outbox:         newOutbox(),
		calls:          workers.New(callWorkers),
		background:     workers.New(backgroundWorkers),
		heartbeatNow:   make(chan struct{}, 1),
		placeNotListed: make(chan struct{}),
	}
}

// Run does the periodic work until ctx ends, then closes the worker pools.
func (e *Entry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.pullLoop(ctx) })
	wg.Go(func() { e.heartbeatLoop(ctx) })
	wg.Go(func() { e.tickLoop(ctx) })
	wg.Go(func() { e.outboxLoop(ctx) })
	wg.Go(func() { e.loanLoop(ctx) })
	wg.Go(func() { e.expireLoop(ctx) })
	wg.Go(func() { e.broadcastLoop(ctx) })
	wg.Wait()
	e.calls.Close()
	e.background.Close()
}

// PlaceNotListed returns a channel that is closed when the first document of
// this process doesn't list the entry's place.
func (e *Entry) PlaceNotListed() <-chan struct{} { return e.placeNotListed }

// Ready reports whether callers may be sent to this entry; if not, why gives
// the reason.
func (e *Entry) Ready() (ok bool, why string) {
	if e.stopping.Load() {
		return false, "stopping"
	}
	if e.snapshot.Load() == nil {
		return false, "no document"
	}
	if !e.members.settled(e.clock.Now()) {
		return false, "just started"
	}
	return true, ""
}

// inBackground runs a call to another VM on a worker, with peerTimeout. The call
// is dropped if no worker becomes free within that time.
func (e *Entry) inBackground(ctx context.Context, do func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	err := e.background.Submit(ctx, func() {
		defer cancel()
		do(ctx)
	})
	if err != nil {
		cancel()
	}
}
