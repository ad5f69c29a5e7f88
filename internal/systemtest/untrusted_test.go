package systemtest

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/testcrowd"
)

// The tests named TestUntrusted... start a system for each case and send one port of it
// requests that never end, that are too large, or whose answers aren't read. They check
// that each process lives, that its resident memory and its open descriptors stay within
// the limits of its settings file, and that an ordinary request is answered at the port
// while the clients are still connected. They check no times and no share of served
// requests. They must run one at a time and apart from other tests, since they measure
// memory.
//
// The numbers of clients and bytes, and the limits, stay as they are here.
const (
	// untrustedMemoryBytes and untrustedDescriptors are the limits in the settings files.
	untrustedMemoryBytes, untrustedDescriptors = 256_000_000, 256
	// untrustedBodyBytes is max_body_bytes of the service.
	untrustedBodyBytes = 16 << 20
	// untrustedUploads are the clients with bodies of that size, untrustedDocuments those
	// with documents, and untrustedConnections those that send little each, so that they
	// hold more descriptors than the limit.
	untrustedUploads, untrustedDocuments, untrustedConnections = 40, 100, 300
	// untrustedPipelined is the number of requests that a client sends behind one another,
	// and untrustedPipelinedBytes the size of their bodies, or the largest permitted one.
	untrustedPipelined, untrustedPipelinedBytes = 12, 4 << 20
	// untrustedSendTime is how long a client tries to send; it holds its connection until
	// the test ends.
	untrustedSendTime = 8 * time.Second
	// untrustedAnswerTime is how long an ordinary request is repeated until it succeeds.
	untrustedAnswerTime = 30 * time.Second
	// untrustedStopLimit is the drain limit of the entries. It is longer than the limit of
	// control VMs.
	untrustedStopLimit = 20 * time.Second
	// untrustedPlace is the failure domain whose two entries untrusted clients use. One of
	// them owns the group of endpoints there.
	untrustedPlace = "north-a"
)

// untrustedPort is a port at which clients that aren't trusted can connect.
type untrustedPort struct {
	name string
	// head is the request line with the headers of any request.
	head    func(s *system, client int) string
	clients int
	// maxBytes is the largest permitted body.
	maxBytes int
	// address is where a client connects, and process the name of the process there.
	address func(s *system, client int) string
	// ordinary sends an ordinary request and reports whether it succeeded.
	ordinary func(s *system) bool
}

var (
	untrustedCallers = untrustedPort{
		"callers", func(s *system, client int) string {
			method, key := http.MethodGet, ""
			if client%2 == 1 {
				method, key = http.MethodPost, fmt.Sprintf("Sassafrasreach-Key: %s.u%d\r\n", s.keyPrefix, client)
			}
			return fmt.Sprintf("%s /s/%s/u%d HTTP/1.1\r\nHost: x\r\nSassafrasreach-Timeout-Ms: 60000\r\nSassafrasreach-Place: %s\r\n%s",
				method, service, client, untrustedPlace, key)
		}, untrustedUploads, untrustedBodyBytes, (*system).untrustedEntry, (*system).ordinaryRequest,
	}
	untrustedLookups = untrustedPort{
		"look-ups", func(*system, int) string {
			return "GET /v1/lookup?service=" + service + "&place=" + untrustedPlace + " HTTP/1.1\r\nHost: x\r\n"
		}, untrustedUploads, untrustedBodyBytes, (*system).untrustedEntry, (*system).ordinaryRequest,
	}
	untrustedAnnouncements = untrustedPort{
		"announcements", func(_ *system, client int) string {
			return fmt.Sprintf("PUT /v1/endpoints/u%d HTTP/1.1\r\nHost: x\r\n", client)
		}, untrustedConnections, 16 << 10, (*system).untrustedEntry, (*system).ordinaryAnnouncement,
	}
	untrustedOperators = untrustedPort{
		"operators", func(_ *system, client int) string {
			line := "POST /v1/validate"
			if client%2 == 1 {
				line = "PUT /v1/document?base=1"
			}
			return fmt.Sprintf("%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nChange-Id: u%d\r\n", line, token, client)
		}, untrustedDocuments, document.MaxTextBytes, (*system).untrustedControl, (*system).ordinaryRead,
	}
	untrustedStrangers = untrustedPort{
		"operators without a token", func(*system, int) string { return "PUT /v1/document?base=1 HTTP/1.1\r\nHost: x\r\n" },
		untrustedConnections, document.MaxTextBytes, (*system).untrustedControl, (*system).ordinaryRead,
	}
	untrustedSignIns = untrustedPort{
		"the console", func(*system, int) string {
			return "POST /console/sign-in HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-www-form-urlencoded\r\n"
		}, untrustedConnections, 8 << 10, (*system).untrustedControl, (*system).ordinaryRead,
	}
	untrustedPorts = []untrustedPort{
		untrustedCallers, untrustedLookups, untrustedAnnouncements, untrustedOperators, untrustedStrangers, untrustedSignIns,
	}
)

// TestUntrustedLargeBodies guards against a process that ends because many clients send
// bodies of permitted size at once, whole or in pieces, of which most stop a byte short of
// their end.
func TestUntrustedLargeBodies(t *testing.T) {
	runUntrusted(t, untrustedPorts, 0, func(c net.Conn, s *system, p untrustedPort, client int) error {
		return testcrowd.SendLarge(c, p.head(s, client), p.maxBytes, client)
	})
}

// TestUntrustedChunkedBodies guards against a process that ends because many clients send
// bodies of permitted size in large and in very small chunks, of which most stop before
// the last chunk.
func TestUntrustedChunkedBodies(t *testing.T) {
	runUntrusted(t, untrustedPorts, 0, func(c net.Conn, s *system, p untrustedPort, client int) error {
		return testcrowd.SendChunked(c, p.head(s, client), p.maxBytes, client)
	})
}

// TestUntrustedOversizedBodies guards against a process that ends because many clients send
// bodies far over the limit, with an announced length or without one, and stop at three
// quarters of what is permitted or send all.
func TestUntrustedOversizedBodies(t *testing.T) {
	runUntrusted(t, untrustedPorts, 0, func(c net.Conn, s *system, p untrustedPort, client int) error {
		return testcrowd.SendOversized(c, p.head(s, client), p.maxBytes, client)
	})
}

// TestUntrustedPipelinedBodies guards against a process that holds the bodies of requests
// longer than their answers: clients send requests with bodies behind one another, on a
// connection each, and read nothing.
func TestUntrustedPipelinedBodies(t *testing.T) {
	runUntrusted(t, untrustedPorts, untrustedUploads, sendPipelined)
}

// sendPipelined sends requests with bodies behind one another.
func sendPipelined(c net.Conn, s *system, p untrustedPort, client int) error {
	heads := make([]string, untrustedPipelined)
	for i := range heads {
		heads[i] = p.head(s, client+i*untrustedUploads)
	}
	return testcrowd.SendPipelined(c, heads, min(p.maxBytes, untrustedPipelinedBytes), client)
}

// TestUntrustedAbandonedRequests guards against bodies that a process holds uncounted after
// their clients have left: once-only requests go on without them, here for a second each.
func TestUntrustedAbandonedRequests(t *testing.T) {
	layout := untrustedLayout()
	layout.work = time.Second
	s := startUntrusted(t, layout)
	var clients sync.WaitGroup
	body := bytes.Repeat([]byte{' '}, untrustedBodyBytes)
	for client := range untrustedUploads {
		clients.Go(func() {
			c := s.dialUntrusted(s.untrustedEntry(0))
			// An odd number makes the request a once-only one.
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", untrustedCallers.head(s, 2*client+1), len(body))
			_, _ = c.Write(body)
			time.Sleep(100 * time.Millisecond) // a reset may overtake the bytes
			_ = c.Close()
		})
	}
	clients.Wait()
	s.checkUntrusted(untrustedCallers)
}

// TestUntrustedUnreadAnswers guards against answers that stay in the memory of a process
// because their clients don't read.
func TestUntrustedUnreadAnswers(t *testing.T) {
	runUntrusted(t, untrustedPorts[:1], untrustedConnections, func(c net.Conn, s *system, _ untrustedPort, client int) error {
		for i := range untrustedPipelined {
			method, key := http.MethodGet, ""
			if client%2 == 1 {
				method, key = http.MethodPost, fmt.Sprintf("Sassafrasreach-Key: %s.u%d-%d\r\n", s.keyPrefix, client, i)
			}
			if _, err := fmt.Fprintf(c, "%s /s/%s%s/u%d-%d HTTP/1.1\r\nHost: x\r\nSassafrasreach-Timeout-Ms: 60000\r\nSassafrasreach-Place: %s\r\n%s\r\n",
				method, service, largeAnswerPath, client, i, untrustedPlace, key); err != nil {
				return err
			}
		}
		return nil
	})
}

// TestUntrustedSilentConnections guards against a process without descriptors or memory for
// others, because many connections send nothing, or heads that never end.
func TestUntrustedSilentConnections(t *testing.T) {
	runUntrusted(t, []untrustedPort{untrustedCallers, untrustedOperators}, untrustedConnections, func(c net.Conn, _ *system, _ untrustedPort, client int) error {
		if client%2 == 0 {
			return nil
		}
		_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\nX: %s", strings.Repeat("y", 500_000))
		return err
	})
}

// TestUntrustedSingleLargeBody guards against processes that protect themselves from requests
// within the limits: in calm each entry of a place, the owner of the group or not, serves a
// single body of the largest permitted size, with a length and in chunks, and a control VM
// takes a document of the largest size.
func TestUntrustedSingleLargeBody(t *testing.T) {
	s := startUntrusted(t, untrustedLayout())
	s.checkLargeBodies(untrustedBodyBytes)
	s.applyLargestDocument()
	s.checkUntrusted(untrustedCallers)
	s.checkUntrusted(untrustedOperators)
}

// TestUntrustedTokens guards against a control VM that reads the document anew for each token
// that isn't an operator's: clients send such tokens in many requests at once, behind one
// another and without reading, while the largest document is in force.
func TestUntrustedTokens(t *testing.T) {
	s := startUntrusted(t, untrustedLayout())
	s.applyLargestDocument()
	var clients sync.WaitGroup
	for client := range untrustedConnections {
		c := s.dialUntrusted(s.untrustedControl(client))
		clients.Go(func() {
			for i := range untrustedPipelined {
				line := "GET /v1/document"
				if i%2 == 1 {
					line = "GET /v1/status"
				}
				if _, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer u%d-%d\r\n\r\n", line, client, i); err != nil {
					return
				}
			}
		})
	}
	clients.Wait()
	s.checkUntrusted(untrustedOperators)
}

// applyLargestDocument applies the document in force with comments up to the largest size.
func (s *system) applyLargestDocument() {
	s.t.Helper()
	text, err := document.Marshal(s.doc)
	if err != nil {
		s.t.Fatal(err)
	}
	padding := strings.Repeat("#"+strings.Repeat("x", 62)+"\n", document.MaxTextBytes/64+1)
	text = append(text, padding[:document.MaxTextBytes-len(text)]...)
	path := s.write("large.yaml", string(text))
	if code, out := s.ctl("apply", "-timeout", "10s", "-base", strconv.FormatUint(s.status().Version, 10), path); code != 0 {
		s.t.Errorf("a document of %d bytes was not accepted: %d %s", len(text), code, out)
	}
}

// TestUntrustedLargestBody guards against a body of the largest size that a document can
// permit which isn't served in calm with the default settings.
func TestUntrustedLargestBody(t *testing.T) {
	layout := untrustedLayout()
	layout.limits, layout.maxBodyBytes = "", document.MaxBodyBytesBound
	startUntrusted(t, layout).checkLargeBodies(document.MaxBodyBytesBound)
}

// TestUntrustedStop guards against a planned stop that waits for bodies that never end: the
// processes end in time and by themselves.
func TestUntrustedStop(t *testing.T) {
	s := startUntrusted(t, untrustedLayout())
	for _, p := range []untrustedPort{untrustedCallers, untrustedOperators} {
		for client := range untrustedUploads / 2 {
			c := s.dialUntrusted(p.address(s, client))
			go func() {
				_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", p.head(s, client), p.maxBytes)
				for err == nil { // at a rate that is permitted
					_, err = c.Write(bytes.Repeat([]byte{' '}, 10000))
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, process := range []*process{s.entries[s.untrustedEntryName()], s.controls[0]} {
		process.stop()
		if err := process.wait(untrustedStopLimit); err != nil {
			t.Errorf("%s: %v", process.name, err)
		}
		if strings.Contains(process.text(), `"stop-forced"`) {
			t.Errorf("%s: the stop was forced", process.name)
		}
	}
}

// checkLargeBodies sends a body of some size to each entry of a place.
func (s *system) checkLargeBodies(size int) {
	body := bytes.Repeat([]byte{' '}, size)
	for n := range s.doc.PlaceByName(untrustedPlace).Entries {
		for name, reader := range map[string]func() io.Reader{
			"length": func() io.Reader { return bytes.NewReader(body) },
			"chunks": func() io.Reader { return io.MultiReader(bytes.NewReader(body)) },
		} {
			path := fmt.Sprintf("/%s-%d", name, n)
			answer := ""
			served := s.repeatedly(func() bool {
				request, err := http.NewRequest(http.MethodGet, "http://"+s.entryAddress(n)+"/s/"+service+path, reader())
				if err != nil {
					s.t.Fatal(err)
				}
				request.Header.Set("Sassafrasreach-Timeout-Ms", "60000")
				request.Header.Set("Sassafrasreach-Place", untrustedPlace)
				response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}).Do(request)
				if err != nil {
					answer = err.Error()
					return false
				}
				defer func() { _ = response.Body.Close() }()
				text, err := io.ReadAll(response.Body)
				answer = string(text)
				return err == nil && answer == fmt.Sprintf("%d bytes %s", size, path)
			})
			if !served {
				s.t.Errorf("entry %d: a body of %d bytes with %s was not served: %s", n+1, size, name, answer)
			}
		}
	}
}

// untrustedLayout is a layout with the limits.
func untrustedLayout() layout {
	l := twoRegions()
	l.limits = fmt.Sprintf("memory_bytes: %d\nmax_descriptors: %d\n", untrustedMemoryBytes, untrustedDescriptors)
	l.maxBodyBytes = untrustedBodyBytes
	return l
}

// startUntrusted starts a system and waits until an ordinary request was served at each port.
func startUntrusted(t *testing.T, l layout) *system {
	s := newSystem(t, l)
	answer, err := s.lookup(untrustedPlace)
	if err != nil {
		t.Fatal(err)
	}
	s.keyPrefix = answer.KeyPrefix
	for _, p := range untrustedPorts {
		if !s.repeatedly(func() bool { return p.ordinary(s) }) {
			t.Fatalf("no ordinary request was answered before the test at the port for %s", p.name)
		}
	}
	return s
}

// runUntrusted starts a system for each port, lets all clients of the port send at once, and
// checks the processes while their connections are open. crowd is the number of clients,
// that of the port if it is 0.
func runUntrusted(t *testing.T, ports []untrustedPort, crowd int, send func(c net.Conn, s *system, p untrustedPort, client int) error) {
	for _, p := range ports {
		t.Run(strings.ReplaceAll(p.name, " ", "-"), func(t *testing.T) {
			s := startUntrusted(t, untrustedLayout())
			var clients sync.WaitGroup
			for client := range cmp.Or(crowd, p.clients) {
				c := s.dialUntrusted(p.address(s, client))
				clients.Go(func() {
					// An error means that the process refused the client, as it may.
					_ = send(c, s, p, client)
				})
			}
			clients.Wait()
			s.checkUntrusted(p)
		})
	}
}

func (s *system) dialUntrusted(address string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	if err := c.SetWriteDeadline(time.Now().Add(untrustedSendTime)); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// entryAddress returns the address of an entry of the place for callers, past the mesh.
func (s *system) entryAddress(n int) string {
	return s.ip(kindEntry, n+1) + ":18080" // the place is the first one
}

// untrustedEntry returns the address of an entry for a client: half of them use each, with
// odd numbers and with even ones.
func (s *system) untrustedEntry(client int) string {
	return s.entryAddress(client / 2 % len(s.doc.PlaceByName(untrustedPlace).Entries))
}

func (s *system) untrustedEntryName() string {
	return s.doc.PlaceByName(untrustedPlace).Entries[0].Name
}

func (s *system) untrustedControl(int) string { return s.ip(kindControl, 1) + ":18090" }

func (s *system) ordinaryRequest() bool {
	body := s.unique("ordinary")
	for n := range s.doc.PlaceByName(untrustedPlace).Entries {
		if !s.send(s.entryAddress(n), untrustedPlace, http.MethodGet, "", body).complete(body) {
			return false
		}
	}
	return true
}

func (s *system) ordinaryAnnouncement() bool {
	text := fmt.Sprintf(`{"id":"ordinary","incarnation":1,"sequence":%d,"service":%q,"place":%q,"address":"127.0.0.1:1","slots":1,"connections":1,"state":"leaving"}`,
		time.Now().UnixNano(), service, untrustedPlace)
	request, err := http.NewRequest(http.MethodPut, "http://"+s.untrustedEntry(0)+"/v1/endpoints/ordinary", strings.NewReader(text))
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := client().Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *system) ordinaryRead() bool {
	code, _ := s.ctlAt("http://"+s.untrustedControl(0), "get")
	return code == 0
}

// repeatedly repeats a request until it succeeds, and reports whether it did.
func (s *system) repeatedly(ok func() bool) bool {
	for deadline := time.Now().Add(untrustedAnswerTime); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// checkUntrusted checks that an ordinary request is answered at a port, and all processes.
func (s *system) checkUntrusted(p untrustedPort) {
	s.t.Helper()
	processes := slices.Clone(s.controls)
	for _, entry := range s.entries {
		processes = append(processes, entry)
	}
	open := make(map[*process]int)
	for _, process := range processes {
		open[process] = process.openDescriptors()
	}
	if !s.repeatedly(func() bool { return p.ordinary(s) }) {
		s.t.Errorf("no ordinary request was answered at the port for %s", p.name)
	}
	largest, most := int64(0), 0
	for _, process := range processes {
		peak, descriptors := process.peakMemory(), max(open[process], process.openDescriptors())
		largest, most = max(largest, peak), max(most, descriptors)
		if peak > untrustedMemoryBytes {
			s.t.Errorf("%s had %d bytes in memory, more than %d", process.name, peak, untrustedMemoryBytes)
		}
		if descriptors > untrustedDescriptors {
			s.t.Errorf("%s had %d open descriptors, more than %d", process.name, descriptors, untrustedDescriptors)
		}
	}
	s.t.Logf("peak memory %d MB, %d open descriptors", largest/1_000_000, most)
}

// peakMemory returns the largest resident memory of a process so far, in bytes.
func (p *process) peakMemory() int64 {
	p.t.Helper()
	peak, err := testcrowd.PeakMemory(p.pid())
	if err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
	return peak
}

// openDescriptors returns the number of open descriptors of a process.
func (p *process) openDescriptors() int {
	p.t.Helper()
	open, err := testcrowd.OpenDescriptors(p.pid())
	if err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
	return open
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}
