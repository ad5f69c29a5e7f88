package operatorhttp

import (
	"encoding/json"
	"net/http"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

// Code classes a problem. Its text is stable.
type Code string

const (
	// CodeBadRequest is a request that can't be understood.
	CodeBadRequest Code = "bad-request"
	// CodeUnauthorized is a request without the token of an operator.
	CodeUnauthorized Code = "unauthorized"
	// CodeNotFound names something that doesn't exist.
	CodeNotFound Code = "not-found"
	// CodeMethod is a method that the path doesn't have.
	CodeMethod Code = "method-not-allowed"
	// CodeTooLarge is a body over document.MaxTextBytes.
	CodeTooLarge Code = "body-too-large"
	// CodeInvalid is a document with faults; nothing was changed.
	CodeInvalid Code = "invalid"
	// CodeConflict means that another change took the version; nothing was
	// changed by this one.
	CodeConflict Code = "conflict"
	// CodeIDReused means that the change ID belongs to another change.
	CodeIDReused Code = "change-id-reused"
	// CodeNoQuorum means that too few control VMs answered; nothing was
	// changed by this attempt.
	CodeNoQuorum Code = "no-quorum"
	// CodeUnknown means that the change may have been accepted; a resend with
	// the same change ID tells.
	CodeUnknown Code = "may-have-been-accepted"
	// CodeInternal is a failure without a class of its own.
	CodeInternal Code = "internal"
)

// Problem is the body of an error (RFC 9457).
type Problem struct { //nolint:errname // the term of RFC 9457
	// Type is the URI of the code.
	Type string `json:"type"`
	// Title is the text of the HTTP status.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail says what happened.
	Detail string `json:"detail"`
	// Code is the class of the problem.
	Code Code `json:"code"`
	// Outcome is what became of the change, for CodeConflict and CodeUnknown.
	Outcome *port.Outcome `json:"outcome,omitempty"`
	// Faults is what is wrong with the document, for CodeInvalid.
	Faults document.Faults `json:"faults,omitempty"`
}

// noDocument is the detail of a request that needs a document.
const noDocument = "there is no document yet; apply the first one with the bootstrap token"

// typePrefix makes a code into a URI (RFC 8141).
const typePrefix = "urn:sassafrasreach:problem:"

// problemType is the media type of a Problem.
const problemType = "application/problem+json"

func newProblem(status int, code Code, detail string) *Problem {
	return &Problem{
		Type:   typePrefix + string(code),
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
		Code:   code,
	}
}

// Error implements error.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }

func writeProblem(w http.ResponseWriter, p *Problem) {
	w.Header().Set("Content-Type", problemType)
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", `Bearer realm="sassafrasreach"`)
	}
	writeBody(w, p.Status, p)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, http.StatusOK, body)
}

// writeBody sends the body as JSON. An operator who went away is no error.
func writeBody(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
