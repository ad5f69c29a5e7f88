package main

import (
	"net/http"
	"time"
)

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
	routes := []route{{"/roster/", "safe", "desk", 2, 2}, {"/filing/", "unsafe", "desk", 2, 2}, {"/pack/", "download", "desk", 8, 2}}
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
