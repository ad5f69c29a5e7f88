package peergrpc_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"sassafrasreach/internal/adapter/peergrpc"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// startBounded serves p with a budget, and returns its address and a client with another one.
func startBounded(t *testing.T, p *fakePeer, server, client *memory.Budget) (string, *peergrpc.Client) {
	t.Helper()
	clock := port.ClockFunc(time.Now)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(append(peergrpc.ServerOptions(), peergrpc.MemoryOptions(server)...)...)
	peergrpc.Register(s, p, clock)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Stop)
	c := peergrpc.NewClient(clock, nil, client)
	t.Cleanup(c.Close)
	return listener.Addr().String(), c
}

// TestForwardWithoutMemory guards against bodies that are forwarded or received beyond the
// memory of an entry, and against a verdict that says more than the entry knows: whether an
// earlier attempt of a key ran is known to the claims of its coordinator alone.
func TestForwardWithoutMemory(t *testing.T) {
	const size = 2_000_000 // larger than the pooled buffers
	for _, c := range []struct {
		name           string
		server, client int64
		hop            port.Hop
		want           verdict.Verdict
	}{
		{"owner", size, 10 * size, port.HopOwner, verdict.NotRun},
		{"coordinator", size, 10 * size, port.HopCoordinator, verdict.MayHaveRun},
		{"sender to the owner", 10 * size, size / 2, port.HopOwner, verdict.NotRun},
		{"sender to the coordinator", 10 * size, size / 2, port.HopCoordinator, verdict.MayHaveRun},
		{"room", 10 * size, 10 * size, port.HopOwner, verdict.Ran},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			reached := false
			p := &fakePeer{forward: func(context.Context, port.Forward) (*port.Response, error) {
				reached = true
				return &port.Response{Status: http.StatusOK}, nil
			}}
			server, client := memory.NewBudget(c.server), memory.NewBudget(c.client)
			address, sender := startBounded(t, p, server, client)
			req := request(true)
			req.Body = make([]byte, size)
			_, err := sender.Forward(t.Context(), address, port.Forward{Hop: c.hop, Request: req})
			is.Equal(reached, c.want == verdict.Ran)
			if !reached {
				is.Equal(verdict.Of(err), c.want)
				is.Equal(verdict.ReasonOf(err), verdict.ReasonMemory)
			}
			for server.Held()+client.Held() > 0 { // the server ends the call after its answer
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// TestForwardLargestBody guards against a permitted body that isn't forwarded whole, in one
// piece and in several.
func TestForwardLargestBody(t *testing.T) {
	is := is.New(t)
	var got []byte
	p := &fakePeer{forward: func(_ context.Context, f port.Forward) (*port.Response, error) {
		got = f.Request.Body
		return &port.Response{Status: http.StatusOK}, nil
	}}
	address, client := startBounded(t, p, nil, nil)
	body := bytes.Repeat([]byte("0123456789abcdef"), document.MaxBodyBytesBound/16)
	for _, cut := range []int{len(body), 1000} {
		req := request(true)
		req.Body = body[:cut]
		for rest := body[cut:]; len(rest) > 0; rest = rest[min(len(rest), 1<<20):] {
			req.BodyRest = append(req.BodyRest, rest[:min(len(rest), 1<<20)])
		}
		_, err := client.Forward(t.Context(), address, port.Forward{Hop: port.HopOwner, Request: req})
		is.NoErr(err)
		is.True(bytes.Equal(got, body))
	}
}

// TestReceivedBodyIsRetained guards against a received body that isn't counted while an
// attempt uses it that outlives the call.
func TestReceivedBodyIsRetained(t *testing.T) {
	is := is.New(t)
	var release func()
	p := &fakePeer{forward: func(_ context.Context, f port.Forward) (*port.Response, error) {
		release = f.Request.RetainBody()
		return &port.Response{Status: http.StatusOK}, nil
	}}
	budget := memory.NewBudget(2 << 20)
	address, client := startBounded(t, p, budget, nil)
	req := request(true)
	req.Body = make([]byte, 100_000)
	_, err := client.Forward(t.Context(), address, port.Forward{Hop: port.HopCoordinator, Request: req})
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the call ends after its answer
	is.Equal(budget.Held(), int64(100_000))
	release()
	is.Equal(budget.Held(), int64(0))
}

// TestAnswerWithoutMemory guards against answers of other entries that are held beyond the
// memory of an entry. The request has run.
func TestAnswerWithoutMemory(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget int64
		want   verdict.Verdict
	}{{"first part", 300_000, verdict.MayHaveRun}, {"whole", 1_500_000, verdict.MayHaveRun}, {"room", 4 << 20, verdict.Ran}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &fakePeer{forward: func(context.Context, port.Forward) (*port.Response, error) {
				return &port.Response{Status: http.StatusOK, Body: make([]byte, 500_000), Rest: io.NopCloser(bytes.NewReader(make([]byte, 400_000)))}, nil
			}}
			budget := memory.NewBudget(c.budget)
			address, client := startBounded(t, p, nil, budget)
			response, err := client.Forward(t.Context(), address, port.Forward{Hop: port.HopOwner, Request: request(true)})
			if c.want == verdict.Ran {
				is.NoErr(err)
				is.Equal(len(response.Body), 900_000)
				is.True(budget.Held() >= 900_000)
				response.Done()
			} else {
				is.Equal(verdict.Of(err), c.want)
				is.Equal(verdict.ReasonOf(err), verdict.ReasonMemory)
			}
			is.Equal(budget.Held(), int64(0))
		})
	}
}
