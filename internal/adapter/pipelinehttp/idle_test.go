package pipelinehttp_test

import (
	"strings"
	"testing"
	"time"
)

// TestBufferedRequestIsNotIdle guards against a connection that is reported as idle, so that
// it may be closed to make room for others, while its next request was read and isn't served
// yet.
func TestBufferedRequestIsNotIdle(t *testing.T) {
	const connections, requests = 200, 60
	s := newRig(t, nil)
	var clients []client
	for range connections {
		c := s.dial(t)
		// They fit into one read. A request with a body is received once it has its turn.
		put := strings.Replace(post("/safe/2", "b"), "POST", "PUT", 1)
		c.send(get("/safe/first?ms=20"), strings.Repeat(put, requests))
		clients = append(clients, c)
	}
	for _, c := range clients {
		c.answered("GET first ", false)
		for range requests {
			c.answered("PUT 2 b", false)
		}
	}
	s.eventually(time.Second, func() bool { return s.idled.Load() >= connections })
	time.Sleep(20 * time.Millisecond)
	s.Equal(s.idled.Load(), int64(connections))
}
