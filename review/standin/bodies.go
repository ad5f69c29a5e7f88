package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is limits.memoryMb of a front machine.
	memoryLimit = 206 << 20
	// largeBody is below maxBodyBytes of the configuration, 67108864; usualBody is the
	// largest body of the Hanbit site file.
	largeBody = 60 << 20
	usualBody = 24000
)

// platformGuard does what the platform does: it kills a process that uses more memory than
// its limit, and restarts a process that has ended.
type platformGuard struct {
	mu    sync.Mutex
	kills map[string]int
	peak  map[string]int
}

// resident returns the memory of a process in bytes.
func resident(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

func (g *platformGuard) watch(m *machine, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := resident(m.process.Process.Pid)
		g.mu.Lock()
		g.peak[m.name] = max(g.peak[m.name], used)
		g.mu.Unlock()
		if used <= memoryLimit {
			continue
		}
		m.system.record.add("platform: %s uses %d MB, its limit is %d MB", m.name, used>>20, memoryLimit>>20)
		m.kill()
		g.mu.Lock()
		g.kills[m.name]++
		g.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		if err := m.start(); err != nil {
			m.system.record.add("platform: %s doesn't start: %v", m.name, err)
			return
		}
	}
}

// largeBodies: two clients send large bodies to an entry VM at the same time, three times for
// each of two entry VMs.
func largeBodies(r *record, trouble bool) verdict {
	d, err := startDeployment(r, 71, 3, 1)
	defer d.end()
	if err != nil {
		return verdict{unknown, err.Error()}
	}
	g := &platformGuard{kills: make(map[string]int), peak: make(map[string]int)}
	stop := make(chan struct{})
	var watches sync.WaitGroup
	for _, m := range d.fronts {
		watches.Go(func() { g.watch(m, stop) })
	}
	size := usualBody
	if trouble {
		size = largeBody
	}
	body := make([]byte, size)
	for round := range 3 {
		for _, m := range d.fronts {
			var uploads sync.WaitGroup
			for i := range 2 {
				uploads.Go(func() { upload(r, d, m, fmt.Sprintf("large-%d-%s-%d", round, m.name, i), body) })
			}
			uploads.Wait()
			time.Sleep(3 * time.Second)
		}
	}
	close(stop)
	watches.Wait()
	ended := 0
	for _, m := range d.fronts {
		r.add("platform: %s was killed %d times for its memory, its peak was %d MB", m.name, g.kills[m.name], g.peak[m.name]>>20)
		if g.kills[m.name] >= 3 {
			ended++
		}
	}
	if ended >= 2 {
		return verdict{broken, fmt.Sprintf("Fault: the processes of %d of 2 entry VMs exceeded their memory three times", ended)}
	}
	return verdict{held, "no two entry VMs exceeded their memory three times"}
}

func upload(r *record, d *deployment, m *machine, attempt string, body []byte) {
	request, err := http.NewRequest(http.MethodPost, "http://"+at(m.ip, d.ports.front)+"/file/1", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Host = "desk.example"
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", "6000")
	status := 0
	answer, err := (&http.Client{Timeout: 7 * time.Second}).Do(request)
	if err == nil {
		status = answer.StatusCode
		_ = answer.Body.Close()
	}
	r.add("client: POST /file/1 as %s with %d bytes to %s: %s", attempt, len(body), m.ip, statusText(status))
}
