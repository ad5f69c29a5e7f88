package claims

import (
	"net/http"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/verdict"
)

// Fingerprint identifies the content of a request.
type Fingerprint = fingerprint.Fingerprint

// Kind is the decision on an attempt of a once-only request.
type Kind uint8

const (
	// Refuse means that the request is not started; Decision.Outcome holds the
	// verdict and the reason. It is the zero value.
	Refuse Kind = iota
	// Start means that the request may be sent to an endpoint now. Exactly one
	// call of Finish must follow.
	Start
	// Wait means that another attempt of the key is in flight: its outcome is
	// the answer.
	Wait
	// Stored means that an earlier attempt ended; Decision.Outcome is the answer.
	Stored
)

// Decision is the result of Begin.
type Decision struct {
	// Kind says whether the attempt may start.
	Kind Kind
	// Outcome is the answer for Stored, and verdict and reason for Refuse.
	Outcome Outcome
	// Reason equals Outcome.Reason for Refuse and is empty otherwise.
	Reason verdict.Reason
}

// Outcome is how an attempt ended.
type Outcome struct {
	// Verdict says whether the request ran.
	Verdict verdict.Verdict
	// Reason classifies the failure; empty when Verdict is Ran.
	Reason verdict.Reason
	// Status, Header and Body are the endpoint's answer when Verdict is Ran.
	Status int
	Header http.Header
	Body   []byte
	// Omitted is set when the request ran but its header and body weren't kept,
	// because they are too large to store or the table had no room for them. A
	// resend learns only that the request ran; the empty body must not be
	// presented as the answer.
	Omitted bool
}

// Row is one claim as it is handed over to another entry.
type Row struct {
	Key         Key
	Fingerprint Fingerprint
	Outcome     Outcome
	// Finished is false for an attempt that was in flight; its outcome is
	// MayHaveRun.
	Finished bool
}

func refusal(v verdict.Verdict, reason verdict.Reason) Decision {
	return Decision{Kind: Refuse, Outcome: Outcome{Verdict: v, Reason: reason}, Reason: reason}
}

// answerBytes estimates the memory of the outcome's header and body, in bytes.
func answerBytes(o Outcome) int64 {
	total := int64(len(o.Body))
	for name, values := range o.Header {
		total += headerFieldBytes + int64(len(name))
		for _, value := range values {
			total += headerValueBytes + int64(len(value))
		}
	}
	return total
}

// withoutAnswer returns the outcome without header and body, marked as Omitted.
func withoutAnswer(o Outcome) Outcome {
	o.Header = nil
	o.Body = nil
	o.Omitted = true
	return o
}
