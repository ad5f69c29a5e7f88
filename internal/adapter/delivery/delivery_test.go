package delivery

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/port"
)

// deadlineWriter is a client that reads at once, and fails writes behind their deadline.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (w *deadlineWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

func (w *deadlineWriter) Write(p []byte) (int, error) {
	if !w.deadline.IsZero() && time.Now().After(w.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return w.ResponseRecorder.Write(p)
}

// pausingRest is a body whose parts come after a pause each.
type pausingRest struct {
	pause time.Duration
	parts []int
}

func (r *pausingRest) Read([]byte) (int, error) {
	time.Sleep(r.pause)
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	n := r.parts[0]
	r.parts = r.parts[1:]
	return n, nil
}

func (*pausingRest) Close() error { return nil }

// TestEndpointPauses guards against a client that is cut off because the endpoint of its
// response pauses.
func TestEndpointPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
		err := WriteBody(w, &port.Response{
			Status: http.StatusOK, Body: make([]byte, PieceBytes), Rest: &pausingRest{Patience + time.Second, []int{4 << 10, 1, PieceBytes}},
		})
		is.NoErr(err)
		is.Equal(w.Body.Len(), 2*PieceBytes+4<<10+1)
	})
}
