// Package pipeline decides which of the requests that a client sends on one connection,
// without waiting for their responses, are read, run and answered.
//
// The package has no I/O, goroutine or clock.
package pipeline

const (
	// MaxUnanswered bounds the requests of a connection that are read and unanswered.
	MaxUnanswered = 32
	// MaxHeadBytes is the size of their heads from which on nothing more is read.
	MaxHeadBytes = 256 << 10
	// MaxWaitingBytes is the size of responses that wait for an earlier one from which on
	// nothing more is read. Those that are being run come on top.
	MaxWaitingBytes = 1 << 20
)

// state is the progress of a request.
type state int

const (
	waiting state = iota
	running
	answered
)

// Progress is the part of a request that a Queue needs. Types of requests embed it.
type Progress struct {
	// Concurrent means that the request may run together with others of its connection.
	Concurrent bool
	// HeadBytes is the size of its head.
	HeadBytes int64

	state state
	ahead bool
	// answerBytes is the size of its answer.
	answerBytes int64
}

func (p *Progress) progress() *Progress { return p }

// Ahead reports whether the request was started while earlier ones were unanswered.
func (p *Progress) Ahead() bool { return p.ahead }

// Started reports whether the request was started, also if it is answered by now.
func (p *Progress) Started() bool { return p.state != waiting }

// Answered reports whether the request has its answer.
func (p *Progress) Answered() bool { return p.state == answered }

// Request is a pointer to a type that embeds Progress.
type Request interface{ progress() *Progress }

// Queue holds the requests of a connection that were read and aren't answered, in their
// order. It isn't safe for concurrent use.
type Queue[R Request] struct {
	requests []R
	// writing means that the response of the first one is being written.
	writing bool
	// closing means that no request behind the first one is answered.
	closing, ended bool
}

// Len returns the number of requests in the queue.
func (q *Queue[R]) Len() int { return len(q.requests) }

// Open reports whether further requests may be read at all.
func (q *Queue[R]) Open() bool { return !q.closing && !q.ended }

// Ended reports whether End was called.
func (q *Queue[R]) Ended() bool { return q.ended }

// MayRead reports whether a further request may be read. A planned stop, which stopping
// reports, lets none be read ahead of a response.
func (q *Queue[R]) MayRead(stopping bool) bool {
	if len(q.requests) == 0 {
		return q.Open()
	}
	heads, answers := int64(0), int64(0)
	for i, r := range q.requests {
		heads += r.progress().HeadBytes
		if i > 0 {
			answers += r.progress().answerBytes
		}
	}
	return q.Open() && !stopping && len(q.requests) < MaxUnanswered && heads < MaxHeadBytes && answers < MaxWaitingBytes
}

// HasTurn reports whether a request that must not run beside others may be read whole.
func (q *Queue[R]) HasTurn() bool { return q.Open() && len(q.requests) == 0 }

// AddRunning adds the first request, which is being run.
func (q *Queue[R]) AddRunning(r R) {
	r.progress().state = running
	q.requests = append(q.requests, r)
}

// Add adds a request that was read. It returns false if that is too late: the connection
// is closed before it.
func (q *Queue[R]) Add(r R) bool {
	if !q.Open() {
		return false
	}
	q.requests = append(q.requests, r)
	return true
}

// AddAnswered is Add for a request that has its answer without being run.
func (q *Queue[R]) AddAnswered(r R) bool {
	p := r.progress()
	p.state, p.Concurrent = answered, true
	return q.Add(r)
}

// Start returns the requests that must be started now: the first one and, except in a
// planned stop, those behind it as long as all may run concurrently.
func (q *Queue[R]) Start(stopping bool) []R {
	if !q.Open() {
		return nil
	}
	var out []R
	for i, r := range q.requests {
		p := r.progress()
		if p.state == waiting && (i == 0 || p.Concurrent && !stopping) {
			p.state, p.ahead = running, i > 0
			out = append(out, r)
		}
		if !p.Concurrent {
			break // nothing overtakes it
		}
	}
	return out
}

// Answer records that a request that was started has its answer, of so many bytes. It
// returns false if the connection has ended; the answer is dropped then.
func (q *Queue[R]) Answer(r R, bytes int64) bool {
	if q.ended {
		return false
	}
	p := r.progress()
	p.state, p.answerBytes = answered, bytes
	return true
}

// BeginWrite returns the request whose response must be written now; false if there is
// none or another response is being written.
func (q *Queue[R]) BeginWrite() (r R, ok bool) {
	if q.writing || q.ended || len(q.requests) == 0 || !q.requests[0].progress().Answered() {
		return r, false
	}
	q.writing = true
	return q.requests[0], true
}

// EndWrite takes the request whose response was written out of the queue. It returns
// false if the connection has ended.
func (q *Queue[R]) EndWrite() bool {
	q.writing = false
	if q.ended {
		return false
	}
	var none R
	q.requests[0] = none
	q.requests = q.requests[1:]
	return true
}

// BeginResponse decides, before the head of the response that is being written is sent,
// whether the connection is closed after it. closes means that the response itself asks
// for it. In a planned stop, it is if nothing behind it was started. Then no request
// behind it is started any more, and those returned in canceled must be canceled: the
// client sends all of them again.
func (q *Queue[R]) BeginResponse(stopping, closes bool) (last bool, canceled []R) {
	if stopping && (len(q.requests) < 2 || q.requests[1].progress().state == waiting) {
		closes = true
	}
	if !closes || q.ended {
		return closes, nil
	}
	q.closing = true
	return true, q.requests[1:]
}

// End ends the connection. It returns the requests that must be canceled: all but the one
// whose response is being written. It returns false if the connection has ended already.
func (q *Queue[R]) End() (canceled []R, ok bool) {
	if q.ended {
		return nil, false
	}
	canceled = q.requests
	if q.writing {
		canceled = canceled[1:]
	}
	q.ended, q.requests = true, nil
	return canceled, true
}
