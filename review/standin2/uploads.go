package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryBytes returns the memory that the machine's process uses, without its program
// file; 0 if it doesn't run.
func (m *machine) memoryBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil || m.down {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "RssAnon:" {
			kib, _ := strconv.ParseInt(fields[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// limitMemory kills each front's process that uses more than its memory, as the platform
// does, until done is closed.
func (f *fleet) limitMemory(limit int64, done <-chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	peak := make(map[string]int64)
	group.Go(func() {
		for {
			select {
			case <-done:
				for _, m := range f.fronts {
					f.record.write("peak memory of %s: %d bytes", m.name, peak[m.name])
				}
				return
			case <-time.After(2 * time.Millisecond):
			}
			for _, m := range f.fronts {
				used := m.memoryBytes()
				peak[m.name] = max(peak[m.name], used)
				if used <= limit {
					continue
				}
				f.record.say("%s uses %d bytes of memory, more than %d: the platform kills it", m.name, used, limit)
				m.mu.Lock()
				_ = syscall.Kill(m.command.Process.Pid, syscall.SIGKILL)
				m.mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		}
	})
	return &group
}

// keptLosses counts the requests that a worker ran and whose kept connection ended without an answer.
type keptLosses struct {
	mu   sync.Mutex
	ran  map[string]bool
	lost []string
	ok   int
}

// keep sends requests one after the other on a kept connection to a front, and opens a
// new one after a loss.
func (f *fleet) keep(k *keptLosses, address string, q request, done <-chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	answered := 0
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
		}
		if conn == nil {
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
			conn, reader, answered = c, bufio.NewReader(c), 0
		}
		id := newID()
		r, err := http.NewRequest(q.method, "http://"+address+q.path, bytes.NewReader(q.body))
		must(err)
		r.Host = q.host
		r.Header.Set("Attempt-Id", id)
		r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
		_ = conn.SetDeadline(time.Now().Add(q.deadline))
		status := 0
		if err = r.Write(conn); err == nil {
			var in *http.Response
			if in, err = http.ReadResponse(reader, r); err == nil {
				status = in.StatusCode
				_, err = io.Copy(io.Discard, in.Body)
			}
		}
		f.record.write("request %s on a kept connection (%d answers before) to %s: status %d, %v", id, answered, address, status, err)
		if err == nil && status != 0 {
			answered++
			k.mu.Lock()
			k.ok++
			k.mu.Unlock()
			continue
		}
		_ = conn.Close()
		conn = nil
		k.mu.Lock()
		if answered > 0 && k.ran[id] {
			k.lost = append(k.lost, id)
		}
		k.mu.Unlock()
	}
}

const (
	// memoryLimit is limits.memoryMb of the fronts.
	memoryLimit = 206_000_000
	// uploadBytes is the size of a body: less than maxBodyBytes of the configuration.
	uploadBytes = 63 << 20
	// usualClients send at once in usual traffic, and burstClients in a burst: 1.67 times
	// as many. They are spread over the fronts.
	usualClients, burstClients = 12, 20
	uploadRounds               = 4
	keptPerFront               = 3
)

// playUploads plays clients that send large bodies within the limits of the
// configuration: one at a time at a front, and in a burst.
func playUploads(f *fleet, trouble bool) (bool, error) {
	k := &keptLosses{ran: make(map[string]bool)}
	must(f.startAll())
	f.startWorkers(map[string]serviceSpec{"roster-desk": {20, 9, 300 * time.Millisecond, false}, "filing-desk": {12, 9, 300 * time.Millisecond, false}},
		func(w *worker, r *http.Request, _ func()) {
			id := r.Header.Get("Attempt-Id")
			f.record.write("worker %s %s runs %s %s %s", w.service, w.id, id, r.Method, r.URL.Path)
			k.mu.Lock()
			defer k.mu.Unlock()
			k.ran[id] = true
		})
	err := f.configure(configuration(1, 0, []routeSpec{
		{"/lookup/", "safe", "roster-desk", 0.6, 1.5, 2, 2},
		{"/publish/", "unsafe", "roster-desk", 0.8, 2, 2, 1},
		{"/hire/", "unsafe", "filing-desk", 0.5, 1.2, 2, 0},
	}, "roster-desk", "filing-desk"), 15*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var near []string
	for _, z := range f.zones {
		all, err := f.resolve(host, z)
		if err != nil {
			return false, err
		}
		near = append(near, all...)
	}
	done := make(chan struct{})
	watch := f.limitMemory(memoryLimit, done)
	var kept sync.WaitGroup
	for _, address := range near {
		for range keptPerFront {
			kept.Go(func() {
				f.keep(k, address, request{method: http.MethodPut, host: host, path: "/hire/form", body: []byte("{}"), deadline: 3 * time.Second}, done)
			})
		}
	}
	time.Sleep(3 * time.Second)
	clients := usualClients
	if trouble {
		clients = burstClients
	}
	body := bytes.Repeat([]byte("certificate "), uploadBytes/12)
	f.record.say("%d clients send bodies of %d bytes at once to %d fronts; the configuration allows 67108864 bytes", clients, len(body), len(near))
	for range uploadRounds {
		var uploads sync.WaitGroup
		for i := range clients {
			uploads.Go(func() {
				address := near[i%len(near)]
				id, status := f.send(address, request{method: http.MethodPost, host: host, path: "/publish/c", body: body, deadline: 6 * time.Second})
				f.record.say("client %d: upload %s to %s: status %d", i, id, address, status)
			})
		}
		uploads.Wait()
		time.Sleep(4 * time.Second)
	}
	close(done)
	kept.Wait()
	watch.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	ends := 0
	for _, m := range f.fronts {
		m.mu.Lock()
		ends += m.ends
		m.mu.Unlock()
	}
	f.record.say("processes of fronts ended by themselves: %d times; answers on kept connections: %d", ends, k.ok)
	f.record.say("requests from kept connections that a worker ran and that got no answer: %d (three are allowed)", len(k.lost))
	return len(k.lost) > 3, nil
}
