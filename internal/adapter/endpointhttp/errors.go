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
	// ErrWrongID means that an answer didn't echo the request's ID.
	ErrWrongID = errors.New("answer to another request")
	// ErrUnframed means that an answer's end can't be told from a failure.
	ErrUnframed = errors.New("answer without a length")
	// ErrTooLarge means that an answer is over the service's bound.
	ErrTooLarge = errors.New("answer too large")
	// ErrLeftover means that bytes follow the end of an answer.
	ErrLeftover = errors.New("bytes after the answer")
	// ErrUnexpectedStatus means that an answer's status makes no sense here.
	ErrUnexpectedStatus = errors.New("unexpected status")

	errHeaderTooLarge = errors.New("answer header too large")
	errBadTarget      = errors.New("bad request target")
)

// ConnectionReset reports whether a call failed because the endpoint's side of
// the connection was closed or reset with the request on it, as happens when an
// endpoint's process dies.
func ConnectionReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// notRun is the failure of a request of which nothing was sent.
func notRun(ctx context.Context, reason verdict.Reason, err error) error {
	return verdict.NewError(verdict.NotRun, reasonOf(ctx, reason), cause(ctx, err))
}

// mayHaveRun is the failure of a request that was sent, wholly or in part.
func mayHaveRun(ctx context.Context, reason verdict.Reason, err error) error {
	return verdict.NewError(verdict.MayHaveRun, reasonOf(ctx, reason), cause(ctx, connectionLost(err)))
}

// reasonOf returns why ctx ended, or else the given reason.
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

// cause names why ctx ended besides err, which then is only its consequence.
func cause(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return fmt.Errorf("%w: %w", ctx.Err(), err)
}
