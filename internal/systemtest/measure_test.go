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

// measuring says whether the run is to print measurements; they take too long
// for a usual run and decide nothing.
func measuring(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE is not set")
	}
}

// TestMeasureSpread measures the time from a change's acceptance until it is in
// force on all 16 entries, for documents of three sizes and after more and more
// changes.
func TestMeasureSpread(t *testing.T) {
	measuring(t)
	s := newSystem(t, todaysSize())
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

// TestMeasureSpreadOverEntries measures the same in systems of 4 to 64 entries.
func TestMeasureSpreadOverEntries(t *testing.T) {
	measuring(t)
	for _, perPlace := range []int{1, 2, 4, 8, 16} {
		t.Run(strconv.Itoa(perPlace), func(t *testing.T) {
			l := todaysSize()
			l.places = l.places[:4]
			l.entries, l.fewer, l.endpoints = perPlace, 0, 1
			l.rules, l.links = nil, nil
			newSystem(t, l).spread()
		})
	}
}

// spread makes changes one after the other and prints how long they took to be
// decided and then to be in force everywhere. Pauses spread the changes over
// the period in which entries look for them.
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
		s.inForce(base+1, s.doc.EntryNames())
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

// spreadHead is the head of the table whose rows spread reports.
const spreadHead = `
## Time until a change is in force

Real processes on loopback with 3 control VMs, 20 changes for each row: from the
operator's command until the change is decided, and from then until every entry
answers with it. The first rows are for document sizes, the next for changes made
before, the last for numbers of entries in four places.

| entries | bytes of document | version | decided, median | in force, median | in force, longest |
|---|---|---|---|---|---|
`

// report prints text, and appends it to the file that MEASURE_OUT names.
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

// addClients fills the document with blocks of clients.
func addClients(doc *document.Document, n int) {
	doc.Places[0].Clients = nil
	for i := range n {
		doc.Places[0].Clients = append(doc.Places[0].Clients, fmt.Sprintf("11.%d.%d.0/24", i/256, i%256))
	}
}

// applyNow submits the document without waiting.
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

// TestMeasureStops measures the drain time of 20 planned stops under load, and
// counts requests that were cut off.
func TestMeasureStops(t *testing.T) {
	measuring(t)
	s := newSystem(t, todaysSize())
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
			if !r.whole(r.body) {
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

// TestMeasureTakeOver measures how long callers of a place wait after the
// owner of its group is killed.
func TestMeasureTakeOver(t *testing.T) {
	measuring(t)
	s := newSystem(t, todaysSize())
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

// TestMeasureIdle measures what an entry costs without requests, and from the
// difference that muted endpoints make what an announcement costs.
func TestMeasureIdle(t *testing.T) {
	measuring(t)
	s := newSystem(t, todaysSize())
	announced := s.idleCost("with 30 endpoints that announce four times a second")
	for _, list := range s.endpoints {
		for _, e := range list {
			e.mute(true)
		}
	}
	silent := s.idleCost("with endpoints that say nothing")
	perS := 30 / announcePeriod.Seconds()
	fmt.Printf("an announcement costs %v of processor time at all entries together\n",
		time.Duration((announced-silent)/perS*float64(time.Second)).Round(time.Microsecond))
}

// idleCost prints what entries use now and returns the sum of their processor
// time per second.
func (s *system) idleCost(when string) float64 {
	const span = 10 * time.Second
	before := s.costs()
	time.Sleep(span)
	after := s.costs()
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

// cost is what a process has used.
type cost struct {
	cpu float64 // seconds
	rss float64 // megabytes
}

func (s *system) costs() map[string]cost {
	costs := make(map[string]cost)
	for name, p := range s.entries {
		pid := strconv.Itoa(p.cmd.Process.Pid)
		costs[name] = cost{cpu: cpuSeconds(pid), rss: residentMB(pid)}
	}
	return costs
}

// cpuSeconds reads user and system time (proc(5), /proc/pid/stat).
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

// residentMB reads the resident memory (proc(5), /proc/pid/status).
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
// request at the entry that answers it, over connections that are kept.
func TestMeasureCosts(t *testing.T) {
	measuring(t)
	s := newSystem(t, todaysSize())
	place := s.doc.Places[0].Name
	answer, err := s.lookup(place)
	if err != nil {
		t.Fatal(err)
	}
	owner := answer.Entries[0]
	lookups := s.hammer(owner.Name, "http://"+owner.Address+"/v1/lookup?service="+service+"&place="+place)
	requests := s.hammer(owner.Name, "http://"+owner.Address+"/s/"+service+"/x")
	fmt.Printf("look-up over HTTP: %v\nidempotent request at its owner: %v\n", lookups, requests)
}

// hammered is what a closed loop of callers measured.
type hammered struct {
	perS     float64
	p50, p99 time.Duration
	cpu      time.Duration // of the entry, per call
	failed   int
}

func (h hammered) String() string {
	return fmt.Sprintf("%.0f/s, %v processor time each, p50 %v, p99 %v, %d failed",
		h.perS, h.cpu.Round(time.Microsecond), h.p50.Round(10*time.Microsecond), h.p99.Round(10*time.Microsecond), h.failed)
}

// hammer sends GETs from eight callers for a while.
func (s *system) hammer(entry, url string) hammered {
	const callers = 8
	const span = 5 * time.Second
	caller := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}, Timeout: callTimeout}
	var mu sync.Mutex
	var took []time.Duration
	failed := 0
	before := s.costs()[entry].cpu
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
	cpu := s.costs()[entry].cpu - before
	slices.Sort(took)
	n := len(took)
	return hammered{
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

// TestMeasureSilence measures how once-only requests end whose connection
// between two entries has gone silent, over the time since it did.
func TestMeasureSilence(t *testing.T) {
	measuring(t)
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
					r := s.send(other, "north-a", "POST", own.Home+"."+body, body)
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

// silenceHead is the head of the table whose rows TestMeasureSilence reports.
const silenceHead = `
## Once-only requests over a connection between entries that went silent

Every open connection between entries goes silent, new ones work. After a pause 8
once-only requests at a time go through an entry that doesn't own the group.

| pause | requests | ran | not-run | may-have-run |
|---|---|---|---|---|
`
