package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is one worker at a fixed address. Each start is an incarnation of its own.
type worker struct {
	fleet   *fleet
	address string
	service string
	zone    zone
	slots   int
	work    time.Duration
	coldFor time.Duration
	// run is called when the worker begins to work on a request; crash ends the worker.
	run func(w *worker, r *http.Request, crash func())
	// answer, if set, may answer a request that the worker runs in its own way; it
	// returns false for all others.
	answer func(w *worker, out http.ResponseWriter, r *http.Request, crash func()) bool

	// keepID means that it starts again under the ID that it had.
	keepID bool

	mu       sync.Mutex
	draining bool
	id       string
	born     int64
	sequence int64
	server   *http.Server
	up       bool
	coldTill time.Time
	running  chan struct{}
	waiting  int
	ended    chan struct{}
	starts   int
}

// start begins a new incarnation.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.starts++
	if !w.keepID || w.id == "" {
		w.id = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	w.born, w.sequence, w.up, w.draining = time.Now().UnixMilli(), 0, true, false
	if w.starts > 1 {
		w.coldTill = time.Now().Add(w.coldFor)
	}
	w.running, w.waiting, w.ended = make(chan struct{}, w.slots), 0, make(chan struct{})
	ended, id := w.ended, w.id
	w.server = &http.Server{Handler: w}
	server := w.server
	w.mu.Unlock()
	w.fleet.record.write("worker %s %s %s starts as %s", w.service, w.zone.name, w.address, id)
	go func() { _ = server.Serve(l) }()
	go w.beat(ended)
	return nil
}

// crash ends the worker at once: all its connections are closed and it sends nothing.
// It is back after the given time.
func (w *worker) crash(back time.Duration) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	close(w.ended)
	server, id := w.server, w.id
	w.mu.Unlock()
	w.fleet.record.write("worker %s %s crashes", w.service, id)
	_ = server.Close()
	if back > 0 {
		time.AfterFunc(back, func() {
			if err := w.start(); err != nil {
				w.fleet.record.say("worker at %s: %v", w.address, err)
			}
		})
	}
}

// beat sends heartbeats until the incarnation has ended.
func (w *worker) beat(ended chan struct{}) {
	for {
		w.heartbeat()
		select {
		case <-ended:
			return
		case <-time.After(w.fleet.heartbeat):
		}
	}
}

// heartbeat sends one heartbeat, to the next daemon if one doesn't acknowledge it.
func (w *worker) heartbeat() bool {
	w.mu.Lock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"address": w.address, "born": w.born,
		"info":   map[string]any{"service": w.service, "version": "v1", "zone": w.zone.name, "slots": w.slots},
		"status": map[string]any{"state": state, "sequence": w.sequence, "coldRemainingS": max(0, time.Until(w.coldTill).Seconds())},
	})
	id := w.id
	w.mu.Unlock()
	for _, i := range rand.Perm(len(w.fleet.cores)) {
		url := fmt.Sprintf("http://%s:%d/instances/%s", w.fleet.cores[i].ip, controlPort, id)
		if status, _, err := call(http.MethodPut, url, body, time.Second); err == nil && status/100 == 2 {
			return true
		}
	}
	return false
}

// restart stops the worker as planned and starts it again after a pause: it reports that
// it drains, goes on for the drain time after the acknowledgement, deregisters and ends.
func (w *worker) restart(drain, pause time.Duration) error {
	w.mu.Lock()
	w.draining = true
	id := w.id
	w.mu.Unlock()
	acked := w.heartbeat()
	w.fleet.record.write("worker %s reports that it drains: acknowledged %v", id, acked)
	time.Sleep(drain)
	w.mu.Lock()
	w.up = false
	close(w.ended)
	server := w.server
	w.mu.Unlock()
	for _, i := range rand.Perm(len(w.fleet.cores)) {
		url := fmt.Sprintf("http://%s:%d/instances/%s", w.fleet.cores[i].ip, controlPort, id)
		status, _, err := call(http.MethodDelete, url, nil, time.Second)
		w.fleet.record.write("worker %s deregisters at %s: status %d %v", id, w.fleet.cores[i].name, status, err)
		if err == nil && status/100 == 2 {
			break
		}
	}
	_ = server.Close()
	time.Sleep(pause)
	return w.start()
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", attempt)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.mu.Lock()
	id, running, ended := w.id, w.running, w.ended
	reject := w.waiting >= 3*w.slots
	if !reject {
		w.waiting++
	}
	w.mu.Unlock()
	notRun := func(status int) {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(status)
	}
	if e := r.Header.Get("Expected-Instance"); e != "" && e != id {
		notRun(http.StatusMisdirectedRequest)
		return
	}
	if reject {
		notRun(http.StatusServiceUnavailable)
		return
	}
	left := time.Minute
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	deadline := time.After(left)
	select {
	case running <- struct{}{}:
		w.leaveQueue()
		defer func() { <-running }()
	case <-deadline:
		w.leaveQueue()
		notRun(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		w.leaveQueue()
		return
	}
	w.run(w, r, func() { w.crash(crashBack) })
	if w.answer != nil && w.answer(w, out, r, func() { w.crash(crashBack) }) {
		panic(http.ErrAbortHandler)
	}
	work := w.work
	w.mu.Lock()
	if time.Now().Before(w.coldTill) {
		work *= 2
	}
	w.mu.Unlock()
	select {
	case <-time.After(work):
	case <-deadline:
		out.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-ended:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	out.Header().Set("Response-Signature", "sig."+attempt)
	out.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(running), 0, w.slots))
	_, _ = out.Write([]byte("answer to " + attempt))
}

func (w *worker) leaveQueue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
}
