package peergrpc_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"sassafrasreach/internal/adapter/peergrpc"
	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/membership"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/testlink"
)

// fakePeer is a port.PeerHandler that records what it receives. It answers
// Forward with its function, and other calls with fixed values or an echo.
type fakePeer struct {
	forward   func(ctx context.Context, f port.Forward) (*port.Response, error)
	handed    claims.HandOver
	rows      []port.QuarantineRow
	announced []port.Announcement
	loan      port.LoanRequest
}

func (p *fakePeer) HandleHeartbeat(hb membership.Heartbeat) membership.Heartbeat { return hb }
func (p *fakePeer) HandleForward(ctx context.Context, f port.Forward) (*port.Response, error) {
	return p.forward(ctx, f)
}
func (p *fakePeer) HandleAnnounce(batch []port.Announcement) { p.announced = batch }
func (p *fakePeer) HandleFetchDocument(currentVersion uint64) port.Config {
	return port.Config{Version: currentVersion + 1, Digest: "d", Document: []byte("text")}
}
func (p *fakePeer) HandleHandOver(h claims.HandOver) { p.handed = h }
func (p *fakePeer) HandleQuarantine(rows []port.QuarantineRow) []port.QuarantineRow {
	p.rows = rows
	return rows
}
func (p *fakePeer) HandleBorrow(r port.LoanRequest) port.LoanGrant {
	p.loan = r
	return port.LoanGrant{Units: 3, Term: time.Second}
}

// start serves p and returns a link to it, in which faults can be injected, and a
// client without open connections.
func start(t *testing.T, p *fakePeer) (*testlink.Link, *peergrpc.Client) {
	t.Helper()
	clock := port.ClockFunc(time.Now)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(peergrpc.ServerOptions()...)
	peergrpc.Register(server, p, clock)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(server.Stop)
	link, err := testlink.New(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	client := peergrpc.NewClient(clock, nil, nil)
	t.Cleanup(client.Close)
	return link, client
}

func request(onceOnly bool) *port.Request {
	return &port.Request{
		ID: "id-1", Service: "desk", Origin: "north-a", Method: "POST", Target: "/x?y=1",
		Header: http.Header{"X-A": {"1", "2"}}, Body: []byte("body"), OnceOnly: onceOnly,
		Deadline: time.Now().Add(20 * time.Second), MaxAnswerBytes: 4 << 20,
	}
}

// TestMessagesRoundTrip guards against fields that the conversion to protobuf
// drops: every message must arrive as it was sent.
func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	p := &fakePeer{}
	link, client := start(t, p)
	ctx := t.Context()
	hb := membership.Heartbeat{
		From:    "a",
		Members: []membership.MemberRow{{Name: "a", Place: "p", Incarnation: 1, Counter: 2, Version: 3, Leaving: true}},
		Groups: []membership.GroupRow{{
			Service: "s", Place: "p", Owner: "a", OwnerIncarnation: 1, Counter: 4,
			Endpoints: 5, Slots: 6, Busy: 7, Queued: 8, Latency: 9 * time.Microsecond,
		}},
	}
	got, err := client.Heartbeat(ctx, link.Addr(), hb)
	is.NoErr(err)
	is.Equal(got, hb)

	config, err := client.FetchDocument(ctx, link.Addr(), 4)
	is.NoErr(err)
	is.Equal(config, port.Config{Version: 5, Digest: "d", Document: []byte("text")})

	batch := []port.Announcement{{
		ID: "e", Incarnation: 1, Sequence: 2, Service: "s", Place: "p", Address: "127.0.0.1:1",
		Slots: 3, Connections: 4, State: port.EndpointReady, Load: 0.5,
	}}
	is.NoErr(client.Announce(ctx, link.Addr(), batch))
	is.Equal(p.announced, batch)

	coordinator := claims.Coordinator{Entry: "a", Incarnation: 7}
	key := claims.Key{Coordinator: coordinator, Minted: time.Unix(1000, 0).UTC(), Unique: "u"}
	handed := claims.HandOver{From: coordinator, Complete: true, Rows: []claims.Row{{
		Key: key, Fingerprint: fingerprint.Of("s", "POST", "/", nil), Finished: true,
		Outcome: claims.Outcome{Verdict: verdict.Ran, Status: 200, Header: http.Header{"X": {"y"}}, Body: []byte("b")},
	}}}
	is.NoErr(client.HandOver(ctx, link.Addr(), handed))
	is.Equal(p.handed, handed)

	rows := []port.QuarantineRow{{Fingerprint: "f", Service: "s", Remaining: time.Second, Suspected: true, Endpoint: "e", Incarnation: 2, Version: 3}}
	held, err := client.Quarantine(ctx, link.Addr(), rows)
	is.NoErr(err)
	is.Equal(p.rows, rows)
	is.Equal(held, rows)

	loan := port.LoanRequest{Bucket: "b", Borrower: "a", BorrowerIncarnation: 1, Units: 5, Term: time.Second, DocumentVersion: 9}
	grant, err := client.Borrow(ctx, link.Addr(), loan)
	is.NoErr(err)
	is.Equal(p.loan, loan)
	is.Equal(grant, port.LoanGrant{Units: 3, Term: time.Second})
}

// TestForward guards against a forwarded request that loses fields or its
// remaining time, and against truncated response bodies, from empty ones to those
// that are streamed in chunks.
func TestForward(t *testing.T) {
	for _, size := range []int{0, 10, 1 << 20, 3<<20 + 17} {
		is := is.New(t)
		body := bytes.Repeat([]byte("x"), size)
		p := &fakePeer{forward: func(_ context.Context, f port.Forward) (*port.Response, error) {
			left := time.Until(f.Request.Deadline)
			is.True(left > 10*time.Second && left <= 20*time.Second)
			is.Equal(f.Hop, port.HopOwner)
			is.Equal(f.Place, "south-a")
			is.Equal(f.Request.Target, "/x?y=1")
			is.Equal(f.Request.Header, http.Header{"X-A": {"1", "2"}})
			is.Equal(f.Request.OnceOnly, true)
			held := min(len(body), 1<<20)
			response := &port.Response{Status: 201, Header: http.Header{"X-B": {"3"}}, Body: body[:held]}
			if held < len(body) {
				response.Rest = io.NopCloser(bytes.NewReader(body[held:]))
			}
			return response, nil
		}}
		link, client := start(t, p)
		response, err := client.Forward(t.Context(), link.Addr(), port.Forward{Hop: port.HopOwner, Place: "south-a", Request: request(true)})
		is.NoErr(err)
		is.Equal(response.Status, 201)
		got := response.Body
		if response.Rest != nil {
			rest, err := io.ReadAll(response.Rest)
			is.NoErr(err)
			is.NoErr(response.Rest.Close())
			got = append(got, rest...)
		}
		is.Equal(len(got), len(body))
	}
}

// noopCloser adds a Close method without effect to a reader.
type noopCloser struct{ io.Reader }

func (noopCloser) Close() error { return nil }

// TestForwardVerdicts guards against a wrong verdict of a failed request: NotRun
// would let a request that may have run be sent again.
func TestForwardVerdicts(t *testing.T) {
	answer := &port.Response{Status: 200, Body: []byte("ok")}
	cases := []struct {
		name    string
		peer    func(ctx context.Context, f port.Forward) (*port.Response, error)
		fault   func(l *testlink.Link)
		want    verdict.Verdict
		reached bool
	}{
		{name: "refused by the peer", want: verdict.NotRun, reached: true,
			peer: func(context.Context, port.Forward) (*port.Response, error) {
				return nil, verdict.NewError(verdict.NotRun, verdict.ReasonOverload, nil)
			}},
		{name: "verdict lost at the peer", want: verdict.MayHaveRun, reached: true,
			peer: func(context.Context, port.Forward) (*port.Response, error) { return nil, errors.New("lost") }},
		{name: "link closed before the request", want: verdict.NotRun,
			fault: func(l *testlink.Link) { l.Close() }},
		{name: "link cut before the request", want: verdict.NotRun,
			fault: func(l *testlink.Link) { l.Cut(testlink.Both) }},
		{name: "response after the deadline", want: verdict.MayHaveRun, reached: true,
			peer: func(ctx context.Context, _ port.Forward) (*port.Response, error) {
				<-ctx.Done()
				time.Sleep(50 * time.Millisecond) // the client's deadline expires slightly after the peer's context
				return answer, nil
			}},
		{name: "response truncated", want: verdict.MayHaveRun, reached: true,
			peer: func(context.Context, port.Forward) (*port.Response, error) {
				rest := noopCloser{io.MultiReader(bytes.NewReader([]byte("part")), errReader{})}
				return &port.Response{Status: 200, Body: []byte("held"), Rest: rest}, nil
			}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int64
			p := &fakePeer{forward: func(ctx context.Context, f port.Forward) (*port.Response, error) {
				ran.Add(1)
				if c.peer == nil {
					return answer, nil
				}
				return c.peer(ctx, f)
			}}
			link, client := start(t, p)
			if c.fault != nil {
				c.fault(link)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := client.Forward(ctx, link.Addr(), port.Forward{Hop: port.HopOwner, Request: request(true)})
			is.Equal(verdict.Of(err), c.want)
			is.Equal(ran.Load() > 0, c.reached)
			is.Equal(errors.Is(err, port.ErrPeerUnreachable), c.fault != nil)
		})
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestSilentConnection guards against the further use of an established connection
// that loses all bytes. It is replaced before a request is forwarded if no call
// succeeded on it for a second, or if a new connection is required; otherwise
// after the first request on it exceeded its deadline.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	p := &fakePeer{forward: func(context.Context, port.Forward) (*port.Response, error) {
		ran.Add(1)
		return &port.Response{Status: 200}, nil
	}}
	link, client := start(t, p)
	send := func(fresh bool) error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := client.Forward(ctx, link.Addr(), port.Forward{Hop: port.HopOwner, Request: request(true), NewConnection: fresh})
		return err
	}
	is.NoErr(send(false))
	link.DropEstablished(testlink.Both)
	is.Equal(verdict.Of(send(false)), verdict.MayHaveRun) // a recent success, but bytes are lost now
	is.NoErr(send(false))                                 // the unresponsive connection was dropped
	link.DropEstablished(testlink.Both)
	is.NoErr(send(true)) // a new connection works at once
	link.DropEstablished(testlink.Both)
	time.Sleep(1100 * time.Millisecond)
	is.NoErr(send(false)) // no success for a second: replaced before use
	is.Equal(ran.Load(), int64(4))
}

// TestBytesForwarded guards against a request or a response that can't be sent to another
// entry because a header value, the target or the text of a failure isn't UTF-8. The
// connection between the entries, which other requests use, was closed with it.
func TestBytesForwarded(t *testing.T) {
	is := is.New(t)
	odd := "caf\xe9 \xff\xc0\xaf"
	var got *port.Request
	p := &fakePeer{forward: func(_ context.Context, f port.Forward) (*port.Response, error) {
		got = f.Request
		return &port.Response{Status: http.StatusOK, Header: http.Header{"X-B": {odd, ""}}}, nil
	}}
	link, client := start(t, p)
	req := request(false)
	req.Header, req.Target = http.Header{"X-A": {odd, "plain"}}, "/x?y="+odd
	response, err := client.Forward(t.Context(), link.Addr(), port.Forward{Hop: port.HopOwner, Place: "p", Request: req})
	is.NoErr(err)
	is.Equal(got.Header, req.Header)
	is.Equal(got.Target, req.Target)
	is.Equal(response.Header, http.Header{"X-B": {odd, ""}})

	p.forward = func(context.Context, port.Forward) (*port.Response, error) {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonBadRequest, errors.New("malformed line: "+odd))
	}
	_, err = client.Forward(t.Context(), link.Addr(), port.Forward{Hop: port.HopOwner, Place: "p", Request: req})
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.ReasonOf(err), verdict.ReasonBadRequest)
}

// closeRecorder is an empty body that records that it was closed.
type closeRecorder struct{ closed chan<- string }

func (c closeRecorder) Read([]byte) (int, error) { return 0, io.EOF }

func (c closeRecorder) Close() error {
	c.closed <- "rest"
	return nil
}

// TestCanceledForwardReleasesResponse guards against a response that keeps its endpoint's slot
// and memory because its head couldn't be sent: the peer had canceled the call.
func TestCanceledForwardReleasesResponse(t *testing.T) {
	is := is.New(t)
	released := make(chan string, 2)
	ctx, cancel := context.WithCancel(t.Context())
	link, client := start(t, &fakePeer{forward: func(ctx context.Context, _ port.Forward) (*port.Response, error) {
		cancel()
		<-ctx.Done()
		return &port.Response{
			Status: 200, Rest: closeRecorder{released}, Release: func() { released <- "memory" },
		}, nil
	}})
	_, err := client.Forward(ctx, link.Addr(), port.Forward{Hop: port.HopOwner, Request: request(true)})
	is.True(err != nil)
	for range 2 {
		select {
		case <-released:
		case <-time.After(10 * time.Second):
			t.Fatal("the response wasn't released")
		}
	}
}
