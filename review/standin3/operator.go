package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// operator sends orders as the pages say: to one controller after the other, with a second
// for each, and growing pauses.
type operator struct {
	cluster *cluster
	name    string
	next    int
	client  *http.Client
}

func newOperator(c *cluster, name string) *operator {
	return &operator{cluster: c, name: name, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends one call to one controller; the status is 0 without an answer.
func (o *operator) call(method, address, path string, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// order sends an order until it has a clear answer or the time has passed. It returns the
// last status, 0 without any answer.
func (o *operator) order(method, path, body string, limit time.Duration) (int, string) {
	began, pause := time.Now(), 100*time.Millisecond
	for n := 1; ; n++ {
		v := o.cluster.controllers[o.next%len(o.cluster.controllers)]
		o.next++
		status, text := o.call(method, v.address(portControl), path, body)
		o.cluster.record.logf("operator %s: %s %s try %d at %s -> %d %.100s", o.name, method, path, n, v.name, status, strings.TrimSpace(text))
		switch {
		case status/100 == 2, status == 400, status == 409, status == 412, status == 413, status == 422:
			return status, text
		case time.Since(began) > limit:
			return status, text
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
}

// route is one route of a configuration.
type route struct {
	prefix, kind, service string
	timeoutS              float64
	attempts              int
}

const host = "desk.example"

// configuration returns the body of PUT /config.
func configuration(version, base int, routes []route, services ...string) string {
	type object = map[string]any
	var rules, clusters []object
	for i, r := range routes {
		rules = append(rules, object{
			"name": fmt.Sprintf("r-%d", i), "routeType": r.kind, "targetLatencyS": 0.5, "priority": 1, "stickySessions": false,
			"match":  object{"pathPrefix": r.prefix},
			"action": object{"service": r.service, "timeoutS": r.timeoutS, "attempts": r.attempts, "homeRegions": []string{}},
		})
	}
	for _, s := range services {
		clusters = append(clusters, object{
			"name": s, "healthPath": "/health", "maxConnections": 660, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 4.9,
		})
	}
	text, _ := json.Marshal(object{
		"version": fmt.Sprintf("r%d", version), "baseVersion": fmt.Sprintf("r%d", base),
		"limits":    object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []object{{"host": host, "rules": rules}}, "clusters": clusters,
	})
	return string(text)
}
