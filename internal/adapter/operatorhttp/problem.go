package operatorhttp

import (
	"encoding/json"
	"net/http"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

// Code is the class of a problem. Clients match its text, which stays the same.
type Code string

const (
	// CodeBadRequest is a malformed request.
	CodeBadRequest Code = "bad-request"
	// CodeUnauthorized is a request without a valid operator's token.
	CodeUnauthorized Code = "unauthorized"
	// CodeNotFound is a request for a path, document or drain that doesn't exist.
	CodeNotFound Code = "not-found"
	// CodeMethod is a method that the path doesn't support.
	CodeMethod Code = "method-not-allowed"
	// CodeTooLarge is a body of more than document.MaxTextBytes, or a document that takes
	// more memory than this VM may use.
	CodeTooLarge Code = "body-too-large"
	// CodeSlow is a body that arrived too slowly; this attempt changed nothing.
	CodeSlow Code = "body-too-slow"
	// CodeMemory is a body for which this VM has no memory now; this attempt changed
	// nothing.
	CodeMemory Code = "no-memory"
	// CodeInvalid is a document with faults; nothing was changed.
	CodeInvalid Code = "invalid"
	// CodeConflict means that the change's base isn't the version in the register,
	// or that the place is already drained; this change wasn't applied.
	CodeConflict Code = "conflict"
	// CodeIDReused means that the change ID was already used for another change.
	CodeIDReused Code = "change-id-reused"
	// CodeNoQuorum means that too few control VMs responded; this attempt changed
	// nothing.
	CodeNoQuorum Code = "no-quorum"
	// CodeUnknown means that the change may have been accepted; a resend with the
	// same change ID returns its outcome.
	CodeUnknown Code = "may-have-been-accepted"
	// CodeInternal is any other failure.
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
	// Detail describes this occurrence and, where possible, the remedy.
	Detail string `json:"detail"`
	// Code is the class of the problem.
	Code Code `json:"code"`
	// Outcome is the change's outcome, with CodeUnknown and, where there is one,
	// with CodeConflict and CodeInvalid.
	Outcome *port.Outcome `json:"outcome,omitempty"`
	// Faults are the validation errors of the document, for CodeInvalid.
	Faults document.Faults `json:"faults,omitempty"`
}

// noDocumentDetail is the detail when a request needs a document and the
// register has none.
const noDocumentDetail = "the register holds no document yet; apply the first one with the bootstrap token"

// typePrefix and a code form the problem's type, a URN (RFC 8141).
const typePrefix = "urn:sassafrasreach:problem:"

// problemMediaType is the media type of a Problem.
const problemMediaType = "application/problem+json"

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
	w.Header().Set("Content-Type", problemMediaType)
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", `Bearer realm="sassafrasreach"`)
	}
	writeBody(w, p.Status, p)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, http.StatusOK, body)
}

// writeBody sends the body as JSON. It ignores write errors, which mean that the
// client has closed the connection.
func writeBody(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
