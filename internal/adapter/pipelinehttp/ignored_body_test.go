package pipelinehttp_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/adapter/pipelinehttp"
	"sassafrasreach/internal/port"
)

// refuser refuses all requests for their heads, as platform.Clients does with status 400 and 431.
type refuser struct{ *service }

func (f refuser) Receive(w http.ResponseWriter, r *http.Request, _ time.Time) (pipelinehttp.Exchange, bool) {
	intake.Ignore(w, r)
	return refusal{&exchange{service: f.service}}, false
}

type refusal struct{ *exchange }

func (refusal) Write(w http.ResponseWriter) { w.WriteHeader(http.StatusBadRequest) }

// TestIgnoredBody guards against a response to a refused head that is reset because net/http reads
// a part of the body before it sends the response, and against a record of a cut request then.
func TestIgnoredBody(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r := &rig{I: is, service: &service{unfinished: make(map[string]bool)}}
	h := pipelinehttp.New(refuser{r.service}, pipelinehttp.Options{
		Clock: port.ClockFunc(time.Now), Logger: slog.New(records{r}), Meter: metrics.New(), ConnState: func(net.Conn, http.ConnState) {},
		HeaderBytes: headerBytes, HeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxLingering: 10,
	})
	server := &http.Server{Handler: h, ConnState: h.ConnState, ConnContext: h.ConnContext}
	go func() { _ = server.Serve(pipelinehttp.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 20000))
	is.NoErr(err)
	for range 16 { // the last ones come after the response
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, strings.Repeat("x", 5000))
	}
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusBadRequest)
	is.True(response.Close)
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
	r.mu.Lock()
	defer r.mu.Unlock()
	is.Equal(r.cuts, nil)
}
