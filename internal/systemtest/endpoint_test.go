package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrasreach/internal/port"
)

// runs counts the executions of each request at all endpoints, by body and URI,
// and those that were moved to another place.
type runs struct {
	mu     sync.Mutex
	counts map[string]int
	moved  []move
}

// move is an execution outside the place of its caller.
type move struct {
	from, to string
	at       time.Time
}

// recordMove records the execution of a request from another place.
func (r *runs) recordMove(from, to string) {
	if from == to || from == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moved = append(r.moved, move{from, to, time.Now()})
}

// maxMovedPerSecond returns the highest number of matching moves within any
// window of one second.
func (r *runs) maxMovedPerSecond(match func(from, to string) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var window []time.Time
	most := 0
	for _, m := range r.moved {
		if !match(m.from, m.to) {
			continue
		}
		window = append(window, m.at)
		for m.at.Sub(window[0]) >= time.Second {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

func (r *runs) add(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[body]++
}

func (r *runs) executions(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[body]
}

// endpoint is a worker in the test process. It answers a request with its body
// and URI.
type endpoint struct {
	t       *testing.T
	runs    *runs
	service string
	place   string
	id      string
	listen  string // address on which it listens
	front   string // address at which the mesh exposes it
	entries []string
	slots   int
	work    time.Duration

	mu             sync.Mutex
	incarnation    uint64
	sequence       uint64
	state          port.EndpointState
	served         int
	paused         bool
	learnedEntries []string // entries named in the last answer to an announcement
	server         *http.Server
	cancel         context.CancelFunc
	slot           chan struct{}
}

// announcePeriod is shorter than that of real endpoints to keep tests short.
const announcePeriod = 250 * time.Millisecond

func (e *endpoint) start() {
	e.t.Helper()
	ln, err := net.Listen("tcp", e.listen)
	if err != nil {
		e.t.Fatalf("endpoint: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	e.incarnation = uint64(time.Now().UnixNano())
	e.state = port.EndpointReady
	e.cancel = cancel
	e.slot = make(chan struct{}, e.slots)
	e.server = &http.Server{Handler: e, ErrorLog: log.New(io.Discard, "", 0)}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	go e.announceLoop(ctx)
	e.t.Cleanup(e.crash)
}

// crash simulates the end of the endpoint's process: its connections break and
// nothing listens on its address any more.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel()
	_ = e.server.Close()
}

// setWork sets the processing time of a request.
func (e *endpoint) setWork(work time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.work = work
}

// setEntries replaces the entries that the endpoint announces to.
func (e *endpoint) setEntries(entries []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries = entries
	e.learnedEntries = nil
}

// leave announces that the endpoint takes no new requests.
func (e *endpoint) leave() {
	e.mu.Lock()
	e.state = port.EndpointLeaving
	e.mu.Unlock()
	e.announce()
}

func (e *endpoint) servedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served
}

func (e *endpoint) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.announce()
		select {
		case <-ctx.Done():
		case <-time.After(announcePeriod):
		}
	}
}

// pauseAnnouncements stops or resumes the periodic announcements.
func (e *endpoint) pauseAnnouncements(paused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = paused
}

// announce sends an announcement to its entries in turn until one accepts it.
func (e *endpoint) announce() {
	e.mu.Lock()
	if e.paused && e.state != port.EndpointLeaving {
		e.mu.Unlock()
		return
	}
	e.sequence++
	report := port.Announcement{
		ID: e.id, Incarnation: e.incarnation, Sequence: e.sequence,
		Service: e.service, Place: e.place, Address: e.front,
		Slots: e.slots, Connections: 650, State: e.state,
	}
	e.mu.Unlock()
	body, _ := json.Marshal(report)
	client := http.Client{Timeout: 300 * time.Millisecond}
	defer client.CloseIdleConnections()
	e.mu.Lock()
	entries := append(slices.Clone(e.entries), e.learnedEntries...)
	e.mu.Unlock()
	for _, entry := range entries {
		request, _ := http.NewRequest(http.MethodPut, "http://"+entry+"/v1/endpoints/"+e.id, bytes.NewReader(body))
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		var answer port.AnnounceAnswer
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK && err == nil {
			e.mu.Lock()
			e.learnedEntries = answer.Entries
			e.mu.Unlock()
			return
		}
	}
}

// ServeHTTP runs one request, or sheds it when all slots are in use.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Sassafrasreach-Request-Id", r.Header.Get("Sassafrasreach-Request-Id"))
	e.mu.Lock()
	slot := e.slot // that of this incarnation, which may end meanwhile
	e.mu.Unlock()
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
	default:
		w.Header().Set("Sassafrasreach-Shed", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	text := digestOf(body) + r.URL.RequestURI()
	e.runs.add(text)
	e.runs.recordMove(r.Header.Get("X-Caller-Place"), e.place)
	e.mu.Lock()
	e.served++
	work := e.work
	e.mu.Unlock()
	if string(body) == "crash" {
		e.crash()
		return
	}
	if strings.HasPrefix(string(body), "drop") && e.runs.executions(text) == 1 {
		panic(http.ErrAbortHandler) // it has run, and its answer is lost
	}
	time.Sleep(work)
	_, _ = fmt.Fprint(w, text)
	if strings.HasPrefix(r.URL.Path, largeAnswerPath) {
		_, _ = w.Write(make([]byte, largeAnswerBytes))
	}
}

const (
	// repeatedBodyBytes is the size of a body up to which the answer repeats it.
	repeatedBodyBytes = 64 << 10
	// largeAnswerPath begins the paths of requests whose answers have largeAnswerBytes more.
	largeAnswerPath  = "/large"
	largeAnswerBytes = 1_000_000
)

// digestOf returns what the answer to a request repeats of its body.
func digestOf(body []byte) string {
	if len(body) > repeatedBodyBytes {
		return fmt.Sprintf("%d bytes ", len(body))
	}
	return string(body)
}
