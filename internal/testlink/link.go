package testlink

import (
	"context"
	"net"
	"sync"
	"time"
)

// Direction selects one or both ways of a link.
type Direction uint8

const (
	// ToTarget is the way from the side that dialed.
	ToTarget Direction = 1 << iota
	// ToDialer is the way back.
	ToDialer
	// Both is both ways.
	Both = ToTarget | ToDialer
)

// Kind is what a fault does to a connection.
type Kind uint8

const (
	// Silence swallows all further bytes; neither end is told.
	Silence Kind = iota
	// Reset breaks the connection towards both ends.
	Reset
)

// Fault strikes a connection after a number of bytes.
type Fault struct {
	// Kind is what happens.
	Kind Kind
	// Direction is the way whose bytes are counted and swallowed.
	Direction Direction
	// After is the number of bytes that still pass.
	After int64
}

// Link relays connections to one target. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string
	work     sync.WaitGroup

	mu sync.Mutex
	// pairs are the open connections; must hold mu.
	pairs map[*pair]struct{}
	// delay is added to each way; must hold mu.
	delay time.Duration
	// cut selects the ways that drop all bytes; must hold mu.
	cut Direction
	// next strikes connections that are accepted from now on; must hold mu.
	next *Fault
	// accepted counts the connections; must hold mu.
	accepted int
	closed   bool
}

// New starts a link to the target address on a free loopback port.
func New(target string) (*Link, error) { return Listen("127.0.0.1:0", target) }

// Listen starts a link to the target address at an address of its own.
func Listen(address, target string) (*Link, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, pairs: make(map[*pair]struct{})}
	l.work.Go(l.accept)
	return l, nil
}

// Addr returns the IP:port to dial in place of the target.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Accepted returns the number of connections that were opened so far.
func (l *Link) Accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// SetDelay adds d to each way, for bytes that arrive from now on.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Cut drops all bytes in the given directions, on old connections and new ones,
// until Heal. Dialing still succeeds. Bytes that were dropped stay lost: a
// connection that lost some is silent in that direction for good.
func (l *Link) Cut(d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = d
}

// Heal ends Cut and the faults for new connections.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = 0
	l.next = nil
}

// Swallow makes all established connections silent in the given directions for
// good. New connections work.
func (l *Link) Swallow(d Direction) { l.Fail(Fault{Kind: Silence, Direction: d}) }

// Fail strikes all established connections; After counts from now.
func (l *Link) Fail(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.strike(f)
	}
}

// FailNext strikes the connections that are accepted from now on, until Heal.
func (l *Link) FailNext(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = &f
}

// Close ends the link and its connections.
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

// relay connects to the target and passes bytes on until both ways have ended.
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
	var ways sync.WaitGroup
	ways.Go(func() { p.pump(ToTarget, p.dialer, p.target) })
	ways.Go(func() { p.pump(ToDialer, p.target, p.dialer) })
	ways.Wait()
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
		p.strike(*l.next)
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
