package endpointhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/testlink"
)

const (
	long      = 20 * time.Second
	short     = 300 * time.Millisecond
	bulkBytes = 8 << 20
)

// closeAfterRead reads a part of the request's body and closes the connection;
// linger 0 resets it instead.
func closeAfterRead(linger int) script {
	return func(c *net.TCPConn, _ int64, r *http.Request) bool {
		buf := make([]byte, bulkBytes)
		_, _ = r.Body.Read(buf)
		_ = c.SetLinger(linger)
		return false
	}
}

// hang never responds; it returns when the caller closes the connection.
func hang(c *net.TCPConn, _ int64, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

// dialWriteClosed dials a connection on which every write fails.
func dialWriteClosed(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err == nil {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	return c, err
}

// dialBlackhole never connects; it returns when ctx ends.
func dialBlackhole(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func dialRefused(ctx context.Context, network, _ string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, "127.0.0.1:1")
}

func fault(kind testlink.Kind, d testlink.Direction, after int64) *testlink.Fault {
	return &testlink.Fault{Kind: kind, Direction: d, After: after}
}

// TestFailurePoints guards against a wrong verdict: NotRun although the endpoint ran
// a once-only request, or MayHaveRun although nothing was sent or the endpoint shed
// the request. It makes the request fail at each step on a real socket and checks
// the verdict and the number of runs at the endpoint.
func TestFailurePoints(t *testing.T) {
	const notRun, may, ran = verdict.NotRun, verdict.MayHaveRun, verdict.Ran
	const shedHead = "503 Shed\r\n%sSassafrasreach-Shed: true\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name   string
		script script
		fault  *testlink.Fault
		dial   endpointhttp.DialFunc
		body   int
		within time.Duration
		cancel time.Duration
		want   verdict.Verdict
		reason verdict.Reason
		runs   int64
		reset  bool
		direct bool
	}{
		{name: "complete", script: echoBody, want: ran, runs: 1},
		{name: "dial refused", script: echoBody, dial: dialRefused, want: notRun, reason: verdict.ReasonDial},
		{name: "dial times out", script: echoBody, dial: dialBlackhole, within: short, want: notRun, reason: verdict.ReasonDeadline},
		{name: "dial canceled", script: echoBody, dial: dialBlackhole, cancel: short, want: notRun, reason: verdict.ReasonCanceled},
		{name: "deadline passed", script: echoBody, within: -1, want: notRun, reason: verdict.ReasonDeadline},
		{name: "before the first byte", script: echoBody, dial: dialWriteClosed, want: notRun, reason: verdict.ReasonConnection, reset: true},
		{name: "reset in the head", script: echoBody, fault: fault(testlink.Reset, testlink.ToTarget, 10), want: may, reason: verdict.ReasonConnection, reset: true},
		{name: "reset in the body", script: closeAfterRead(0), body: bulkBytes, want: may, reason: verdict.ReasonConnection, runs: 1, reset: true},
		{name: "silent in the head", script: echoBody, fault: fault(testlink.Drop, testlink.ToTarget, 10), within: short, want: may, reason: verdict.ReasonDeadline},
		{name: "silent in the body", script: hang, fault: fault(testlink.Drop, testlink.ToTarget, 1<<20), body: bulkBytes, within: short, want: may, reason: verdict.ReasonDeadline, runs: 1},
		{name: "silent from the start", script: echoBody, fault: fault(testlink.Drop, testlink.Both, 0), within: short, want: may, reason: verdict.ReasonDeadline},
		{name: "closed before the response", script: closeAfterRead(-1), want: may, reason: verdict.ReasonConnection, runs: 1, reset: true},
		{name: "reset before the response", script: closeAfterRead(0), want: may, reason: verdict.ReasonConnection, runs: 1, reset: true},
		{name: "response dropped", script: echoBody, fault: fault(testlink.Drop, testlink.ToDialer, 0), within: short, want: may, reason: verdict.ReasonDeadline, runs: 1},
		{name: "reset in the response head", script: echoBody, fault: fault(testlink.Reset, testlink.ToDialer, 20), want: may, reason: verdict.ReasonConnection, runs: 1, reset: true},
		{name: "reset in the response body", script: echoBody, body: bulkBytes / 8, fault: fault(testlink.Reset, testlink.ToDialer, 100<<10), want: may, reason: verdict.ReasonBadAnswer, runs: 1, reset: true},
		{name: "silent in the response body", script: echoBody, body: bulkBytes / 8, fault: fault(testlink.Drop, testlink.ToDialer, 100<<10), within: short, want: may, reason: verdict.ReasonDeadline, runs: 1},
		{name: "deadline while it runs", script: hang, within: short, want: may, reason: verdict.ReasonDeadline, runs: 1},
		{name: "canceled while it runs", script: hang, cancel: short, want: may, reason: verdict.ReasonCanceled, runs: 1},
		{name: "shed", script: respondWith(shedHead), want: notRun, reason: verdict.ReasonShed},
		{name: "shed before the body is read", body: bulkBytes, script: func(c *net.TCPConn, n int64, r *http.Request) bool {
			r.Body = http.NoBody
			return respondWith(shedHead)(c, n, r) && false
		}, direct: true, want: notRun, reason: verdict.ReasonShed},
		{name: "shed header with another status", script: respondWith("500 Shed\r\n%sSassafrasreach-Shed: true\r\nContent-Length: 0\r\n\r\n"), want: ran, runs: 1},
		{name: "503 without the shed header", script: respondWith("503 Down\r\n%sContent-Length: 0\r\n\r\n"), want: ran, runs: 1},
		{name: "shed without the request's ID", script: respondWith("503 Shed\r\nX%sSassafrasreach-Shed: true\r\nContent-Length: 0\r\n\r\n"), want: may, reason: verdict.ReasonBadAnswer, runs: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, c.script)
			link := e.link(t)
			if c.fault != nil {
				link.FailNext(*c.fault)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if c.cancel > 0 {
				time.AfterFunc(c.cancel, cancel)
			}
			within := c.within
			if within == 0 {
				within = long
			}
			addr := link.Addr()
			if c.direct {
				addr = e.addr
			}
			req := onceOnlyRequest("r1", strings.Repeat("b", c.body), within)
			if c.reason == verdict.ReasonShed {
				req.Header = http.Header{"Test-Shed": {"the endpoint doesn't run it"}}
			}
			got, err := newCaller(t, endpointhttp.Options{Dial: c.dial}).Call(ctx, endpointAt(addr), req, nil)
			is.Equal(verdict.Of(err), c.want)
			is.Equal(got != nil, c.want == ran)
			is.Equal(e.runs.Load(), c.runs)
			if c.want != ran {
				is.Equal(verdict.ReasonOf(err), c.reason)
				is.Equal(endpointhttp.ConnectionReset(err), c.reset)
			}
		})
	}
}

// TestMalformedResponses guards against a caller receiving a faulty response as a
// valid one. Each response must give MayHaveRun, and its connection must not be
// reused.
func TestMalformedResponses(t *testing.T) {
	big := strings.Repeat("x", 2<<20)
	cases := map[string]script{
		"no ID":      respondWith("200 OK\r\nX%sContent-Length: 0\r\n\r\n"),
		"another ID": respondWith("200 OK\r\n" + endpointhttp.HeaderRequestID + ": r2\r\nX%sContent-Length: 0\r\n\r\n"),
		"two IDs":    respondWith("200 OK\r\n" + endpointhttp.HeaderRequestID + ": r2\r\n%sContent-Length: 0\r\n\r\n"),
		"length too large": func(c *net.TCPConn, n int64, r *http.Request) bool {
			return respondWith("200 OK\r\n%sContent-Length: 9\r\n\r\n12345678")(c, n, r) && false
		},
		"length too small": respondWith("200 OK\r\n%sContent-Length: 3\r\n\r\n12345678"),
		"two lengths":      respondWith("200 OK\r\n%sContent-Length: 3\r\nContent-Length: 4\r\n\r\n1234"),
		"negative length":  respondWith("200 OK\r\n%sContent-Length: -3\r\n\r\n1234"),
		"no length": func(c *net.TCPConn, n int64, r *http.Request) bool {
			return respondWith("200 OK\r\n%s\r\n1234")(c, n, r) && false
		},
		"sent twice": respondWith("200 OK\r\n%[1]sContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\n%[1]sContent-Length: 1\r\n\r\n1"),
		"truncated chunk": func(c *net.TCPConn, n int64, r *http.Request) bool {
			return respondWith("200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n9\r\n1234")(c, n, r) && false
		},
		"no last chunk": func(c *net.TCPConn, n int64, r *http.Request) bool {
			return respondWith("200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n")(c, n, r) && false
		},
		"bad chunk":                  respondWith("200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\nzz\r\n1234\r\n0\r\n\r\n"),
		"over the limit":             respondWith("200 OK\r\n%sContent-Length: %d\r\n\r\n%s", len(big), big),
		"chunk over the limit":       respondWith("200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(big), big),
		"head over the limit":        respondWith("200 OK\r\n%sContent-Length: 0\r\nX: %s\r\n\r\n", big),
		"too many interim responses": respondWith(strings.Repeat("100 Continue\r\n\r\nHTTP/1.1 ", 9) + "200 OK\r\n%sContent-Length: 0\r\n\r\n"),
		"another protocol":           respondWith("101 Switching Protocols\r\n%sUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
		"an HTTP/2 GOAWAY": func(c *net.TCPConn, _ int64, _ *http.Request) bool {
			_, err := c.Write([]byte("\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x00\x08\x07\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"))
			return err != nil
		},
		"not HTTP":               respondWith("\x00\x01%s"),
		"status out of range":    respondWith("2000 OK\r\n%sContent-Length: 0\r\n\r\n"),
		"header without a colon": respondWith("200 OK\r\n%sgarbage\r\n\r\n"),
	}
	for name, script := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, script)
			link := e.link(t)
			caller := newCaller(t, endpointhttp.Options{})
			for range 2 {
				req := onceOnlyRequest("r1", "", long)
				req.MaxAnswerBytes = 1 << 20
				got, err := caller.Call(context.Background(), endpointAt(link.Addr()), req, nil)
				is.Equal(got, nil)
				is.Equal(verdict.Of(err), verdict.MayHaveRun)
			}
			is.Equal(e.runs.Load(), int64(2))
			is.Equal(link.Accepted(), 2) // the connection wasn't reused
		})
	}
}
