package main

import (
	"net/http"
	"syscall"
	"time"
)

func init() { cases["founding"] = founding }

// founding kills all processes of a core of three VMs before the first configuration, and
// restarts them within a second with their disks. The operator then sends the first
// configuration, and clients send requests.
func founding(p *play) int {
	c, err := newCluster(layout{
		zones: [][2]string{{"guro-a", "sudogwon"}, {"haeundae-a", "yeongnam"}, {"sangmu-a", "honam"}},
		cores: 3, fronts: 3, tolerated: 1, memoryMB: 206, coreMemoryMB: 280,
	}, p.record, p.program)
	if err != nil {
		p.record.logf("%v", err)
		return failed
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		p.record.logf("%v", err)
		return failed
	}
	p.record.logf("platform: 3 core and 3 front VMs started, bootstrap is true")
	for i, z := range c.zones {
		w, err := newWorker(c, i, "desk", z[0], 9)
		if err != nil {
			p.record.logf("%v", err)
			return failed
		}
		w.run()
		defer w.close()
	}
	time.Sleep(6 * time.Second)
	if p.trouble {
		for _, v := range c.controllers {
			v.signal(syscall.SIGKILL)
		}
		p.record.logf("platform: all 3 processes of the core killed")
		for _, v := range c.controllers {
			v.awaitEnd(5 * time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		for _, v := range c.controllers {
			if err := v.start(false); err != nil {
				p.record.logf("%v", err)
				return failed
			}
		}
		p.record.logf("platform: all 3 processes of the core started again, with their disks; bootstrap is false")
	}
	time.Sleep(4 * time.Second)
	o := newOperator(c, "A")
	status, _ := o.order(http.MethodPut, "/config", configuration(1, 0, []route{{"/roster/", "safe", "desk", 2, 2}}, "desk"), 45*time.Second)
	time.Sleep(3 * time.Second)
	served, all := 0, 0
	for i := range 60 {
		g := c.gateways[i%len(c.gateways)]
		all++
		if s := ask(g.address(portFront), http.MethodGet, "/roster/1", ""); s == http.StatusOK {
			served++
		} else {
			p.record.logf("client: GET /roster/1 at %s -> %d", g.name, s)
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.record.logf("first configuration -> %d; %d of %d requests of clients were served", status, served, all)
	switch {
	case served == 0:
		return broken
	case !p.trouble && served < all:
		return failed
	default:
		return held
	}
}
