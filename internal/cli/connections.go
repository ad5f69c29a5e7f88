package cli

import (
	"syscall"

	"sassafrasreach/internal/adapter/connlimit"
)

const (
	// sideConnections bounds the connections at a port that only the platform uses: for
	// readiness checks and metrics.
	sideConnections = 32
	// ownDescriptors is the least number of descriptors that is kept for the process
	// itself: connections to other VMs, files, listeners and sideConnections.
	ownDescriptors = 64
	// ownDescriptorsDivisor gives the part of all descriptors that is kept for the same.
	ownDescriptorsDivisor = 4
	// defaultDescriptors is assumed if nothing bounds them.
	defaultDescriptors = 1 << 16
)

// descriptors returns the number of file descriptors that the process may have open.
func (p *vmProcess) descriptors() int {
	n := defaultDescriptors
	if p.settings.Descriptors > 0 {
		n = min(n, p.settings.Descriptors)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		n = int(min(uint64(n), limit.Cur))
	}
	return n
}

// openConnections returns the number of connections that those who aren't trusted may have
// open at all ports together. A gateway keeps as many for connections to endpoints, since
// each request in flight has one.
func (p *vmProcess) openConnections(toEndpoints bool) int {
	all := p.descriptors()
	left := all - max(ownDescriptors, all/ownDescriptorsDivisor)
	if toEndpoints {
		left /= 2
	}
	return max(1, min(left, p.memory.MaxConnections()))
}

// newLimiter returns the bound on the connections at a port.
func (p *vmProcess) newLimiter(clients string, maxConnections int, makeRoom func() bool) *connlimit.Limiter {
	if makeRoom == nil {
		makeRoom = func() bool { return false }
	}
	return connlimit.New(connlimit.Options{
		Max: maxConnections, Budget: p.memory, Clock: p.clock, MakeRoom: makeRoom,
		Refused: func(reason, address string) { p.refusals.Record(clients, reason, address) },
	})
}
