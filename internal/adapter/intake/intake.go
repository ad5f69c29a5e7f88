// Package intake reads the bodies of requests of clients that aren't trusted. The bytes
// are charged to the process's budget as they arrive: what is only announced takes
// nothing. A body has to arrive at a least rate and within a time, and a body that stands
// still makes room for others when the budget is full.
package intake

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/port"
)

const (
	// leastBytes have to arrive within leastWindow, until the end of the body. The time
	// is longer than a link is usually cut off.
	leastBytes  = 8 << 10
	leastWindow = 4 * time.Second
	// maxBodyTime bounds the time of a whole body, if the request names no deadline or a
	// later one.
	maxBodyTime = 2 * time.Minute
	// firstPartBytes and maxPartBytes bound the memory that is taken before the bytes for
	// it have arrived; a part is at most a quarter of what has arrived before.
	firstPartBytes, maxPartBytes = 4 << 10, 1 << 20
	partShare                    = 4
	// quietFor is the time for leastBytes after which a body makes room for others.
	quietFor = time.Second
	// stopTime is how long a body may take once the process stops.
	stopTime = 500 * time.Millisecond
	// roomWait is how long a body waits for the room that another one makes.
	roomWait = 100 * time.Millisecond
	roomPoll = 5 * time.Millisecond
)

var (
	// ErrTooLarge means that a body is longer than permitted.
	ErrTooLarge = errors.New("body too large")
	// ErrSlow means that a body didn't arrive at the least rate or in time.
	ErrSlow = errors.New("body arrives too slowly")
	// ErrMemory means that the process has no memory left for the body.
	ErrMemory = errors.New("no memory is left for the body")
	// ErrStopping means that the process ends before the body has arrived.
	ErrStopping = errors.New("the process stops")
)

// Intake reads bodies. It is safe for concurrent use. A nil Intake bounds only the size
// of each.
type Intake struct {
	budget *memory.Budget
	kind   memory.Kind
	clock  port.Clock

	mu sync.Mutex
	// unfinished holds the bodies that are being read. Guarded by mu.
	unfinished map[*reading]struct{}
	// stopped is true once bodies have only stopTime. Guarded by mu.
	stopped bool
}

// Largest returns the bytes that a single body, with what is made of it, can take at most.
func (in *Intake) Largest() int64 {
	if in == nil || in.budget == nil {
		return math.MaxInt64
	}
	return in.budget.Largest()
}

// New returns an Intake that charges bodies to a budget.
func New(budget *memory.Budget, kind memory.Kind, clock port.Clock) *Intake {
	return &Intake{budget: budget, kind: kind, clock: clock, unfinished: make(map[*reading]struct{})}
}

// Body is a body that has arrived.
type Body struct {
	// Parts are its bytes; none is empty.
	Parts   [][]byte
	account *memory.Account
	done    bool
}

// Size returns the number of its bytes.
func (b *Body) Size() int64 {
	n := int64(0)
	for _, p := range b.Parts {
		n += int64(len(p))
	}
	return n
}

// Join returns the body in one piece. It fails if the budget doesn't have another copy of
// it, and times as much for decoding it.
func (b *Body) Join(times int64) ([]byte, error) {
	if len(b.Parts) == 0 {
		return nil, nil
	}
	size := b.Size()
	if size > memory.SmallBytes && !b.account.Take(size*(1+times)) {
		return nil, ErrMemory
	}
	if len(b.Parts) == 1 {
		return b.Parts[0], nil
	}
	whole := make([]byte, 0, size)
	for _, p := range b.Parts {
		whole = append(whole, p...)
	}
	b.account.Return(size) // the parts
	b.Parts = [][]byte{whole}
	return whole, nil
}

// Reserve charges what is made of the body, until Done. It fails if the budget doesn't have
// that.
func (b *Body) Reserve(bytes int64) error {
	if !b.account.Take(bytes) {
		return ErrMemory
	}
	return nil
}

// Retain keeps its memory charged until release is called, if that is later than Done.
func (b *Body) Retain() (release func()) {
	b.account.Retain()
	return b.account.Close
}

// Done gives its memory back, unless it is retained; the bytes must not be used any more. It
// may be called again.
func (b *Body) Done() {
	if b.done {
		return
	}
	b.done = true
	b.account.Close()
	b.Parts = nil
}

// reading is a body that is being read. Its fields are guarded by the mu of the Intake.
type reading struct {
	control *http.ResponseController
	account *memory.Account
	// began is when it began; until bounds its time.
	began, until time.Time
	// windowBegan is when the time for the next leastBytes began, and window counts those
	// that have arrived.
	windowBegan time.Time
	window      int64
	// ended is the error of a body that is no longer waited for; nil before.
	ended error
}

// Read reads the body of a request, of at most maxBytes. A deadline that isn't zero bounds
// its time, too. After an error, which may wrap one of this package, the request must be
// answered by Refuse.
func (in *Intake) Read(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) (*Body, error) {
	if r.ContentLength > maxBytes {
		return nil, fmt.Errorf("%w: %d bytes, %d are permitted", ErrTooLarge, r.ContentLength, maxBytes)
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &Body{account: (*memory.Budget)(nil).Open()}, nil
	}
	if in == nil {
		in = unbounded()
	}
	x := in.begin(w, deadline)
	body, err := in.readAll(x, r, maxBytes)
	if err = in.finish(x, err); err != nil {
		x.account.Close()
		return nil, err
	}
	return body, nil
}

// Skip reads the body of a request that was answered without it, so that the next request on
// the connection is found where it begins. The body has the time that Read gives it. After an
// error the connection is closed once the handler returns.
func (in *Intake) Skip(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	if in == nil {
		in = unbounded()
	}
	x := in.begin(w, deadline)
	defer x.account.Close()
	_, err := io.Copy(skipped{in, x}, r.Body)
	if in.finish(x, err) != nil {
		// net/http would take the rest of the body for the next request.
		closeConnection(w)
	}
}

// skipped counts the bytes of a body that is skipped.
type skipped struct {
	intake *Intake
	body   *reading
}

// Write implements io.Writer.
func (s skipped) Write(p []byte) (int, error) {
	s.intake.arrived(s.body, len(p))
	return len(p), nil
}

// unbounded returns an Intake without a budget.
func unbounded() *Intake {
	return &Intake{clock: port.ClockFunc(time.Now), unfinished: make(map[*reading]struct{})}
}

// readAll reads the parts of a body until its end.
func (in *Intake) readAll(x *reading, r *http.Request, maxBytes int64) (*Body, error) {
	body := &Body{account: x.account}
	total := int64(0)
	for {
		part, err := in.newPart(x, total, r.ContentLength)
		if err != nil {
			return nil, err
		}
		filled := 0
		for filled < len(part) {
			n, err := r.Body.Read(part[filled:])
			filled, total = filled+n, total+int64(n)
			if total > maxBytes {
				return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, maxBytes)
			}
			if errors.Is(err, io.EOF) {
				body.add(part[:filled])
				return body, nil
			}
			if err != nil {
				return nil, err
			}
			in.arrived(x, n)
		}
		body.add(part)
	}
}

func (b *Body) add(part []byte) {
	if len(part) > 0 {
		b.Parts = append(b.Parts, part)
	}
}

// begin makes a body known to Sweep.
func (in *Intake) begin(w http.ResponseWriter, deadline time.Time) *reading {
	now := in.clock.Now()
	x := &reading{
		control: http.NewResponseController(w), account: in.budget.OpenFor(in.kind),
		began: now, until: now.Add(maxBodyTime), windowBegan: now,
	}
	if !deadline.IsZero() && deadline.Before(x.until) {
		x.until = deadline
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.unfinished[x] = struct{}{}
	return x
}

// finish ends the reading of a body with an error or nil, and returns why it failed.
func (in *Intake) finish(x *reading, err error) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.unfinished, x)
	if x.ended != nil {
		return x.ended
	}
	return err
}

// arrived records that bytes have arrived.
func (in *Intake) arrived(x *reading, n int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if x.window += int64(n); x.window >= leastBytes {
		x.window, x.windowBegan = 0, in.clock.Now()
	}
}

// Sweep ends the bodies that arrive too slowly. It should be called about once a second.
// Bodies that arrive at once, as most do, so need no timer.
func (in *Intake) Sweep() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.sweep()
}

// sweep is Sweep. Must hold mu.
func (in *Intake) sweep() {
	now := in.clock.Now()
	for x := range in.unfinished {
		switch {
		case x.ended != nil:
		case in.stopped && now.Sub(x.began) >= stopTime:
			in.end(x, ErrStopping)
		case now.After(x.until) || now.Sub(x.windowBegan) >= leastWindow:
			in.end(x, ErrSlow)
		}
	}
}

// newPart returns memory for the next bytes of a body of which total have arrived. length
// is what was announced, negative if nothing.
func (in *Intake) newPart(x *reading, total, length int64) ([]byte, error) {
	size := min(max(firstPartBytes, total/partShare), maxPartBytes)
	if length >= 0 {
		size = min(size, max(length-total, 0)+1) // the last byte shows the end
	}
	if x.account.Take(size) {
		return make([]byte, size), nil
	}
	if !in.makeRoom(x) {
		return nil, ErrMemory
	}
	for waited := time.Duration(0); waited < roomWait; waited += roomPoll {
		time.Sleep(roomPoll)
		if x.account.Take(size) {
			return make([]byte, size), nil
		}
	}
	return nil, ErrMemory
}

// makeRoom ends the largest other body that is quiet, if it is larger than x.
func (in *Intake) makeRoom(x *reading) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	var largest *reading
	most := x.account.Held()
	for o := range in.unfinished {
		if held := o.account.Held(); o != x && o.ended == nil && held > most && in.quiet(o) {
			largest, most = o, held
		}
	}
	if largest != nil {
		in.end(largest, ErrMemory)
	}
	return largest != nil
}

// quiet reports whether a body stands still, or arrives too slowly to keep its place while
// others need it. Must hold mu.
func (in *Intake) quiet(x *reading) bool { return in.clock.Now().Sub(x.windowBegan) >= quietFor }

// end lets the reading of a body fail. Must hold mu.
func (in *Intake) end(x *reading, why error) {
	x.ended = why
	_ = x.control.SetReadDeadline(time.Unix(1, 0))
}

// MakeRoom ends the unfinished body that has been quiet for longest, so that its
// connection is closed. It returns false if there is none.
func (in *Intake) MakeRoom() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	var oldest *reading
	for o := range in.unfinished {
		if o.ended == nil && in.quiet(o) && (oldest == nil || o.windowBegan.Before(oldest.windowBegan)) {
			oldest = o
		}
	}
	if oldest != nil {
		in.end(oldest, ErrMemory)
	}
	return oldest != nil
}

// Stop ends the bodies that take longer than stopTime, also those that come later, so that
// they don't delay the end of the process.
func (in *Intake) Stop() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stopped = true
	in.sweep()
}

// ignoredBodyTime is how long the server may read a body that its handler doesn't read,
// after the response, so that the connection can be used again.
const ignoredBodyTime = time.Second

// Ignore bounds the time of a body that isn't going to be read. Without it the server would
// wait for up to 256 KiB of it.
func Ignore(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(ignoredBodyTime))
	}
}

// IgnoreBodies returns a handler of requests whose bodies aren't read.
func IgnoreBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Ignore(w, r)
		h.ServeHTTP(w, r)
	})
}

// Expect undoes Ignore, for a body that is read after all.
func Expect(w http.ResponseWriter) { _ = http.NewResponseController(w).SetReadDeadline(time.Time{}) }

// retryAfter is the Retry-After, in seconds, of a response to a request for which there
// was no memory. Clients honor up to a third of their remaining time.
const retryAfter = "0.500"

// Classify returns the status of the response to a body that couldn't be read, and the
// reason for metrics, which is empty if the client's connection broke.
func Classify(err error) (status int, reason string) {
	var broken net.Error
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge, "too-large"
	case errors.Is(err, ErrSlow):
		return http.StatusRequestTimeout, "slow"
	case errors.Is(err, ErrMemory), errors.Is(err, ErrStopping):
		return http.StatusServiceUnavailable, "memory"
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &broken):
		return http.StatusBadRequest, "" // the client left
	default:
		return http.StatusBadRequest, "malformed"
	}
}

// Refuse answers a request whose body couldn't be read, with a text. The request hasn't
// run. It returns the reason of Classify.
func Refuse(w http.ResponseWriter, err error, text string) (reason string) {
	status, reason := Classify(err)
	CloseAfter(w, func() {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", retryAfter)
		}
		if text != "" {
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	})
	return reason
}

// CloseAfter closes the connection after a response, since the rest of the request's body
// isn't read. The server would read it, for as long as it takes.
func CloseAfter(w http.ResponseWriter, respond func()) {
	w.Header().Set("Connection", "close")
	w.Header().Del("Keep-Alive")
	respond()
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

// closeConnection makes net/http close the connection once the handler returns, also if
// the response has been written without saying so.
func closeConnection(w http.ResponseWriter) {
	// MaxBytesReader tells the server to close the connection when its limit is exceeded.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}
