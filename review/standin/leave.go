package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// deployment is a small one with one region, with workers and clients.
type deployment struct {
	*system
	core    []*machine
	fronts  []*machine
	workers []*worker
	clients *clients
	stopAll context.CancelFunc
}

// startDeployment starts core machines, two front machines, three workers and clients, and
// returns once they run steadily.
func startDeployment(r *record, net, coreCount, tolerated int) (*deployment, error) {
	zones, names := map[string]string{}, []string{}
	var coreIPs, frontIPs []string
	for i := range coreCount {
		name := fmt.Sprintf("one-%c", 'a'+i)
		zones[name], names = "one", append(names, name)
		coreIPs = append(coreIPs, fmt.Sprintf("127.0.%d.%d", net, i+1))
	}
	for i := range 2 {
		frontIPs = append(frontIPs, fmt.Sprintf("127.0.%d.%d", net+1, i+1))
	}
	s, err := newSystem(r, zones, tolerated, append(append([]string{}, coreIPs...), frontIPs...))
	if err != nil {
		return nil, err
	}
	d := &deployment{system: s}
	s.seeds = coreIPs[:3]
	for i, ip := range coreIPs {
		d.core = append(d.core, s.add(fmt.Sprintf("core-%d", i+1), ip, "core", names[i], true))
	}
	for i, ip := range frontIPs {
		d.fronts = append(d.fronts, s.add(fmt.Sprintf("front-%d", i+1), ip, "front", names[i], true))
	}
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return d, err
		}
	}
	for i := range 3 {
		w, err := startWorker(s, fmt.Sprintf("i-%d", i+1), fmt.Sprintf("127.0.%d.%d", net+2, i+1), names[i], "")
		if err != nil {
			return d, err
		}
		d.workers = append(d.workers, w)
	}
	if status, _, _ := newCaller(s, "operator").until(15*time.Second, http.MethodPut, "/config", configuration(1, 0, 1.5)); status != http.StatusOK {
		return d, fmt.Errorf("the first configuration was not acknowledged")
	}
	time.Sleep(trafficDelay)
	ctx, cancel := context.WithCancel(context.Background())
	d.stopAll, d.clients = cancel, newClients(s, names[0])
	go d.clients.run(ctx, 20)
	time.Sleep(4 * time.Second)
	return d, nil
}

func (d *deployment) end() {
	if d == nil {
		return
	}
	if d.stopAll != nil {
		d.stopAll()
	}
	for _, w := range d.workers {
		w.end()
	}
	d.stop()
}

// judgeDrain applies the rule DRAIN to a worker whose deregistration was acknowledged.
// Requests count that reached it later than drainS after the acknowledgement, at a
// moment at which the entry VMs were in touch: not before calmFrom, when no machine had been disturbed for
// stableWindowS, and not after calmTo.
func judgeDrain(r *record, w *worker, acked, calmFrom, calmTo time.Time) verdict {
	from := acked.Add(drainBound)
	if from.Before(calmFrom) {
		from = calmFrom
	}
	n, first := 0, time.Duration(0)
	for _, a := range w.after(from) {
		if a.at.Before(calmTo) {
			if n == 0 {
				first = a.at.Sub(acked)
			}
			n++
		}
	}
	r.add("judged: requests that reached worker %s from %.2f s to %.2f s after its deregistration was acknowledged: %d",
		w.id, from.Sub(acked).Seconds(), calmTo.Sub(acked).Seconds(), n)
	if n > 0 {
		return verdict{broken, fmt.Sprintf("DRAIN: %d requests reached worker %s later than drainS after its deregistration was acknowledged, the first %.2f s after it",
			n, w.id, first.Seconds())}
	}
	return verdict{held, "no request reached the worker later than drainS after its deregistration was acknowledged"}
}

// margin is added to stableWindowS, as clocks of the stand-in and of the processes differ.
const margin = 200 * time.Millisecond

// leaveAfterRestart: all processes of the core are killed and are back within a second. A
// worker leaves right after that; its last heartbeat is late.
func leaveAfterRestart(r *record, trouble bool) verdict {
	d, err := startDeployment(r, 51, 3, 1)
	defer d.end()
	if err != nil {
		return verdict{unknown, err.Error()}
	}
	leaving := d.workers[2]
	if trouble {
		for _, m := range d.core {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range d.core {
			<-m.exited
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range d.core {
			if err := m.start(); err != nil {
				return verdict{unknown, err.Error()}
			}
		}
	}
	restarted := time.Now()
	// The worker's announcement of this moment is under way for three seconds.
	leaving.cancel()
	late := leaving.announcement("ready")
	r.add("worker %s: sends heartbeat %d, which arrives 3 s late", leaving.id, leaving.sequence.Load())
	time.Sleep(100 * time.Millisecond)
	acked, by := leaving.deregister(d.core[0].ip)
	if acked.IsZero() {
		return verdict{unknown, "the deregistration was not acknowledged"}
	}
	r.add("worker %s: its deregistration was acknowledged by %s; it goes on serving", leaving.id, by)
	time.Sleep(3*time.Second - time.Since(restarted))
	status, _ := leaving.calls.once(http.MethodPut, d.core[1].ip, "/instances/"+leaving.id, late)
	r.add("worker %s: the late heartbeat reaches %s: %s", leaving.id, d.core[1].ip, statusText(status))
	time.Sleep(10 * time.Second)
	ended := time.Now()
	r.add("worker %s: ends", leaving.id)
	leaving.end()
	time.Sleep(2 * time.Second)
	served, sent := d.clients.served(ended.Add(-time.Second), ended)
	r.add("clients: of the %d requests that were sent in the last second before that, %d were served", sent, served)
	return judgeDrain(r, leaving, acked, restarted.Add(stableWindow+margin), ended)
}

// dispatcher returns the core machine that grants slots, by the metrics that the deploy
// file names; nil if none or several do.
func (d *deployment) dispatcher(among []*machine) *machine {
	var found *machine
	client := http.Client{Timeout: time.Second}
	for _, m := range among {
		answer, err := client.Get("http://" + at(m.ip, 9464) + "/metrics")
		if err != nil {
			continue
		}
		var all map[string]json.RawMessage
		err = json.NewDecoder(answer.Body).Decode(&all)
		_ = answer.Body.Close()
		if err != nil {
			continue
		}
		for name := range all {
			if strings.HasPrefix(name, "dispatch.slots.") {
				if found != nil && found != m {
					return nil
				}
				found = m
			}
		}
	}
	return found
}

// others returns the core machines but one.
func (d *deployment) others(but *machine) []*machine {
	var out []*machine
	for _, m := range d.core {
		if m != but {
			out = append(out, m)
		}
	}
	return out
}

// leaveUnheard: the dispatcher stands still for some seconds. Meanwhile a worker leaves, and
// the machine that has acknowledged that loses power.
func leaveUnheard(r *record, trouble bool) verdict {
	d, err := startDeployment(r, 61, 5, 2)
	defer d.end()
	if err != nil {
		return verdict{unknown, err.Error()}
	}
	leaving := d.workers[2]
	frozen := d.dispatcher(d.core)
	if frozen == nil {
		return verdict{unknown, "the dispatcher isn't known"}
	}
	r.add("%s dispatches", frozen.name)
	if trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(3 * time.Second)
	giver := d.others(frozen)[0]
	if trouble {
		if giver = d.dispatcher(d.others(frozen)); giver == nil {
			return verdict{unknown, "the second dispatcher isn't known"}
		}
		r.add("%s dispatches now", giver.name)
	}
	acked, by := leaving.deregister(giver.ip)
	if by != giver.ip {
		return verdict{unknown, "the deregistration was not acknowledged by the machine that was called"}
	}
	r.add("worker %s: its deregistration was acknowledged by %s; it goes on serving", leaving.id, giver.name)
	disturbed := time.Now()
	calmTo := time.Now().Add(8 * time.Second)
	if trouble {
		giver.kill()
		time.Sleep(300 * time.Millisecond)
		frozen.signal(syscall.SIGCONT)
		disturbed = time.Now()
		// The power is back after 7 s.
		calmTo = time.Now().Add(6700 * time.Millisecond)
	}
	time.Sleep(time.Until(calmTo))
	if trouble {
		if err := giver.start(); err != nil {
			return verdict{unknown, err.Error()}
		}
	}
	return judgeDrain(r, leaving, acked, disturbed.Add(stableWindow+margin), calmTo)
}
