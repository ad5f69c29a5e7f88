package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"
)

// clients sends requests at a steady rate to the entry VMs that the directory names.
type clients struct {
	system       *system
	region, zone string
	http         *http.Client
	serial       atomic.Int64

	mu        sync.Mutex
	addresses []string
	until     time.Time
	answers   []clientAnswer
}

type clientAnswer struct {
	sent   time.Time
	status int
}

func newClients(s *system, zone string) *clients {
	return &clients{system: s, zone: zone, region: s.zones[zone], http: &http.Client{Timeout: 3 * time.Second}}
}

// run sends perSecond requests a second until ctx ends.
func (c *clients) run(ctx context.Context, perSecond int) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go c.send()
		}
	}
}

// resolve returns the entry VMs, from the last look-up while it may be used.
func (c *clients) resolve() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.addresses
	}
	for _, ip := range c.system.core() {
		query := url.Values{"name": {"desk.example"}, "region": {c.region}, "zone": {c.zone}}
		client := http.Client{Timeout: time.Second}
		answer, err := client.Get("http://" + at(ip, c.system.ports.directory) + "/resolve?" + query.Encode())
		if err != nil {
			continue
		}
		var found struct {
			Addresses []string `json:"addresses"`
			TTLS      float64  `json:"ttlS"`
		}
		err = json.NewDecoder(answer.Body).Decode(&found)
		_ = answer.Body.Close()
		if err == nil && len(found.Addresses) > 0 {
			c.addresses, c.until = found.Addresses, time.Now().Add(time.Duration(found.TTLS*float64(time.Second)))
			break
		}
	}
	return c.addresses
}

// send sends one request; each second one may run once at most.
func (c *clients) send() {
	addresses := c.resolve()
	if len(addresses) == 0 {
		return
	}
	n := c.serial.Add(1)
	attempt, method, path := fmt.Sprintf("a%06d", n), http.MethodGet, fmt.Sprintf("/read/%d", n)
	if n%2 == 0 {
		method, path = http.MethodPost, fmt.Sprintf("/file/%d", n)
	}
	address := addresses[rand.IntN(len(addresses))]
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return
	}
	request.Host = "desk.example"
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", "2500")
	sent, status := time.Now(), 0
	answer, err := c.http.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	if err == nil {
		status = answer.StatusCode
	}
	c.system.record.add("client: %s %s as %s to %s: %s", method, path, attempt, address, statusText(status))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, clientAnswer{sent, status})
}

// served returns how many of the requests sent between two times were served, and how
// many were sent.
func (c *clients) served(from, to time.Time) (served, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		if a.sent.Before(from) || a.sent.After(to) {
			continue
		}
		sent++
		if a.status/100 == 2 {
			served++
		}
	}
	return served, sent
}
