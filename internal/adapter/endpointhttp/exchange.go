package endpointhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// exchange is one request and its answer on one connection.
type exchange struct {
	caller *Caller
	ctx    context.Context
	cancel context.CancelFunc
	pool   *pool
	conn   *conn
	req    *port.Request
	// id is what the answer must echo.
	id string
	// stopWatch ends the watch on ctx; it reports false when ctx ended first.
	stopWatch func() bool
}

func (c *Caller) newExchange(ctx context.Context, cancel context.CancelFunc, p *pool, cn *conn, req *port.Request, id string) *exchange {
	x := &exchange{caller: c, ctx: ctx, cancel: cancel, pool: p, conn: cn, req: req, id: id}
	x.stopWatch = context.AfterFunc(ctx, func() {
		_ = cn.SetDeadline(time.Unix(1, 0))
	})
	return x
}

// run writes the request and reads its answer.
func (x *exchange) run(out *http.Request, gate port.Gate) (*port.Response, error) {
	errWrite := x.write(out)
	if errWrite == nil {
		gate.Written()
	}
	if errWrite != nil && !x.mayBeAnswered() {
		return nil, x.fail(verdict.ReasonConnection, errWrite)
	}
	in, err := x.readHead(out)
	if errWrite != nil && err != nil {
		return nil, x.fail(verdict.ReasonConnection, errWrite)
	}
	if err != nil {
		return nil, x.fail(headReason(err), err)
	}
	in.close = in.close || errWrite != nil
	if err := x.check(in); err != nil {
		return nil, x.fail(verdict.ReasonBadAnswer, err)
	}
	if x.caller.opts.Dialect.NotRun(in.status, in.header) {
		return nil, x.shed(in)
	}
	return x.readBody(in)
}

// write sends the request. Nothing is sent once ctx has ended.
func (x *exchange) write(out *http.Request) error {
	x.conn.written = 0
	if err := x.ctx.Err(); err != nil {
		return err
	}
	if err := out.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// mayBeAnswered reports whether an answer may be there although the request
// couldn't be sent whole: an endpoint may answer and close before it has read a
// large body. It gives the answer a short time to arrive.
func (x *exchange) mayBeAnswered() bool {
	if x.conn.written == 0 || x.ctx.Err() != nil {
		return false
	}
	return x.conn.SetReadDeadline(time.Now().Add(earlyAnswerWait)) == nil && x.ctx.Err() == nil
}

// readHead reads the head of the final answer, past interim ones (RFC 9110,
// section 15.2).
func (x *exchange) readHead(out *http.Request) (*answer, error) {
	x.conn.boundHead()
	for range maxInterim {
		in, err := http.ReadResponse(x.conn.reader, out)
		if err != nil {
			return nil, errors.Join(err, x.conn.input.err)
		}
		if in.StatusCode >= http.StatusOK {
			x.conn.unbound()
			return newAnswer(in), nil
		}
		_ = in.Body.Close()
		if in.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("%w: %d", ErrUnexpectedStatus, in.StatusCode)
		}
	}
	return nil, fmt.Errorf("%w: over %d interim answers", ErrUnexpectedStatus, maxInterim)
}

// headReason classes the failure to read an answer's head: a broken connection,
// or an answer that makes no sense.
func headReason(err error) verdict.Reason {
	var timeout interface{ Timeout() bool }
	if ConnectionReset(err) || errors.As(err, &timeout) {
		return verdict.ReasonConnection
	}
	return verdict.ReasonBadAnswer
}

// check reports why an answer can't be the whole answer to the request.
func (x *exchange) check(in *answer) error {
	ids := in.header[http.CanonicalHeaderKey(x.caller.opts.Dialect.IDHeader)]
	if len(ids) != 1 || ids[0] != x.id {
		return fmt.Errorf("%w: %.80q", ErrWrongID, ids)
	}
	if check := x.caller.opts.Dialect.Check; check != nil {
		if err := check(in.status, in.header); err != nil {
			return err
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
		return x.caller.opts.HoldBytes
	}
	return x.req.MaxAnswerBytes
}

func isShed(status int, h http.Header) bool {
	values := h[HeaderShed]
	return status == http.StatusServiceUnavailable && len(values) == 1 && values[0] == shedValue
}

// shed ends an exchange that the endpoint refused to run.
func (x *exchange) shed(in *answer) error {
	n, err := io.Copy(io.Discard, io.LimitReader(in.body, maxShedBytes+1))
	if err != nil || n > maxShedBytes {
		x.drop()
	} else {
		x.finish(in)
	}
	return verdict.NewError(verdict.NotRun, verdict.ReasonShed, nil)
}

// finish ends an exchange after a whole answer. The connection is kept unless
// there is any doubt about it.
func (x *exchange) finish(in *answer) {
	x.end(!in.close && x.conn.reader.Buffered() == 0, x.caller.opts.Clock.Now())
}

// unsent ends an exchange of which nothing was written. The connection is as it
// was.
func (x *exchange) unsent() { x.end(true, x.conn.proven) }

// drop closes the connection and ends the exchange.
func (x *exchange) drop() { x.end(false, time.Time{}) }

// end ends the exchange. A connection that is kept was last proven at a time.
func (x *exchange) end(keep bool, proven time.Time) {
	watched := x.stopWatch()
	x.cancel()
	if keep && watched {
		x.pool.put(x.conn, proven)
	} else {
		_ = x.conn.Close()
	}
	x.pool.release()
}

// leftover reports bytes after the answer's end: its length was wrong, or it
// came twice.
func (x *exchange) leftover() error {
	if n := x.conn.reader.Buffered(); n > 0 {
		return fmt.Errorf("%w: %d bytes", ErrLeftover, n)
	}
	return nil
}

// fail ends an exchange whose answer isn't whole and returns its error. A
// connection that was silent until the time was over makes its siblings suspect.
func (x *exchange) fail(reason verdict.Reason, err error) error {
	failure := mayHaveRun(x.ctx, reason, err)
	if x.conn.written == 0 {
		failure = notRun(x.ctx, reason, err)
	}
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		x.pool.distrust(x.caller.opts.Clock.Now())
	}
	x.drop()
	return failure
}
