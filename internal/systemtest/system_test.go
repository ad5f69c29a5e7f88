package systemtest

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

const (
	service   = "desk"
	token     = "demo-token"
	tokenHash = "7c43ef5ae21d43ce2743f770c68e24def1a43ee2f416d2438410c8af7af2ff2c"
	// convergeTimeout bounds every wait for a state that the system must reach on
	// its own.
	convergeTimeout = 15 * time.Second
)

// nextNet is the counter from which each system gets its own network within
// 127.0.0.0/8.
var nextNet atomic.Int32

// layout describes the size and the configuration of a system.
type layout struct {
	places        []document.Place // without entries
	entries       int              // per place
	smallerPlaces int              // number of places, from the end of the list, with one entry less
	endpoints     int              // per place
	slots         int
	work          time.Duration
	rules         []document.Rule
	links         []document.Link
	maxBodyBytes  int64  // of requests and of answers; 0 means 64 KiB
	limits        string // further lines of all settings files
}

// twoRegions is the layout of most tests: two places in one region and one in
// another, with rules that permit shifts between all of them.
func twoRegions() layout {
	return layout{
		places: []document.Place{
			{Name: "north-a", Region: "north"},
			{Name: "north-b", Region: "north"},
			{Name: "south-a", Region: "south"},
		},
		entries:   2,
		endpoints: 2,
		slots:     4,
		work:      2 * time.Millisecond,
		rules: []document.Rule{
			{Name: "a-to-b", From: "north-a", To: "north-b", RequestsPerS: 4000},
			{Name: "b-to-a", From: "north-b", To: "north-a", RequestsPerS: 4000},
			{Name: "to-south", From: "north", To: "south", RequestsPerS: 4000},
			{Name: "to-north", From: "south", To: "north", RequestsPerS: 4000},
		},
		links: []document.Link{
			{From: "north", To: "south", MbitPerS: 800, FillPercent: 80},
			{From: "south", To: "north", MbitPerS: 800, FillPercent: 80},
		},
	}
}

// system is a running control group with entries and endpoints.
type system struct {
	t         *testing.T
	layout    layout
	net       int32
	dir       string
	mesh      *mesh
	doc       *document.Document
	runs      *runs
	controls  []*process
	entries   map[string]*process
	endpoints map[string][]*endpoint // by place

	mu        sync.Mutex
	lastEntry map[string]string // by place: the entry that last answered a look-up

	keyPrefix string // of the keys of untrusted clients
}

const controls = 3

func (s *system) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.net, kind, n) }

// The third byte of an IP tells the kind of address. Addresses of the kinds
// named Front belong to the mesh, which relays them to the real address.
const (
	kindControl       = 1
	kindEntry         = 10  // plus the index of the place
	kindEndpoint      = 40  // plus the index of the place
	kindFrontEntry    = 110 // plus the index of the place
	kindFrontEndpoint = 140 // plus the index of the place
	kindFrontControl  = 200 // plus the dialing control VM; 0 for entries
)

// newSystem starts all processes and endpoints, and waits until requests are
// served in every place and entries may use their shares of caps.
func newSystem(t *testing.T, l layout) *system {
	t.Helper()
	s := &system{
		t:         t,
		layout:    l,
		net:       reserveNetwork(t),
		dir:       t.TempDir(),
		mesh:      newMesh(t),
		runs:      &runs{counts: make(map[string]int)},
		entries:   make(map[string]*process),
		endpoints: make(map[string][]*endpoint),
		lastEntry: make(map[string]string),
	}
	s.write("token", token)
	s.buildDocument()
	for n := 1; n <= controls; n++ {
		s.startControl(n)
	}
	for i, place := range s.doc.Places {
		for n := range place.Entries {
			s.startEntry(i, n)
		}
	}
	started := time.Now()
	s.eventually("first document", func() bool { return s.apply(s.doc) == 0 })
	for i := range s.doc.Places {
		s.startEndpoints(i)
	}
	for _, place := range s.doc.Places {
		s.awaitServing(place.Name)
	}
	time.Sleep(time.Until(started.Add(capsUsableAfter)))
	return s
}

// capsUsableAfter is the time after its start at which an entry may use its
// shares of caps: a term, two windows and their margins.
const capsUsableAfter = 6 * time.Second

// reserveNetwork returns the number of a network that no other test uses, in this
// process or another one. A listener reserves it until the test ends.
func reserveNetwork(t *testing.T) int32 {
	t.Helper()
	for range nets {
		n := firstNet + nextNet.Add(1)%nets
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:19999", n))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = ln.Close() })
		return n
	}
	t.Fatal("no free network on loopback")
	return 0
}

// The tests use the networks 127.20.0.0/16 to 127.119.0.0/16.
const (
	firstNet = 20
	nets     = 100
)

func (s *system) awaitServing(place string) {
	s.t.Helper()
	s.eventually("requests served in "+place, func() bool {
		return s.get(place, s.unique("warm")).status == 200
	})
}

func (s *system) buildDocument() {
	s.doc = &document.Document{Rules: s.layout.rules, Links: s.layout.links}
	var places []string
	regions := make(map[string]bool)
	for i, place := range s.layout.places {
		place.Clients = []string{fmt.Sprintf("10.%d.0.0/16", i)}
		entries := s.layout.entries
		if i >= len(s.layout.places)-s.layout.smallerPlaces {
			entries--
		}
		for n := range entries {
			front := s.ip(kindFrontEntry+i, n+1)
			place.Entries = append(place.Entries, document.Entry{
				Name:   fmt.Sprintf("%s-%d", place.Name, n+1),
				Caller: front + ":18080",
				Peer:   front + ":19080",
			})
		}
		s.doc.Places = append(s.doc.Places, place)
		places = append(places, place.Name)
		if !regions[place.Region] {
			regions[place.Region] = true
			s.doc.Regions = append(s.doc.Regions, document.Region{Name: place.Region, ReservePercent: 10})
		}
	}
	s.doc.Services = []document.Service{{
		Name:              service,
		IdempotentMethods: []string{"GET", "HEAD"},
		Deadline:          document.Duration(2 * time.Second),
		RequestBytes:      1 << 10,
		AnswerBytes:       1 << 10,
		MaxBodyBytes:      cmp.Or(s.layout.maxBodyBytes, 64<<10),
		MaxAnswerBytes:    cmp.Or(s.layout.maxBodyBytes, 64<<10),
		Places:            places,
		Workers:           s.layout.endpoints * len(places),
		Slots:             s.layout.slots,
		Connections:       650,
	}}
	s.doc.Operators = []document.Operator{{Name: "tester", TokenSHA256: tokenHash}}
}

func (s *system) write(name, text string) string {
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func (s *system) startControl(n int) {
	name := fmt.Sprintf("control-%d", n)
	ip := s.ip(kindControl, n)
	var members strings.Builder
	for m := 1; m <= controls; m++ {
		address := s.ip(kindFrontControl+n, m) + ":19090"
		if m == n {
			address = ip + ":19090"
		} else {
			s.mesh.expose(address, s.ip(kindControl, m)+":19090", name, fmt.Sprintf("control-%d", m))
		}
		fmt.Fprintf(&members, "  - {name: control-%d, address: %q}\n", m, address)
	}
	s.mesh.expose(s.ip(kindFrontControl, n)+":19090", ip+":19090", "", name)
	path := s.write(name+".yaml", fmt.Sprintf("name: %s\ndata_dir: %s\npeer_listen: %s:19090\n"+
		"operator_listen: %s:18090\nbootstrap_token_sha256: %s\nmembers:\n%s%s",
		name, s.dataDir(n), ip, ip, tokenHash, members.String(), s.layout.limits))
	s.controls = append(s.controls, newProcess(s.t, name, "control", "-settings", path))
}

func (s *system) dataDir(n int) string { return filepath.Join(s.dir, fmt.Sprintf("data-%d", n)) }

func (s *system) startEntry(i, n int) {
	entry := s.doc.Places[i].Entries[n]
	ip := s.ip(kindEntry+i, n+1)
	s.mesh.registerVM(ip, entry.Name)
	s.mesh.expose(entry.Peer, ip+":19080", "", entry.Name)
	s.mesh.expose(entry.Caller, ip+":18080", "", entry.Name)
	var control, seeds []string
	for m := 1; m <= controls; m++ {
		control = append(control, s.ip(kindFrontControl, m)+":19090")
	}
	for _, place := range s.doc.Places {
		seeds = append(seeds, place.Entries[0].Peer)
	}
	path := s.write(entry.Name+".yaml", fmt.Sprintf("name: %s\nplace: %s\ncaller_listen: %s:18080\n"+
		"peer_listen: %s:19080\ncontrol: [%q, %q, %q]\nseeds: [%s]\ndrain_limit: 20s\n%s",
		entry.Name, s.doc.Places[i].Name, ip, ip, control[0], control[1], control[2], quoted(seeds), s.layout.limits))
	s.entries[entry.Name] = newProcess(s.t, entry.Name, "entry", "-settings", path)
}

func quoted(items []string) string {
	var out []string
	for _, item := range items {
		out = append(out, fmt.Sprintf("%q", item))
	}
	return strings.Join(out, ", ")
}

func (s *system) startEndpoints(i int) {
	place := s.doc.Places[i]
	for n := 1; n <= s.layout.endpoints; n++ {
		e := &endpoint{
			t: s.t, runs: s.runs, service: service, place: place.Name,
			id:     fmt.Sprintf("%s-worker-%d", place.Name, n),
			listen: s.ip(kindEndpoint+i, n) + ":17000",
			front:  s.ip(kindFrontEndpoint+i, n) + ":17000",
			slots:  s.layout.slots,
			work:   s.layout.work,
		}
		for _, entry := range place.Entries {
			e.entries = append(e.entries, entry.Caller)
		}
		s.mesh.expose(e.front, e.listen, "", e.id)
		s.endpoints[place.Name] = append(s.endpoints[place.Name], e)
		e.start()
	}
}

// eventually waits until ok returns true. The test fails when that takes longer
// than convergeTimeout.
func (s *system) eventually(what string, ok func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(convergeTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			s.t.Fatalf("not within %v: %s", convergeTimeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// ctl runs the operators' command-line client with the addresses of all control
// VMs and returns its exit code and output.
func (s *system) ctl(args ...string) (int, string) {
	var urls []string
	for n := 1; n <= controls; n++ {
		urls = append(urls, "http://"+s.ip(kindControl, n)+":18090")
	}
	return s.ctlAt(strings.Join(urls, ","), args...)
}

func (s *system) ctlAt(urls string, args ...string) (int, string) {
	all := append([]string{"ctl", args[0], "-control", urls, "-token-file", filepath.Join(s.dir, "token")}, args[1:]...)
	cmd := exec.Command(binary, all...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	_ = cmd.Run()
	return cmd.ProcessState.ExitCode(), out.String()
}

// apply submits a document based on the current version and waits until it is in
// force, with a timeout of 5 s. It returns the client's exit code; 0 means that
// the document is in force.
func (s *system) apply(doc *document.Document) int {
	text, err := document.Marshal(doc)
	if err != nil {
		s.t.Fatal(err)
	}
	path := s.write("document.yaml", string(text))
	base := strconv.FormatUint(s.status().Version, 10)
	code, out := s.ctl("apply", "-timeout", "5s", "-base", base, path)
	if code != 0 {
		s.t.Logf("apply: exit %d: %s", code, strings.TrimSpace(out))
	}
	return code
}

// status returns the status that the control VMs report, or the zero value when
// they report none.
func (s *system) status() port.ControlStatus {
	_, out := s.ctl("status", "-o", "json")
	var status port.ControlStatus
	_ = json.Unmarshal([]byte(out), &status)
	return status
}
