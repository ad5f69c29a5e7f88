package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// crashAfter is how long a worker has worked on the crashing request when it ends.
	crashAfter = 300 * time.Millisecond
	// leaveAfter is when the client leaves: half the latency objective of the route.
	leaveAfter = 200 * time.Millisecond
)

// playLeft plays a request that crashes each worker that begins to run it, from a client
// that leaves before that.
func playLeft(f *fleet, trouble bool) (bool, error) {
	crashBack = 4 * time.Second
	c := newCrashing(f, 3*time.Second)
	crashing := request{method: http.MethodPost, host: host, path: "/divert/bin-7", body: []byte(`{"bin":7,"reject":true}`), deadline: 3 * time.Second}
	if trouble {
		crashing.patience = leaveAfter
	}
	must(f.startAll())
	f.startWorkers(map[string]serviceSpec{"belt-control": {20, 3, 200 * time.Millisecond, false}, "lot-ledger": {12, 3, 150 * time.Millisecond, false}},
		func(w *worker, r *http.Request, crash func()) {
			id := r.Header.Get("Attempt-Id")
			f.record.write("worker %s %s runs %s %s %s", w.service, w.id, id, r.Method, r.URL.Path)
			if r.URL.Path != crashing.path {
				return
			}
			// It crashes the worker that began to run it, whether the client stays or not.
			time.Sleep(crashAfter)
			c.ran(id)
			crash()
		})
	err := f.configure(configuration(1, 0, []routeSpec{
		{"/status/", "safe", "belt-control", 0.3, 0.8, 2, 2},
		{"/divert/", "unsafe", "belt-control", 0.4, 1, 2, 1},
		{"/close/", "unsafe", "lot-ledger", 0.25, 0.6, 2, 0},
	}, "belt-control", "lot-ledger"), 15*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	done := make(chan struct{})
	others := c.traffic(24, []request{
		{method: http.MethodGet, host: host, path: "/status/", deadline: 2500 * time.Millisecond},
		{method: http.MethodPost, host: host, path: "/close/", body: []byte("{}"), deadline: 1500 * time.Millisecond},
	}, done)
	time.Sleep(3 * time.Second)
	var repeats sync.WaitGroup
	for range 30 {
		address := c.anyFront()
		repeats.Go(func() { c.send(address, crashing) })
		time.Sleep(time.Second)
	}
	repeats.Wait()
	time.Sleep(time.Second)
	close(done)
	others.Wait()
	return c.judge(), nil
}
