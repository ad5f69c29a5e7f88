package main

import (
	"net/http"
	"sync"
	"time"
)

// playSameID plays a planned restart of a service's workers, one after the other. Each is
// back soon under the ID that it had. Then a route to the service is added.
func playSameID(f *fleet, trouble bool) (bool, error) {
	const drain, pause, gap = 2500 * time.Millisecond, 400 * time.Millisecond, time.Second
	must(f.startAll())
	f.startWorkers(map[string]serviceSpec{"belt-control": {20, 3, 100 * time.Millisecond, false}, "lot-ledger": {12, 3, 100 * time.Millisecond, true}},
		func(w *worker, r *http.Request, _ func()) {
			f.record.write("worker %s %s runs %s %s %s", w.service, w.id, r.Header.Get("Attempt-Id"), r.Method, r.URL.Path)
		})
	routes := []routeSpec{
		{"/status/", "safe", "belt-control", 0.3, 0.8, 2, 2},
		{"/divert/", "unsafe", "belt-control", 0.4, 1, 2, 1},
	}
	if err := f.configure(configuration(1, 0, routes, "belt-control", "lot-ledger"), 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	first := []request{
		{method: http.MethodGet, host: host, path: "/status/", deadline: 2500 * time.Millisecond},
		{method: http.MethodPost, host: host, path: "/divert/", body: []byte("{}"), deadline: 3 * time.Second},
	}
	done := make(chan struct{})
	onFirst := newCrashing(f, 3*time.Second)
	others := onFirst.traffic(24, first, done)
	if trouble {
		var restarts sync.WaitGroup
		for _, w := range f.workers {
			if w.service != "lot-ledger" {
				continue
			}
			restarts.Go(func() { must(w.restart(drain, pause)) })
			time.Sleep(gap)
		}
		restarts.Wait()
		f.record.say("the 12 workers of lot-ledger were restarted, one after the other, and run again under their IDs")
	}
	time.Sleep(3500 * time.Millisecond)
	routes = append(routes, routeSpec{"/close/", "unsafe", "lot-ledger", 0.25, 0.6, 2, 0})
	if err := f.configure(configuration(2, 1, routes, "belt-control", "lot-ledger"), 10*time.Second); err != nil {
		return false, err
	}
	f.record.say("version r2 is acknowledged; it adds a route to lot-ledger")
	time.Sleep(4 * time.Second)
	later := make(chan struct{})
	onAdded := newCrashing(f, 3*time.Second)
	added := onAdded.traffic(12, []request{{method: http.MethodPost, host: host, path: "/close/", body: []byte("{}"), deadline: 1500 * time.Millisecond}}, later)
	time.Sleep(20 * time.Second)
	close(later)
	added.Wait()
	close(done)
	others.Wait()
	rate := func(c *crashing) (share float64, n int) {
		for _, k := range c.others {
			n += k
		}
		return float64(c.others[http.StatusOK]) / float64(max(n, 1)), n
	}
	firstShare, _ := rate(onFirst)
	addedShare, n := rate(onAdded)
	f.record.say("requests on the first routes, by status: %v; served: %.2f", onFirst.others, firstShare)
	f.record.say("requests on the route added later, by status: %v; served: %.2f", onAdded.others, addedShare)
	return n >= 20 && addedShare < firstShare/4, nil
}
