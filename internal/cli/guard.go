package cli

import (
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"syscall"

	"sassafrasreach/internal/adapter/connlimit"
	"sassafrasreach/internal/adapter/heaprelief"
	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/adapter/refusals"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/port"
)

const (
	// heapMemoryPercent is the part of the process's memory near which the collector
	// works harder; the rest is for what isn't on the heap.
	heapMemoryPercent = 75
	// reliefMemoryPercent is the part of the process's memory beyond which garbage is
	// collected before more is taken for clients.
	reliefMemoryPercent = 78
	// sideConnections bounds the connections at a port that only the platform or the
	// operator's monitoring uses: for readiness checks and metrics.
	sideConnections = 32
	// ownDescriptors is the least number of descriptors that is kept for the process
	// itself: connections to other VMs, files, listeners and sideConnections.
	ownDescriptors = 64
	// ownDescriptorsDivisor gives the part of all descriptors that is kept for the same.
	ownDescriptorsDivisor = 4
	// defaultDescriptors is assumed if nothing bounds them.
	defaultDescriptors = 1 << 16
)

// guard bounds the memory and the connections of a process, whatever its clients do.
type guard struct {
	clock     port.Clock
	collector *heaprelief.Collector
	// memory is charged with what is held for clients and endpoints; refusals records the
	// clients that were refused.
	memory   *memory.Budget
	refusals *refusals.Recorder
	// maxDescriptors is the bound in the settings; 0 if there is none.
	maxDescriptors int64
}

// newGuard returns a guard and sets the memory limit of the runtime. memoryBytes and
// maxDescriptors are 0 if the settings don't have them.
func newGuard(memoryBytes, maxDescriptors int64, logger *slog.Logger, meter *metrics.Meter, clock port.Clock) guard {
	budget := memory.ForProcess(memoryBytes)
	var collector *heaprelief.Collector
	if memoryBytes > 0 {
		debug.SetMemoryLimit(memoryBytes / 100 * heapMemoryPercent)
		collector = heaprelief.New(memoryBytes / 100 * reliefMemoryPercent)
		budget.SetRelief(collector.Relieve)
	}
	return guard{
		clock: clock, collector: collector, memory: budget, refusals: refusals.New(logger, meter, clock), maxDescriptors: maxDescriptors,
	}
}

// descriptors returns the number of file descriptors that the process may have open.
func (g *guard) descriptors() int64 {
	n := int64(defaultDescriptors)
	if g.maxDescriptors > 0 {
		n = g.maxDescriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		n = int64(min(uint64(n), limit.Cur))
	}
	return n
}

// openConnections returns the number of connections that those who aren't trusted may have
// open at all ports together. A process that sends requests to endpoints keeps as many for
// connections to these, since each request in flight has one.
func (g *guard) openConnections(toEndpoints bool) int {
	all := g.descriptors()
	left := all - max(ownDescriptors, all/ownDescriptorsDivisor)
	if toEndpoints {
		left /= 2
	}
	return max(1, min(int(left), g.memory.MaxConnections()))
}

// newLimiter returns the bound on the connections at a port. makeRoom ends a request that
// doesn't get on; it may be nil.
func (g *guard) newLimiter(clients string, maxConnections int, makeRoom func() bool) *connlimit.Limiter {
	if makeRoom == nil {
		makeRoom = func() bool { return false }
	}
	return connlimit.New(connlimit.Options{
		Max: maxConnections, Budget: g.memory, Clock: g.clock, MakeRoom: makeRoom,
		Refused: func(reason, address string) { g.refusals.Record(clients, reason, address) },
	})
}

// sideListener bounds the connections at a port that only monitoring uses.
func (g *guard) sideListener(clients string, listener net.Listener, server *http.Server) net.Listener {
	limiter := g.newLimiter(clients, sideConnections, nil)
	server.ConnState = limiter.ConnState
	return limiter.Listener(listener)
}

// memoryGauges returns the gauges of the memory.
func (g *guard) memoryGauges() map[string]int64 {
	out := g.memory.Gauges()
	if g.collector != nil {
		out["memory.relieved"] = g.collector.Runs()
	}
	return out
}

// gauges returns the gauges of the memory and of the connections at a port.
func (g *guard) gauges(clients string, limiter *connlimit.Limiter) func() map[string]int64 {
	return func() map[string]int64 {
		out := g.memoryGauges()
		out["connections."+clients] = int64(limiter.Open())
		return out
	}
}
