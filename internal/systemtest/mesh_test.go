package systemtest

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
)

// dropRule reports whether the mesh drops bytes from VM src to VM dst.
type dropRule func(src, dst string) bool

// mesh relays every connection between VMs. It identifies the dialing VM by the
// source address.
type mesh struct {
	t *testing.T

	mu       sync.Mutex
	names    map[string]string // name of the VM by IP
	rule     dropRule
	silenced map[*relay]struct{} // relays that have dropped bytes; they drop all further ones
	relays   map[*relay]struct{}
	lns      []net.Listener
}

func newMesh(t *testing.T) *mesh {
	m := &mesh{
		t:        t,
		names:    make(map[string]string),
		rule:     func(_, _ string) bool { return false },
		silenced: make(map[*relay]struct{}),
		relays:   make(map[*relay]struct{}),
	}
	t.Cleanup(m.close)
	return m
}

// expose relays connections made to front to target, the address of VM dst. The
// dialing VM is src or, when src is empty, the one registered for the source IP.
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

// registerVM registers the IP address of a VM.
func (m *mesh) registerVM(ip, vm string) {
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
	delete(m.silenced, r)
	m.mu.Unlock()
}

// drops reports whether bytes from src to dst are dropped now. A relay that has
// dropped bytes drops everything from then on, because the rest of the stream
// would be useless without them.
func (m *mesh) drops(r *relay, src, dst string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, silenced := m.silenced[r]; silenced {
		return true
	}
	if !m.rule(src, dst) {
		return false
	}
	m.silenced[r] = struct{}{}
	return true
}

// setRule replaces the rule. Connections that have dropped bytes stay silent until
// they are closed.
func (m *mesh) setRule(rule dropRule) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rule = rule
}

// heal stops dropping bytes, except on connections that are already silent.
func (m *mesh) heal() { m.setRule(func(_, _ string) bool { return false }) }

// silence makes all established connections that match drop everything from now
// on, while new ones work.
func (m *mesh) silence(match dropRule) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for r := range m.relays {
		if match(r.src, r.dst) {
			m.silenced[r] = struct{}{}
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
	if r.mesh.drops(r, r.src, r.dst) || r.mesh.drops(r, r.dst, r.src) {
		// The connection is accepted, but nothing is sent back until the dialing
		// side gives up.
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

// pump copies bytes in one direction. Once bytes are dropped, it reads and
// discards all further ones and doesn't forward the end of the stream.
func (r *relay) pump(to, from net.Conn, src, dst string) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if r.mesh.drops(r, src, dst) {
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
			r.forwardEnd(to, err)
			return
		}
	}
}

// forwardEnd forwards the end of a stream: a close as a close, a reset as a reset.
func (r *relay) forwardEnd(to net.Conn, err error) {
	if errors.Is(err, io.EOF) {
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
