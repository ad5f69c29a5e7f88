package systemtest

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrasreach/internal/core/document"
)

// requireMeasure skips the test unless MEASURE is set. Measurements take too long
// for a usual run and check nothing.
func requireMeasure(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE is not set")
	}
}

// TestMeasureSpread measures the time from the acceptance of a change until it is
// in force on all 16 entries, for documents of three sizes and after an
// increasing number of changes.
func TestMeasureSpread(t *testing.T) {
	requireMeasure(t)
	s := newSystem(t, currentSize())
	report(t, spreadHead)
	for _, filler := range []int{0, 500, 5000} {
		addClients(s.doc, filler)
		s.spread()
	}
	addClients(s.doc, 0)
	for _, changes := range []int{0, 100, 300, 600} {
		for range changes {
			s.applyNow(s.status().Version)
		}
		s.spread()
	}
}

// TestMeasureSpreadOverEntries measures the same times in systems of 4 to 64
// entries.
func TestMeasureSpreadOverEntries(t *testing.T) {
	requireMeasure(t)
	for _, perPlace := range []int{1, 2, 4, 8, 16} {
		t.Run(strconv.Itoa(perPlace), func(t *testing.T) {
			l := currentSize()
			l.places = l.places[:4]
			l.entries, l.smallerPlaces, l.endpoints = perPlace, 0, 1
			l.rules, l.links = nil, nil
			newSystem(t, l).spread()
		})
	}
}

// spread makes changes one after the other and reports how long they took to be
// decided and then to be in force everywhere. Pauses distribute the changes over
// the period at which entries poll for them.
func (s *system) spread() {
	s.t.Helper()
	const changes = 20
	const step = 130 * time.Millisecond
	var decided, spread []time.Duration
	for n := range changes {
		time.Sleep(time.Duration(n) * step % (500 * time.Millisecond))
		s.doc.Regions[0].ReservePercent = (s.doc.Regions[0].ReservePercent + 1) % 50
		base := s.status().Version
		begun := time.Now()
		s.applyNow(base)
		accepted := time.Now()
		s.awaitInForce(base+1, s.doc.EntryNames())
		decided = append(decided, accepted.Sub(begun))
		spread = append(spread, time.Since(accepted))
	}
	text, err := document.Marshal(s.doc)
	if err != nil {
		s.t.Fatal(err)
	}
	slices.Sort(decided)
	slices.Sort(spread)
	report(s.t, fmt.Sprintf("| %d | %d | %d | %v | %v | %v |\n", len(s.doc.EntryNames()), len(text), s.status().Version,
		decided[changes/2].Round(time.Millisecond), spread[changes/2].Round(time.Millisecond), spread[changes-1].Round(time.Millisecond)))
}

// spreadHead is the heading of the table whose rows spread reports.
const spreadHead = `
## Time until a change is in force

Real processes on loopback with 3 control VMs, 20 changes for each row. Measured are
the time from the operator's command until the change is decided, and the time from
then until every entry answers with it. The first rows vary the size of the document,
the next the number of earlier changes, the last the number of entries in four places.

| entries | bytes of document | version | decided, median | in force, median | in force, longest |
|---|---|---|---|---|---|
`

// report prints text and, if MEASURE_OUT is set, appends it to that file.
func report(t *testing.T, text string) {
	t.Helper()
	fmt.Print(text)
	name := os.Getenv("MEASURE_OUT")
	if name == "" {
		return
	}
	f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if _, err := f.WriteString(text); err != nil {
		t.Error(err)
	}
}

// addClients replaces the client blocks of the first place by n blocks.
func addClients(doc *document.Document, n int) {
	doc.Places[0].Clients = nil
	for i := range n {
		doc.Places[0].Clients = append(doc.Places[0].Clients, fmt.Sprintf("11.%d.%d.0/24", i/256, i%256))
	}
}

// applyNow submits the document and doesn't wait until it is in force.
func (s *system) applyNow(base uint64) {
	s.t.Helper()
	text, err := document.Marshal(s.doc)
	if err != nil {
		s.t.Fatal(err)
	}
	path := s.write("document.yaml", string(text))
	code, out := s.ctl("apply", "-wait=false", "-base", strconv.FormatUint(base, 10), path)
	if code != 0 {
		s.t.Fatalf("apply: exit %d: %s", code, out)
	}
}

// TestMeasureStops measures the drain time of 20 planned stops under load and
// counts the requests that were cut off.
func TestMeasureStops(t *testing.T) {
	requireMeasure(t)
	s := newSystem(t, currentSize())
	const stops = 20
	var took []time.Duration
	cut, requests := 0, 0
	for n := range stops {
		place := s.doc.Places[n%len(s.doc.Places)]
		p := s.entries[place.Entries[n%len(place.Entries)].Name]
		running := s.startLoad(place.Name)
		time.Sleep(200 * time.Millisecond)
		begun := time.Now()
		p.stop()
		if err := p.wait(25 * time.Second); err != nil {
			t.Errorf("stop of %s: %v", p.name, err)
		}
		took = append(took, time.Since(begun))
		for _, r := range running.finish() {
			requests++
			if !r.complete(r.body) {
				cut++
				t.Errorf("stop of %s: %+v", p.name, r)
			}
		}
		p.start()
		s.eventually(p.name+" serves again", func() bool { return s.lookupVersion(p.name) > 0 })
		time.Sleep(4 * time.Second) // until it may own a group again
	}
	slices.Sort(took)
	fmt.Printf("planned stops: %d under load, %d of %d requests cut off or failed; drain time median %v, longest %v\n",
		stops, cut, requests, took[stops/2].Round(time.Millisecond), took[stops-1].Round(time.Millisecond))
}

// TestMeasureTakeOver measures the time from killing the owner of a group until
// a request of the place is served.
func TestMeasureTakeOver(t *testing.T) {
	requireMeasure(t)
	s := newSystem(t, currentSize())
	var waits []time.Duration
	for n := range 5 {
		place := s.doc.Places[n%4].Name
		owner := s.owner(place)
		s.entries[owner].kill()
		begun := time.Now()
		s.eventually("requests served in "+place, func() bool { return s.get(place, s.unique("takeover")).status == 200 })
		waits = append(waits, time.Since(begun))
		s.entries[owner].start()
		s.eventually(owner+" serves again", func() bool { return s.lookupVersion(owner) > 0 })
		time.Sleep(4 * time.Second)
	}
	slices.Sort(waits)
	fmt.Printf("owner killed, 5 times: first request served after median %v, longest %v\n",
		waits[2].Round(time.Millisecond), waits[4].Round(time.Millisecond))
}

// TestMeasureIdle measures the processor time and memory of an entry without
// requests. The difference with paused announcements gives the cost of one
// announcement.
func TestMeasureIdle(t *testing.T) {
	requireMeasure(t)
	s := newSystem(t, currentSize())
	announced := s.idleCost("with 30 endpoints that announce four times a second")
	for _, list := range s.endpoints {
		for _, e := range list {
			e.pauseAnnouncements(true)
		}
	}
	silent := s.idleCost("with endpoints that send no announcements")
	perS := 30 / announcePeriod.Seconds()
	fmt.Printf("an announcement costs %v of processor time at all entries together\n",
		time.Duration((announced-silent)/perS*float64(time.Second)).Round(time.Microsecond))
}

// idleCost prints the resource usage of the entries over the next 10 s and
// returns the sum of their processor time per second.
func (s *system) idleCost(when string) float64 {
	const span = 10 * time.Second
	before := s.usages()
	time.Sleep(span)
	after := s.usages()
	var cpu, rss []float64
	sum := 0.0
	for name := range before {
		used := (after[name].cpu - before[name].cpu) / span.Seconds()
		sum += used
		cpu = append(cpu, used*100)
		rss = append(rss, after[name].rss)
	}
	slices.Sort(cpu)
	slices.Sort(rss)
	n := len(cpu)
	fmt.Printf("idle entry, %d of them %s: median %.2f%% of a core, most %.2f%%; resident median %.0f MB, most %.0f MB\n",
		n, when, cpu[n/2], cpu[n-1], rss[n/2], rss[n-1])
	return sum
}

// usage is the resource usage of a process.
type usage struct {
	cpu float64 // seconds
	rss float64 // megabytes
}

func (s *system) usages() map[string]usage {
	usages := make(map[string]usage)
	for name, p := range s.entries {
		pid := strconv.Itoa(p.cmd.Process.Pid)
		usages[name] = usage{cpu: cpuSeconds(pid), rss: residentMB(pid)}
	}
	return usages
}

// cpuSeconds returns the user and system time of a process from /proc/pid/stat
// (proc(5)), or 0 when it can't be read.
func cpuSeconds(pid string) float64 {
	text, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	const ticksPerSecond = 100
	return (user + system) / ticksPerSecond
}

// residentMB returns the resident memory of a process from /proc/pid/status
// (proc(5)), or 0 when it can't be read.
func residentMB(pid string) float64 {
	text, err := os.ReadFile("/proc/" + pid + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// TestMeasureCosts measures the processor time of one look-up and of one
// idempotent request at the owner's entry, over reused connections.
func TestMeasureCosts(t *testing.T) {
	requireMeasure(t)
	s := newSystem(t, currentSize())
	place := s.doc.Places[0].Name
	answer, err := s.lookup(place)
	if err != nil {
		t.Fatal(err)
	}
	owner := answer.Entries[0]
	lookups := s.runClosedLoop(owner.Name, "http://"+owner.Address+"/v1/lookup?service="+service+"&place="+place)
	requests := s.runClosedLoop(owner.Name, "http://"+owner.Address+"/s/"+service+"/x")
	fmt.Printf("look-up over HTTP: %v\nidempotent request at its owner: %v\n", lookups, requests)
}

// loopResult is the result of a closed loop of callers.
type loopResult struct {
	perS     float64
	p50, p99 time.Duration
	cpu      time.Duration // of the entry, per call
	failed   int
}

func (h loopResult) String() string {
	return fmt.Sprintf("%.0f/s, %v processor time each, p50 %v, p99 %v, %d failed",
		h.perS, h.cpu.Round(time.Microsecond), h.p50.Round(10*time.Microsecond), h.p99.Round(10*time.Microsecond), h.failed)
}

// runClosedLoop sends GET requests from eight callers for 5 s, each caller sending
// its next request when it has the answer to the last one.
func (s *system) runClosedLoop(entry, url string) loopResult {
	const callers = 8
	const span = 5 * time.Second
	caller := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}, Timeout: callTimeout}
	var mu sync.Mutex
	var took []time.Duration
	failed := 0
	before := s.usages()[entry].cpu
	begun := time.Now()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for time.Since(begun) < span {
				sent := time.Now()
				ok := getOnce(caller, url)
				mu.Lock()
				took = append(took, time.Since(sent))
				if !ok {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	cpu := s.usages()[entry].cpu - before
	slices.Sort(took)
	n := len(took)
	return loopResult{
		perS:   float64(n) / span.Seconds(),
		p50:    took[n/2],
		p99:    took[n*99/100],
		cpu:    time.Duration(cpu / float64(n) * float64(time.Second)),
		failed: failed,
	}
}

func getOnce(caller *http.Client, url string) bool {
	response, err := caller.Get(url)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err == nil && response.StatusCode == http.StatusOK
}

// TestMeasureSilence counts the verdicts of once-only requests that an entry
// forwards after its connections to other entries went silent, by the time since
// then.
func TestMeasureSilence(t *testing.T) {
	requireMeasure(t)
	const rounds, atOnce = 10, 8
	s := newSystem(t, twoRegions())
	report(t, silenceHead)
	for _, pause := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond} {
		ends := make(map[string]int)
		var mu sync.Mutex
		for range rounds {
			answer, err := s.lookup("north-a")
			if err != nil {
				t.Fatal(err)
			}
			other := answer.Entries[1].Address // doesn't own the group
			own, err := s.lookupAt(other, "north-a")
			if err != nil {
				t.Fatal(err)
			}
			s.get("north-a", s.unique("open"))
			s.mesh.silence(func(src, dst string) bool { return placeOf(src) != "" && placeOf(dst) != "" })
			time.Sleep(pause)
			var wg sync.WaitGroup
			for range atOnce {
				body := s.unique("silence")
				wg.Go(func() {
					r := s.send(other, "north-a", "POST", own.KeyPrefix+"."+body, body)
					mu.Lock()
					defer mu.Unlock()
					ends[r.verdict]++
				})
			}
			wg.Wait()
			time.Sleep(time.Second)
		}
		report(t, fmt.Sprintf("| %v | %d | %d | %d | %d |\n", pause, rounds*atOnce, ends["ran"], ends["not-run"], ends["may-have-run"]))
	}
}

// silenceHead is the heading of the table whose rows TestMeasureSilence reports.
const silenceHead = `
## Once-only requests over a connection between entries that went silent

Every established connection between entries goes silent; new connections work. After
a pause, 8 once-only requests at a time are sent through an entry that doesn't own the
group.

| pause | requests | ran | not-run | may-have-run |
|---|---|---|---|---|
`
