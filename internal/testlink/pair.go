package testlink

import (
	"net"
	"time"
)

const (
	chunkBytes = 16 << 10
	// queueChunks limits the chunks that are queued for their delay.
	queueChunks = 256
)

// pair is a relayed connection: the dialer's connection and the one to the target.
type pair struct {
	link   *Link
	dialer *net.TCPConn
	target *net.TCPConn
	// toTarget and toDialer are the states of the directions. Guarded by link.mu.
	toTarget, toDialer directionState
}

// directionState is the fault of one direction, the number of bytes that are still
// relayed before it takes effect, and whether all further bytes are dropped.
type directionState struct {
	fault     *Fault
	remaining int64
	dropping  bool
}

// chunk is data and the time at which it is due for delivery. Without data it is the
// sender's end of file or, with reset, a reset of the connection.
type chunk struct {
	due   time.Time
	data  []byte
	reset bool
}

// directionState returns the state of one direction. The caller must hold link.mu.
func (p *pair) directionState(d Direction) *directionState {
	if d == ToTarget {
		return &p.toTarget
	}
	return &p.toDialer
}

// dialerIP returns the IP address of the dialer.
func (p *pair) dialerIP() string {
	ip, _, _ := net.SplitHostPort(p.dialer.RemoteAddr().String()) // the address is of TCP
	return ip
}

// setFault sets the fault of the connection. A reset after zero bytes takes effect
// at once. The caller must hold link.mu.
func (p *pair) setFault(f Fault) {
	if f.Kind == Reset && f.After == 0 {
		p.reset()
		return
	}
	for _, d := range []Direction{ToTarget, ToDialer} {
		if f.Direction&d != 0 {
			s := p.directionState(d)
			s.fault = &f
			s.remaining = f.After
		}
	}
}

// reset closes both connections with a TCP RST.
func (p *pair) reset() {
	for _, c := range []*net.TCPConn{p.dialer, p.target} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// transfer relays bytes in one direction until the sender closes it or the
// sender's connection fails.
func (p *pair) transfer(d Direction, from, to *net.TCPConn) {
	queue := make(chan chunk, queueChunks)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.deliver(queue, to)
	}()
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			p.forward(d, buf[:n], queue)
		}
		if err != nil {
			p.forward(d, nil, queue)
			break
		}
	}
	close(queue)
	<-done
}

// forward queues the data that isn't dropped. Nil data is the sender's end of file,
// which is dropped like data.
func (p *pair) forward(d Direction, data []byte, queue chan<- chunk) {
	p.link.mu.Lock()
	due := time.Now().Add(p.link.delay)
	s := p.directionState(d)
	if (p.link.cut|p.link.cutFrom[p.dialerIP()])&d != 0 {
		s.dropping = true
	}
	passed, broken := s.filter(data)
	dropping := s.dropping
	p.link.mu.Unlock()
	if len(passed) > 0 {
		queue <- chunk{due: due, data: passed}
	}
	if data == nil && !dropping {
		queue <- chunk{due: due}
	}
	if broken {
		queue <- chunk{due: due, reset: true}
	}
}

// filter returns the part of data that is relayed, and whether the connection must
// be reset after it. The caller must hold link.mu.
func (s *directionState) filter(data []byte) (passed []byte, broken bool) {
	if s.dropping {
		return nil, false
	}
	if s.fault == nil || int64(len(data)) < s.remaining {
		s.remaining -= int64(len(data))
		return data, false
	}
	passed = data[:s.remaining]
	s.remaining = 0
	s.dropping = true
	return passed, s.fault.Kind == Reset
}

// deliver delivers the queued chunks when they are due.
func (p *pair) deliver(queue <-chan chunk, to *net.TCPConn) {
	for c := range queue {
		time.Sleep(time.Until(c.due))
		switch {
		case c.reset:
			p.reset()
		case c.data == nil:
			_ = to.CloseWrite()
		default:
			_, _ = to.Write(c.data)
		}
	}
}
