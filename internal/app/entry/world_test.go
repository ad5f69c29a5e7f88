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
	// settle is the time after which owners are known.
	settle = 6 * time.Second
	// patience is the deadline of a test's requests.
	patience = 2 * time.Second
)

// placeOf tells the entries of the test document.
var placeOf = map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b"}

var errTest = errors.New("fault of the test")

// world is several entries in one process, joined by fakes of their ports.
type world struct {
	t       *testing.T
	ctx     context.Context
	running sync.WaitGroup
	offset  atomic.Int64 // how far the clock has jumped
	minted  atomic.Int64
	calls   *endpointFake
	control *controlFake
	meter   *meterFake

	mu      sync.Mutex
	entries map[string]*Entry // by peer address; those that are reachable
	stops   map[string]context.CancelFunc
	fault   func(f port.Forward) (before, after error)
	// told counts the messages on quarantine by address; the first lose of each
	// are lost, and all heartbeats between places while apart is set.
	told  map[string]int
	lose  int
	apart bool
	// documents stand in for what the peers at these addresses have.
	documents map[string]port.Config
}

// newWorld must be called in a bubble of synctest. It starts no entry.
func newWorld(t *testing.T, config port.Config) *world {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		t:       t,
		ctx:     ctx,
		calls:   &endpointFake{},
		control: &controlFake{answers: map[string]port.FetchAnswer{"c1": {Config: config, Quorum: true}}},
		meter:   &meterFake{moved: make(map[string]int)},
		told:    make(map[string]int),
		entries: make(map[string]*Entry),
		stops:   make(map[string]context.CancelFunc),
	}
	t.Cleanup(func() {
		cancel()
		w.running.Wait()
	})
	return w
}

// settled returns a world of all entries and two endpoints in each place.
func settled(t *testing.T, rules ...document.Rule) *world {
	t.Helper()
	w := newWorld(t, configOf(t, 1, rules...))
	for name := range placeOf {
		w.start(name, 1)
	}
	for _, id := range []string{"a-x", "a-y", "b-x", "b-y"} {
		w.running.Go(func() { w.announce(id) })
	}
	time.Sleep(settle)
	return w
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

// start starts an entry, in place of one of the same name.
func (w *world) start(name string, incarnation uint64, seeds ...string) *Entry {
	e := New(Config{
		Name:        name,
		Place:       placeOf[name],
		Incarnation: incarnation,
		Control:     []string{"c1", "c2"},
		Seeds:       seeds,
	}, Ports{
		Clock:     port.ClockFunc(func() time.Time { return time.Now().Add(time.Duration(w.offset.Load())) }),
		Logger:    slog.New(slog.DiscardHandler),
		Peers:     w,
		Control:   w.control,
		Endpoints: w.calls,
		Meter:     w.meter,
	})
	ctx, cancel := context.WithCancel(w.ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[peerAddress(name)] = e
	w.stops[name] = cancel
	w.running.Go(func() { e.Run(ctx) })
	return e
}

// crash ends an entry and makes it unreachable.
func (w *world) crash(name string) {
	w.unplug(name)
	w.stops[name]()
}

func (w *world) unplug(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.entries, peerAddress(name))
}

func (w *world) entry(name string) *Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[peerAddress(name)]
}

// owner returns the owner of place a's group and another entry of the place.
func (w *world) owner() (owner, other *Entry) {
	for _, name := range []string{"a1", "a2", "a3"} {
		e := w.entry(name)
		if e.members.ownsSelf(e.clock.Now(), groupKey{service, "a"}) {
			owner = e
		} else {
			other = e
		}
	}
	if owner == nil {
		w.t.Fatal("no entry owns the group")
	}
	return owner, other
}

// announce keeps an endpoint known to the entries of its place.
func (w *world) announce(id string) {
	var sequence uint64
	for w.ctx.Err() == nil && !w.calls.isDead(id) {
		sequence++
		for name, place := range placeOf {
			if e := w.entry(name); e != nil && place == id[:1] {
				_, _ = e.Announce(w.ctx, port.Announcement{
					ID: id, Incarnation: 1, Sequence: sequence, Service: service, Place: place,
					Address: "127.0.0.1:3", Slots: 4, Connections: 8, State: port.EndpointReady,
				})
			}
		}
		wait.For(w.ctx, announceInterval)
	}
}

// request returns an idempotent request from place a.
func (w *world) request() *port.Request {
	return &port.Request{
		ID:       fmt.Sprint("id-", w.minted.Add(1)),
		Service:  service,
		Origin:   "a",
		Method:   "GET",
		Target:   fmt.Sprint("/", w.minted.Load()),
		Deadline: time.Now().Add(time.Duration(w.offset.Load())).Add(patience),
	}
}

// once returns a once-only request whose home is e.
func (w *world) once(e *Entry) *port.Request {
	req := w.request()
	req.Method = "POST"
	req.OnceOnly = true
	req.Key = claims.NewToken(e.claims.home, e.clock.Now()) + "." + req.ID
	return req
}

// serve serves a copy of req, as a caller's attempt.
func serve(e *Entry, req *port.Request) port.Answer {
	attempt := *req
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	response, err := e.Serve(ctx, &attempt)
	return port.Answer{Response: response, Err: err}
}

// resend is serve with a new deadline.
func (w *world) resend(e *Entry, req *port.Request) port.Answer {
	again := *req
	again.Deadline = w.request().Deadline
	return serve(e, &again)
}

func failure(v verdict.Verdict, reason verdict.Reason, cause error) port.Answer {
	return port.Answer{Err: verdict.NewError(v, reason, cause)}
}

func (w *world) Heartbeat(_ context.Context, address string, hb membership.Heartbeat) (membership.Heartbeat, error) {
	w.mu.Lock()
	cut := w.apart && address[:len("127.0.97")] != peerAddress(hb.From)[:len("127.0.97")]
	w.mu.Unlock()
	if cut {
		return membership.Heartbeat{}, errTest
	}
	return at(w, address, func(e *Entry) membership.Heartbeat { return e.HandleHeartbeat(hb) })
}

func (w *world) Announce(_ context.Context, address string, batch []port.Announcement) error {
	_, err := at(w, address, func(e *Entry) bool { e.HandleAnnounce(batch); return true })
	return err
}

func (w *world) FetchDocument(_ context.Context, address string, have uint64) (port.Config, error) {
	w.mu.Lock()
	config, ok := w.documents[address]
	w.mu.Unlock()
	if ok {
		return config, nil
	}
	return at(w, address, func(e *Entry) port.Config { return e.HandleFetchDocument(have) })
}

func (w *world) HandOver(_ context.Context, address string, h claims.HandOver) error {
	_, err := at(w, address, func(e *Entry) bool { e.HandleHandOver(h); return true })
	return err
}

func (w *world) Quarantine(ctx context.Context, address string, rows []port.QuarantineRow) ([]port.QuarantineRow, error) {
	w.mu.Lock()
	w.told[address]++
	lost := w.told[address] <= w.lose
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return at(w, address, func(e *Entry) []port.QuarantineRow { return e.HandleQuarantine(rows) })
}

func (w *world) Borrow(_ context.Context, address string, r port.LoanRequest) (port.LoanGrant, error) {
	return at(w, address, func(e *Entry) port.LoanGrant { return e.HandleBorrow(r) })
}

// Forward fails as the fault wants before or after the peer's work. A peer that
// can't be reached is NotRun, as with the real client.
func (w *world) Forward(ctx context.Context, address string, f port.Forward) (*port.Response, error) {
	w.mu.Lock()
	e, fault := w.entries[address], w.fault
	w.mu.Unlock()
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

// at calls the entry at an address.
func at[T any](w *world, address string, do func(*Entry) T) (T, error) {
	w.mu.Lock()
	e := w.entries[address]
	w.mu.Unlock()
	if e == nil {
		var none T
		return none, port.ErrPeerUnreachable
	}
	return do(e), nil
}

// endpointFake counts calls; call decides on the nth one, from 1.
type endpointFake struct {
	dial time.Duration // the time before anything is written

	mu    sync.Mutex
	count int
	call  func(n int, to port.Endpoint) port.Answer
	dead  map[string]bool
	probe error // what a probe of a dead endpoint finds
}

// crash makes every call end its endpoint.
func (f *endpointFake) crash(probe error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead, f.probe = make(map[string]bool), probe
	f.call = func(_ int, to port.Endpoint) port.Answer {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.dead[to.ID] = true
		return connection.answer
	}
}

func (f *endpointFake) isDead(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dead[id]
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
		if answer := call(n, to); answer.Err != nil {
			return nil, answer.Err
		}
	}
	return &port.Response{Status: 200, Body: fmt.Append(nil, "run ", n)}, nil
}

func (f *endpointFake) Probe(_ context.Context, to port.Endpoint) error {
	if f.isDead(to.ID) {
		return f.probe
	}
	return nil
}

func (f *endpointFake) ran() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// controlFake answers as the control VM at each address; one without an answer
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

// meterFake counts what rules let through.
type meterFake struct {
	mu    sync.Mutex
	moved map[string]int
}

func (m *meterFake) Moved(rule string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moved[rule]++
}

func (m *meterFake) Request(string, verdict.Verdict, verdict.Reason, time.Duration) {}
func (m *meterFake) Group(string, string, int, int, int)                            {}
func (m *meterFake) Version(uint64)                                                 {}
func (m *meterFake) Quarantined(int)                                                {}
func (m *meterFake) Drained(time.Duration)                                          {}
