package pipelinehttp_test

import (
	"testing"
	"time"
)

// TestRequestCut guards against requests that get no whole response without a record that says
// who ended the connection and why, and against such records of requests that got theirs.
func TestRequestCut(t *testing.T) {
	for name, c := range map[string]struct {
		send  string
		leave bool
		cuts  []string
	}{
		"client leaves":         {get("/safe/a?wait=1"), true, []string{"a client client-left"}},
		"client leaves behind":  {get("/safe/a?wait=1") + get("/safe/b?wait=1"), true, []string{"a client client-left", "b client client-left"}},
		"response breaks off":   {get("/safe/a?abort=1"), false, []string{"a gateway aborted"}},
		"panic":                 {get("/safe/a?panic=run"), false, []string{"a gateway aborted"}},
		"panic before its run":  {get("/safe/a?panic=receive"), false, []string{"a gateway aborted"}},
		"breaks off in front":   {get("/safe/a?abort=1&ms=50") + get("/safe/b?wait=1"), false, []string{"a gateway response-broke-off", "b gateway response-broke-off"}},
		"closes in front":       {get("/safe/a?close=1&ms=50") + get("/safe/b?wait=1"), false, []string{"b gateway closing-response"}},
		"head that stops early": {"GET /safe/a HT", false, []string{" gateway unserved"}},
		"answered":              {get("/safe/a") + get("/safe/b") + get("/safe/c?close=1"), false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRig(t, nil)
			c0 := s.dial(t)
			// The first request makes the server know the connection.
			c0.send(get("/safe/first"))
			c0.answered("GET first ", false)
			c0.send(c.send)
			if c.leave {
				s.eventually(5*time.Second, func() bool { return len(s.ids(&s.started)) > len(c.cuts) })
				s.NoErr(c0.Close())
			}
			s.eventually(5*time.Second, func() bool { return len(s.ids(&s.cuts)) >= len(c.cuts) })
			if c.cuts == nil {
				time.Sleep(50 * time.Millisecond)
			}
			s.True(s.has(&s.cuts, c.cuts...)())
			s.Equal(s.panics, map[string]int{"panic": 1, "panic before its run": 1}[name])
		})
	}
}
