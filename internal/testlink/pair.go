package testlink

import (
	"net"
	"time"
)

const (
	chunkBytes = 16 << 10
	// queueChunks bounds the chunks that wait for their delay.
	queueChunks = 256
)

// pair is one relayed connection.
type pair struct {
	link   *Link
	dialer *net.TCPConn
	target *net.TCPConn
	// toTarget and toDialer are the faults of each way; must hold link.mu.
	toTarget, toDialer way
}

// way is the state of one direction.
type way struct {
	fault  *Fault
	left   int64
	silent bool
}

// chunk is data on its way; nil data is the sender's end of file, or a reset of
// the connection.
type chunk struct {
	due   time.Time
	data  []byte
	reset bool
}

// way returns the state of one direction. Must hold link.mu.
func (p *pair) way(d Direction) *way {
	if d == ToTarget {
		return &p.toTarget
	}
	return &p.toDialer
}

// strike sets a fault. Must hold link.mu.
func (p *pair) strike(f Fault) {
	if f.Kind == Reset && f.After == 0 {
		p.reset()
		return
	}
	for _, d := range []Direction{ToTarget, ToDialer} {
		if f.Direction&d != 0 {
			w := p.way(d)
			w.fault = &f
			w.left = f.After
		}
	}
}

// reset breaks both connections so that the ends see RST.
func (p *pair) reset() {
	for _, c := range []*net.TCPConn{p.dialer, p.target} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// pump passes bytes in one direction until the sender ends or a connection
// breaks.
func (p *pair) pump(d Direction, from, to *net.TCPConn) {
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
			p.pass(d, buf[:n], queue)
		}
		if err != nil {
			p.pass(d, nil, queue)
			break
		}
	}
	close(queue)
	<-done
}

// pass queues what the link lets through; nil data is an end of file, which a
// silent way swallows too.
func (p *pair) pass(d Direction, data []byte, queue chan<- chunk) {
	p.link.mu.Lock()
	due := time.Now().Add(p.link.delay)
	w := p.way(d)
	if p.link.cut&d != 0 {
		w.silent = true
	}
	kept, broken := w.filter(data)
	silent := w.silent
	p.link.mu.Unlock()
	if len(kept) > 0 {
		queue <- chunk{due: due, data: kept}
	}
	if data == nil && !silent {
		queue <- chunk{due: due}
	}
	if broken {
		queue <- chunk{due: due, reset: true}
	}
}

// filter returns the part of data that passes, and whether the connection is to
// be broken after it. Must hold link.mu.
func (w *way) filter(data []byte) (kept []byte, broken bool) {
	if w.silent {
		return nil, false
	}
	if w.fault == nil || int64(len(data)) < w.left {
		w.left -= int64(len(data))
		return data, false
	}
	kept = data[:w.left]
	w.left = 0
	w.silent = true
	return kept, w.fault.Kind == Reset
}

// deliver writes queued chunks when they are due.
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
