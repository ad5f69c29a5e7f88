package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a sound worker: it announces itself, checks Expected-Instance, runs requests and
// signs its answers.
type worker struct {
	cluster *cluster
	id      string
	service string
	zone    string
	slots   int
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// ran is called when a request begins to run.
	ran func(w *worker, r *http.Request, body []byte)
	// answer, if set, writes the body of the answer.
	answer func(w http.ResponseWriter, r *http.Request, body []byte)

	listener net.Listener
	server   *http.Server
	born     int64
	stop     context.CancelFunc

	mu       sync.Mutex
	sequence int
	state    string
	// acknowledged and refused count the heartbeats.
	acknowledged, refused int
}

// startAgainThere starts a worker anew after close, under its id, at its address, on a machine
// whose time of day is off by the given time: a new incarnation that knows nothing of before.
func (w *worker) startAgainThere(i int, off time.Duration) (*worker, error) {
	next, err := w.again(i, off)
	if err == nil {
		next.run()
	}
	return next, err
}

// again is startAgainThere without the start.
func (w *worker) again(i int, off time.Duration) (*worker, error) {
	next, err := newWorker(w.cluster, i, w.service, w.zone, w.slots)
	if err != nil {
		return nil, err
	}
	_ = next.listener.Close()
	if next.listener, err = net.Listen("tcp", w.listener.Addr().String()); err != nil {
		return nil, err
	}
	next.id, next.work, next.ran, next.answer = w.id, w.work, w.ran, w.answer
	next.born = time.Now().Add(off).UnixMilli()
	return next, nil
}

// newWorker starts a worker at an address of its own.
func newWorker(c *cluster, i int, service, zone string, slots int) (*worker, error) {
	w := &worker{
		cluster: c, id: fmt.Sprintf("i-%s-%d-%d", service, i, time.Now().UnixNano()%100000), service: service, zone: zone, slots: slots,
		born: time.Now().UnixMilli(), state: "ready", work: func(*http.Request) time.Duration { return 20 * time.Millisecond },
		ran: func(*worker, *http.Request, []byte) {},
	}
	var err error
	if w.listener, err = net.Listen("tcp", fmt.Sprintf("%s.%d:0", c.net, 200+i)); err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 9 * time.Second}
	return w, nil
}

// run serves requests and sends heartbeats until close.
func (w *worker) run() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go func() { _ = w.server.Serve(w.listener) }()
	go w.beat(ctx)
}

func (w *worker) close() {
	w.stop()
	_ = w.server.Close()
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Instance-Id", w.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", id)
	if e := r.Header.Get("Expected-Instance"); e != "" && e != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.ran(w, r, body)
	select {
	case <-time.After(w.work(r)):
	case <-r.Context().Done():
		return
	}
	out.Header().Set("Response-Signature", "s."+id)
	if w.answer != nil {
		w.answer(out, r, body)
		return
	}
	_, _ = fmt.Fprintf(out, "%s %s %d %s", r.Method, r.RequestURI, len(body), id)
}

// announce sends one heartbeat, to one controller after the other until one acknowledges it.
func (w *worker) announce() bool {
	w.mu.Lock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": w.listener.Addr().String(), "born": w.born,
		"info":   map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
		"status": map[string]any{"state": w.state, "sequence": w.sequence, "coldRemainingS": 0},
	})
	w.mu.Unlock()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range w.cluster.controllers {
		v := w.cluster.controllers[(i+w.sequence)%len(w.cluster.controllers)]
		request, err := http.NewRequest(http.MethodPut, "http://"+v.address(portControl)+"/instances/"+w.id, bytes.NewReader(body))
		if err != nil {
			return false
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// setState sets the state that the next heartbeats report.
func (w *worker) setState(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

// deregister sends DELETE /instances/ID, to one controller after the other until one
// acknowledges it.
func (w *worker) deregister() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, v := range w.cluster.controllers {
		request, err := http.NewRequest(http.MethodDelete, "http://"+v.address(portControl)+"/instances/"+w.id, nil)
		if err != nil {
			return false
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

func (w *worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		acknowledged := w.announce()
		w.mu.Lock()
		if acknowledged {
			w.acknowledged++
		} else {
			w.refused++
		}
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(1500 * time.Millisecond):
		}
	}
}
