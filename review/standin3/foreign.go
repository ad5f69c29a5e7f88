package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["foreign"] = foreign }

// foreign lets another writer announce an entry of a service that no configuration names, at the
// address of each worker. The operator adds a route. Then clients send requests for a while.
func foreign(p *play) int {
	c, workers, err := startSmall(p)
	if err != nil {
		p.record.logf("%v", err)
		return failed
	}
	defer c.close()
	for i, w := range workers {
		if p.trouble {
			p.record.logf("another writer: PUT /instances/foreign-%d, service print-queue, at the address of %s -> %d", i, w.id, c.announceForeign(i, w))
		}
	}
	time.Sleep(2 * time.Second)
	routes := []route{{"/roster/", "safe", "desk", 2, 2}, {"/filing/", "unsafe", "desk", 2, 2}, {"/cert/", "unsafe", "desk", 2, 2}}
	newOperator(c, "A").order(http.MethodPut, "/config", configuration(2, 1, routes, "desk"), 20*time.Second)
	time.Sleep(3 * time.Second)
	served, all := c.askFor(40 * time.Second)
	for _, w := range workers {
		w.mu.Lock()
		p.record.logf("worker %s: ready, %d heartbeats were acknowledged, %d not", w.id, w.acknowledged, w.refused)
		w.mu.Unlock()
		w.close()
	}
	return verdict(p, served, all)
}

// announceForeign sends the entry of another writer and returns the status of the answer.
func (c *cluster) announceForeign(i int, w *worker) int {
	body, _ := json.Marshal(map[string]any{
		"address": w.listener.Addr().String(), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": "print-queue", "version": "v1", "zone": w.zone, "slots": 1},
		"status": map[string]any{"state": "ready", "sequence": 1, "coldRemainingS": 0},
	})
	url := fmt.Sprintf("http://%s/instances/foreign-%d", c.controllers[0].address(portControl), i)
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
