package systemtest

import (
	"io"
	"net"
	"sync"
	"testing"
)

// blocked says whether bytes from VM src to VM dst are lost.
type blocked func(src, dst string) bool

// mesh relays every connection between VMs and knows who dials whom by the
// source address.
type mesh struct {
	t *testing.T

	mu     sync.Mutex
	names  map[string]string // VM by IP
	rule   blocked
	struck map[*relay]struct{} // relays that have lost bytes
	relays map[*relay]struct{}
	lns    []net.Listener
}

func newMesh(t *testing.T) *mesh {
	m := &mesh{
		t:      t,
		names:  make(map[string]string),
		rule:   func(_, _ string) bool { return false },
		struck: make(map[*relay]struct{}),
		relays: make(map[*relay]struct{}),
	}
	t.Cleanup(m.close)
	return m
}

// expose relays connections to front on to target, the address of VM dst. Who
// dials is known by the source IP; src, when set, names the only dialer.
func (m *mesh) expose(front, target, src, dst string) {
	m.t.Helper()
	ln, err := net.Listen("tcp", front)
	if err != nil {
		m.t.Fatalf("mesh: %v", err)
	}
	m.mu.Lock()
	m.lns = append(m.lns, ln)
	m.mu.Unlock()
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go m.serve(in, target, src, dst)
		}
	}()
}

// name registers the IP of a VM.
func (m *mesh) name(ip, vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names[ip] = vm
}

func (m *mesh) serve(in net.Conn, target, src, dst string) {
	if src == "" {
		host, _, _ := net.SplitHostPort(in.RemoteAddr().String())
		m.mu.Lock()
		src = m.names[host]
		m.mu.Unlock()
	}
	r := &relay{mesh: m, src: src, dst: dst, in: in}
	m.mu.Lock()
	m.relays[r] = struct{}{}
	m.mu.Unlock()
	r.run(target)
	m.mu.Lock()
	delete(m.relays, r)
	delete(m.struck, r)
	m.mu.Unlock()
}

// lost says whether bytes from src to dst are lost now, and remembers that r
// has lost some: it can't carry a whole stream again.
func (m *mesh) lost(r *relay, src, dst string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, struck := m.struck[r]; struck {
		return true
	}
	if !m.rule(src, dst) {
		return false
	}
	m.struck[r] = struct{}{}
	return true
}

// set replaces the rule. Connections that lost bytes stay silent for good.
func (m *mesh) set(rule blocked) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rule = rule
}

// heal ends all faults but for connections that have gone silent already.
func (m *mesh) heal() { m.set(func(_, _ string) bool { return false }) }

// silence makes all established connections that match lose everything from
// now on, while new ones work.
func (m *mesh) silence(match blocked) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for r := range m.relays {
		if match(r.src, r.dst) {
			m.struck[r] = struct{}{}
		}
	}
}

func (m *mesh) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ln := range m.lns {
		_ = ln.Close()
	}
	for r := range m.relays {
		r.close()
	}
}

// relay is one connection from src to dst.
type relay struct {
	mesh     *mesh
	src, dst string
	in       net.Conn

	mu     sync.Mutex
	out    net.Conn
	closed bool
}

func (r *relay) run(target string) {
	defer r.close()
	if r.mesh.lost(r, r.src, r.dst) || r.mesh.lost(r, r.dst, r.src) {
		// A cut swallows the dial: nothing comes back until the dialer gives up.
		_, _ = io.Copy(io.Discard, r.in)
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		r.reset()
		return
	}
	r.mu.Lock()
	r.out = out
	closed := r.closed
	r.mu.Unlock()
	if closed {
		_ = out.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.pump(out, r.in, r.src, r.dst) })
	wg.Go(func() { r.pump(r.in, out, r.dst, r.src) })
	wg.Wait()
}

// pump copies bytes one way; lost ones are read and dropped, and so is the end
// of the stream.
func (r *relay) pump(to, from net.Conn, src, dst string) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if r.mesh.lost(r, src, dst) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				r.close()
				return
			}
		}
		if err != nil {
			r.end(to, err)
			return
		}
	}
}

// end passes the end of a stream on: a close as a close, a reset as a reset.
func (r *relay) end(to net.Conn, err error) {
	if err == io.EOF {
		_ = to.(*net.TCPConn).CloseWrite()
		return
	}
	_ = to.(*net.TCPConn).SetLinger(0)
	r.close()
}

func (r *relay) reset() { _ = r.in.(*net.TCPConn).SetLinger(0) }

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.in.Close()
	if r.out != nil {
		_ = r.out.Close()
	}
}
