package endpointhttp

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// Caller implements port.EndpointCaller. It is safe for concurrent use.
type Caller struct {
	opts Options
	// memory is shared by all responses.
	memory  *memory.Budget
	idle    *idleCount
	resends *resendBudget

	mu sync.Mutex
	// pools holds the connections of each endpoint incarnation. Guarded by mu.
	pools map[poolKey]*pool
}

var _ port.EndpointCaller = (*Caller)(nil)

type poolKey struct {
	id          string
	incarnation uint64
	address     string
}

// New returns a Caller.
func New(opts Options) *Caller {
	opts = opts.withDefaults()
	budget := opts.Memory
	if budget == nil {
		budget = memory.NewBudget(opts.MaxHeldBytes)
	}
	idle := &idleCount{}
	idle.limit.Store(opts.MaxIdleConnections)
	return &Caller{opts: opts, memory: budget, idle: idle, resends: newResendBudget(), pools: make(map[poolKey]*pool)}
}

// Call sends req to the endpoint at most once, or, as Options.ResendReset says, twice. A
// once-only request uses a new connection or one that was opened or last delivered a
// response within OnceOnlyMaxIdle; for other requests the limit is IdleTimeout or what
// the endpoint stated. A nil gate is always open. Every error is a *verdict.Error.
func (c *Caller) Call(ctx context.Context, to port.Endpoint, req *port.Request, gate port.Gate) (*port.Response, error) {
	c.resends.count()
	response, x, err := c.send(ctx, to, req, gate, false)
	if err != nil && x != nil && c.mayResend(ctx, req, gate, x) {
		return c.resend(ctx, to, req, err)
	}
	return response, err
}

// send sends req once, if fresh is set on a new connection. The exchange is nil if there
// was none.
func (c *Caller) send(ctx context.Context, to port.Endpoint, req *port.Request, gate port.Gate, fresh bool) (*port.Response, *exchange, error) {
	ctx, cancel := callContext(ctx, req)
	httpReq, err := c.newRequest(ctx, to, req)
	if err != nil {
		cancel()
		return nil, nil, verdict.NewError(verdict.NotRun, verdict.ReasonBadRequest, err)
	}
	p := c.pool(to)
	if err := p.acquire(ctx); err != nil {
		defer cancel()
		return nil, nil, notRun(ctx, verdict.ReasonOverload, err)
	}
	id := httpReq.Header.Get(c.opts.HeaderConvention.IDHeader)
	conn, err := c.connect(ctx, p, req.OnceOnly, fresh, id)
	if err != nil {
		p.release()
		defer cancel()
		return nil, nil, notRun(ctx, verdict.ReasonDial, wrapRefused(err))
	}
	x := c.newExchange(ctx, cancel, p, conn, req, id)
	if gate == nil {
		gate = openGate{}
	}
	if err := gate.Open(); err != nil {
		x.releaseUnsent()
		return nil, nil, err
	}
	response, err := x.run(httpReq, gate)
	return response, x, err
}

// callContext returns the context of a call. Without a deadline, only a stream needs to
// cancel it.
func callContext(ctx context.Context, req *port.Request) (context.Context, context.CancelFunc) {
	switch {
	case !req.Deadline.IsZero():
		return context.WithDeadline(ctx, req.Deadline)
	case req.StreamAfter > 0:
		return context.WithCancel(ctx)
	default:
		return ctx, func() {}
	}
}

// openGate is the gate of a call without one.
type openGate struct{}

func (openGate) Open() error { return nil }
func (openGate) Written()    {}

// connect returns an idle connection that is recent enough and may carry a request with
// the ID, or a new one; if fresh is set, a new one.
func (c *Caller) connect(ctx context.Context, p *pool, onceOnly, fresh bool, id string) (*conn, error) {
	now, origin := c.opts.Clock.Now(), Resent
	if fresh {
		p.fresh(now)
	} else {
		var idle *conn
		if idle, origin = p.reuse(now, c.maxAge(onceOnly), id); idle != nil {
			c.opts.OnConnection(Reused)
			return idle, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	raw, err := c.opts.Dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	c.opts.OnConnection(origin)
	return newConn(raw, c.opts.Clock.Now(), c.opts.IdleTimeout, c.opts.Traffic), nil
}

// maxAge returns how long ago a connection that a request may use was last alive at most.
func (c *Caller) maxAge(onceOnly bool) time.Duration {
	if onceOnly {
		return c.opts.OnceOnlyMaxIdle
	}
	return max(c.opts.IdleTimeout, c.opts.MaxStatedIdle)
}

// pool returns the pool of the endpoint incarnation. When it creates one, it
// closes the pools of the endpoint's other incarnations and addresses.
func (c *Caller) pool(to port.Endpoint) *pool {
	key := poolKey{to.ID, to.Incarnation, to.Address}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[key]; ok {
		return p
	}
	c.forget(to.ID)
	p := newPool(to, c.idle)
	c.pools[key] = p
	return p
}

// Forget closes the idle connections to an endpoint that no longer exists.
// Connections in use are closed when their calls end.
func (c *Caller) Forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(id)
}

// forget closes the pools of an endpoint. The caller must hold mu. Lock order: mu
// is acquired before the mu of a pool.
func (c *Caller) forget(id string) {
	for key, p := range c.pools {
		if key.id == id {
			p.close()
			delete(c.pools, key)
		}
	}
}

// Sweep closes the connections that have been idle for IdleTimeout or what their endpoint
// stated. It should be called about once a second.
func (c *Caller) Sweep() {
	now := c.opts.Clock.Now()
	unusedSince := now.Add(-poolRetention)
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.pools {
		if p.sweep(now, unusedSince) {
			delete(c.pools, key)
		}
	}
}

// Close closes all idle connections. Connections in use are closed when their
// calls end.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.pools {
		p.close()
		delete(c.pools, key)
	}
}

// newRequest builds the HTTP request for the endpoint. It fails if net/http would
// write a target that differs from req.Target.
func (c *Caller) newRequest(ctx context.Context, to port.Endpoint, req *port.Request) (*http.Request, error) {
	if !strings.HasPrefix(req.Target, "/") {
		return nil, errBadTarget
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+to.Address+req.Target, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	if len(req.BodyRest) > 0 {
		out.Body, out.ContentLength, out.GetBody = newBodyReader(req), req.BodyBytes(), nil
	}
	if out.URL.RequestURI() != req.Target {
		return nil, errBadTarget
	}
	out.Header = endToEnd(req.Header)
	c.opts.HeaderConvention.setHeaders(out.Header, to, req)
	if req.Host != "" {
		out.Host = req.Host
	}
	if out.Header.Get("User-Agent") == "" {
		out.Header["User-Agent"] = nil
	}
	return out, nil
}

// newBodyReader returns a reader of a body in several pieces.
func newBodyReader(req *port.Request) io.ReadCloser {
	pieces := []io.Reader{bytes.NewReader(req.Body)}
	for _, p := range req.BodyRest {
		pieces = append(pieces, bytes.NewReader(p))
	}
	return io.NopCloser(io.MultiReader(pieces...))
}

// exchangeID returns the ID that a response must echo. Callers choose their
// request IDs and may choose the same ones, so a random part is added for each
// exchange. An ID with a space or a byte that isn't printable ASCII is replaced by
// a random one.
func exchangeID(id string) string {
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return rand.Text()
		}
	}
	return id + "." + rand.Text()
}
