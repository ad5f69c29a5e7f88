package pipelinehttp_test

import (
	"net/http"
	"testing"
)

// TestSlowBody guards against a request that is refused because its body doesn't arrive in
// time and that gets no answer, so that its client can't know that it hasn't run.
func TestSlowBody(t *testing.T) {
	slow := post("/once/2?slow=1", "body")
	for name, before := range map[string]string{"plain": "", "pipelined": get("/safe/first?ms=30")} {
		t.Run(name, func(t *testing.T) {
			s := newRig(t, nil)
			c := s.dial(t)
			c.send(before, slow[:len(slow)-1])
			if before != "" {
				c.answered("GET first ", false)
			}
			response, _ := c.answer()
			s.Equal(response.StatusCode, http.StatusRequestEntityTooLarge) // that of the service
			s.True(response.Close)
			c.ended()
		})
	}
}
