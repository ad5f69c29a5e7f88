package pipelinehttp_test

import (
	"net/http"
	"testing"
	"time"
)

// TestKeepAlive guards against clients that aren't told how long they may keep a connection, so
// that they send a request while it is closed, and against telling it with a closing response.
func TestKeepAlive(t *testing.T) {
	s := newRig(t, nil)
	c := s.dial(t)
	told := func(want string, closes bool) {
		t.Helper()
		response, _ := c.answer()
		s.Equal(response.Header.Get("Keep-Alive"), want)
		s.Equal(response.Close, closes)
	}
	c.send(get("/safe/1"))
	told("", false) // no timeout is set
	s.told.Store(int64(15*time.Second + 900*time.Millisecond))
	c.send(get("/safe/2"))
	told("timeout=15", false)
	c.send(get("/safe/3?ms=20") + get("/safe/4"))
	told("timeout=15", false)
	told("timeout=15", false)
	s.told.Store(int64(20 * time.Second))
	c.send(get("/safe/5"))
	told("timeout=20", false)
	c.send(get("/safe/6?close=1"))
	told("", true)
	c = s.dial(t)
	c.send(post("/once/7", string(make([]byte, 2000)))) // too large
	response, _ := c.answer()
	s.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
}
