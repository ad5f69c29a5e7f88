package main

import (
	"net/http"
	"sync"
	"time"
)

// playHalf plays a request that crashes each worker that begins to run it: while the
// worker sends its answer, or, without the trouble, before that.
func playHalf(f *fleet, trouble bool) (bool, error) {
	crashBack = 4 * time.Second
	c := newCrashing(f, 3*time.Second)
	crashing := request{method: http.MethodPost, host: host, path: "/divert/bin-7", body: []byte(`{"bin":7,"reject":true}`), deadline: 3 * time.Second}
	must(f.startAll())
	f.startAnswering(map[string]serviceSpec{"belt-control": {20, 3, 200 * time.Millisecond, false}, "lot-ledger": {12, 3, 150 * time.Millisecond, false}},
		func(w *worker, r *http.Request, _ func()) {
			f.record.write("worker %s %s runs %s %s %s", w.service, w.id, r.Header.Get("Attempt-Id"), r.Method, r.URL.Path)
		},
		func(_ *worker, out http.ResponseWriter, r *http.Request, crash func()) bool {
			if r.URL.Path != crashing.path {
				return false
			}
			id := r.Header.Get("Attempt-Id")
			time.Sleep(100 * time.Millisecond)
			if trouble {
				out.Header().Set("Response-Signature", "sig."+id)
				out.Header().Set("Content-Length", "1500")
				_, _ = out.Write([]byte("the first bytes of the answer"))
				_ = http.NewResponseController(out).Flush()
				time.Sleep(20 * time.Millisecond)
			}
			c.ran(id)
			crash()
			return true
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
