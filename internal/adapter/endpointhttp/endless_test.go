package endpointhttp_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/core/verdict"
)

// endless sends a head, in which %s is the header line with the request's ID, and
// then a piece again and again until the caller closes the connection.
func endless(head, piece string, closed chan<- struct{}) script {
	return func(c *net.TCPConn, _ int64, r *http.Request) bool {
		id := endpointhttp.HeaderRequestID + ": " + r.Header.Get(endpointhttp.HeaderRequestID) + "\r\n"
		_, err := fmt.Fprintf(c, "HTTP/1.1 "+head, id)
		for err == nil {
			_, err = c.Write([]byte(piece))
		}
		select {
		case closed <- struct{}{}:
		default: // an earlier connection was closed
		}
		return false
	}
}

// TestEndlessResponses guards against a call that reads bytes without end, holds
// them in memory or waits for their end: it fails long before its deadline and
// closes the connection, with the verdict that the head allows.
func TestEndlessResponses(t *testing.T) {
	const shed = "503 Shed\r\n%sSassafrasreach-Shed: true\r\n"
	cases := map[string]struct {
		head, piece string
		want        verdict.Verdict
	}{
		"header lines":           {"200 OK\r\n%s", "X: y\r\n", verdict.MayHaveRun},
		"a header line":          {"200 OK\r\n%sX: ", "yyyyyyyy", verdict.MayHaveRun},
		"a status line":          {"200 OK%.0s", "yyyyyyyy", verdict.MayHaveRun},
		"no HTTP":                {"%.0s", "\x00\xff\x16\x03", verdict.MayHaveRun},
		"interim responses":      {"100 Continue%.0s\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", verdict.MayHaveRun},
		"a body without length":  {"200 OK\r\n%s\r\n", "yyyyyyyy", verdict.MayHaveRun},
		"chunks":                 {"200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "4\r\nyyyy\r\n", verdict.MayHaveRun},
		"a chunk's extension":    {"200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4;x=", "yyyyyyyy", verdict.MayHaveRun},
		"trailers":               {"200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", verdict.MayHaveRun},
		"a declared large body":  {"200 OK\r\n%sContent-Length: 9000000000000000000\r\n\r\n", "yyyyyyyy", verdict.MayHaveRun},
		"bytes after a response": {"200 OK\r\n%sContent-Length: 0\r\n\r\n", "yyyyyyyy", verdict.Ran},
		"a refusal's body":       {shed + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nyyyy\r\n", verdict.NotRun},
		"a refusal's large body": {shed + "Content-Length: 9000000000000000000\r\n\r\n", "yyyyyyyy", verdict.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{}, 1)
			e := newEndpoint(t, endless(c.head, c.piece, closed))
			began := time.Now()
			req := onceOnlyRequest("r1", "", long)
			req.MaxAnswerBytes = 1 << 20
			caller := newCaller(t, endpointhttp.Options{})
			_, err := caller.Call(context.Background(), endpointAt(e.addr), req, nil)
			if got := verdict.Of(err); got != c.want {
				is.Equal(c.want, verdict.Ran) // the bytes may come before the end is seen
				is.Equal(got, verdict.MayHaveRun)
			}
			is.True(time.Since(began) < long/4)
			if c.want == verdict.Ran {
				// The connection isn't reused, and closed at the latest then.
				_, _ = caller.Call(context.Background(), endpointAt(e.addr), onceOnlyRequest("r2", "", short), nil)
			}
			select {
			case <-closed:
			case <-time.After(long / 4):
				t.Error("the connection is still open")
			}
		})
	}
}

// TestUnfinishedRefusal guards against a refused request that isn't answered at
// once because the refusal's body doesn't come.
func TestUnfinishedRefusal(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, func(c *net.TCPConn, n int64, r *http.Request) bool {
		return respondWith("503 Shed\r\n%sSassafrasreach-Shed: true\r\nContent-Length: 10\r\n\r\n12")(c, n, r) && hang(c, n, r)
	})
	began := time.Now()
	_, err := newCaller(t, endpointhttp.Options{}).Call(context.Background(), endpointAt(e.addr), onceOnlyRequest("r1", "", long), nil)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.True(time.Since(began) < long/4)
}
