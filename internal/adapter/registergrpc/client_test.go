package registergrpc

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"sassafrasreach/internal/core/register"
)

// fakeMember answers queries only; other calls panic.
type fakeMember struct {
	Member
	err error
}

func (m fakeMember) Query(q register.Query) (register.Report, error) {
	return register.Report{Round: q.Round, MemberState: register.MemberState{Member: 1}}, m.err
}

// blackholeProxy forwards connections to a target. After drop, it discards the
// bytes of the connections that were open then; newer ones work.
type blackholeProxy struct {
	mu      sync.Mutex
	dropped map[net.Conn]bool
}

func (p *blackholeProxy) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.dropped {
		p.dropped[c] = true
	}
}

func (p *blackholeProxy) isDropped(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropped[c]
}

func (p *blackholeProxy) serve(l net.Listener, target string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = in.Close()
			return
		}
		p.mu.Lock()
		p.dropped[in] = false
		p.mu.Unlock()
		go p.forward(in, in, out)
		go p.forward(in, out, in)
	}
}

func (p *blackholeProxy) forward(key, from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if p.isDropped(key) {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func serve(t *testing.T, member Member) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := grpc.NewServer(ServerOptions()...)
	NewServer(member, testGroup).Register(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return l.Addr().String()
}

func client(t *testing.T, address string, group uint64) *Client {
	c, err := NewClient(address, group)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestSilentConnectionIsReplaced guards against calls that keep failing because
// an established connection loses all bytes: after one call has timed out, the
// next one must use a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	s := &blackholeProxy{dropped: make(map[net.Conn]bool)}
	go s.serve(l, serve(t, fakeMember{}))
	c := client(t, l.Addr().String(), testGroup)

	report, err := c.Query(t.Context(), register.Query{Round: 4})
	is.NoErr(err)
	is.Equal(report.Round, uint64(4))
	s.drop()
	began := time.Now()
	_, err = c.Query(t.Context(), register.Query{Round: 5})
	is.True(err != nil) // the answer is lost
	is.True(time.Since(began) < 2*callTimeout)
	_, err = c.Query(t.Context(), register.Query{Round: 6})
	is.NoErr(err) // on a new connection
}

// TestQueryErrors guards against a failure that is taken for an answer, and
// against any error but that of another group being reported as ErrOtherGroup.
func TestQueryErrors(t *testing.T) {
	failing := serve(t, fakeMember{err: io.ErrUnexpectedEOF})
	working := serve(t, fakeMember{})
	cases := []struct {
		name       string
		address    string
		group      uint64
		otherGroup bool
	}{
		{"the member's disk failed", failing, testGroup, false},
		{"another group of members", working, testGroup + 1, true},
		{"connection refused", "127.0.0.1:1", testGroup, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := client(t, c.address, c.group).Query(t.Context(), register.Query{})
			is.True(err != nil)
			is.Equal(errors.Is(err, ErrOtherGroup), c.otherGroup)
		})
	}
	t.Run("canceled by the caller", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := client(t, working, testGroup).Query(ctx, register.Query{})
		is.New(t).True(err != nil)
	})
}
