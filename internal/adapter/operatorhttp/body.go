package operatorhttp

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/core/document"
)

// readDocument returns the text of a document from the request body, after its memory was
// charged with what reading it takes, and the function that gives the memory back. On
// failure it writes the response and returns false.
func (h *handler) readDocument(w http.ResponseWriter, r *http.Request) (text []byte, done func(), ok bool) {
	return h.readBody(w, r, document.MaxTextBytes, document.ParseBytes)
}

// readBody is readDocument for any body. parseBytes returns the memory that reading a text
// takes.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, parseBytes func([]byte) int64) (text []byte, done func(), ok bool) {
	intake.Expect(w)
	body, err := h.Bodies.Read(w, r, maxBytes, time.Time{})
	if err != nil {
		h.refuseBody(w, r, err)
		return nil, nil, false
	}
	text, err = body.Join(0)
	if need := parseBytes(text); err == nil && need > h.Bodies.Largest() {
		err = fmt.Errorf("%w: reading it takes about %d bytes of memory, %d are permitted by memory_bytes of this VM", intake.ErrTooLarge, need, h.Bodies.Largest())
	} else if err == nil {
		err = body.Reserve(need)
	}
	if err != nil {
		body.Done()
		h.refuseBody(w, r, err)
		return nil, nil, false
	}
	return text, body.Done, true
}

// retryAfterSeconds is the Retry-After of a response to a request for whose body there was
// no memory.
const retryAfterSeconds = "1"

// refuseBody answers a request whose body couldn't be read. This attempt has changed
// nothing.
func (h *handler) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	status, reason := intake.Classify(err)
	h.Refusals.Record("operators", reason, r.RemoteAddr)
	code, detail := CodeBadRequest, "cannot read the request body: "+err.Error()
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		code, detail = CodeTooLarge, err.Error()
	case errors.Is(err, intake.ErrSlow):
		code = CodeSlow
	case status == http.StatusServiceUnavailable:
		code, detail = CodeMemory, detail+"; this attempt changed nothing; send it again later, or through another control VM"
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	intake.CloseAfter(w, func() { writeProblem(w, newProblem(status, code, detail)) })
}
