package verdict

import (
	"errors"
	"fmt"
)

// Verdict says whether a request ran on an endpoint.
type Verdict uint8

const (
	// MayHaveRun means that it is unknown whether the request ran. It is the zero
	// value.
	MayHaveRun Verdict = iota
	// NotRun means that no endpoint has started the request or will start it.
	NotRun
	// Ran means that an endpoint ran the request and its answer is known.
	Ran
)

// ErrUnknownVerdict is returned by Parse for text that isn't a verdict.
var ErrUnknownVerdict = errors.New("unknown verdict")

// String returns the verdict as it appears in headers and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse parses the text form of a verdict. For unknown text it returns MayHaveRun
// and an error that wraps ErrUnknownVerdict.
func Parse(text string) (Verdict, error) {
	switch text {
	case "not-run":
		return NotRun, nil
	case "ran":
		return Ran, nil
	case "may-have-run":
		return MayHaveRun, nil
	default:
		return MayHaveRun, fmt.Errorf("%w: %q", ErrUnknownVerdict, text)
	}
}

// Error is the failure of a request, with its verdict and reason.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the class of the failure.
	Reason Reason
	// Err is the cause; it may be nil.
	Err error
}

// NewError returns an *Error with the given verdict, reason and cause.
func NewError(v Verdict, reason Reason, cause error) *Error {
	return &Error{Verdict: v, Reason: reason, Err: cause}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict of a request that ended with err: Ran for nil, the
// verdict of an *Error in the chain of err, or MayHaveRun if there is none.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// ReasonOf returns the reason of an *Error in the chain of err, or ReasonInternal if
// there is none.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ReasonInternal
}
