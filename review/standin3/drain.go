package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["drain"] = drain }

const (
	// flapDown is how long the worker is down, and flapUp how long it had been up.
	flapUp, flapDown = 600 * time.Millisecond, 900 * time.Millisecond
	// clockStep is by how much the time of day of its machine jumps back meanwhile.
	clockStep = 2100 * time.Millisecond
	// drainBound is drainS.
	drainBound = 2500 * time.Millisecond
	// servesOn is how long the worker serves on after the acknowledgement.
	servesOn = 10 * time.Second
	// toleratedLate is the number of late requests that count as none.
	toleratedLate = 0
)

// drainWatch records the requests that reach the worker after the acknowledgement of its
// draining.
type drainWatch struct {
	mu           sync.Mutex
	acknowledged time.Time
	late, all    int
	record       *recorder
}

func (d *drainWatch) ran(w *worker, r *http.Request, _ []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all++
	if d.acknowledged.IsZero() {
		return
	}
	if after := time.Since(d.acknowledged); after > drainBound {
		if d.late++; d.late <= 5 {
			d.record.logf("worker %s: runs %s %s, Attempt-Id %s, %.1f s after the acknowledgement of draining", w.id, r.Method, r.RequestURI, r.Header.Get("Attempt-Id"), after.Seconds())
		}
	}
}

// drain lets a worker crash and start again under its id and at its address, after the time of
// day of its machine has jumped back. Later the worker drains.
func drain(p *play) int {
	c, workers, err := startSmall(p)
	if err != nil {
		p.record.logf("%v", err)
		return failed
	}
	defer c.close()
	for i, z := range c.zones {
		w, err := newWorker(c, 3+i, "desk", z[0], 9)
		if err != nil {
			p.record.logf("%v", err)
			return failed
		}
		w.run()
		workers = append(workers, w)
	}
	watch := &drainWatch{record: p.record}
	flapping, err := newWorker(c, 6, "desk", c.zones[0][0], 9)
	if err != nil {
		p.record.logf("%v", err)
		return failed
	}
	flapping.ran = watch.ran
	flapping.run()
	time.Sleep(flapUp)
	p.record.logf("worker %s: started, born %d", flapping.id, flapping.born)
	if p.trouble {
		flapping.close()
		p.record.logf("worker %s: crashed; the time of day of its machine jumps back by %v", flapping.id, clockStep)
		time.Sleep(flapDown)
		if flapping, err = flapping.startAgainThere(6, -clockStep); err != nil {
			p.record.logf("%v", err)
			return failed
		}
		p.record.logf("worker %s: started again under its id at its address, born %d", flapping.id, flapping.born)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 12 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					ask(c.gateways[0].address(portFront), http.MethodPost, fmt.Sprintf("/filing/%d-%d", n, i), "filing")
				}
			}
		})
	}
	time.Sleep(15 * time.Second)
	flapping.setState("draining")
	if !flapping.announce() {
		p.record.logf("worker %s: draining isn't acknowledged", flapping.id)
		return failed
	}
	watch.mu.Lock()
	watch.acknowledged = time.Now()
	p.record.logf("worker %s: PUT draining -> acknowledged; %d requests ran there so far", flapping.id, watch.all)
	before := watch.all
	watch.mu.Unlock()
	time.Sleep(servesOn)
	p.record.logf("worker %s: DELETE -> acknowledged: %v; ends", flapping.id, flapping.deregister())
	close(stop)
	clients.Wait()
	flapping.close()
	for _, w := range workers {
		w.close()
	}
	p.record.logf("%d requests reached the worker later than %v after the acknowledgement", watch.late, drainBound)
	switch {
	case before == 0:
		return failed
	case watch.late > toleratedLate:
		return broken
	default:
		return held
	}
}
