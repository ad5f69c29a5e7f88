package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// call sends one request on a connection of its own.
func call(method, url string, body []byte, timeout time.Duration) (int, []byte, error) {
	status, _, out, err := callWith(method, url, "", nil, body, timeout)
	return status, out, err
}

func callWith(method, url, host string, header map[string]string, body []byte, timeout time.Duration) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	r.Host = host
	for name, value := range header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	in, err := transport.RoundTrip(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = in.Body.Close() }()
	out, err := io.ReadAll(in.Body)
	return in.StatusCode, in.Header, out, err
}

// configure sends a configuration until a daemon acknowledges it.
func (f *fleet) configure(body []byte, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		m := f.cores[rand.IntN(len(f.cores))]
		status, out, err := call(http.MethodPut, fmt.Sprintf("http://%s:%d/config", m.ip, controlPort), body, 2*time.Second)
		if err == nil && status == http.StatusOK {
			f.record.write("configuration acknowledged by %s", m.name)
			return nil
		}
		f.record.write("configuration: %s answers %d %.80s %v", m.name, status, out, err)
	}
	return errors.New("the first configuration was not acknowledged")
}

// resolve asks the directory for the fronts of a zone.
func (f *fleet) resolve(host string, z zone) ([]string, error) {
	var last error
	for _, i := range rand.Perm(len(f.cores)) {
		url := fmt.Sprintf("http://%s:%d/resolve?name=%s&region=%s&zone=%s", f.cores[i].ip, directoryPort, host, z.region, z.name)
		status, out, err := call(http.MethodGet, url, nil, time.Second)
		var answer struct{ Addresses []string }
		if err == nil && status == http.StatusOK && json.Unmarshal(out, &answer) == nil && len(answer.Addresses) > 0 {
			return answer.Addresses, nil
		}
		last = fmt.Errorf("directory: %d %w", status, err)
	}
	return nil, last
}

var attempts atomic.Int64

// request is one client attempt.
type request struct {
	method, host, path string
	body               []byte
	// object is sent as the cookie Affinity-Key.
	object   string
	deadline time.Duration
	// patience is the time after which the client closes its connection; 0 if it waits
	// until the deadline.
	patience time.Duration
}

// send sends the attempt to the front at an address and returns its ID and status; the
// status is 0 if there was no complete answer.
func (f *fleet) send(address string, q request) (string, int) {
	id := fmt.Sprintf("%016x", uint64(attempts.Add(1))<<32|uint64(rand.Uint32()))
	return id, f.sendAs(id, address, q)
}

func (f *fleet) sendAs(id, address string, q request) int {
	header := map[string]string{"Attempt-Id": id, "Deadline-Ms": fmt.Sprint(q.deadline.Milliseconds())}
	if q.object != "" {
		header["Cookie"] = "Affinity-Key=" + q.object
	}
	timeout := q.deadline
	if q.patience > 0 {
		timeout = q.patience
	}
	status, _, _, err := callWith(q.method, "http://"+address+q.path, q.host, header, q.body, timeout)
	if err != nil {
		f.record.write("request %s to %s: no answer: %v", id, address, err)
		return 0
	}
	return status
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
