package callerhttp

import (
	"encoding/json"
	"net/http"

	"sassafrasreach/internal/core/verdict"
)

// Problem is a problem document (RFC 9457) with the verdict of the request.
type Problem struct {
	// Type is a URN that ends with the reason.
	Type string `json:"type"`
	// Title is the reason; its values are those of verdict.Reason.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail is the error text, for humans.
	Detail string `json:"detail"`
	// Verdict states whether the request may have run; its values are those of
	// verdict.Verdict.
	Verdict string `json:"verdict"`
}

// statusOf maps a reason to its HTTP status.
func statusOf(reason verdict.Reason) int {
	switch reason {
	case verdict.ReasonBadRequest:
		return http.StatusBadRequest
	case verdict.ReasonUnknownService, verdict.ReasonUnknownPlace:
		return http.StatusNotFound
	case verdict.ReasonDeadline, verdict.ReasonCanceled:
		return http.StatusGatewayTimeout
	case verdict.ReasonNoKey:
		return http.StatusPreconditionRequired
	case verdict.ReasonKeyReused, verdict.ReasonKeyExpired, verdict.ReasonCoordinatorLost:
		return http.StatusConflict
	case verdict.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.ReasonSlowBody:
		return http.StatusRequestTimeout
	case verdict.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case verdict.ReasonDial, verdict.ReasonConnection, verdict.ReasonBadAnswer, verdict.ReasonPeer:
		return http.StatusBadGateway
	case verdict.ReasonInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// writeProblem responds with the problem document for err.
func writeProblem(w http.ResponseWriter, err error) {
	reason := verdict.ReasonOf(err)
	problem := Problem{
		Type:    "urn:sassafrasreach:" + string(reason),
		Title:   string(reason),
		Status:  statusOf(reason),
		Detail:  err.Error(),
		Verdict: verdict.Of(err).String(),
	}
	body, marshalErr := json.Marshal(problem)
	if marshalErr != nil {
		body = []byte(`{"title":"internal","status":500}`)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(HeaderVerdict, problem.Verdict)
	if reason == verdict.ReasonMemory {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(problem.Status)
	_, _ = w.Write(body)
}
