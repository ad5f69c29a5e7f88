package main

import (
	"bufio"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["stop"] = stop }

const (
	// packBytes is the size of the answer to a download, the largest in a site file.
	packBytes = 540_000
	// readPiece and readPause are how slowly the clients read: 82 KB a second.
	readPiece, readPause = 4 << 10, 50 * time.Millisecond
	// receiveBuffer is that of the clients' connections.
	receiveBuffer = 32 << 10
	// slowClients is the number of clients.
	slowClients = 8
	// sentBeforeStop is how long before the SIGTERM the downloads begin, and furtherAfter how
	// long after it each client sends its further request.
	sentBeforeStop, furtherAfter = time.Second, 3300 * time.Millisecond
	// packDeadline is the deadline of a download.
	packDeadline = 8 * time.Second
)

// stop sends SIGTERM to a gateway while clients slowly read its answers, and send a further safe
// request before they have read them whole.
func stop(p *play) int {
	c, workers, err := startSmall(p)
	if err != nil {
		p.record.logf("%v", err)
		return failed
	}
	defer c.close()
	for _, w := range workers {
		w.answer = func(out http.ResponseWriter, _ *http.Request, _ []byte) {
			out.Header().Set("Content-Length", fmt.Sprint(packBytes))
			_, _ = out.Write(make([]byte, packBytes))
		}
	}
	gateway := c.gateways[0]
	began := time.Now()
	stopAt := began.Add(sentBeforeStop)
	results := make(chan error, slowClients)
	for i := range slowClients {
		go func() { results <- p.slowClient(i, gateway.address(portFront), stopAt.Add(furtherAfter)) }()
	}
	time.Sleep(time.Until(stopAt))
	if p.trouble {
		gateway.signal(syscall.SIGTERM)
		p.record.logf("platform: SIGTERM to %s", gateway.name)
	}
	lost := 0
	for range slowClients {
		if err := <-results; err != nil {
			lost++
		}
	}
	if p.trouble {
		p.record.logf("platform: %s ended: %v, %.1f s after the SIGTERM", gateway.name, gateway.awaitEnd(time.Until(stopAt.Add(6*time.Second))), time.Since(stopAt).Seconds())
	}
	for _, w := range workers {
		w.close()
	}
	p.record.logf("%d of %d requests that ran have no complete answer", lost, slowClients)
	switch {
	case lost > 0 && p.trouble:
		return broken
	case lost > 0:
		return failed
	default:
		return held
	}
}

// slowClient requests a download on a connection that has served a request before, reads it
// slowly, and sends a further request meanwhile. It returns an error if the answer to the
// download isn't complete. The further request may stay unanswered.
func (p *play) slowClient(i int, address string, furtherAt time.Time) error {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	began := time.Now()
	_ = conn.SetDeadline(began.Add(packDeadline))
	id := rand.Text()
	if err := sendGet(conn, fmt.Sprintf("/pack/%d", i), id); err != nil {
		return err
	}
	go func() {
		time.Sleep(time.Until(furtherAt))
		further := rand.Text()
		err := sendGet(conn, fmt.Sprintf("/pack/further-%d", i), further)
		p.record.logf("client %d: sends a further GET, Attempt-Id %s, before the first answer is read: %v", i, further, err)
	}()
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, readPiece), nil)
	if err != nil {
		p.record.logf("client %d: Attempt-Id %s: no answer: %v", i, id, err)
		return err
	}
	defer response.Body.Close()
	n := 0
	piece := make([]byte, readPiece)
	for {
		read, err := response.Body.Read(piece)
		n += read
		if errors.Is(err, io.EOF) {
			p.record.logf("client %d: Attempt-Id %s: %d, whole, %d bytes after %.1f s", i, id, response.StatusCode, n, time.Since(began).Seconds())
			return nil
		}
		if err != nil {
			p.record.logf("client %d: Attempt-Id %s: %d, its body ends after %d of %d bytes, %.1f s after it was sent (deadline %.0f s): %v",
				i, id, response.StatusCode, n, response.ContentLength, time.Since(began).Seconds(), packDeadline.Seconds(), err)
			return err
		}
		time.Sleep(readPause)
	}
}

// sendGet sends a request without waiting for its answer.
func sendGet(conn net.Conn, path, id string) error {
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, host, id, packDeadline.Milliseconds())
	return err
}
