package pipelinehttp_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasreach/internal/core/memory"
)

// TestOrder sends random requests, cut at random into segments, with random durations. It
// guards against responses out of order or of other requests, and against a request that
// isn't safe running beside others.
func TestOrder(t *testing.T) {
	s := newRig(t, memory.NewBudget(1<<20))
	serial := 0
	rapid.Check(t, func(rt *rapid.T) {
		c := s.dial(t)
		defer func() { _ = c.Close() }()
		text := ""
		var want []string
		for range rapid.IntRange(2, 40).Draw(rt, "requests") {
			serial++
			id := fmt.Sprint(serial)
			path := fmt.Sprintf("%s?ms=%d", id, rapid.IntRange(0, 4).Draw(rt, "ms"))
			switch rapid.IntRange(0, 9).Draw(rt, "kind") {
			case 0:
				text, want = text+post("/once/"+path, "body"), append(want, "POST "+id+" body")
			case 1:
				text, want = text+get("/once/"+path), append(want, "GET "+id+" ")
			case 2:
				text += "POST /safe/" + path + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\r\n"
				want = append(want, "POST "+id+" abc")
			default:
				text, want = text+get("/safe/"+path), append(want, "GET "+id+" ")
			}
		}
		go func() {
			for len(text) > 0 {
				n := min(len(text), rapid.SampledFrom([]int{1, 40, 60, 300, 5000}).Example(len(text)))
				c.send(text[:n])
				text = text[n:]
				time.Sleep(time.Millisecond)
			}
		}()
		for _, w := range want {
			c.answered(w, false)
		}
	})
}

// TestPlainConnection guards against connections without pipelining being taken over,
// also when the next request follows the response at once or its head is larger than the
// buffer of net/http.
func TestPlainConnection(t *testing.T) {
	s := newRig(t, nil)
	c := s.dial(t)
	for i := range 2000 {
		switch i % 3 {
		case 0:
			c.send(get("/safe/1"))
		case 1:
			c.send(post("/once/1", strings.Repeat("y", i%1000)))
		case 2:
			c.send(strings.Replace(get("/safe/1"), "Host", "Long: "+strings.Repeat("z", 4000+i%97)+"\r\nHost", 1))
		}
		c.answer()
		s.Equal(s.handler.Connections(), int64(0))
	}
}

// TestTakeover guards against a request that isn't read because it arrived together with
// the first one, or byte by byte while that is running, also behind a body.
func TestTakeover(t *testing.T) {
	chunked := "POST /safe/first?wait=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n"
	for name, first := range map[string]string{
		"no body": get("/safe/first?wait=1"), "body": post("/safe/first?wait=1", "b"), "chunked": chunked,
	} {
		for _, together := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " together ", together), func(t *testing.T) {
				s := newRig(t, nil)
				c := s.dial(t)
				if together {
					c.send(first, get("/safe/2"))
				} else {
					c.send(first)
					s.eventually(time.Second, s.has(&s.started, "first"))
					c.send("G")
					time.Sleep(10 * time.Millisecond)
					c.send(get("/safe/2")[1:])
				}
				s.eventually(time.Second, func() bool { return s.handler.Connections() == 1 })
				if name == "no body" {
					s.eventually(time.Second, s.has(&s.started, "2", "first")) // side by side
				}
				close(s.release)
				_, body := c.answer()
				s.True(strings.Contains(body, "first"))
				c.answered("GET 2 ", false)
				c.send(get("/safe/3")) // idle since
				c.answered("GET 3 ", false)
			})
		}
	}
}

// TestClosingResponse guards against a request that isn't idempotent running behind a
// response that closes the connection, and against requests that go on running there. The
// client gets the response although bytes behind it are unread.
func TestClosingResponse(t *testing.T) {
	clientCloses := strings.Replace(get("/safe/2"), "Host", "Connection: close\r\nHost", 1)
	http10 := strings.Replace(get("/safe/2"), "1.1", "1.0", 1)
	for name, second := range map[string]string{"service": get("/safe/2?close=1"), "client": clientCloses, "HTTP/1.0": http10} {
		t.Run(name, func(t *testing.T) {
			s := newRig(t, nil)
			c := s.dial(t)
			c.send(get("/safe/first?ms=100"), second, get("/safe/3?wait=1"), get("/once/4"), post("/once/5", strings.Repeat("x", 20000)))
			c.answered("GET first ", false)
			c.answered("GET 2 ", true)
			c.ended()
			for range 3 { // what the client has sent meanwhile doesn't reset the connection
				c.send("x")
				time.Sleep(10 * time.Millisecond)
			}
			if name == "service" {
				s.eventually(time.Second, s.has(&s.canceled, "3"))
				s.True(s.has(&s.started, "2", "3", "first")())
			} else {
				s.True(s.has(&s.started, "2", "first")()) // nothing is read behind it
			}
		})
	}
}

// TestBrokenResponse guards against a response that breaks off and looks complete, and
// against later requests that go on.
func TestBrokenResponse(t *testing.T) {
	for _, how := range []string{"abort", "short"} {
		s := newRig(t, nil)
		c := s.dial(t)
		c.send(get("/safe/first?ms=30"), get("/safe/2?"+how+"=1"), get("/safe/3?wait=1"), get("/safe/4"), get("/once/5"))
		c.answered("GET first ", false)
		r, err := http.ReadResponse(c.reader, nil)
		if err == nil {
			_, err = io.ReadAll(r.Body)
		}
		s.True(err != nil)
		s.eventually(time.Second, s.has(&s.canceled, "3"))
		s.eventually(time.Second, s.has(&s.dropped, "3", "4"))
		s.True(s.has(&s.started, "2", "3", "4", "first")())
	}
}

// TestPanic guards against a panic that ends the process, or leaves the connection open.
func TestPanic(t *testing.T) {
	for _, where := range []string{"run", "receive"} {
		s := newRig(t, nil)
		c := s.dial(t)
		c.send(get("/safe/first?wait=1"), get("/safe/2?panic="+where))
		_, err := c.reader.ReadByte()
		s.True(err != nil)
		s.eventually(time.Second, func() bool { return slices.Contains(s.ids(&s.canceled), "first") && s.handler.Connections() == 0 })
		first := s.dial(t)
		first.send(get("/safe/first?ms=50&panic=run"), get("/safe/2"))
		_, err = first.reader.ReadByte()
		s.True(err != nil)
		s.eventually(time.Second, func() bool { return s.handler.Connections() == 0 })
	}
}

// TestClientLeaves guards against requests that go on running for a client that has closed
// or half-closed its connection, also if more than is read ahead was sent before that, and
// against goroutines that stay.
func TestClientLeaves(t *testing.T) {
	for name, leave := range map[string]func(c client) error{
		"closes": func(c client) error { return c.Close() }, "half-closes": func(c client) error { return c.CloseWrite() },
		"resets": func(c client) error { _ = c.SetLinger(0); return c.Close() },
	} {
		for _, requests := range []int{2, 100} {
			t.Run(fmt.Sprint(name, requests), func(t *testing.T) {
				s := newRig(t, nil)
				before := runtime.NumGoroutine()
				c := s.dial(t)
				c.send(get("/safe/first?wait=1"))
				for i := range requests {
					c.send(get(fmt.Sprintf("/safe/%02d?wait=1", i)))
				}
				c.send(post("/once/body", "body"))
				running := min(requests+1, 32)
				s.eventually(time.Second, func() bool { return len(s.ids(&s.started)) == running })
				s.NoErr(leave(c))
				s.eventually(500*time.Millisecond, func() bool { return len(s.ids(&s.canceled)) == running })
				s.eventually(time.Second, func() bool { return s.handler.Connections() == 0 && runtime.NumGoroutine() <= before })
				s.Equal(len(s.ids(&s.started)), running)
			})
		}
	}
}

// TestMalformed guards against a malformed request that is answered before those ahead of
// it, gets another status than on a connection without pipelining, or is followed by
// others.
func TestMalformed(t *testing.T) {
	long := strings.Repeat("x", 2*headerBytes)
	for name, text := range map[string]string{
		"no request":    "!\r\n\r\n",
		"no host":       "GET / HTTP/1.1\r\n\r\n",
		"bad host":      "GET / HTTP/1.1\r\nHost: a b\r\n\r\n",
		"bad header":    "GET / HTTP/1.1\r\nHost: h\r\nA b: c\r\n\r\n",
		"bad value":     "GET / HTTP/1.1\r\nHost: h\r\nA: \x01\r\n\r\n",
		"bad length":    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
		"coding":        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
		"version":       "GET / HTTP/2.0\r\nHost: h\r\n\r\n",
		"long head":     "GET / HTTP/1.1\r\nHost: h\r\nLong: " + long + "\r\n\r\n",
		"large body":    post("/once/2", strings.Repeat("x", 1001)),
		"expectation":   "POST / HTTP/1.1\r\nHost: h\r\nExpect: more\r\nContent-Length: 1\r\n\r\n",
		"cut-off chunk": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newRig(t, nil)
			plain := s.dial(t)
			plain.send(text)
			want, err := http.ReadResponse(plain.reader, nil)
			s.NoErr(err)
			c := s.dial(t)
			c.send(get("/safe/first?ms=50"), get("/safe/1"), text, get("/safe/3"), get("/once/4"))
			c.answered("GET first ", false)
			c.answered("GET 1 ", false)
			got, _ := c.answer()
			s.Equal(got.StatusCode, want.StatusCode)
			s.Equal(got.Close, true)
			c.ended()
			s.True(!strings.Contains(strings.Join(s.ids(&s.started), " "), "3"))
		})
	}
}

// TestUnreadResponses guards against a client that leaves without having read its
// responses and isn't noticed, because nothing more can be written to it.
func TestUnreadResponses(t *testing.T) {
	s := newRig(t, nil)
	c := s.dial(t)
	c.send(get("/safe/first?bytes=20000000"), get("/safe/2?wait=1"))
	s.eventually(time.Second, s.has(&s.written, "first"))
	s.NoErr(c.CloseWrite())
	s.eventually(500*time.Millisecond, s.has(&s.canceled, "2"))
	s.eventually(time.Second, func() bool { return s.handler.Connections() == 0 })
}

// TestSlowHead guards against a head that is sent slowly and holds the connection for
// longer than the header timeout, or cuts off a request ahead of it, whichever ends first.
func TestSlowHead(t *testing.T) {
	s := newRig(t, nil)
	for _, ms := range []int{100, 600} {
		c := s.dial(t)
		c.send(get(fmt.Sprintf("/safe/first?ms=%d", ms)), get("/safe/2")[:9])
		c.answered("GET first ", false)
		c.ended()
	}
}

// TestBudget guards against reading ahead without room in the budget, which responses
// that wait for a slow first one hold, and against requests that are then never read.
func TestBudget(t *testing.T) {
	s := newRig(t, memory.NewBudget(3*(48<<10)))
	c := s.dial(t)
	c.send(get("/safe/first?wait=1"))
	for i := range 9 {
		c.send(get(fmt.Sprintf("/safe/%d?bytes=10000", i)))
	}
	s.eventually(time.Second, s.has(&s.started, "0", "1", "2", "first"))
	time.Sleep(200 * time.Millisecond)
	s.True(s.has(&s.started, "0", "1", "2", "first")())
	close(s.release)
	c.answered("GET first ", false)
	for range 9 {
		_, body := c.answer()
		s.Equal(len(body), 10000)
	}
	other := s.dial(t) // there is room again
	other.send(get("/safe/first?ms=1000"), get("/safe/other"))
	s.eventually(500*time.Millisecond, func() bool { return slices.Contains(s.ids(&s.started), "other") })
}

// TestLargeResponses guards against reading ahead while large responses wait for a slow
// first one.
func TestLargeResponses(t *testing.T) {
	s := newRig(t, nil)
	c := s.dial(t)
	c.send(get("/safe/first?wait=1"), get("/safe/2?bytes=600000"), get("/safe/3?bytes=600000"))
	s.eventually(time.Second, s.has(&s.started, "2", "3", "first"))
	time.Sleep(50 * time.Millisecond)
	c.send(get("/safe/4"))
	time.Sleep(200 * time.Millisecond)
	s.True(s.has(&s.started, "2", "3", "first")())
	close(s.release)
	for range 3 {
		c.answer()
	}
	c.answered("GET 4 ", false)
}

// TestStop guards against a planned stop that reads further requests ahead, cuts off those
// that run, or announces the end of the connection before the last response.
func TestStop(t *testing.T) {
	s := newRig(t, nil)
	c, idle := s.dial(t), s.dial(t)
	idle.send(get("/safe/a"), get("/safe/b"))
	idle.answer()
	idle.answer()
	c.send(get("/safe/first?wait=1"), get("/safe/2?wait=1"), get("/safe/3"), get("/once/4"))
	s.eventually(time.Second, s.has(&s.started, "2", "3", "a", "b", "first"))
	s.stopping.Store(true)
	c.send(get("/safe/5"))
	time.Sleep(50 * time.Millisecond)
	close(s.release)
	c.answered("GET first ", false)
	c.answered("GET 2 ", false)
	c.answered("GET 3 ", true)
	c.ended()
	idle.send(get("/safe/c"))
	idle.answered("GET c ", true)
	idle.ended()
	s.True(s.has(&s.started, "2", "3", "a", "b", "c", "first")())
}

// TestIdle guards against connections that were taken over and are closed while a request
// is being read or run on them, or stay open beyond the idle limit.
func TestIdle(t *testing.T) {
	s := newRig(t, nil)
	s.idle.Store(int64(time.Millisecond))
	idle, begun, running := s.dial(t), s.dial(t), s.dial(t)
	for _, c := range []client{idle, begun, running} {
		c.send(get("/safe/1?ms=5"), post("/safe/2", ""), "\r\n") // an empty line isn't a request
		c.answer()
		c.answer()
	}
	begun.send(get("/safe/3")[:9])
	running.send(get("/safe/4?wait=1"))
	time.Sleep(50 * time.Millisecond)
	s.reaper.Sweep()
	idle.ended()
	begun.send(get("/safe/3")[9:])
	begun.answered("GET 3 ", false)
	close(s.release)
	running.answered("GET 4 ", false)
}

// TestArrivedRequest guards against a connection that is closed by its idle timeout although its
// next request has arrived, and the process only hasn't read it.
func TestArrivedRequest(t *testing.T) {
	const idleTimeout = 100 * time.Millisecond
	s := newIdleRig(t, nil, idleTimeout)
	s.received = func(x *exchange) {
		if x.id == "2" {
			s.reads.Hold() // the read of the next request stands still
		}
	}
	c := s.dial(t)
	c.send(get("/safe/1?ms=20"), get("/safe/2"))
	c.answered("GET 1 ", false)
	c.answered("GET 2 ", false)
	c.send(get("/safe/3"))
	time.Sleep(2 * idleTimeout)
	s.reads.Release()
	c.answered("GET 3 ", false)
}

// TestForcedStop guards against connections that were taken over and outlast the end of a
// planned stop.
func TestForcedStop(t *testing.T) {
	s := newRig(t, nil)
	c := s.dial(t)
	c.send(get("/safe/first?wait=1"), get("/safe/2?wait=1"))
	s.eventually(time.Second, s.has(&s.started, "2", "first"))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	s.True(s.reaper.Shutdown(ctx, s.server, s.listener) != nil) // it waited for the requests
	c.ended()
	s.eventually(time.Second, s.has(&s.canceled, "2", "first"))
}

// TestAnsweredRequestIsDropped guards against a connection that keeps the first of its
// requests, with its body and its answer, for as long as it is open.
func TestAnsweredRequestIsDropped(t *testing.T) {
	s := newRig(t, nil)
	dropped := make(chan struct{})
	s.received = func(x *exchange) {
		if x.id == "1" {
			runtime.AddCleanup(x, func(int) { close(dropped) }, 0)
		}
	}
	c := s.dial(t)
	c.send(post("/once/1?ms=50", "body"), post("/once/2", "body"))
	c.answered("POST 1 body", false)
	c.answered("POST 2 body", false)
	s.eventually(10*time.Second, func() bool {
		runtime.GC()
		select {
		case <-dropped:
			return true
		default:
			return false
		}
	})
	c.send(post("/once/3", "body"))
	c.answered("POST 3 body", false)
}
