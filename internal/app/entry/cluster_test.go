package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/membership"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	service = "svc"
	// settleTime is the time after which group owners are known.
	settleTime = 6 * time.Second
	// requestTimeout is the time until the deadline of the requests of tests.
	requestTimeout = 2 * time.Second
)

// placeOf maps the entries of the test document to their places.
var placeOf = map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b"}

var errTest = errors.New("fault of the test")

// testCluster runs several entries in one process, connected by fakes of their
// ports.
type testCluster struct {
	t           *testing.T
	ctx         context.Context
	running     sync.WaitGroup
	clockOffset atomic.Int64 // nanoseconds by which the clock is ahead
	requests    atomic.Int64
	calls       *endpointFake
	control     *controlFake
	meter       *meterFake

	mu      sync.Mutex
	entries map[string]*Entry // the reachable entries, by peer address
	stops   map[string]context.CancelFunc
	fault   func(f port.Forward) (before, after error)
	// quarantineMessages counts the quarantine messages by address. The first
	// dropFirst of each are lost, and so are all heartbeats between places
	// while partitioned is set.
	quarantineMessages map[string]int
	dropFirst          int
	partitioned        bool
	// documents are returned by the peers at these addresses instead of their
	// own.
	documents map[string]port.Config
	// handOver is called before each hand-over; nil does nothing.
	handOver func()
}

// newTestCluster must be called in a synctest bubble. It starts no entry.
func newTestCluster(t *testing.T, config port.Config) *testCluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	tc := &testCluster{
		t:                  t,
		ctx:                ctx,
		calls:              &endpointFake{},
		control:            &controlFake{answers: map[string]port.FetchAnswer{"c1": {Config: config, Quorum: true}}},
		meter:              &meterFake{moved: make(map[string]int)},
		quarantineMessages: make(map[string]int),
		entries:            make(map[string]*Entry),
		stops:              make(map[string]context.CancelFunc),
	}
	t.Cleanup(func() {
		cancel()
		tc.running.Wait()
	})
	return tc
}

// startTestCluster returns a cluster of all entries and two endpoints in each
// place, after settleTime.
func startTestCluster(t *testing.T, rules ...document.Rule) *testCluster {
	t.Helper()
	tc := newTestCluster(t, configOf(t, 1, rules...))
	for name := range placeOf {
		tc.start(name, 1)
	}
	for _, id := range []string{"a-x", "a-y", "b-x", "b-y"} {
		tc.running.Go(func() { tc.announce(id) })
	}
	time.Sleep(settleTime)
	return tc
}

func peerAddress(name string) string { return fmt.Sprintf("127.0.%d.%d:2", name[0], name[1]) }

func configOf(t *testing.T, version uint64, rules ...document.Rule) port.Config {
	t.Helper()
	doc := &document.Document{Regions: []document.Region{{Name: "r"}}, Rules: rules}
	doc.Operators = []document.Operator{{Name: "o", TokenSHA256: document.Digest([]byte("o"))}}
	for _, place := range []string{"a", "b"} {
		p := document.Place{Name: place, Region: "r"}
		for _, name := range []string{"a1", "a2", "a3", "b1"} {
			if placeOf[name] == place {
				caller := fmt.Sprintf("127.1.%d.%d:1", name[0], name[1])
				p.Entries = append(p.Entries, document.Entry{Name: name, Caller: caller, Peer: peerAddress(name)})
			}
		}
		doc.Places = append(doc.Places, p)
	}
	s := document.NewService()
	s.Name, s.Places, s.Workers, s.Slots, s.Connections = service, []string{"a", "b"}, 4, 4, 8
	doc.Services = []document.Service{s}
	text, err := document.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := document.ParseValid(text); err != nil {
		t.Fatal(err)
	}
	return port.Config{Version: version, Digest: document.Digest(text), Document: text}
}

// start starts an entry, which replaces one of the same name.
func (tc *testCluster) start(name string, incarnation uint64, seeds ...string) *Entry {
	e := New(Config{
		Name:        name,
		Place:       placeOf[name],
		Incarnation: incarnation,
		Control:     []string{"c1", "c2"},
		Seeds:       seeds,
	}, Ports{
		Clock:     port.ClockFunc(func() time.Time { return time.Now().Add(time.Duration(tc.clockOffset.Load())) }),
		Logger:    slog.New(slog.DiscardHandler),
		Peers:     tc,
		Control:   tc.control,
		Endpoints: tc.calls,
		Meter:     tc.meter,
	})
	ctx, cancel := context.WithCancel(tc.ctx)
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.entries[peerAddress(name)] = e
	tc.stops[name] = cancel
	tc.running.Go(func() { e.Run(ctx) })
	return e
}

// crash stops an entry and makes it unreachable.
func (tc *testCluster) crash(name string) {
	tc.disconnect(name)
	tc.stops[name]()
}

func (tc *testCluster) disconnect(name string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	delete(tc.entries, peerAddress(name))
}

func (tc *testCluster) entry(name string) *Entry {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.entries[peerAddress(name)]
}

// owner returns the owner of place a's group and another entry of the place.
func (tc *testCluster) owner() (owner, other *Entry) {
	for _, name := range []string{"a1", "a2", "a3"} {
		e := tc.entry(name)
		if e.members.ownsSelf(e.clock.Now(), groupKey{service, "a"}) {
			owner = e
		} else {
			other = e
		}
	}
	if owner == nil {
		tc.t.Fatal("no entry owns the group")
	}
	return owner, other
}

// announce keeps announcing an endpoint to the entries of its place until it
// crashes.
func (tc *testCluster) announce(id string) {
	var sequence uint64
	for tc.ctx.Err() == nil && !tc.calls.hasCrashed(id) {
		sequence++
		for name, place := range placeOf {
			if e := tc.entry(name); e != nil && place == id[:1] {
				_, _ = e.Announce(tc.ctx, port.Announcement{
					ID: id, Incarnation: 1, Sequence: sequence, Service: service, Place: place,
					Address: "127.0.0.1:3", Slots: 4, Connections: 8, State: port.EndpointReady,
				})
			}
		}
		wait.For(tc.ctx, announceInterval)
	}
}

// request returns an idempotent request from place a.
func (tc *testCluster) request() *port.Request {
	return &port.Request{
		ID:       fmt.Sprint("id-", tc.requests.Add(1)),
		Service:  service,
		Origin:   "a",
		Method:   "GET",
		Target:   fmt.Sprint("/", tc.requests.Load()),
		Deadline: time.Now().Add(time.Duration(tc.clockOffset.Load())).Add(requestTimeout),
	}
}

// once returns a once-only request whose coordinator is e.
func (tc *testCluster) once(e *Entry) *port.Request {
	req := tc.request()
	req.Method = "POST"
	req.OnceOnly = true
	req.Key = claims.NewToken(e.claims.self, e.clock.Now()) + "." + req.ID
	return req
}

// serve serves a copy of req, as one attempt of a caller.
func serve(e *Entry, req *port.Request) port.Answer {
	attempt := *req
	ctx, cancel := context.WithTimeout(context.Background(), 2*requestTimeout)
	defer cancel()
	response, err := e.Serve(ctx, &attempt)
	return port.Answer{Response: response, Err: err}
}

// resend serves a copy of req with a new deadline.
func (tc *testCluster) resend(e *Entry, req *port.Request) port.Answer {
	again := *req
	again.Deadline = tc.request().Deadline
	return serve(e, &again)
}

func failure(v verdict.Verdict, reason verdict.Reason, cause error) port.Answer {
	return port.Answer{Err: verdict.NewError(v, reason, cause)}
}

func (tc *testCluster) Heartbeat(_ context.Context, address string, hb membership.Heartbeat) (membership.Heartbeat, error) {
	tc.mu.Lock()
	cut := tc.partitioned && address[:len("127.0.97")] != peerAddress(hb.From)[:len("127.0.97")]
	tc.mu.Unlock()
	if cut {
		return membership.Heartbeat{}, errTest
	}
	return at(tc, address, func(e *Entry) membership.Heartbeat { return e.HandleHeartbeat(hb) })
}

func (tc *testCluster) Announce(_ context.Context, address string, batch []port.Announcement) error {
	_, err := at(tc, address, func(e *Entry) bool { e.HandleAnnounce(batch); return true })
	return err
}

func (tc *testCluster) FetchDocument(_ context.Context, address string, currentVersion uint64) (port.Config, error) {
	tc.mu.Lock()
	config, ok := tc.documents[address]
	tc.mu.Unlock()
	if ok {
		return config, nil
	}
	return at(tc, address, func(e *Entry) port.Config { return e.HandleFetchDocument(currentVersion) })
}

func (tc *testCluster) HandOver(_ context.Context, address string, h claims.HandOver) error {
	if tc.handOver != nil {
		tc.handOver()
	}
	_, err := at(tc, address, func(e *Entry) bool { e.HandleHandOver(h); return true })
	return err
}

func (tc *testCluster) Quarantine(ctx context.Context, address string, rows []port.QuarantineRow) ([]port.QuarantineRow, error) {
	tc.mu.Lock()
	tc.quarantineMessages[address]++
	lost := tc.quarantineMessages[address] <= tc.dropFirst
	tc.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return at(tc, address, func(e *Entry) []port.QuarantineRow { return e.HandleQuarantine(rows) })
}

func (tc *testCluster) Borrow(_ context.Context, address string, r port.LoanRequest) (port.LoanGrant, error) {
	return at(tc, address, func(e *Entry) port.LoanGrant { return e.HandleBorrow(r) })
}

// Forward fails with the errors of fault, before or after the peer ran the
// request. A peer that is unreachable is NotRun, as with the real client.
func (tc *testCluster) Forward(ctx context.Context, address string, f port.Forward) (*port.Response, error) {
	tc.mu.Lock()
	e, fault := tc.entries[address], tc.fault
	tc.mu.Unlock()
	var before, after error
	if fault != nil {
		before, after = fault(f)
	}
	if e == nil {
		before = verdict.NewError(verdict.NotRun, verdict.ReasonPeer, port.ErrPeerUnreachable)
	}
	if before != nil {
		return nil, before
	}
	request := *f.Request
	f.Request = &request
	response, err := e.HandleForward(ctx, f)
	if after != nil {
		return nil, after
	}
	return response, err
}

// at calls do with the entry at an address.
func at[T any](tc *testCluster, address string, do func(*Entry) T) (T, error) {
	tc.mu.Lock()
	e := tc.entries[address]
	tc.mu.Unlock()
	if e == nil {
		var none T
		return none, port.ErrPeerUnreachable
	}
	return do(e), nil
}

// endpointFake counts endpoint calls; call returns the result of the nth one,
// from 1.
type endpointFake struct {
	dial time.Duration // the time before the request is written

	mu      sync.Mutex
	count   int
	call    func(n int, to port.Endpoint) port.Answer
	crashed map[string]bool
	probe   error // result of probing a crashed endpoint
}

// crash makes every call crash its endpoint.
func (f *endpointFake) crash(probe error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed, f.probe = make(map[string]bool), probe
	f.call = func(_ int, to port.Endpoint) port.Answer {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.crashed[to.ID] = true
		return connectionLost.answer
	}
}

func (f *endpointFake) hasCrashed(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed[id]
}

func (f *endpointFake) Call(_ context.Context, to port.Endpoint, _ *port.Request, gate port.Gate) (*port.Response, error) {
	time.Sleep(f.dial)
	if gate != nil {
		if err := gate.Open(); err != nil {
			return nil, err
		}
		gate.Written()
	}
	f.mu.Lock()
	f.count++
	n, call := f.count, f.call
	f.mu.Unlock()
	if call != nil {
		if answer := call(n, to); answer.Err != nil || answer.Response != nil {
			return answer.Response, answer.Err
		}
	}
	return &port.Response{Status: 200, Body: fmt.Append(nil, "run ", n)}, nil
}

func (f *endpointFake) Probe(_ context.Context, to port.Endpoint) error {
	if f.hasCrashed(to.ID) {
		return f.probe
	}
	return nil
}

func (f *endpointFake) ran() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// controlFake answers for the control VM at each address; one without an answer
// is unreachable.
type controlFake struct {
	mu      sync.Mutex
	answers map[string]port.FetchAnswer
}

func (f *controlFake) Fetch(_ context.Context, address string, _ port.FetchQuery) (port.FetchAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer, ok := f.answers[address]
	if !ok {
		return port.FetchAnswer{}, errTest
	}
	return answer, nil
}

func (f *controlFake) set(answers map[string]port.FetchAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers = answers
}

// meterFake counts the requests that each rule let through.
type meterFake struct {
	mu    sync.Mutex
	moved map[string]int
}

func (m *meterFake) RecordCrossing(rule string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moved[rule]++
}

func (m *meterFake) RecordRequest(string, verdict.Verdict, verdict.Reason, time.Duration) {}
func (m *meterFake) SetGroup(string, string, int, int, int)                               {}
func (m *meterFake) SetVersion(uint64)                                                    {}
func (m *meterFake) SetQuarantined(int)                                                   {}
func (m *meterFake) RecordDrain(time.Duration)                                            {}
