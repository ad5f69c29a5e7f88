package intake_test

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const maxBytes = 1 << 20

// startServer answers requests with their body.
func startServer(t *testing.T, budget *memory.Budget) (*intake.Intake, string) {
	in := intake.New(budget, memory.Bodies, port.ClockFunc(time.Now))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := in.Read(w, r, maxBytes, time.Time{})
		if err != nil {
			intake.Refuse(w, err, "")
			return
		}
		defer body.Done()
		whole, err := body.Join(0)
		if err != nil {
			intake.Refuse(w, err, "")
			return
		}
		_, _ = w.Write(whole)
	}))
	t.Cleanup(server.Close)
	go wait.Every(t.Context(), 100*time.Millisecond, in.Sweep)
	return in, server.Listener.Addr().String()
}

// open sends the head of a request and a part of its body, and leaves the connection open.
func open(t *testing.T, address, framing, part string) net.Conn {
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\n"+framing+"\r\n\r\n"+part)
	is.New(t).NoErr(err)
	return c
}

func status(t *testing.T, c net.Conn) int {
	is.New(t).NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.New(t).NoErr(err)
	is.New(t).True(response.Close) // what follows on the connection is no request
	return response.StatusCode
}

// TestBodies guards against a body that is read differently from how it was sent, and
// against memory that isn't given back.
func TestBodies(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	budget := memory.NewBudget(8 << 20)
	_, address := startServer(t, budget)
	for i := range 60 {
		body := make([]byte, random.IntN(1<<random.IntN(20)+1))
		for at := range body {
			body[at] = byte(random.Uint32())
		}
		var reader io.Reader = bytes.NewReader(body)
		if i%2 == 0 {
			reader = io.MultiReader(reader) // sent in chunks
		}
		response, err := http.Post("http://"+address, "", reader)
		is.NoErr(err)
		got, err := io.ReadAll(response.Body)
		is.NoErr(err)
		_ = response.Body.Close()
		is.True(bytes.Equal(got, body))
	}
	is.Equal(budget.Held(), int64(0))
}

// TestRefusedBodies guards against a wrong response to a body that can't be read: each says
// that the request hasn't run.
func TestRefusedBodies(t *testing.T) {
	t.Parallel()
	_, address := startServer(t, memory.NewBudget(300<<10))
	_, roomy := startServer(t, memory.NewBudget(8<<20))
	chunks := strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 1025)
	for name, c := range map[string]struct {
		framing, part string
		want          int
	}{
		"announced too large":       {"Content-Length: 1048577", "", http.StatusRequestEntityTooLarge},
		"too large without length":  {"Transfer-Encoding: chunked", chunks, http.StatusRequestEntityTooLarge},
		"no memory":                 {"Content-Length: 1048576", strings.Repeat("x", 400<<10), http.StatusServiceUnavailable},
		"stops before its end":      {"Content-Length: 1000", strings.Repeat("x", 999), http.StatusRequestTimeout},
		"stops before a last chunk": {"Transfer-Encoding: chunked", "1\r\nx\r\n", http.StatusRequestTimeout},
		"announced only":            {"Content-Length: 1048576", "", http.StatusRequestTimeout},
		"malformed":                 {"Transfer-Encoding: chunked", "z\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			to := roomy
			if c.want == http.StatusServiceUnavailable {
				to = address
			}
			is.New(t).Equal(status(t, open(t, to, c.framing, c.part)), c.want)
		})
	}
}

// TestRoomForOthers guards against bodies that stand still and keep others out: those that
// are only announced hold nothing, a large one that stands still makes room, and small ones
// have their own.
func TestRoomForOthers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	budget := memory.NewReservedBudget(1<<20, 100<<10)
	_, address := startServer(t, budget)
	for range 20 {
		open(t, address, "Content-Length: 1000000", "")
	}
	stalled := open(t, address, "Content-Length: 1000000", strings.Repeat("x", 700<<10))
	post := func(size int) int {
		response, err := http.Post("http://"+address, "", strings.NewReader(strings.Repeat("x", size)))
		is.NoErr(err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	for budget.Held() < 700<<10 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(post(600<<10), http.StatusServiceUnavailable) // the other body may still go on
	is.Equal(post(10<<10), http.StatusOK)
	time.Sleep(1500 * time.Millisecond)
	is.Equal(post(300<<10), http.StatusOK)
	is.Equal(status(t, stalled), http.StatusServiceUnavailable)
}

// TestStop guards against a stop that waits for bodies that never end.
func TestStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	budget := memory.NewBudget(1 << 20)
	in, address := startServer(t, budget)
	c := open(t, address, "Content-Length: 1000", "x")
	for budget.Held() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	in.Stop()
	is.Equal(status(t, c), http.StatusServiceUnavailable)
	response, err := http.Post("http://"+address, "", strings.NewReader("x"))
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK) // it needs no time
	is.Equal(status(t, open(t, address, "Content-Length: 1000", "x")), http.StatusServiceUnavailable)
}

// TestMakeRoom guards against a connection that is closed although its body gets on.
func TestMakeRoom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	budget := memory.NewBudget(1 << 20)
	in, address := startServer(t, budget)
	is.True(!in.MakeRoom())
	quiet := open(t, address, "Content-Length: 1000", "x")
	busy := open(t, address, "Content-Length: 500000", "")
	go func() {
		for range 50 {
			_, _ = io.WriteString(busy, strings.Repeat("x", 10000))
			time.Sleep(50 * time.Millisecond)
		}
	}()
	for !in.MakeRoom() {
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(status(t, quiet), http.StatusServiceUnavailable)
	is.True(!in.MakeRoom())
	response, err := http.ReadResponse(bufio.NewReader(busy), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// TestIgnoredBody guards against a connection that is held by a body that nobody reads.
func TestIgnoredBody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	server := httptest.NewServer(intake.IgnoreBodies(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	t.Cleanup(server.Close)
	c := open(t, server.Listener.Addr().String(), "Content-Length: 1000", "x")
	is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Second)))
	_, err := io.Copy(io.Discard, c) // to the end of the connection
	is.NoErr(err)
}
