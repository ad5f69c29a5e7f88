package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// replaceThenWipe: three core machines, of which one may be lost. One is replaced as
// planned. When its successor has caught up, another one loses its disk right after a
// configuration was acknowledged. The configuration has to be readable.
func replaceThenWipe(r *record, trouble bool) verdict {
	zones := map[string]string{"one-a": "one", "one-b": "one", "one-c": "one"}
	ips := []string{"127.0.41.1", "127.0.41.2", "127.0.41.3", "127.0.41.4", "127.0.42.1"}
	s, err := newSystem(r, zones, 1, ips)
	if err != nil {
		return verdict{unknown, err.Error()}
	}
	defer s.stop()
	s.seeds = ips[:3]
	for i, zone := range []string{"one-a", "one-b", "one-c"} {
		if err := s.add(fmt.Sprintf("core-%d", i+1), ips[i], "core", zone, true).start(); err != nil {
			return verdict{unknown, err.Error()}
		}
	}
	if err := s.add("front-1", ips[4], "front", "one-a", true).start(); err != nil {
		return verdict{unknown, err.Error()}
	}
	for i, zone := range []string{"one-a", "one-b"} {
		w, err := startWorker(s, fmt.Sprintf("i-%d", i+1), fmt.Sprintf("127.0.43.%d", i+1), zone, "")
		if err != nil {
			return verdict{unknown, err.Error()}
		}
		defer w.end()
	}
	operator := newCaller(s, "operator")
	if status, _, _ := operator.until(15*time.Second, http.MethodPut, "/config", configuration(1, 0, 1.5)); status != http.StatusOK {
		return verdict{unknown, "the first configuration was not acknowledged"}
	}
	time.Sleep(trafficDelay)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go newClients(s, "one-a").run(ctx, 10)
	time.Sleep(2 * time.Second)

	// Planned work: core-4 joins, then core-1 ends.
	r.add("planned work: core-4 replaces core-1")
	if err := s.add("core-4", ips[3], "core", "one-a", false).start(); err != nil {
		return verdict{unknown, err.Error()}
	}
	time.Sleep(catchUp)
	s.machines[0].terminate()
	time.Sleep(catchUp + time.Second)
	if status, text, ip := operator.until(10*time.Second, http.MethodGet, "/config", nil); status != http.StatusOK || versionOf(text) != "r1" {
		return verdict{unknown, fmt.Sprintf("the configuration couldn't be read before the fault: %d of %s", status, ip)}
	}
	if status, _, _ := operator.until(5*time.Second, http.MethodPut, "/config", configuration(2, 1, 1.4)); status != http.StatusOK {
		return verdict{unknown, "the second configuration was not acknowledged"}
	}
	acked := time.Now()

	// The fault: one machine of those that count loses its disk.
	if trouble {
		lost := s.machines[1]
		lost.kill()
		if err := lost.wipe(); err != nil {
			return verdict{unknown, err.Error()}
		}
		time.Sleep(800 * time.Millisecond)
		if err := lost.start(); err != nil {
			return verdict{unknown, err.Error()}
		}
	}
	time.Sleep(configApply)
	began := time.Now()
	status, text, _ := operator.until(recovery+15*time.Second, http.MethodGet, "/config", nil)
	r.add("operator: the read that began %.1f s after the acknowledgement took %.1f s", began.Sub(acked).Seconds(), time.Since(began).Seconds())
	switch {
	case status == 0:
		put, _, _ := operator.until(5*time.Second, http.MethodPut, "/config", configuration(3, 2, 1.3))
		return verdict{broken, fmt.Sprintf("CONFIG: version r2 was acknowledged, and no daemon has answered a read for %.0f s; a further change got %s",
			time.Since(began).Seconds(), statusText(put))}
	case status != http.StatusOK || versionOf(text) != "r2":
		return verdict{broken, fmt.Sprintf("CONFIG: version r2 was acknowledged, and %d %s was read", status, versionOf(text))}
	default:
		return verdict{held, "version r2 was read"}
	}
}
