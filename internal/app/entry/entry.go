package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/app/workers"
	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/port"
)

const (
	// lookupTTL bounds how long a caller may cache a look-up.
	lookupTTL = 2 * time.Second
	// announceInterval is what endpoints are asked to keep.
	announceInterval = time.Second
	// peerTimeout bounds one control call to another VM.
	peerTimeout = 400 * time.Millisecond
	// callWorkers is the number of requests that may be at endpoints at once.
	callWorkers = 1024
	// controlWorkers is the number of control calls in progress at once.
	controlWorkers = 32
)

// Config describes one entry.
type Config struct {
	// Name and Place identify the entry as the document does.
	Name  string
	Place string
	// Incarnation is higher at each start.
	Incarnation uint64
	// Control are the IP:ports of the control VMs.
	Control []string
	// Seeds are IP:ports of other entries, used before there is a document.
	Seeds []string
}

// Ports are the adapters that an entry uses.
type Ports struct {
	Clock     port.Clock
	Logger    *slog.Logger
	Peers     port.PeerClient
	Control   port.ControlClient
	Endpoints port.EndpointCaller
	Meter     port.Meter
}

// Entry implements port.Entry and port.PeerHandler.
type Entry struct {
	config Config
	clock  port.Clock
	logger *slog.Logger

	peers     port.PeerClient
	control   port.ControlClient
	endpoints port.EndpointCaller
	meter     port.Meter

	snapshot atomic.Pointer[snapshot]
	pull     puller
	members  *members
	groups   *groups
	ledger   *ledger
	claims   *claimTable
	suspects *suspects
	spreader *spreader
	attempts *attempts
	retries  *retryBudget
	outbox   *outbox

	calls     *workers.Pool
	controls  *workers.Pool
	beatNow   chan struct{}
	misplaced chan struct{} // closed when the first document lacks this entry's place
	stopping  atomic.Bool
	inFlight  atomic.Int64
}

var (
	_ port.Entry       = (*Entry)(nil)
	_ port.PeerHandler = (*Entry)(nil)
)

// New returns an entry that serves nothing until Run has found a document.
func New(config Config, ports Ports) *Entry {
	now := ports.Clock.Now()
	home := claims.Home{Entry: config.Name, Incarnation: config.Incarnation}
	return &Entry{
		config:    config,
		clock:     ports.Clock,
		logger:    ports.Logger,
		peers:     ports.Peers,
		control:   ports.Control,
		endpoints: ports.Endpoints,
		meter:     ports.Meter,
		members:   newMembers(config),
		groups:    newGroups(),
		ledger:    newLedger(config, now),
		claims:    newClaimTable(home),
		suspects:  newSuspects(),
		spreader:  newSpreader(),
		attempts:  newAttempts(),
		retries:   newRetryBudget(),
		outbox:    newOutbox(),
		calls:     workers.New(callWorkers),
		controls:  workers.New(controlWorkers),
		beatNow:   make(chan struct{}, 1),
		misplaced: make(chan struct{}),
	}
}

// Run does the periodic work until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.pullLoop(ctx) })
	wg.Go(func() { e.beatLoop(ctx) })
	wg.Go(func() { e.tickLoop(ctx) })
	wg.Go(func() { e.outboxLoop(ctx) })
	wg.Go(func() { e.loanLoop(ctx) })
	wg.Go(func() { e.expireLoop(ctx) })
	wg.Go(func() { e.spreadLoop(ctx) })
	wg.Wait()
	e.calls.Close()
	e.controls.Close()
}

// Misplaced is closed when the first document of this process doesn't have the
// entry's place.
func (e *Entry) Misplaced() <-chan struct{} { return e.misplaced }

// Ready says whether the entry serves; the text says why not.
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

// inBackground runs a control call on a worker with the usual time limit. It
// is dropped when every worker stays busy for that long.
func (e *Entry) inBackground(ctx context.Context, do func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	err := e.controls.Submit(ctx, func() {
		defer cancel()
		do(ctx)
	})
	if err != nil {
		cancel()
	}
}
