package pipelinehttp_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"sassafrasreach/internal/testlink"
)

// slowBytes is more than the kernel takes for a client that doesn't read.
const slowBytes = "262144"

// TestSlowReader guards against responses that are cut off because their client still reads them
// when the connection ends and sends on, on connections of net/http and on those that were taken
// over.
func TestSlowReader(t *testing.T) {
	one, closing := get("/safe/a?bytes="+slowBytes), get("/safe/a?close=1&bytes="+slowBytes)
	for name, c := range map[string]struct {
		send     string
		requests int
	}{
		"closing response":            {closing, 1},
		"pipelined, closing response": {one + closing, 2},
		"head that stops":             {one + "GET /safe/b HT", 1},
		"pipelined, head that stops":  {one + one + "GET /safe/b HT", 2},
		"idle":                        {one, 1},
		"pipelined, idle":             {one + one, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRig(t, nil)
			s.idle.Store(int64(100 * time.Millisecond))
			nc, err := testlink.DialSlow(s.listener.Addr().String())
			s.NoErr(err)
			defer func() { _ = nc.Close() }()
			_, err = io.WriteString(nc, c.send)
			s.NoErr(err)
			for end := time.Now().Add(headerTimeout + time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				s.reaper.Sweep() // the client reads nothing
			}
			_, err = io.WriteString(nc, get("/safe/next"))
			s.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			reader := bufio.NewReader(nc)
			for range c.requests {
				response, err := http.ReadResponse(reader, nil)
				s.NoErr(err)
				n, err := io.Copy(io.Discard, response.Body)
				s.NoErr(err)
				s.Equal(n, response.ContentLength)
			}
		})
	}
}
