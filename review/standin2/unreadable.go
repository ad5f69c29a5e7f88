package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// foreignBeat is a heartbeat of a writer that isn't a worker.
type foreignBeat struct {
	// path is the path of the call with its escapes.
	path string
	// body is the call's body; the sequence is added to its status.
	body map[string]any
}

// foreignHeartbeats sends the heartbeats of another writer, each to the next daemon that
// serves control, until done is closed.
func (f *fleet) foreignHeartbeats(b foreignBeat, done <-chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; ; n++ {
			b.body["status"].(map[string]any)["sequence"] = n + 1
			body, _ := json.Marshal(b.body)
			m := f.cores[n%len(f.cores)]
			status, out, err := call(http.MethodPut, fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, b.path), body, time.Second)
			f.record.write("heartbeat of another writer, PUT %s %s, to %s: status %d %.60s %v", b.path, body, m.name, status, out, err)
			select {
			case <-done:
				return
			case <-time.After(f.heartbeat):
			}
		}
	})
	return &group
}

// versions follows which service the moved route goes to in each version.
type versions struct {
	mu      sync.Mutex
	service []string
	sent    []time.Time
	acked   []time.Time
}

// allowed reports whether a request sent at a time may be run by a service: that of the
// newest version acknowledged longer than applyS before, or of a later one.
func (v *versions) allowed(sent time.Time, service string, apply time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	first := 0
	for i, at := range v.acked {
		if sent.Sub(at) > apply {
			first = i
		}
	}
	for _, s := range v.service[first:] {
		if s == service {
			return true
		}
	}
	return false
}

// playUnreadable plays heartbeats of another writer whose name can't be read, and changes
// of the configuration.
func playUnreadable(f *fleet, trouble bool) (bool, error) {
	const apply, window = 2 * time.Second, 3 * time.Second
	const moved = "/stamp/"
	v := &versions{service: []string{"lot-ledger"}, sent: []time.Time{time.Now()}, acked: []time.Time{time.Now()}}
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	old := 0
	must(f.startAll())
	f.startWorkers(map[string]serviceSpec{"belt-control": {20, 3, 100 * time.Millisecond, false}, "lot-ledger": {12, 3, 100 * time.Millisecond, false}},
		func(w *worker, r *http.Request, _ func()) {
			id := r.Header.Get("Attempt-Id")
			f.record.write("worker %s %s runs %s %s %s", w.service, w.id, id, r.Method, r.URL.Path)
			mu.Lock()
			defer mu.Unlock()
			if at, known := sentAt[id]; known && !v.allowed(at, w.service, apply) {
				old++
				f.record.write("request %s was run by %s, as only an older version allows", id, w.service)
			}
		})
	routes := func(service string, added int) []routeSpec {
		all := []routeSpec{
			{"/status/", "safe", "belt-control", 0.3, 0.8, 2, 2},
			{"/close/", "unsafe", "lot-ledger", 0.25, 0.6, 2, 0},
			{moved, "unsafe", service, 0.25, 0.6, 2, 1},
		}
		for n := 2; n <= added; n++ {
			all = append(all, routeSpec{fmt.Sprintf("/added%d/", n), "unsafe", "lot-ledger", 0.25, 0.6, 2, 1})
		}
		return all
	}
	if err := f.configure(configuration(1, 0, routes("lot-ledger", 1), "belt-control", "lot-ledger"), 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	c := newCrashing(f, window)
	done := make(chan struct{})
	others := c.traffic(24, []request{
		{method: http.MethodGet, host: host, path: "/status/", deadline: 2500 * time.Millisecond},
		{method: http.MethodPost, host: host, path: "/close/", body: []byte("{}"), deadline: 1500 * time.Millisecond},
	}, done)
	time.Sleep(2 * time.Second)
	foreign := &sync.WaitGroup{}
	if trouble {
		foreign = f.foreignHeartbeats(foreignBeat{"/instances/b%FCro-1", map[string]any{
			"address": f.workerAddress(90), "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "print-desk", "version": "v1", "zone": f.zones[0].name, "slots": 1},
			"status": map[string]any{"state": "ready", "coldRemainingS": 0},
		}}, done)
	}
	time.Sleep(12 * time.Second)
	notFound := 0
	for version := 2; version <= 5; version++ {
		service := []string{"lot-ledger", "belt-control"}[(version+1)%2]
		v.mu.Lock()
		v.service, v.sent = append(v.service, service), append(v.sent, time.Now())
		v.mu.Unlock()
		began := time.Now()
		if err := f.configure(configuration(version, version-1, routes(service, version), "belt-control", "lot-ledger"), 10*time.Second); err != nil {
			f.record.say("version r%d: %v", version, err)
			break
		}
		acked := time.Now()
		v.mu.Lock()
		v.acked = append(v.acked, acked)
		v.mu.Unlock()
		f.record.say("version r%d is acknowledged after %v; it adds the route /added%d/ and sends %s to %s", version, acked.Sub(began).Round(time.Millisecond), version, moved, service)
		for end := acked.Add(7 * time.Second); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
			var group sync.WaitGroup
			for _, m := range f.fronts {
				for _, path := range []string{fmt.Sprintf("/added%d/lot-5", version), moved + "lot-5"} {
					group.Go(func() {
						id, sent := newID(), time.Now()
						mu.Lock()
						if path == moved+"lot-5" {
							sentAt[id] = sent
						}
						mu.Unlock()
						status := f.sendAs(id, addressOf(m), request{method: http.MethodPost, host: host, path: path, body: []byte("{}"), deadline: 2 * time.Second})
						f.record.write("request %s %s to %s, sent %.1f s after the acknowledgement of r%d: status %d", id, path, m.name, sent.Sub(acked).Seconds(), version, status)
						mu.Lock()
						defer mu.Unlock()
						if sent.Sub(acked) > apply && status == http.StatusNotFound {
							notFound++
						}
					})
				}
			}
			group.Wait()
		}
		mu.Lock()
		f.record.say("requests sent later than %v after an acknowledgement: refused with 404 though the route is there: %d; run by the old service: %d", apply, notFound, old)
		mu.Unlock()
	}
	close(done)
	others.Wait()
	foreign.Wait()
	f.record.say("other requests by status: %v", c.others)
	return notFound+old > 0, nil
}
