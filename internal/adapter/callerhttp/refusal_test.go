package callerhttp_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/callerhttp"
	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/adapter/refusals"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

// startBounded serves an entry with a budget, and returns the address and the intake.
func startBounded(t *testing.T, f *fakeEntry, budget *memory.Budget) (string, *intake.Intake) {
	clock := port.ClockFunc(time.Now)
	bodies := intake.New(budget, memory.Bodies, clock)
	server := httptest.NewServer(callerhttp.New(callerhttp.Options{
		Entry: f, Name: "north-a-1", Clock: clock, Bodies: bodies,
		Refusals: refusals.New(slog.New(slog.DiscardHandler), metrics.New(), clock),
	}))
	t.Cleanup(server.Close)
	go wait.Every(t.Context(), 50*time.Millisecond, bodies.Sweep)
	return server.Listener.Addr().String(), bodies
}

// TestRefusedBodies guards against a refusal of a body that isn't true, or whose connection
// stays open: with a key, an earlier attempt may have run.
func TestRefusedBodies(t *testing.T) {
	const stopped = "Content-Length: 8\r\n\r\n1234567"
	for _, c := range []struct {
		name, request string
		budget        int64
		stop          bool
		status        int
		reason        verdict.Reason
	}{
		{"announced too large", "Content-Length: 9\r\n\r\n", 1000, false, 413, verdict.ReasonTooLarge},
		{"too large in chunks", "Transfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n", 10000, false, 413, verdict.ReasonTooLarge},
		{"no memory", "Content-Length: 8\r\n\r\n", 1, false, 503, verdict.ReasonMemory},
		{"deadline", "Sassafrasreach-Timeout-Ms: 300\r\n" + stopped, 1000, false, 504, verdict.ReasonDeadline},
		{"slow", "Sassafrasreach-Timeout-Ms: 60000\r\n" + stopped, 1000, false, 408, verdict.ReasonSlowBody},
		{"stopping", stopped, 1000, true, 503, verdict.ReasonStopping},
		{"malformed", "Transfer-Encoding: chunked\r\n\r\nz\r\n", 10000, false, 400, verdict.ReasonBadRequest},
	} {
		for key, want := range map[string]string{"": "not-run", "Sassafrasreach-Key: " + validKey + "\r\n": "may-have-run"} {
			t.Run(c.name+" "+want, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				budget := memory.NewBudget(c.budget)
				address, bodies := startBounded(t, &fakeEntry{response: &port.Response{Status: 200}}, budget)
				nc, err := net.Dial("tcp", address)
				is.NoErr(err)
				t.Cleanup(func() { _ = nc.Close() })
				_, err = fmt.Fprintf(nc, "POST /s/desk/x HTTP/1.1\r\nHost: x\r\n%s%s", key, c.request)
				is.NoErr(err)
				if c.stop {
					time.Sleep(600 * time.Millisecond) // longer than a body may take then
					bodies.Stop()
				}
				response, err := http.ReadResponse(bufio.NewReader(nc), nil)
				is.NoErr(err)
				text, err := io.ReadAll(response.Body)
				is.NoErr(err)
				var problem callerhttp.Problem
				is.NoErr(json.Unmarshal(text, &problem))
				is.Equal(response.StatusCode, c.status)
				is.Equal(problem.Title, string(c.reason))
				is.Equal(response.Header.Get("Sassafrasreach-Verdict"), want)
				is.Equal(response.Header.Get("Retry-After") != "", c.status == 503)
				is.True(response.Close)
				is.Equal(budget.Held(), int64(0))
			})
		}
	}
}

// TestUnreadAnswer guards against an answer whose memory is held for as long as its caller
// doesn't read.
func TestUnreadAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	released := make(chan struct{})
	f := &fakeEntry{response: &port.Response{Status: 200, Body: make([]byte, 64<<20), Release: func() { close(released) }}}
	address, _ := startBounded(t, f, nil)
	nc, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = nc.Close() })
	_, err = io.WriteString(nc, "GET /s/desk/x HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	select {
	case <-released:
	case <-time.After(time.Minute):
		t.Fatal("the answer is still held")
	}
	_, err = io.Copy(io.Discard, nc)
	is.True(err == nil) // the connection was closed, and the answer is too short
}

// TestBodyReachesEntry guards against a body that arrives differently from how it was sent,
// and against a read deadline that is left for the next request of the connection.
func TestBodyReachesEntry(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(1 << 20)
	f := &fakeEntry{response: &port.Response{Status: 200}}
	address, _ := startBounded(t, f, budget)
	nc, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = nc.Close() })
	reader := bufio.NewReader(nc)
	for _, framing := range []string{"Content-Length: 8\r\n\r\n12345678", "Transfer-Encoding: chunked\r\n\r\n3\r\n123\r\n5\r\n45678\r\n0\r\n\r\n"} {
		_, err = io.WriteString(nc, "GET /s/desk/x HTTP/1.1\r\nHost: x\r\n"+framing)
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, 200)
		is.NoErr(response.Body.Close())
		body := ""
		for _, part := range f.served.BodyParts() {
			body += string(part)
		}
		is.Equal(body, "12345678")
		is.Equal(budget.Held(), int64(0))
		time.Sleep(1100 * time.Millisecond) // longer than an ignored body may take
	}
}

// TestRetainedBody guards against a body that isn't counted while an attempt uses it that
// outlives its request.
func TestRetainedBody(t *testing.T) {
	for name, err := range map[string]error{"failure": verdict.NewError(verdict.MayHaveRun, verdict.ReasonCanceled, nil), "answer": nil} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := memory.NewBudget(1 << 20)
			f := &fakeEntry{response: &port.Response{Status: 200}, err: err, retain: true}
			address, _ := startBounded(t, f, budget)
			response, err := http.Post("http://"+address+"/s/desk/x", "", strings.NewReader("12345678"))
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			time.Sleep(50 * time.Millisecond) // the handler returns after its response
			is.True(budget.Held() > 0)
			f.release()
			is.Equal(budget.Held(), int64(0))
		})
	}
}

// TestRetryAfter guards against a refusal for memory that doesn't say when to come back,
// wherever on the way of the request it was.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	f := &fakeEntry{err: verdict.NewError(verdict.NotRun, verdict.ReasonMemory, nil)}
	response, _ := do(t, newServer(t, f), testRequest{"GET", "/s/desk/x", "", nil})
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Retry-After"), "1")
}
