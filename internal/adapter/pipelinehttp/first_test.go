package pipelinehttp_test

import (
	"strings"
	"testing"
	"time"
)

// TestFirstResponseByAnother guards against a handler that returns while the goroutine of
// another request writes its response: net/http then cancels the context of the request,
// which cuts off a response that is still being read from the endpoint. That all requests
// have their answers at once lets the others write first on one connection in about eight.
func TestFirstResponseByAnother(t *testing.T) {
	const connections, behind = 60, 30
	for range connections {
		s := newRig(t, nil)
		c := s.dial(t)
		c.send(get("/safe/first?wait=1&stream=1"), strings.Repeat(get("/safe/behind?wait=1"), behind))
		s.eventually(10*time.Second, func() bool { return len(s.ids(&s.started)) == 1+behind })
		close(s.release)
		c.answered("GET first ", false)
		for range behind {
			c.answered("GET behind ", false)
		}
		s.Equal(s.ids(&s.cuts), nil)
		s.NoErr(c.Close())
	}
}
