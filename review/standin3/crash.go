package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crash"] = crash }

const (
	crashWorkers = 20
	// crashAfter is how long after its complete answer the request has crashed the worker, and
	// backAfter how long the worker is down.
	crashAfter, backAfter = 20 * time.Millisecond, 4 * time.Second
	// comesEach is the time between two times that the request comes, comesFor for how long.
	comesEach, comesFor = time.Second, 40 * time.Second
	// stableWindow is stableWindowS, and allowedRetries what the rule allows.
	stableWindow, allowedRetries = 4 * time.Second, 3
)

const crashPath = "/filing/crash"

// crashes counts what the request did.
type crashes struct {
	mu     sync.Mutex
	record *recorder
	// runs are the times at which it reached a worker, ends those at which it crashed one.
	runs, ends []time.Time
	// others counts the other requests that ran at a worker when it crashed.
	others int
}

// retries returns the number of times that the request reached a worker later than stableWindow
// after it had crashed the third.
func (x *crashes) retries() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, at := range x.runs {
		if len(x.ends) >= 3 && at.Sub(x.ends[2]) > stableWindow {
			n++
		}
	}
	return n
}

// crashHost is a place for a worker, which is started there anew after a crash.
type crashHost struct {
	x       *crashes
	i       int
	running atomic.Int64
	// id is that of the first worker there, starts the number of later ones.
	id     string
	starts int
	// early means that the request crashes its worker before it is answered.
	early bool
}

// begin starts a worker at the place. A request for crashPath crashes it.
func (h *crashHost) begin(w *worker) {
	if h.id == "" {
		h.id = w.id
	}
	w.work = func(r *http.Request) time.Duration {
		if r.URL.Path == crashPath {
			return 5 * time.Millisecond
		}
		return 100 * time.Millisecond
	}
	w.ran = func(w *worker, r *http.Request, _ []byte) {
		if r.URL.Path != crashPath {
			h.running.Add(1)
			go func() { <-r.Context().Done(); h.running.Add(-1) }()
			return
		}
		h.x.mu.Lock()
		h.x.runs = append(h.x.runs, time.Now())
		h.x.mu.Unlock()
		wait := time.Duration(0)
		if !h.early {
			wait = 5*time.Millisecond + crashAfter
		}
		time.AfterFunc(wait, func() { h.end(w) })
		if wait == 0 {
			<-r.Context().Done()
		}
	}
	w.run()
}

// end crashes the worker and starts it anew later, at its address with another ID.
func (h *crashHost) end(w *worker) {
	h.x.mu.Lock()
	h.x.ends = append(h.x.ends, time.Now())
	h.x.others += int(h.running.Load())
	h.x.record.logf("worker %s: crashed by the request, the %d. crash; %d other requests ran there", w.id, len(h.x.ends), h.running.Load())
	h.x.mu.Unlock()
	w.close()
	time.AfterFunc(backAfter, func() {
		next, err := w.again(h.i, 0)
		if err != nil {
			h.x.record.logf("%v", err)
			return
		}
		h.starts++
		next.id = fmt.Sprintf("%s-%d", h.id, h.starts)
		h.begin(next)
	})
}

// startCrashing starts three core VMs, front VMs and crashWorkers workers, and sends the first
// configuration.
func startCrashing(p *play, fronts int, early bool) (*cluster, *crashes, error) {
	c, err := newCluster(layout{
		zones: [][2]string{{"guro-a", "sudogwon"}, {"pangyo-b", "sudogwon"}},
		cores: 3, fronts: fronts, tolerated: 1, memoryMB: 206, coreMemoryMB: 280,
	}, p.record, p.program)
	if err != nil {
		return nil, nil, err
	}
	if err := c.startAll(); err != nil {
		c.close()
		return nil, nil, err
	}
	x := &crashes{record: p.record}
	for i := range crashWorkers {
		w, err := newWorker(c, i, "desk", c.zones[i%2][0], 9)
		if err != nil {
			c.close()
			return nil, nil, err
		}
		(&crashHost{x: x, i: i, early: early}).begin(w)
	}
	time.Sleep(4 * time.Second)
	routes := []route{{"/roster/", "safe", "desk", 2, 2}, {"/filing/", "unsafe", "desk", 2, 2}}
	newOperator(c, "A").order(http.MethodPut, "/config", configuration(1, 0, routes, "desk"), 20*time.Second)
	time.Sleep(3 * time.Second)
	return c, x, nil
}

// crash lets the same request come once a second. It crashes each worker that runs it, after its
// answer.
func crash(p *play) int {
	c, x, err := startCrashing(p, 4, !p.trouble)
	if err != nil {
		p.record.logf("%v", err)
		return failed
	}
	defer c.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.askOthers(ctx)
	for i, began := 0, time.Now(); time.Since(began) < comesFor; i++ {
		c.sendCrashing(c.gateways[i%len(c.gateways)], i+1)
		time.Sleep(comesEach)
	}
	return x.verdict()
}

// sendCrashing sends the request that crashes workers.
func (c *cluster) sendCrashing(gateway *vm, time int) {
	status := ask(gateway.address(portFront), http.MethodPost, crashPath, "the same")
	c.record.logf("client: POST %s comes for the %d. time, at %s -> %d", crashPath, time, gateway.name, status)
}

// verdict judges the rule BUDGET.
func (x *crashes) verdict() int {
	n := x.retries()
	x.record.logf("%d crashes; %d retries reached workers later than %v after the third, %d are allowed; %d other requests ran at the workers that crashed",
		len(x.ends), n, stableWindow, allowedRetries, x.others)
	if n > allowedRetries {
		return broken
	}
	return held
}

// askOthers sends other requests until ctx ends, 40 a second.
func (c *cluster) askOthers(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		go ask(c.gateways[i%len(c.gateways)].address(portFront), http.MethodPost, fmt.Sprintf("/filing/%d", i), "filing")
		time.Sleep(25 * time.Millisecond)
	}
}
