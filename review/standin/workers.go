package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of an endpoint.
type worker struct {
	system            *system
	id, address, zone string
	slots             int
	work              time.Duration
	born              int64
	sequence          atomic.Int64
	running           atomic.Int64
	calls             *caller
	server            *http.Server
	ctx               context.Context
	cancel            context.CancelFunc
	// firstBeat is the daemon that gets the first announcement; "" for any.
	firstBeat string

	mu sync.Mutex
	// arrivals holds the requests that reached the worker.
	arrivals []arrival
}

// arrival is a request that reached a worker and wasn't refused.
type arrival struct {
	at          time.Time
	attempt, by string
}

// startWorker starts a worker at an IP address; it announces itself.
func startWorker(s *system, id, ip, zone, firstBeat string) (*worker, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{system: s, id: id, address: listener.Addr().String(), zone: zone, slots: 3, work: 300 * time.Millisecond,
		born: time.Now().UnixMilli(), calls: newCaller(s, "worker "+id), firstBeat: firstBeat}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	s.record.add("worker %s starts at %s", id, w.address)
	go w.beat()
	return w, nil
}

// beat announces the worker each heartbeat.
func (w *worker) beat() {
	for w.ctx.Err() == nil {
		w.announce("ready")
		select {
		case <-w.ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// announcement returns the worker's next announcement.
func (w *worker) announcement(state string) []byte {
	body, _ := json.Marshal(m{"address": w.address, "born": w.born,
		"info":   m{"service": "desk", "version": "v1", "zone": w.zone, "slots": w.slots},
		"status": m{"state": state, "sequence": w.sequence.Add(1), "coldRemainingS": 0}})
	return body
}

// announce sends one announcement, to the next daemon until one acknowledges it.
func (w *worker) announce(state string) string {
	body := w.announcement(state)
	ips := w.system.core()
	rand.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
	if w.firstBeat != "" {
		ips = append([]string{w.firstBeat}, ips...)
	}
	for _, ip := range ips {
		if status, text := w.calls.once(http.MethodPut, ip, "/instances/"+w.id, body); status/100 == 2 && len(text) <= 4096 {
			return ip
		}
	}
	return ""
}

// deregister is how a worker leaves that never reports draining: it ends its
// announcements, sends DELETE, to the named daemon first, and goes on serving. It returns when the call was
// acknowledged, and by whom.
func (w *worker) deregister(first string) (time.Time, string) {
	w.cancel()
	ips := append([]string{first}, w.system.core()...)
	for range 3 {
		for _, ip := range ips {
			status, _ := w.calls.once(http.MethodDelete, ip, "/instances/"+w.id, nil)
			w.system.record.add("worker %s: DELETE /instances/%s to %s: %s", w.id, w.id, ip, statusText(status))
			if status/100 == 2 {
				return time.Now(), ip
			}
		}
	}
	return time.Time{}, ""
}

// end ends the worker.
func (w *worker) end() {
	w.cancel()
	_ = w.server.Close()
}

// serve runs a request.
func (w *worker) serve(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path == "/health" {
		out.Header().Set("Instance-Id", w.id)
		return
	}
	_, _ = io.Copy(io.Discard, in.Body)
	attempt := in.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", attempt)
	running := w.running.Add(1)
	defer w.running.Add(-1)
	out.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running, w.slots))
	if expected := in.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if running > int64(4*w.slots) {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	by, _, _ := net.SplitHostPort(in.RemoteAddr)
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{time.Now(), attempt, by})
	w.mu.Unlock()
	w.system.record.add("worker %s runs %s, sent on by %s", w.id, attempt, by)
	select {
	case <-time.After(w.work):
	case <-in.Context().Done():
		return
	}
	out.Header().Set("Response-Signature", "standin."+w.id+"."+attempt)
	_, _ = io.WriteString(out, "done "+attempt)
}

// after returns the requests that reached the worker later than a time.
func (w *worker) after(at time.Time) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []arrival
	for _, a := range w.arrivals {
		if a.at.After(at) {
			out = append(out, a)
		}
	}
	return out
}
