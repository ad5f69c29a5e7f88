package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// callTimeout is how long a caller of control waits for an answer.
const callTimeout = time.Second

// caller calls control as the pages say: any daemon of its list, the next one after a
// failure, a 5xx, a 408 or a 429, or a second without an answer.
type caller struct {
	system *system
	client *http.Client
	name   string
}

func newCaller(s *system, name string) *caller {
	return &caller{s, &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}, name}
}

// once sends one call to one daemon. The status is 0 if there is no answer.
func (c *caller) once(method, ip, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+at(ip, c.system.ports.control)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, text
}

// isClear reports whether a status is a clear answer.
func isClear(status int) bool {
	return status != 0 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// until sends a call to the daemons in random order until there is a clear answer or
// the time is over.
func (c *caller) until(limit time.Duration, method, path string, body []byte) (int, []byte, string) {
	end, pause := time.Now().Add(limit), 50*time.Millisecond
	for {
		ips := c.system.core()
		rand.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
		for _, ip := range ips {
			status, text := c.once(method, ip, path, body)
			c.system.record.add("%s: %s %s to %s: %s", c.name, method, path, ip, statusText(status))
			if isClear(status) {
				return status, text, ip
			}
			if time.Now().After(end) {
				return 0, nil, ""
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
}

func statusText(status int) string {
	if status == 0 {
		return "no answer"
	}
	return fmt.Sprint(status)
}

type m = map[string]any

// configuration returns a configuration like the one in the pages' example: a route for
// requests that may be repeated and one for those that may not, of one service.
func configuration(version, base int, timeoutS float64) []byte {
	route := func(name, kind, prefix string) m {
		return m{"name": name, "routeType": kind, "targetLatencyS": 0.5, "priority": 1, "stickySessions": false,
			"match":  m{"pathPrefix": prefix},
			"action": m{"service": "desk", "timeoutS": timeoutS, "attempts": 2, "homeRegions": []string{}}}
	}
	body, _ := json.Marshal(m{
		"version": fmt.Sprintf("r%d", version), "baseVersion": fmt.Sprintf("r%d", base),
		"limits":    m{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []m{{"host": "desk.example", "rules": []m{route("read", "safe", "/read/"), route("file", "unsafe", "/file/")}}},
		"clusters": []m{{"name": "desk", "healthPath": "/health", "maxConnections": 660, "protocol": "h1", "tls": false,
			"coldStartS": 3.0, "coldPerS": 8.2}},
	})
	return body
}

// versionOf returns the version of a configuration that was read.
func versionOf(text []byte) string {
	var c struct {
		Version string `json:"version"`
	}
	if json.Unmarshal(text, &c) != nil {
		return "unreadable"
	}
	return c.Version
}
