package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

// playBadByte plays a configuration in which one byte of a name can't be read.
func playBadByte(f *fleet, trouble bool) (bool, error) {
	must(f.startAll())
	f.startWorkers(map[string]serviceSpec{"belt-control": {20, 3, 100 * time.Millisecond, false}, "lot-ledger": {12, 3, 100 * time.Millisecond, false}},
		func(w *worker, r *http.Request, _ func()) {
			f.record.write("worker %s %s runs %s %s %s", w.service, w.id, r.Header.Get("Attempt-Id"), r.Method, r.URL.Path)
		})
	routes := []routeSpec{
		{"/status/", "safe", "belt-control", 0.3, 0.8, 2, 2},
		{"/close/", "unsafe", "lot-ledger", 0.25, 0.6, 2, 0},
	}
	if err := f.configure(configuration(1, 0, routes, "belt-control", "lot-ledger"), 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	kinds := []request{
		{method: http.MethodGet, host: host, path: "/status/", deadline: 2500 * time.Millisecond},
		{method: http.MethodPost, host: host, path: "/close/", body: []byte("{}"), deadline: 1500 * time.Millisecond},
	}
	play := func(what string) map[int]int {
		c := newCrashing(f, 3*time.Second)
		done := make(chan struct{})
		others := c.traffic(24, kinds, done)
		time.Sleep(5 * time.Second)
		close(done)
		others.Wait()
		f.record.say("requests %s, by status: %v", what, c.others)
		return c.others
	}
	play("before the change")
	body := configuration(2, 1, append(routes, routeSpec{"/stamp/", "unsafe", "lot-ledger", 0.25, 0.6, 2, 1}), "belt-control", "lot-ledger")
	if trouble {
		// One byte of the host's name is damaged: it is neither ASCII nor part of a character.
		body = bytes.Replace(body, []byte(host), []byte("orders.ex\xffmple"), 1)
	}
	m := f.cores[0]
	status, out, err := call(http.MethodPut, fmt.Sprintf("http://%s:%d/config", m.ip, controlPort), body, 4*time.Second)
	f.record.say("version r2, sent once to %s: status %d %.80s %v", m.name, status, out, err)
	f.record.write("the body was %q", body)
	time.Sleep(3 * time.Second)
	play("later than configApplyS after it")
	return trouble && status == http.StatusOK, nil
}
