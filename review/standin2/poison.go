package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// crashBack is how long a worker that a request crashed is away.
var crashBack = 3 * time.Second

// crashing judges the rule on requests that crash the workers that run them.
type crashing struct {
	fleet  *fleet
	window time.Duration

	mu sync.Mutex
	// sentAt and inTouch describe the attempts of the crashing request by their IDs.
	sentAt  map[string]time.Time
	inTouch map[string]bool
	// reached lists the IDs in the order in which they first reached a worker.
	reached []string
	crashes []time.Time
	others  map[int]int
}

func newCrashing(f *fleet, window time.Duration) *crashing {
	return &crashing{fleet: f, window: window, sentAt: make(map[string]time.Time), inTouch: make(map[string]bool), others: make(map[int]int)}
}

// ran notes that a worker began to run an attempt and crashes.
func (c *crashing) ran(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
	for _, other := range c.reached {
		if other == id {
			return
		}
	}
	c.reached = append(c.reached, id)
}

// retriesAfterThird counts the attempts that reached a worker and were sent by machines
// in touch later than the window after the third crash.
func (c *crashing) retriesAfterThird() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < 3 {
		return 0
	}
	n := 0
	for _, id := range c.reached {
		if c.inTouch[id] && c.sentAt[id].Sub(c.crashes[2]) > c.window {
			n++
		}
	}
	return n
}

// send sends the crashing request to a front.
func (c *crashing) send(address string, q request) int {
	id := newID()
	now := time.Now()
	c.mu.Lock()
	// Nothing disturbs the fronts and their links; so they are in touch while the core is stable.
	c.sentAt[id], c.inTouch[id] = now, c.fleet.stableFor(c.window)
	touch := c.inTouch[id]
	c.mu.Unlock()
	status := c.fleet.sendAs(id, address, q)
	c.mu.Lock()
	crashes := len(c.crashes)
	c.mu.Unlock()
	c.fleet.record.say("repeated request %s to %s (in touch: %v): status %d, workers crashed so far: %d", id, address, touch, status, crashes)
	return status
}

// traffic sends other requests of the kinds, so many a second, until done is closed.
func (c *crashing) traffic(perSecond int, kinds []request, done <-chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(time.Second / time.Duration(perSecond)):
			}
			q := kinds[n%len(kinds)]
			q.object = objectName(rand.IntN(24))
			q.path += q.object
			address := c.anyFront()
			group.Go(func() {
				id, status := c.fleet.send(address, q)
				c.fleet.record.write("request %s %s %s to %s: status %d", id, q.method, q.path, address, status)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.others[status]++
			})
		}
	})
	return &group
}

// anyFront returns a front that the directory names to clients of some zone.
func (c *crashing) anyFront() string {
	z := c.fleet.zones[rand.IntN(len(c.fleet.zones))]
	all, err := c.fleet.resolve(host, z)
	if err != nil {
		m := c.fleet.fronts[rand.IntN(len(c.fleet.fronts))]
		return addressOf(m)
	}
	return all[rand.IntN(len(all))]
}

// startWorkers starts the workers of the services.
func (f *fleet) startWorkers(services map[string]serviceSpec, run func(w *worker, r *http.Request, crash func())) {
	f.startAnswering(services, run, nil)
}

// startAnswering is startWorkers with workers that answer some requests in their own way.
func (f *fleet) startAnswering(services map[string]serviceSpec, run func(w *worker, r *http.Request, crash func()),
	answer func(w *worker, out http.ResponseWriter, r *http.Request, crash func()) bool,
) {
	n := 0
	for _, name := range sortedNames(services) {
		s := services[name]
		for i, count := range workersByZone[s.workers] {
			for range count {
				w := &worker{
					fleet: f, address: f.workerAddress(n), service: name, zone: f.zones[i], slots: s.slots, work: s.work,
					coldFor: 3 * time.Second, run: run, answer: answer, keepID: s.keepID,
				}
				n++
				f.workers = append(f.workers, w)
				must(w.start())
			}
		}
	}
}

// playTurned plays a request that was answered a moment ago and from then on crashes
// each worker that begins to run it. No machine and no link is disturbed.
func playTurned(f *fleet, trouble bool) (bool, error) {
	crashBack = 8 * time.Second
	c := newCrashing(f, 3*time.Second)
	repeated := request{method: http.MethodPost, host: host, path: "/divert/bin-7", body: []byte(`{"bin":7,"reject":true}`), object: "bin-7", deadline: 3 * time.Second}
	var mu sync.Mutex
	crashes := false
	must(f.startAll())
	f.startWorkers(map[string]serviceSpec{"belt-control": {20, 3, 200 * time.Millisecond, false}, "lot-ledger": {12, 3, 150 * time.Millisecond, false}},
		func(w *worker, r *http.Request, crash func()) {
			id := r.Header.Get("Attempt-Id")
			f.record.write("worker %s %s runs %s %s %s", w.service, w.id, id, r.Method, r.URL.Path)
			mu.Lock()
			turned := crashes
			mu.Unlock()
			if r.URL.Path == repeated.path && turned {
				c.ran(id)
				crash()
			}
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
	time.Sleep(2 * time.Second)
	ok := 0
	for range 12 {
		if c.send(c.anyFront(), repeated) == http.StatusOK {
			ok++
		}
		time.Sleep(500 * time.Millisecond)
	}
	f.record.say("%d of 12 were answered with success", ok)
	mu.Lock()
	crashes = trouble
	mu.Unlock()
	f.record.say("from now on the request crashes each worker that begins to run it: %v", trouble)
	var repeats sync.WaitGroup
	for range 40 {
		address := c.anyFront()
		repeats.Go(func() { c.send(address, repeated) })
		time.Sleep(400 * time.Millisecond)
	}
	repeats.Wait()
	close(done)
	others.Wait()
	return c.judge(), nil
}

// judge reports what was seen.
func (c *crashing) judge() bool {
	n := c.retriesAfterThird()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.record.say("workers crashed: %d; other requests by status (0: no answer): %v", len(c.crashes), c.others)
	c.fleet.record.say("retries that reached a worker, sent by machines in touch later than %v after the third crash: %d (three are allowed)", c.window, n)
	return n > 3
}

// playRestarts plays a request that crashes each worker that begins to run it, while all
// processes of the core are killed now and then and are back within a second.
func playRestarts(f *fleet, trouble bool) (bool, error) {
	crashBack = 3 * time.Second
	c := newCrashing(f, 4*time.Second)
	poison := request{method: http.MethodPut, host: host, path: "/hire/form-13", body: []byte(`{"store":13}`), object: "form-13", deadline: 3 * time.Second}
	must(f.startAll())
	f.startWorkers(map[string]serviceSpec{"roster-desk": {20, 9, 300 * time.Millisecond, false}, "filing-desk": {12, 3, 200 * time.Millisecond, false}},
		func(w *worker, r *http.Request, crash func()) {
			id := r.Header.Get("Attempt-Id")
			f.record.write("worker %s %s runs %s %s %s", w.service, w.id, id, r.Method, r.URL.Path)
			if r.URL.Path == poison.path {
				c.ran(id)
				crash()
			}
		})
	err := f.configure(configuration(1, 0, []routeSpec{
		{"/lookup/", "safe", "roster-desk", 0.6, 1.5, 2, 2},
		{"/hire/", "unsafe", "filing-desk", 0.5, 1.2, 2, 0},
	}, "roster-desk", "filing-desk"), 15*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	done := make(chan struct{})
	others := c.traffic(24, []request{
		{method: http.MethodGet, host: host, path: "/lookup/", deadline: 4 * time.Second},
		{method: http.MethodPut, host: host, path: "/hire/", body: []byte("{}"), deadline: 3 * time.Second},
	}, done)
	time.Sleep(2 * time.Second)
	// The caller excludes the fronts that failed it, as the pages say.
	var fronts []string
	for _, i := range rand.Perm(len(f.fronts)) {
		fronts = append(fronts, addressOf(f.fronts[i]))
	}
	sent := 0
	again := func() {
		c.send(fronts[sent%len(fronts)], poison)
		sent++
		time.Sleep(1500 * time.Millisecond)
	}
	for range 3 {
		again()
	}
	for round := range 5 {
		if trouble {
			f.record.say("all processes of the core are killed (round %d)", round+1)
			for _, m := range f.cores {
				m.kill()
			}
			time.Sleep(600 * time.Millisecond)
			for _, m := range f.cores {
				if err := m.start(false); err != nil {
					return false, err
				}
			}
			f.record.say("they run again")
		}
		time.Sleep(6 * time.Second)
		for range 3 {
			again()
		}
	}
	close(done)
	others.Wait()
	return c.judge(), nil
}
