package systemtest

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// row is one fault of the matrix.
type row struct {
	name string
	// inject causes the fault; heal ends it. Either may be nil.
	inject func(s *system)
	heal   func(s *system)
	// serving lists the places whose callers must be served under the fault.
	serving []string
	// reachable lists the places whose entries receive a new document under the
	// fault; empty means that no change can be accepted.
	reachable []string
	// stopIn is the place in which an entry has a planned stop under the fault;
	// empty leaves that flow out.
	stopIn string
}

var (
	everywhere = []string{"north-a", "north-b", "south-a"}
	northOnly  = []string{"north-a", "north-b"}
)

// dropInbound drops traffic from VMs outside a place to VMs in it. Connections
// that the test process dials have no source name and are not dropped.
func dropInbound(place string) dropRule {
	return func(src, dst string) bool {
		return placeOf(dst) == place && src != "" && placeOf(src) != place
	}
}

// placeOf returns the place of a VM, or "" for control VMs.
func placeOf(vm string) string {
	for _, place := range everywhere {
		if strings.HasPrefix(vm, place) {
			return place
		}
	}
	return ""
}

// isolatePlace drops all traffic between VMs in a place and VMs outside it.
// Connections that the test process dials, as an endpoint or a caller, have no
// source name and are never dropped.
func isolatePlace(place string) dropRule {
	return func(src, dst string) bool {
		if src == "" || dst == "" {
			return false
		}
		return (placeOf(src) == place) != (placeOf(dst) == place)
	}
}

// dropOutbound drops traffic from VMs in a place to VMs outside it, but not
// answers to the test process.
func dropOutbound(place string) dropRule {
	return func(src, dst string) bool {
		return placeOf(src) == place && dst != "" && placeOf(dst) != place
	}
}

func matrixRows() []row {
	var frozen, killed string
	return []row{
		{
			name: "None", serving: everywhere, reachable: everywhere, stopIn: "north-a",
		},
		{
			name:    "KillEntry",
			inject:  func(s *system) { killed = s.owner("north-a"); s.entries[killed].kill() },
			heal:    func(s *system) { s.entries[killed].start() },
			serving: everywhere, reachable: []string{"north-b", "south-a"}, stopIn: "south-a",
		},
		{
			name: "KillAndRestartEntry",
			inject: func(s *system) {
				p := s.entries[s.owner("north-a")]
				p.kill()
				p.start()
			},
			serving: everywhere, reachable: everywhere, stopIn: "north-b",
		},
		{
			name:    "FreezeAndThawEntry",
			inject:  func(s *system) { frozen = s.owner("north-a"); s.entries[frozen].freeze() },
			heal:    func(s *system) { s.entries[frozen].thaw() },
			serving: everywhere, reachable: []string{"north-b", "south-a"}, stopIn: "south-a",
		},
		{
			name:    "CutPlaceBothWays",
			inject:  func(s *system) { s.mesh.setRule(isolatePlace("south-a")) },
			heal:    func(s *system) { s.mesh.heal() },
			serving: everywhere, reachable: northOnly, stopIn: "north-b",
		},
		{
			name:    "CutPlaceOneWay",
			inject:  func(s *system) { s.mesh.setRule(dropOutbound("south-a")) },
			heal:    func(s *system) { s.mesh.heal() },
			serving: everywhere, reachable: northOnly, stopIn: "north-b",
		},
		{
			name:    "CutPlaceOneWayIn",
			inject:  func(s *system) { s.mesh.setRule(dropInbound("south-a")) },
			heal:    func(s *system) { s.mesh.heal() },
			serving: everywhere, reachable: northOnly, stopIn: "north-a",
		},
		{
			name:    "PlaceEntriesLost",
			inject:  func(s *system) { s.eachEntry("north-a", (*process).kill) },
			heal:    func(s *system) { s.eachEntry("north-a", (*process).start) },
			serving: everywhere, reachable: []string{"north-b", "south-a"}, stopIn: "south-a",
		},
		{
			name: "RestartOfAll",
			inject: func(s *system) {
				for _, place := range everywhere {
					s.eachEntry(place, (*process).kill)
					s.eachEntry(place, (*process).start)
				}
			},
			serving: everywhere, reachable: everywhere, stopIn: "north-b",
		},
		{
			name: "KillEntryInCutPlace",
			inject: func(s *system) {
				s.mesh.setRule(isolatePlace("south-a"))
				s.entries["south-a-1"].kill()
			},
			heal: func(s *system) {
				s.mesh.heal()
				s.entries["south-a-1"].start()
			},
			serving: everywhere, reachable: northOnly, stopIn: "north-b",
		},
		{
			name: "ControlKilledAndPlaceCut",
			inject: func(s *system) {
				s.controls[2].kill()
				s.mesh.setRule(isolatePlace("north-b"))
			},
			heal: func(s *system) {
				s.mesh.heal()
				s.controls[2].start()
			},
			serving: everywhere, reachable: []string{"north-a", "south-a"}, stopIn: "south-a",
		},
		{
			name: "SilentConnections",
			inject: func(s *system) {
				s.mesh.silence(func(_, dst string) bool { return dst != "" })
			},
			serving: everywhere, reachable: everywhere, stopIn: "north-a",
		},
		{
			name: "RegionLost",
			inject: func(s *system) {
				for _, name := range s.entriesIn("south-a") {
					s.entries[name].kill()
				}
				for _, e := range s.endpoints["south-a"] {
					e.crash()
				}
			},
			heal: func(s *system) {
				for _, name := range s.entriesIn("south-a") {
					s.entries[name].start()
				}
				for _, e := range s.endpoints["south-a"] {
					e.start()
				}
			},
			serving: northOnly, reachable: northOnly, stopIn: "north-a",
		},
		{
			name:    "ControlKilled",
			inject:  func(s *system) { s.controls[0].kill() },
			heal:    func(s *system) { s.controls[0].start() },
			serving: everywhere, reachable: everywhere, stopIn: "north-a",
		},
		{
			name: "ControlMajorityLost",
			inject: func(s *system) {
				s.controls[0].kill()
				s.controls[1].kill()
			},
			heal: func(s *system) {
				s.controls[0].start()
				s.controls[1].start()
			},
			serving: everywhere, stopIn: "north-a",
		},
		{
			name: "ControlDiskLostThenAnother",
			inject: func(s *system) {
				s.wipeDisk(1)
				s.wipeDisk(2)
			},
			serving: everywhere, reachable: everywhere, stopIn: "north-b",
		},
		{
			name: "EndpointsCrash",
			inject: func(s *system) {
				for _, e := range s.endpoints["north-a"] {
					e.crash()
				}
			},
			heal: func(s *system) {
				for _, e := range s.endpoints["north-a"] {
					e.start()
				}
			},
			serving: everywhere, reachable: everywhere, stopIn: "south-a",
		},
		{
			name: "AnnouncementsStop",
			inject: func(s *system) {
				for _, list := range s.endpoints {
					for _, e := range list {
						e.pauseAnnouncements(true)
					}
				}
			},
			heal: func(s *system) {
				for _, list := range s.endpoints {
					for _, e := range list {
						e.pauseAnnouncements(false)
					}
				}
			},
			serving: everywhere, reachable: everywhere, stopIn: "north-a",
		},
	}
}

// eachEntry calls do for every entry of a place.
func (s *system) eachEntry(place string, do func(*process)) {
	for _, name := range s.entriesIn(place) {
		do(s.entries[name])
	}
}

// wipeDisk deletes the data folder of a control VM, restarts it and waits until
// it returns a document again. The version must not be older than before.
func (s *system) wipeDisk(n int) {
	s.t.Helper()
	before := s.status().Version
	p := s.controls[n-1]
	p.kill()
	if err := os.RemoveAll(s.dataDir(n)); err != nil {
		s.t.Fatal(err)
	}
	p.start()
	s.eventually("repair of a lost disk", func() bool {
		code, out := s.ctlAt("http://"+s.ip(kindControl, n)+":18090", "get")
		return code == 0 && len(out) > 0
	})
	if after := s.status().Version; after < before {
		s.t.Errorf("version %d after the loss of disk %d, %d before", after, n, before)
	}
}

// TestMatrix runs every flow under every fault, with callers in all places. At
// the end it checks that no guarantee to any caller was violated.
func TestMatrix(t *testing.T) {
	for _, r := range matrixRows() {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			runRow(t, r)
		})
	}
}

func runRow(t *testing.T, r row) {
	s := newSystem(t, twoRegions())
	var loads []*load
	for _, place := range everywhere {
		loads = append(loads, s.startLoad(place))
	}
	if r.inject != nil {
		r.inject(s)
	}
	cell := func(name string, run func()) {
		t.Run(name, func(t *testing.T) {
			former := s.t
			s.t = t
			defer func() { s.t = former }()
			run()
		})
	}
	overServing := func(flow func(string)) func() {
		return func() {
			for _, place := range r.serving {
				flow(place)
			}
		}
	}
	cell("Lookup", overServing(s.flowLookup))
	cell("Idempotent", overServing(s.flowIdempotent))
	cell("OnceOnly", overServing(s.flowOnce))
	cell("AnnounceAndLeave", overServing(func(place string) { s.flowLeave(place, s.flowAnnounce(place)) }))
	if len(r.reachable) > 0 {
		cell("Apply", func() { s.flowApply(s.entriesIn(r.reachable...)) })
		drained := "north-b"
		if !slices.Contains(r.reachable, drained) {
			drained = r.reachable[0]
		}
		cell("Drain", func() { s.flowDrain(drained, s.entriesIn(r.reachable...)) })
	} else {
		cell("Apply", func() {
			if code := s.apply(s.doc); code == 0 || code == exitNotInForce {
				s.t.Errorf("apply without a quorum: exit %d", code)
			}
		})
	}
	if r.stopIn != "" {
		cell("PlannedStop", func() { s.flowStop(r.stopIn) })
	}
	if r.heal != nil {
		r.heal(s)
	}
	cell("CatchUp", func() {
		s.eventually("a control quorum", func() bool { return s.status().Quorum })
		s.awaitInForce(s.status().Version, s.allEntries())
		for _, place := range everywhere {
			s.flowIdempotent(place)
		}
	})
	var records []record
	for _, l := range loads {
		records = append(records, l.finish()...)
	}
	cell("Promises", func() {
		sum := s.verify(records)
		s.t.Logf("%+v", sum)
		if sum.violations() > 0 {
			s.t.Errorf("violated guarantees: %+v", sum)
		}
	})
}
