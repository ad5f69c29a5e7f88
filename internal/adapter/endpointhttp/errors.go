package endpointhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"

	"sassafrasreach/internal/core/verdict"
)

var (
	// ErrRequestIDMismatch means that a response didn't echo the request's ID.
	ErrRequestIDMismatch = errors.New("response doesn't echo the request ID")
	// ErrUnframed means that the end of a response can't be distinguished from a
	// broken connection.
	ErrUnframed = errors.New("response has neither Content-Length nor Transfer-Encoding")
	// ErrTooLarge means that a response body exceeds the limit of the request.
	ErrTooLarge = errors.New("response body too large")
	// ErrTrailingBytes means that bytes follow the end of a response.
	ErrTrailingBytes = errors.New("unexpected bytes after the response")
	// ErrUnexpectedStatus means that the endpoint switched protocols or sent too
	// many interim responses.
	ErrUnexpectedStatus = errors.New("unexpected status")

	// ErrMemory means that the responses of the process hold as much memory as they may
	// together.
	ErrMemory = errors.New("no memory is left for the response")

	errHeaderTooLarge = errors.New("response header exceeds the limit")
	errClosedEarly    = errors.New("response body closed before its end")
	errBadTarget      = errors.New("invalid request target")
)

// ConnectionReset reports whether a call failed because the endpoint's side closed
// or reset the connection during the request, as happens when the endpoint's
// process crashes.
func ConnectionReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// notRun returns the error of a request of which nothing was sent.
func notRun(ctx context.Context, reason verdict.Reason, err error) error {
	return verdict.NewError(verdict.NotRun, reasonOf(ctx, reason), cause(ctx, err))
}

// mayHaveRun returns the error of a request that was sent completely or in part.
func mayHaveRun(ctx context.Context, reason verdict.Reason, err error) error {
	return verdict.NewError(verdict.MayHaveRun, reasonOf(ctx, reason), cause(ctx, wrapConnectionLost(err)))
}

// reasonOf returns the reason why ctx ended, or the given reason if it hasn't ended.
func reasonOf(ctx context.Context, reason verdict.Reason) verdict.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.ReasonDeadline
	case ctx.Err() != nil:
		return verdict.ReasonCanceled
	default:
		return reason
	}
}

// cause adds the error of ctx to err if ctx has ended, because err is then probably
// a consequence of that.
func cause(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return fmt.Errorf("%w: %w", ctx.Err(), err)
}
