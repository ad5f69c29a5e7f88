package endpointhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sassafrasreach/internal/adapter/httpstatus"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// exchange is one request and its response on one connection.
type exchange struct {
	caller *Caller
	ctx    context.Context
	cancel context.CancelFunc
	pool   *pool
	conn   *conn
	req    *port.Request
	// id is the request ID that the response must echo.
	id string
	// account holds the memory of the response.
	account *memory.Account
	// stopWatch stops watching ctx; it returns false if ctx ended first, and the
	// connection's deadline may then have been set to the past.
	stopWatch func() bool
	// resetBeforeResponse is set if the exchange failed because its reused connection was
	// closed or reset before any byte of a response.
	resetBeforeResponse bool
}

func (c *Caller) newExchange(ctx context.Context, cancel context.CancelFunc, p *pool, cn *conn, req *port.Request, id string) *exchange {
	x := &exchange{caller: c, ctx: ctx, cancel: cancel, pool: p, conn: cn, req: req, id: id, account: c.memory.Open()}
	x.stopWatch = context.AfterFunc(ctx, func() {
		_ = cn.SetDeadline(time.Unix(1, 0))
	})
	return x
}

// run writes the request and reads its response.
func (x *exchange) run(out *http.Request, gate port.Gate) (*port.Response, error) {
	errWrite := x.write(out)
	if errWrite == nil {
		gate.Written()
	}
	out.Body, out.GetBody = nil, nil // a streamed response refers to the request for long
	if errWrite != nil && !x.mayHaveResponse() {
		return nil, x.fail(verdict.ReasonConnection, errWrite)
	}
	in, err := x.readHead(out)
	if errWrite != nil && err != nil {
		return nil, x.fail(verdict.ReasonConnection, errWrite)
	}
	if err != nil {
		return nil, x.fail(classifyHeadError(err), err)
	}
	in.close = in.close || errWrite != nil
	if err := x.check(in); err != nil {
		return nil, x.fail(verdict.ReasonBadAnswer, err)
	}
	if x.caller.opts.HeaderConvention.NotRun(in.status, in.header) {
		return nil, x.finishShed(in)
	}
	return x.readBody(in)
}

// write sends the request. It sends nothing if ctx has already ended.
func (x *exchange) write(out *http.Request) error {
	x.conn.written, x.conn.input.received = 0, 0
	if err := x.ctx.Err(); err != nil {
		return err
	}
	if err := out.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// mayHaveResponse reports whether to read a response although the request could
// not be sent completely: an endpoint may respond and close the connection before
// it has read a large body. It limits the time to read the response to
// earlyResponseWait.
func (x *exchange) mayHaveResponse() bool {
	if x.conn.written == 0 || x.ctx.Err() != nil {
		return false
	}
	return x.conn.SetReadDeadline(time.Now().Add(earlyResponseWait)) == nil && x.ctx.Err() == nil
}

// readHead reads the head of the final response and skips interim responses
// (RFC 9110, section 15.2). An invalid status ends the exchange: nothing is known about
// what such a response means, so the request may have run.
func (x *exchange) readHead(out *http.Request) (*response, error) {
	x.conn.limitHead(x.account)
	for range maxInterim {
		in, err := http.ReadResponse(x.conn.reader, out)
		if err != nil {
			return nil, errors.Join(err, x.conn.input.err)
		}
		if err := httpstatus.Check(in); err != nil {
			return nil, err
		}
		if in.StatusCode >= http.StatusOK {
			x.conn.removeLimit()
			return newResponse(in), nil
		}
		_ = in.Body.Close()
		if in.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("%w: %d", ErrUnexpectedStatus, in.StatusCode)
		}
	}
	return nil, fmt.Errorf("%w: no final response after %d interim responses", ErrUnexpectedStatus, maxInterim)
}

// classifyHeadError classifies a failure to read the head of a response:
// ReasonConnection for a closed connection or a network error, otherwise
// ReasonBadAnswer.
func classifyHeadError(err error) verdict.Reason {
	var timeout interface{ Timeout() bool }
	if ConnectionReset(err) || errors.As(err, &timeout) {
		return verdict.ReasonConnection
	}
	return verdict.ReasonBadAnswer
}

// check returns an error unless the response echoes the request's ID, passes
// the header convention's check, has a detectable end and declares a length
// within the limit.
func (x *exchange) check(in *response) error {
	ids := in.header[http.CanonicalHeaderKey(x.caller.opts.HeaderConvention.IDHeader)]
	if len(ids) != 1 || ids[0] != x.id {
		return fmt.Errorf("%w: %.80q", ErrRequestIDMismatch, ids)
	}
	if check := x.caller.opts.HeaderConvention.Check; check != nil {
		if err := check(in.status, in.header); err != nil {
			return &port.AnsweredError{Err: err, Signals: x.caller.opts.HeaderConvention.signals(in)}
		}
	}
	if !in.framed {
		return ErrUnframed
	}
	if in.length > x.maxBytes() {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, in.length)
	}
	return nil
}

func (x *exchange) maxBytes() int64 {
	if x.req.MaxAnswerBytes <= 0 {
		return x.caller.opts.MaxBufferedBytes
	}
	return x.req.MaxAnswerBytes
}

func isShed(status int, h http.Header) bool {
	values := h[HeaderShed]
	return status == http.StatusServiceUnavailable && len(values) == 1 && values[0] == shedValue
}

// finishShed ends the exchange of a request that the endpoint refused to run, and
// returns the error for it. If the refusal's body isn't complete within
// shedBodyWait, the connection isn't reused.
func (x *exchange) finishShed(in *response) error {
	err := x.conn.SetReadDeadline(time.Now().Add(shedBodyWait))
	n := int64(0)
	if err == nil {
		n, err = io.Copy(io.Discard, io.LimitReader(in.body, maxShedBytes+1))
	}
	x.account.Close()
	x.conn.refused[x.id] = true
	if err != nil || n > maxShedBytes || len(x.conn.refused) > maxRefusedIDs || x.conn.SetReadDeadline(time.Time{}) != nil {
		x.drop(Untrusted)
	} else {
		x.finish(in)
	}
	return verdict.NewError(verdict.NotRun, verdict.ReasonShed, &port.AnsweredError{
		Err: port.ErrRefused, Signals: x.caller.opts.HeaderConvention.signals(in),
	})
}

// finish ends an exchange after a complete response. The connection is kept for
// reuse unless in.close is set, unread bytes follow the response, or ctx has ended.
func (x *exchange) finish(in *response) {
	switch {
	case in.close:
		x.drop(EndpointClosed)
	case x.conn.reader.Buffered() > 0:
		x.drop(Untrusted)
	default:
		if stated, ok := statedIdle(in.header); ok && x.caller.opts.MaxStatedIdle > 0 {
			x.conn.maxIdle = min(stated, x.caller.opts.MaxStatedIdle)
		}
		x.keep(x.caller.opts.Clock.Now())
	}
}

// releaseUnsent ends an exchange of which nothing was written. The connection
// returns to the pool with its previous lastAlive.
func (x *exchange) releaseUnsent() { x.keep(x.conn.lastAlive) }

// drop ends the exchange and closes its connection for a cause.
func (x *exchange) drop(cause Origin) {
	x.stopWatch()
	x.cancel()
	x.pool.discard(x.conn, cause)
	x.pool.release()
}

// keep ends the exchange. The connection returns to the pool with the given lastAlive,
// unless ctx has ended.
func (x *exchange) keep(lastAlive time.Time) {
	if !x.stopWatch() {
		x.drop(causeOf(x.ctx, "", nil))
		return
	}
	x.cancel()
	x.pool.put(x.conn, lastAlive)
	x.pool.release()
}

// checkTrailingBytes returns an error if bytes follow the response: its declared
// length was wrong, or it was sent twice.
func (x *exchange) checkTrailingBytes() error {
	if n := x.conn.reader.Buffered(); n > 0 {
		return fmt.Errorf("%w: %d bytes", ErrTrailingBytes, n)
	}
	return nil
}

// fail ends an exchange without a complete response, closes its connection and
// returns its error. If the deadline passed, it also closes the idle connections
// of the pool, because the endpoint may be unresponsive on those too.
func (x *exchange) fail(reason verdict.Reason, err error) error {
	failure := mayHaveRun(x.ctx, reason, err)
	if x.conn.written == 0 {
		failure = notRun(x.ctx, reason, err)
	}
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		x.pool.markUnresponsive(x.caller.opts.Clock.Now())
	}
	x.resetBeforeResponse = x.conn.used && x.conn.input.received == 0 && ConnectionReset(err)
	x.account.Close()
	x.drop(causeOf(x.ctx, reason, err))
	return failure
}
