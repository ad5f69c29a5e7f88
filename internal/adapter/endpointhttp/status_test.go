package endpointhttp_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/core/verdict"
)

// TestInvalidStatus guards against a status that isn't three digits from 100 to 599 being
// skipped as an interim response, passed on, or taken for a statement that the request
// didn't run, and against its connection being used again.
func TestInvalidStatus(t *testing.T) {
	conventions := map[string]endpointhttp.HeaderConvention{
		"own": {},
		"other": {
			IDHeader: endpointhttp.HeaderRequestID, ExactID: true, TimeoutHeader: "Timeout-Ms",
			NotRun: func(_ int, h http.Header) bool { return len(h["Not-Run"]) > 0 },
		},
	}
	for name, convention := range conventions {
		for _, status := range []string{"000", "099", "+20", "600", "999"} {
			for _, body := range []string{"", "body"} {
				t.Run(fmt.Sprint(name, status, body), func(t *testing.T) {
					is := is.New(t)
					e := newEndpoint(t, respondWith("%[2]s Status\r\n%[1]sNot-Run: 1\r\nContent-Length: %[3]d\r\n\r\n%[4]s", status, len(body), body))
					link := e.link(t)
					caller := newCaller(t, endpointhttp.Options{HeaderConvention: convention})
					for i := range 2 {
						_, err := caller.Call(context.Background(), endpointAt(link.Addr()), onceOnlyRequest(fmt.Sprint("r", i), "", short), nil)
						is.Equal(verdict.Of(err), verdict.MayHaveRun)
						is.Equal(verdict.ReasonOf(err), verdict.ReasonBadAnswer)
						is.Equal(link.Accepted(), i+1)
					}
				})
			}
		}
	}
}
