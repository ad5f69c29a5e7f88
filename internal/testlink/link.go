package testlink

import (
	"context"
	"net"
	"sync"
	"time"
)

// Direction selects one or both directions of a link.
type Direction uint8

const (
	// ToTarget is the direction from the dialer to the target.
	ToTarget Direction = 1 << iota
	// ToDialer is the direction from the target to the dialer.
	ToDialer
	// Both selects both directions.
	Both = ToTarget | ToDialer
)

// Kind is what a fault does to a connection.
type Kind uint8

const (
	// Drop drops all further bytes; the connection stays open at both ends.
	Drop Kind = iota
	// Reset resets the connection at both ends.
	Reset
)

// Fault affects a connection after a number of bytes.
type Fault struct {
	// Kind is the effect.
	Kind Kind
	// Direction is the direction whose bytes are counted and then dropped.
	Direction Direction
	// After is the number of bytes that are still relayed.
	After int64
}

// Link relays connections to one target. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string
	work     sync.WaitGroup

	mu sync.Mutex
	// pairs holds the open connections. Guarded by mu.
	pairs map[*pair]struct{}
	// delay is added in each direction. Guarded by mu.
	delay time.Duration
	// cut selects the directions in which all bytes are dropped. Guarded by mu.
	cut Direction
	// cutFrom is the same for connections from an IP address. Guarded by mu.
	cutFrom map[string]Direction
	// next is the fault of each connection accepted from now on; nil means none.
	// Guarded by mu.
	next *Fault
	// accepted counts the relayed connections. Guarded by mu.
	accepted int
	closed   bool
}

// New starts a Link to the target's IP:port on a free loopback port.
func New(target string) (*Link, error) { return Listen("127.0.0.1:0", target) }

// Listen starts a Link to the target's IP:port that listens on the given address.
func Listen(address, target string) (*Link, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, pairs: make(map[*pair]struct{}), cutFrom: make(map[string]Direction)}
	l.work.Go(l.accept)
	return l, nil
}

// Addr returns the IP:port to dial instead of the target's.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Accepted returns the number of connections relayed so far. Connections for which
// the target couldn't be dialed don't count.
func (l *Link) Accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// SetDelay adds the delay d in each direction, for bytes that arrive from now on.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Cut drops all bytes in the given directions, on established and new
// connections, until ClearFaults. Dialing still succeeds. A connection that
// lost bytes drops all further bytes in that direction, also after ClearFaults.
func (l *Link) Cut(d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = d
}

// CutFrom is Cut for the connections that an IP address has opened; 0 ends it.
func (l *Link) CutFrom(ip string, d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutFrom[ip] = d
}

// ClearFaults ends Cut and FailNext. Connections that lost bytes or that were
// accepted with a fault are not repaired.
func (l *Link) ClearFaults() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = 0
	l.next = nil
}

// DropEstablished drops all further bytes of all established connections in the
// given directions, permanently. New connections work.
func (l *Link) DropEstablished(d Direction) { l.Fail(Fault{Kind: Drop, Direction: d}) }

// Fail applies a fault to all established connections; After counts from now.
func (l *Link) Fail(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.setFault(f)
	}
}

// FailNext applies a fault to the connections that are accepted from now on,
// until ClearFaults.
func (l *Link) FailNext(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = &f
}

// Close stops listening and resets all connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	for p := range l.pairs {
		p.reset()
	}
	l.mu.Unlock()
	_ = l.listener.Close()
	l.work.Wait()
}

func (l *Link) accept() {
	for {
		dialer, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.work.Go(func() { l.relay(dialer.(*net.TCPConn)) })
	}
}

// relay dials the target and relays bytes until both directions have ended. If
// dialing fails, it resets the dialer's connection.
func (l *Link) relay(dialer *net.TCPConn) {
	var d net.Dialer
	raw, err := d.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		_ = dialer.SetLinger(0)
		_ = dialer.Close()
		return
	}
	p := &pair{link: l, dialer: dialer, target: raw.(*net.TCPConn)}
	if !l.add(p) {
		p.reset()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.transfer(ToTarget, p.dialer, p.target) })
	directions.Go(func() { p.transfer(ToDialer, p.target, p.dialer) })
	directions.Wait()
	l.remove(p)
}

func (l *Link) add(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.accepted++
	l.pairs[p] = struct{}{}
	if l.next != nil {
		p.setFault(*l.next)
	}
	return true
}

func (l *Link) remove(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
	_ = p.dialer.Close()
	_ = p.target.Close()
}
