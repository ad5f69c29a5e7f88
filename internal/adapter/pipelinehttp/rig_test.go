package pipelinehttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/idleconns"
	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/adapter/pipelinehttp"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/testlink"
	"sassafrasreach/internal/testseed"
)

// service runs requests as their targets say: /safe/ID may run concurrently, all others
// may not. The query gives ms, how long a run takes; wait=1, that it waits for release;
// close=1, that the response closes the connection; abort=1, that it breaks off; short=1,
// that it ends early; stream=1, that it is read from its endpoint for streamTime; panic=run
// or panic=receive, that serving it panics; slow=1, that its body is given up as too slow;
// and bytes, the size of its body, which otherwise is the method, the ID and the request body.
type service struct {
	stopping atomic.Bool
	release  chan struct{}
	// received is called with each request; it may be nil.
	received func(x *exchange)

	mu sync.Mutex
	// started, canceled, written and dropped hold the IDs of the requests.
	started, canceled, written, dropped []string
	// faults holds what must not happen.
	faults []string
	// unfinished holds the started requests without response, and whether they may run
	// concurrently.
	unfinished map[string]bool
}

type exchange struct {
	*service
	r    *http.Request
	id   string
	body []byte
	err  error
}

func (s *service) Stopping() bool { return s.stopping.Load() }

func (s *service) MayRunConcurrently(r *http.Request) bool {
	return r.Method != http.MethodPost && strings.HasPrefix(r.URL.Path, "/safe/")
}

func (s *service) Receive(w http.ResponseWriter, r *http.Request, _ time.Time) (pipelinehttp.Exchange, bool) {
	if r.FormValue("panic") == "receive" {
		panic("receive")
	}
	x := &exchange{service: s, r: r, id: r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]}
	if s.received != nil {
		s.received(x)
	}
	if r.FormValue("slow") != "" {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	}
	x.body, x.err = io.ReadAll(http.MaxBytesReader(w, r.Body, 1000))
	return x, x.err == nil
}

func (x *exchange) Run(ctx context.Context, concurrent bool) {
	safe := x.MayRunConcurrently(x.r)
	x.mu.Lock()
	x.started = append(x.started, x.id)
	for other, otherSafe := range x.unfinished {
		if !safe || !otherSafe {
			x.faults = append(x.faults, fmt.Sprintf("%s (concurrent %v) ran beside %s", x.id, concurrent, other))
		}
	}
	x.unfinished[x.id] = safe
	x.mu.Unlock()
	if x.r.FormValue("panic") == "run" {
		panic("run")
	}
	ms, _ := strconv.Atoi(x.r.FormValue("ms"))
	wait := time.After(time.Duration(ms) * time.Millisecond)
	var release chan struct{}
	if x.r.FormValue("wait") != "" {
		wait, release = nil, x.release
	}
	select {
	case <-wait:
	case <-release:
	case <-ctx.Done():
		x.note(&x.canceled)
	}
}

func (x *exchange) note(in *[]string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	*in = append(*in, x.id)
	delete(x.unfinished, x.id)
}

func (x *exchange) Bytes() int64 {
	n, _ := strconv.Atoi(x.r.FormValue("bytes"))
	return int64(n)
}

func (x *exchange) Drop() { x.note(&x.dropped) }

func (x *exchange) Write(w http.ResponseWriter) {
	x.note(&x.written)
	if x.err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if x.r.FormValue("close") != "" {
		w.Header().Set("Connection", "close")
	}
	text := x.r.Method + " " + x.id + " " + string(x.body)
	if n, err := strconv.Atoi(x.r.FormValue("bytes")); err == nil {
		text = strings.Repeat("x", n)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+len(x.r.FormValue("short"))))
	if x.r.FormValue("stream") != "" {
		_, _ = io.WriteString(w, text[:1])
		_ = http.NewResponseController(w).Flush()
		select {
		case <-x.r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(streamTime):
		}
		text = text[1:]
	}
	if x.r.FormValue("abort") != "" {
		_, _ = io.WriteString(w, text[:1])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// ids returns a copy of one of the lists of s.
func (s *service) ids(of *[]string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(*of)
}

// rig is a server on loopback.
type rig struct {
	*is.I
	*service
	handler  *pipelinehttp.Handler
	reaper   *idleconns.Reaper
	server   *http.Server
	listener net.Listener
	reads    testlink.Stall
	idle     atomic.Int64 // limit of idle connections in nanoseconds
	// told is how long clients may keep a connection, in nanoseconds.
	told atomic.Int64
	// idled counts the reports of a connection as idle.
	idled atomic.Int64
	// cuts holds "ID by why" of each request that was recorded as cut off.
	cuts []string
	// panics counts the records of panics.
	panics int
}

const (
	headerTimeout = 300 * time.Millisecond
	// streamTime is how long a streamed response takes.
	streamTime  = 20 * time.Millisecond
	headerBytes = 8 << 10
)

func TestMain(m *testing.M) { testseed.Main(m, testseed.Settings{Seed: 1740, Checks: 60}) }

func newRig(t testing.TB, budget *memory.Budget) *rig { return newIdleRig(t, budget, time.Minute) }

// newIdleRig is newRig with an idle timeout of the connections that were taken over.
func newIdleRig(t testing.TB, budget *memory.Budget, idleTimeout time.Duration) *rig {
	s := &rig{I: is.New(t.(is.T)), service: &service{release: make(chan struct{}), unfinished: make(map[string]bool)}}
	s.reaper = idleconns.New(port.ClockFunc(time.Now), func() idleconns.Limits {
		return idleconns.Limits{Idle: time.Duration(s.idle.Load())}
	})
	logger := slog.New(records{s})
	s.handler = pipelinehttp.New(s.service, pipelinehttp.Options{
		Clock: port.ClockFunc(time.Now), Logger: logger, Meter: metrics.New(), ConnState: s.connState, Budget: budget,
		HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxLingering: 10,
		ClientIdleTimeout: func() time.Duration { return time.Duration(s.told.Load()) },
		RequestID:         func(r *http.Request) string { return r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:] },
	})
	s.server = &http.Server{
		Handler: s.handler, ConnState: s.handler.ConnState, ConnContext: s.handler.ConnContext,
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes, ErrorLog: slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	var err error
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	s.NoErr(err)
	s.reads.Listener = s.listener
	go func() { _ = s.server.Serve(s.reaper.Listener(pipelinehttp.Listener(&s.reads))) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s.NoErr(s.reaper.Shutdown(ctx, s.server, s.listener)) // each connection is accounted for
		s.Equal(s.ids(&s.faults), nil)
	})
	return s
}

// connState is called with the states of all connections.
func (s *rig) connState(c net.Conn, to http.ConnState) {
	if to == http.StateIdle {
		s.idled.Add(1)
	}
	s.reaper.ConnState(c, to)
}

// records is a slog.Handler that keeps what the rig checks.
type records struct{ *rig }

func (records) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelInfo }
func (h records) WithAttrs([]slog.Attr) slog.Handler             { return h }
func (h records) WithGroup(string) slog.Handler                  { return h }

func (h records) Handle(_ context.Context, r slog.Record) error {
	attrs := make(map[string]string)
	r.Attrs(func(a slog.Attr) bool {
		attrs[a.Key] = a.Value.String()
		return true
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	switch r.Message {
	case event.RequestCut.Name:
		h.cuts = append(h.cuts, attrs["request"]+" "+attrs["by"]+" "+attrs["why"])
	case event.ServingPanicked.Name:
		h.panics++
	}
	return nil
}

type client struct {
	*is.I
	*net.TCPConn
	reader *bufio.Reader
}

func (s *rig) dial(t testing.TB) client {
	nc, err := net.Dial("tcp", s.listener.Addr().String())
	s.NoErr(err)
	t.Cleanup(func() { _ = nc.Close() })
	s.NoErr(nc.SetDeadline(time.Now().Add(20 * time.Second)))
	return client{s.I, nc.(*net.TCPConn), bufio.NewReader(nc)}
}

func get(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(target, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", target, len(body), body)
}

func (c client) send(parts ...string) {
	_, err := io.WriteString(c.TCPConn, strings.Join(parts, ""))
	c.NoErr(err)
}

// answer reads a response to a GET and returns it with its body.
func (c client) answer() (*http.Response, string) {
	response, err := http.ReadResponse(c.reader, nil)
	c.NoErr(err)
	body, err := io.ReadAll(response.Body)
	c.NoErr(err)
	return response, string(body)
}

// answered reads a response and checks its body and whether it closes the connection.
func (c client) answered(want string, closes bool) {
	c.Helper()
	response, body := c.answer()
	c.Equal(body, want)
	c.Equal(response.Close, closes)
}

// ended checks that the connection is closed with nothing further on it.
func (c client) ended() {
	c.Helper()
	_, err := c.reader.ReadByte()
	c.Equal(err, io.EOF)
}

// eventually waits until the condition holds.
func (s *rig) eventually(limit time.Duration, holds func() bool) {
	s.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end) && !holds(); {
		time.Sleep(time.Millisecond)
	}
	s.True(holds())
}

// has returns a condition: one of the lists of the service has these IDs, in any order.
func (s *rig) has(of *[]string, ids ...string) func() bool {
	return func() bool {
		got := s.ids(of)
		slices.Sort(got)
		return slices.Equal(got, ids)
	}
}
