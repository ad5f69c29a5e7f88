package control_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"sassafrasreach/internal/adapter/registergrpc"
	"sassafrasreach/internal/app/control"
	"sassafrasreach/internal/core/audit"
	"sassafrasreach/internal/port"
)

// startOnLoopback runs members that communicate over gRPC on loopback, as separate
// processes do.
func startOnLoopback(t testing.TB, members int) []*control.Node {
	is := is.New(t)
	listeners := make([]net.Listener, members)
	peers := make([]control.Peer, members)
	for i := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners[i] = l
		peers[i] = control.Peer{Name: fmt.Sprintf("control-%d", i), Address: l.Addr().String()}
	}
	nodes := make([]*control.Node, members)
	for i := range members {
		node, err := control.New(control.Config{
			Name: peers[i].Name, Incarnation: 1, Peers: peers, DataDir: filepath.Join(t.TempDir(), "data"),
			Validate: func([]byte) error { return nil }, Clock: port.ClockFunc(time.Now), Logger: slog.New(slog.DiscardHandler),
		})
		is.NoErr(err)
		server := grpc.NewServer(registergrpc.ServerOptions()...)
		node.Register(server)
		ended := make(chan error, 1)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = server.Serve(listeners[i]) }()
		go func() { ended <- node.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			is.NoErr(<-ended)
			server.Stop()
		})
		nodes[i] = node
	}
	return nodes
}

// TestChangesOverGRPC submits and resends changes through different members over
// gRPC: a resend must have the first outcome and make no second change.
func TestChangesOverGRPC(t *testing.T) {
	is := is.New(t)
	nodes := startOnLoopback(t, 3)
	for v := range uint64(5) {
		change := port.Change{ID: fmt.Sprint("change-", v), Operator: "ana", BaseVersion: v, Document: fmt.Append(nil, "doc ", v)}
		out, err := nodes[v%3].Submit(t.Context(), change)
		is.NoErr(err)
		is.Equal(out.State, port.ChangeAccepted)
		resent, err := nodes[(v+1)%3].Submit(t.Context(), change)
		is.NoErr(err)
		is.Equal(resent, out)
	}
	current, err := nodes[2].Current(t.Context())
	is.NoErr(err)
	is.Equal(string(current.Document), "doc 4")
	trail, err := nodes[0].Audit(t.Context())
	is.NoErr(err)
	is.Equal(len(trail), 5)
	is.NoErr(audit.Verify(trail))
}

// BenchmarkChange measures one change among three members on loopback, with synced
// files.
func BenchmarkChange(b *testing.B) {
	is := is.New(b)
	nodes := startOnLoopback(b, 3)
	version := uint64(0)
	for b.Loop() {
		change := port.Change{ID: fmt.Sprint("change-", version), Operator: "ana", BaseVersion: version, Document: make([]byte, 20_000)}
		out, err := nodes[0].Submit(b.Context(), change)
		is.NoErr(err)
		is.Equal(out.State, port.ChangeAccepted)
		version++
	}
}
