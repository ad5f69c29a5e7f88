package idleconns_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/idleconns"
	"sassafrasreach/internal/port"
)

// acceptGate is a listener whose accepted connections are held before the server gets them, as
// when the process isn't scheduled between Accept and http.Server's StateNew.
type acceptGate struct {
	net.Listener
	accepted, release chan struct{}
}

func (g *acceptGate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err == nil {
		close(g.accepted)
		<-g.release
	}
	return c, err
}

// TestShutdownAwaitsAccepted guards against a planned stop that ends before the server has told of
// a connection that was accepted, and drops the request on it.
func TestShutdownAwaitsAccepted(t *testing.T) {
	is := is.New(t)
	r := idleconns.New(port.ClockFunc(time.Now), func() idleconns.Limits { return idleconns.Limits{} })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	gate := &acceptGate{r.Listener(server.Listener), make(chan struct{}), make(chan struct{})}
	server.Listener = gate
	server.Config.ConnState = r.ConnState
	server.Start()
	c := dial(t, server)
	c.send(requestStart + requestEnd)
	<-gate.accepted
	stopped := make(chan error, 1)
	go func() { stopped <- r.Shutdown(context.Background(), server.Config, gate) }()
	time.Sleep(100 * time.Millisecond)
	select {
	case <-stopped:
		t.Error("Shutdown returned although a connection with a request was accepted")
	default:
	}
	close(gate.release)
	_, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
}
