package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/app/gateway"
	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// scriptedEndpoint serves each connection with answer, which may end it at any byte.
func scriptedEndpoint(t *testing.T, answer func(c *net.TCPConn, id string)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = raw.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(raw))
				if err == nil {
					answer(raw.(*net.TCPConn), r.Header.Get("Request-Id"))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// startHTTPGateway starts a gateway that sends its requests over HTTP to an address.
func startHTTPGateway(t *testing.T, address string) (*gateway.Gateway, *fakeController) {
	c := &fakeController{answer: func(port.SlotRequest) (dispatch.Decision, error) {
		return dispatch.Decision{Grant: "g", Endpoint: registry.Endpoint{ID: "e", Address: address}}, nil
	}}
	clock := port.ClockFunc(time.Now)
	g := gateway.New(gateway.Config{Name: "g", Zone: "east-1", Region: "east", Seeds: []string{"c:1"}}, gateway.Ports{
		Clock: clock, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Meter: metrics.New(),
		Endpoints: endpointhttp.New(endpointhttp.Options{Clock: clock, HeaderConvention: endpointhttp.HeaderConvention{
			IDHeader: "Request-Id", ExactID: true, EndpointIDHeader: "Endpoint-Id", TimeoutHeader: "Timeout-Ms",
			NotRun: func(status int, _ http.Header) bool { return status == http.StatusTooManyRequests },
		}}),
		Dial: func(string) (port.ControllerLink, error) { return c, nil },
	})
	go g.Run(t.Context())
	for !g.Ready() {
		time.Sleep(time.Millisecond)
	}
	return g, c
}

// runEnd sends a request for a client with a patience, and returns how its run ended.
func runEnd(t *testing.T, address string, patience time.Duration) quarantine.End {
	g, c := startHTTPGateway(t, address)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	time.AfterFunc(patience, cancel)
	g.Serve(ctx, &port.ClientRequest{
		Request:   port.Request{ID: "id-1", Method: http.MethodPost, Target: "/single/x", Body: []byte("body"), Deadline: time.Now().Add(time.Minute)},
		RouteHost: "shop", Path: "/single/x",
	})
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		if len(c.released) > 0 {
			defer c.mu.Unlock()
			return *c.released[0].RunEnd
		}
		c.mu.Unlock()
	}
	t.Fatal("the slot isn't released")
	return 0
}

// TestRunEndAtEachByte lets an endpoint end at each byte of its answer, by a reset or by
// closing its connections. It guards against a run whose endpoint died and that is
// forgotten, because the answer had begun.
func TestRunEndAtEachByte(t *testing.T) {
	t.Parallel()
	answers := map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nContent-Length: 12\r\n\r\nhello, world",
		"in chunks":        "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n2\r\n, \r\n0\r\n\r\n",
		"after an interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nContent-Length: 2\r\n\r\nhi",
		"with a failure":   "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: id-1\r\nContent-Length: 4\r\n\r\noops",
	}
	for name, answer := range answers {
		for n := range len(answer) {
			t.Run(fmt.Sprint(name, " ", n), func(t *testing.T) {
				t.Parallel()
				address := scriptedEndpoint(t, func(c *net.TCPConn, _ string) {
					_, _ = io.WriteString(c, answer[:n])
					if n%2 == 0 {
						time.Sleep(5 * time.Millisecond) // a reset may overtake the bytes
						_ = c.SetLinger(0)
					}
				})
				is.New(t).Equal(runEnd(t, address, time.Minute), quarantine.Reset)
			})
		}
	}
}

// TestRunEnds guards against a run that is forgotten, or counts as proof against its
// request, because of what the client or the gateway did.
func TestRunEnds(t *testing.T) {
	t.Parallel()
	hang := func(c *net.TCPConn, _ string) { _, _ = io.Copy(io.Discard, c) }
	reply := func(text string) func(c *net.TCPConn, id string) {
		return func(c *net.TCPConn, id string) {
			_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", id))
			hang(c, id)
		}
	}
	cases := []struct {
		name     string
		answer   func(c *net.TCPConn, id string)
		patience time.Duration
		want     quarantine.End
	}{
		{"answered", reply("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 2\r\n\r\nhi"), time.Minute, quarantine.Answered},
		{"answered with a failure", reply("HTTP/1.1 500 Oops\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n"), time.Minute, quarantine.Failed},
		{"refused", reply("HTTP/1.1 429 Full\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n"), time.Minute, quarantine.NotStarted},
		{"client leaves before the answer", hang, 50 * time.Millisecond, quarantine.Abandoned},
		{"client leaves within the answer", reply("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 9\r\n\r\nhi"), 50 * time.Millisecond, quarantine.Abandoned},
		{"timeout of the route", hang, time.Minute, quarantine.Abandoned},
		{"answer to another request", reply("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"), time.Minute, quarantine.Abandoned},
		{"answer without an end", reply("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\nhi"), time.Minute, quarantine.Abandoned},
		{"bytes that are no answer", reply("SSH-2.0-x\r\n\r\n"), time.Minute, quarantine.Abandoned},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is.New(t).Equal(runEnd(t, scriptedEndpoint(t, c.answer), c.patience), c.want)
		})
	}
	for name, c := range map[string]struct {
		sent     int
		patience time.Duration
		want     quarantine.End
	}{
		"streamed answer that nobody reads": {200_000, time.Minute, quarantine.Answered},
		"streamed answer that is cut":       {199_999, time.Minute, quarantine.Reset},
		"client leaves within a stream":     {150_000, 100 * time.Millisecond, quarantine.Abandoned},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := func(conn *net.TCPConn, id string) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 200000\r\n\r\n%s", id, strings.Repeat("x", c.sent))
				if c.want == quarantine.Abandoned {
					hang(conn, id)
				}
			}
			is.New(t).Equal(runEnd(t, scriptedEndpoint(t, answer), c.patience), c.want)
		})
	}
	t.Run("nothing listens", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		_ = listener.Close()
		is.New(t).Equal(runEnd(t, listener.Addr().String(), time.Minute), quarantine.Down)
	})
}

// TestInvalidStatus lets an endpoint answer with a status that isn't three digits from 100
// to 599, and the next one well. It guards against an idempotent request that waits for
// its deadline or gets that status, a once-only request that runs twice, and an endpoint
// whose failure isn't recorded.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "600", "999"} {
		for _, body := range []string{"", "body"} {
			t.Run(status+body, func(t *testing.T) {
				is := is.New(t)
				reply := func(status, body string) string {
					return scriptedEndpoint(t, func(c *net.TCPConn, id string) {
						_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Status\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
						_, _ = io.Copy(io.Discard, c)
					})
				}
				addresses := []string{reply(status, body), reply("200", "good")}
				g, c := startHTTPGateway(t, "")
				granted := 0
				c.answer = func(port.SlotRequest) (dispatch.Decision, error) {
					granted++
					return dispatch.Decision{Grant: "g", Endpoint: registry.Endpoint{ID: fmt.Sprint(granted % 2), Address: addresses[(granted-1)%2]}}, nil
				}
				call := func(path string) port.ClientAnswer {
					return g.Serve(t.Context(), &port.ClientRequest{
						Request:   port.Request{ID: "id-1", Method: http.MethodGet, Target: path, Deadline: time.Now().Add(time.Minute)},
						RouteHost: "shop", Path: path,
					})
				}
				answer := call("/safe/x")
				is.NoErr(answer.Err)
				is.Equal(string(answer.Response.Body), "good")
				is.Equal(granted, 2)
				once := call("/once/x")
				is.Equal(verdict.Of(once.Err), verdict.MayHaveRun)
				is.Equal(granted, 3)
				for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
					c.mu.Lock()
					n := len(c.released)
					c.mu.Unlock()
					if n == 3 {
						break
					}
				}
				is.Equal(c.released[0].Outcome, dispatch.Failed)
				is.Equal(c.released[2].Outcome, dispatch.Failed)
			})
		}
	}
}
