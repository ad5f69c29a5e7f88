package endpointhttp_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/testlink"
)

// closeSecond responds to all requests but the second one, on which it closes the
// connection.
func closeSecond(c *net.TCPConn, n int64, r *http.Request) bool {
	return n != 2 && echoBody(c, n, r)
}

// TestNoTransparentRetry guards against a request running twice. It shows that
// http.Transport retries certain requests when a reused connection closes before
// the response, and that a Caller doesn't.
func TestNoTransparentRetry(t *testing.T) {
	cases := []struct {
		name, method, header string
		transport            int64
	}{
		{"once-only", "POST", "X-Other", 2},
		{"Idempotency-Key", "POST", "Idempotency-Key", 3},
		{"X-Idempotency-Key", "POST", "X-Idempotency-Key", 3},
		{"idempotent", "GET", "X-Other", 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, closeSecond)
			client := &http.Client{Transport: &http.Transport{}}
			for range 2 {
				r, _ := http.NewRequest(c.method, "http://"+e.addr, bytes.NewReader(nil))
				r.Header.Set(c.header, "k")
				if in, err := client.Do(r); err == nil {
					_, _ = io.Copy(io.Discard, in.Body)
					_ = in.Body.Close()
				}
			}
			is.Equal(e.runs.Load(), c.transport)

			e = newEndpoint(t, closeSecond)
			caller := newCaller(t, endpointhttp.Options{})
			for n := range 2 {
				req := onceOnlyRequest("r1", "", long)
				req.Method, req.OnceOnly, req.Header = c.method, c.method == "POST", http.Header{c.header: {"k"}}
				_, err := caller.Call(context.Background(), endpointAt(e.addr), req, nil)
				is.Equal(verdict.Of(err), []verdict.Verdict{verdict.Ran, verdict.MayHaveRun}[n])
			}
			is.Equal(e.runs.Load(), int64(2))
		})
	}
}

// TestLateAndDuplicateResponses guards against a call receiving the response of an
// earlier call to the same endpoint, when that response arrives after the earlier
// call's deadline or arrives twice.
func TestLateAndDuplicateResponses(t *testing.T) {
	var first string
	respond := func(c *net.TCPConn, id, body string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", endpointhttp.HeaderRequestID, id, len(body), body)
	}
	cases := []struct {
		name   string
		script script
		within time.Duration
		second verdict.Verdict
		opened int
	}{
		{"after the deadline", func(c *net.TCPConn, n int64, r *http.Request) bool {
			if n == 1 {
				time.Sleep(2 * short)
			}
			return echoBody(c, n, r)
		}, short, verdict.Ran, 2},
		{"twice, on the idle connection", func(c *net.TCPConn, n int64, r *http.Request) bool {
			ok := echoBody(c, n, r)
			time.Sleep(short / 4)
			respond(c, "r1", "first")
			return ok
		}, long, verdict.Ran, 2},
		{"twice, in place of the response to the next call, which has the same ID", func(c *net.TCPConn, n int64, r *http.Request) bool {
			if n == 1 {
				first = r.Header.Get(endpointhttp.HeaderRequestID)
				return echoBody(c, n, r)
			}
			respond(c, first, "first")
			return true
		}, long, verdict.MayHaveRun, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, c.script)
			link := e.link(t)
			caller := newCaller(t, endpointhttp.Options{})
			_, _ = caller.Call(context.Background(), endpointAt(link.Addr()), onceOnlyRequest("r1", "first", c.within), nil)
			time.Sleep(short)
			got, err := caller.Call(context.Background(), endpointAt(link.Addr()), onceOnlyRequest("r1", "second", long), nil)
			is.Equal(verdict.Of(err), c.second)
			if err == nil {
				is.Equal(string(got.Body), "second")
			}
			is.Equal(link.Accepted(), c.opened)
		})
	}
}

// TestResponsesReachTheirCaller guards against responses that reach another caller.
// Many callers share few connections, and every third one has a deadline of a few
// milliseconds.
func TestResponsesReachTheirCaller(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, func(c *net.TCPConn, n int64, r *http.Request) bool {
		time.Sleep(time.Duration(n%5) * time.Millisecond)
		return echoBody(c, n, r)
	})
	caller := newCaller(t, endpointhttp.Options{})
	to := endpointAt(e.addr)
	var all sync.WaitGroup
	wrong := make(chan string, 400)
	for n := range 400 {
		all.Go(func() {
			within := long
			if n%3 == 0 {
				within = time.Duration(n%7) * time.Millisecond
			}
			id := fmt.Sprint("r", n)
			got, err := caller.Call(context.Background(), to, onceOnlyRequest(id, id, within), nil)
			if err == nil && string(got.Body) != id || err != nil && within == long {
				wrong <- fmt.Sprint(id, got, err)
			}
		})
	}
	all.Wait()
	is.Equal(len(wrong), 0)
	is.True(e.runs.Load() <= 400)
}

func matches(target error) func(error) bool {
	return func(err error) bool { return errors.Is(err, target) }
}

// TestStreaming guards against a truncated response that looks complete: a body
// larger than the buffer must be delivered completely or end with an error.
func TestStreaming(t *testing.T) {
	body := strings.Repeat("0123456789", 300_000)
	cases := []struct {
		name  string
		fault *testlink.Fault
		max   int64
		want  func(error) bool
	}{
		{"complete", nil, 4 << 20, nil},
		{"reset", fault(testlink.Reset, testlink.ToDialer, 2<<20), 4 << 20, endpointhttp.ConnectionReset},
		{"silent", fault(testlink.Drop, testlink.ToDialer, 2<<20), 4 << 20, matches(context.DeadlineExceeded)},
		{"over the service's limit", nil, 2 << 20, matches(endpointhttp.ErrTooLarge)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, func(c *net.TCPConn, n int64, r *http.Request) bool {
				return respondWith("200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)(c, n, r)
			})
			link := e.link(t)
			if c.fault != nil {
				link.FailNext(*c.fault)
			}
			req := onceOnlyRequest("r1", "", 10*short)
			req.MaxAnswerBytes = c.max
			got, err := newCaller(t, endpointhttp.Options{}).Call(context.Background(), endpointAt(link.Addr()), req, nil)
			var rest []byte
			if err == nil { // a reset may discard bytes that were sent before it
				rest, err = io.ReadAll(got.Rest)
			}
			is.Equal(err == nil, c.want == nil)
			if c.want == nil {
				is.True(string(got.Body)+string(rest) == body)
				return
			}
			is.Equal(verdict.Of(err), verdict.MayHaveRun)
			is.True(c.want(err))
		})
	}
}

// TestSilentConnections guards against many failed once-only requests when a
// middlebox silently drops the packets of established connections. It counts the
// failed requests over http.Transport, and over a Caller whose connections last
// delivered a response some time ago: only one request may fail, and none if that
// time exceeds OnceOnlyMaxIdle.
func TestSilentConnections(t *testing.T) {
	const pooled, requests = 4, 8
	e := newEndpoint(t, echoBody)
	warm := func(call func(within time.Duration) bool) {
		var all sync.WaitGroup
		for range pooled {
			all.Go(func() { call(long) })
		}
		all.Wait()
	}
	countLost := func(link *testlink.Link, call func(within time.Duration) bool) (lost int) {
		link.DropEstablished(testlink.Both)
		for range requests {
			if !call(short) {
				lost++
			}
		}
		return lost
	}
	link := e.link(t)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: pooled}}
	plain := func(within time.Duration) bool {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+link.Addr(), strings.NewReader("b"))
		in, err := client.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, in.Body)
			_ = in.Body.Close()
		}
		return err == nil
	}
	warm(plain)
	opened := link.Accepted()
	t.Logf("http.Transport: %d of %d lost", countLost(link, plain), requests)
	is.New(t).True(opened <= pooled)

	for _, c := range []struct {
		age  time.Duration
		lost int
	}{{900 * time.Millisecond, 1}, {1100 * time.Millisecond, 0}, {5 * time.Second, 0}} {
		t.Run(c.age.String(), func(t *testing.T) {
			is := is.New(t)
			link := e.link(t)
			now := time.Now()
			caller := newCaller(t, endpointhttp.Options{Clock: port.ClockFunc(func() time.Time { return now })})
			call := func(within time.Duration) bool {
				_, err := caller.Call(context.Background(), endpointAt(link.Addr()), onceOnlyRequest("r1", "b", within), nil)
				return err == nil
			}
			warm(call)
			now = now.Add(c.age)
			lost := countLost(link, call)
			t.Logf("%d of %d lost", lost, requests)
			is.Equal(lost, c.lost)
		})
	}
}
