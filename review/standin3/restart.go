package main

import (
	"net/http"
	"time"
)

func init() { cases["restart"] = restart }

// restartPause is the time between the end of a worker and its next start.
const restartPause = 300 * time.Millisecond

// restart restarts the three workers of a service one after the other, each under the id that
// it had. Then clients send requests for a while.
func restart(p *play) int {
	c, workers, err := startSmall(p)
	if err != nil {
		p.record.logf("%v", err)
		return failed
	}
	defer c.close()
	for i := range workers {
		if p.trouble {
			if workers[i], err = p.restartWorker(workers[i], i); err != nil {
				p.record.logf("%v", err)
				return failed
			}
		}
		time.Sleep(time.Second)
	}
	time.Sleep(5 * time.Second)
	served, all := c.askFor(40 * time.Second)
	for _, w := range workers {
		w.mu.Lock()
		p.record.logf("worker %s: ready, %d heartbeats were acknowledged, %d not", w.id, w.acknowledged, w.refused)
		w.mu.Unlock()
		w.close()
	}
	return verdict(p, served, all)
}

// restartWorker ends a worker as the pages say: it reports draining, serves on for drainS and a
// little longer, deregisters and exits. Then it starts it again.
func (p *play) restartWorker(w *worker, i int) (*worker, error) {
	w.setState("draining")
	p.record.logf("worker %s: PUT draining -> acknowledged: %v", w.id, w.announce())
	time.Sleep(3 * time.Second)
	p.record.logf("worker %s: DELETE -> acknowledged: %v", w.id, w.deregister())
	w.close()
	time.Sleep(restartPause)
	next, err := w.startAgain(i)
	if err == nil {
		p.record.logf("worker %s: ended, and started again under its id, born %d ms after the DELETE at the least", next.id, restartPause.Milliseconds())
	}
	return next, err
}

// startSmall starts three core VMs, three front VMs and three workers, one in each of three
// regions, and sends the first configuration.
func startSmall(p *play) (*cluster, []*worker, error) {
	c, err := newCluster(layout{
		zones: [][2]string{{"guro-a", "sudogwon"}, {"haeundae-a", "yeongnam"}, {"sangmu-a", "honam"}},
		cores: 3, fronts: 3, tolerated: 1, memoryMB: 206, coreMemoryMB: 280,
	}, p.record, p.program)
	if err != nil {
		return nil, nil, err
	}
	if err := c.startAll(); err != nil {
		c.close()
		return nil, nil, err
	}
	var workers []*worker
	for i, z := range c.zones {
		w, err := newWorker(c, i, "desk", z[0], 9)
		if err != nil {
			c.close()
			return nil, nil, err
		}
		w.run()
		workers = append(workers, w)
	}
	time.Sleep(4 * time.Second)
	routes := []route{{"/roster/", "safe", "desk", 2, 2}, {"/filing/", "unsafe", "desk", 2, 2}}
	newOperator(c, "A").order(http.MethodPut, "/config", configuration(1, 0, routes, "desk"), 20*time.Second)
	time.Sleep(3 * time.Second)
	return c, workers, nil
}

// askFor sends reads and filings to all gateways for a while, and returns how many of all were
// served.
func (c *cluster) askFor(d time.Duration) (served, all int) {
	byStatus := make(map[int]int)
	for began, i := time.Now(), 0; time.Since(began) < d; i++ {
		method, path, body := http.MethodGet, "/roster/1", ""
		if i%2 == 1 {
			method, path, body = http.MethodPost, "/filing/1", "filing"
		}
		status := ask(c.gateways[i%len(c.gateways)].address(portFront), method, path, body)
		byStatus[status]++
		all++
		time.Sleep(100 * time.Millisecond)
	}
	c.record.logf("clients: %d requests in %v, by status of the answer: %v", all, d, byStatus)
	return byStatus[http.StatusOK], all
}

// verdict judges the rule Fault: "if no request is served".
func verdict(p *play, served, all int) int {
	switch {
	case served == 0:
		return broken
	case !p.trouble && served < all:
		return failed
	default:
		return held
	}
}
