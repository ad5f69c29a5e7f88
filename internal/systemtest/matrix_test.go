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
	// strike brings the fault about; heal ends it. Either may be nil.
	strike func(s *system)
	heal   func(s *system)
	// serving names the places whose callers must be served under the fault.
	serving []string
	// reached names the places whose entries take a new document under it;
	// empty means that no change can be accepted.
	reached []string
	// stops names the place whose entry has a planned stop under the fault;
	// empty leaves the flow out.
	stops string
}

var (
	everywhere = []string{"north-a", "north-b", "south-a"}
	northOnly  = []string{"north-a", "north-b"}
)

// into loses what VMs elsewhere send to a place.
func into(place string) blocked {
	return func(src, dst string) bool {
		return placeOf(dst) == place && src != "" && placeOf(src) != place
	}
}

// placeOf says which place a VM belongs to; control VMs have none.
func placeOf(vm string) string {
	for _, place := range everywhere {
		if strings.HasPrefix(vm, place) {
			return place
		}
	}
	return ""
}

// betweenPlaces says that a connection crosses the edge of a place. Endpoints
// and callers in the test process have no name and are never cut.
func betweenPlaces(place string) blocked {
	return func(src, dst string) bool {
		if src == "" || dst == "" {
			return false
		}
		return (placeOf(src) == place) != (placeOf(dst) == place)
	}
}

// outOf loses what VMs of a place send to others.
func outOf(place string) blocked {
	return func(src, dst string) bool {
		return placeOf(src) == place && dst != "" && placeOf(dst) != place
	}
}

func matrixRows() []row {
	var frozen, killed string
	return []row{
		{
			name: "None", serving: everywhere, reached: everywhere, stops: "north-a",
		},
		{
			name:    "KillEntry",
			strike:  func(s *system) { killed = s.owner("north-a"); s.entries[killed].kill() },
			heal:    func(s *system) { s.entries[killed].start() },
			serving: everywhere, reached: []string{"north-b", "south-a"}, stops: "south-a",
		},
		{
			name: "KillAndRestartEntry",
			strike: func(s *system) {
				p := s.entries[s.owner("north-a")]
				p.kill()
				p.start()
			},
			serving: everywhere, reached: everywhere, stops: "north-b",
		},
		{
			name:    "FreezeAndThawEntry",
			strike:  func(s *system) { frozen = s.owner("north-a"); s.entries[frozen].freeze() },
			heal:    func(s *system) { s.entries[frozen].thaw() },
			serving: everywhere, reached: []string{"north-b", "south-a"}, stops: "south-a",
		},
		{
			name:    "CutPlaceBothWays",
			strike:  func(s *system) { s.mesh.set(betweenPlaces("south-a")) },
			heal:    func(s *system) { s.mesh.heal() },
			serving: everywhere, reached: northOnly, stops: "north-b",
		},
		{
			name:    "CutPlaceOneWay",
			strike:  func(s *system) { s.mesh.set(outOf("south-a")) },
			heal:    func(s *system) { s.mesh.heal() },
			serving: everywhere, reached: northOnly, stops: "north-b",
		},
		{
			name:    "CutPlaceOneWayIn",
			strike:  func(s *system) { s.mesh.set(into("south-a")) },
			heal:    func(s *system) { s.mesh.heal() },
			serving: everywhere, reached: northOnly, stops: "north-a",
		},
		{
			name:    "PlaceEntriesLost",
			strike:  func(s *system) { s.eachEntry("north-a", (*process).kill) },
			heal:    func(s *system) { s.eachEntry("north-a", (*process).start) },
			serving: everywhere, reached: []string{"north-b", "south-a"}, stops: "south-a",
		},
		{
			name: "RestartOfAll",
			strike: func(s *system) {
				for _, place := range everywhere {
					s.eachEntry(place, (*process).kill)
					s.eachEntry(place, (*process).start)
				}
			},
			serving: everywhere, reached: everywhere, stops: "north-b",
		},
		{
			name: "KillEntryInCutPlace",
			strike: func(s *system) {
				s.mesh.set(betweenPlaces("south-a"))
				s.entries["south-a-1"].kill()
			},
			heal: func(s *system) {
				s.mesh.heal()
				s.entries["south-a-1"].start()
			},
			serving: everywhere, reached: northOnly, stops: "north-b",
		},
		{
			name: "ControlKilledAndPlaceCut",
			strike: func(s *system) {
				s.controls[2].kill()
				s.mesh.set(betweenPlaces("north-b"))
			},
			heal: func(s *system) {
				s.mesh.heal()
				s.controls[2].start()
			},
			serving: everywhere, reached: []string{"north-a", "south-a"}, stops: "south-a",
		},
		{
			name: "SilentConnections",
			strike: func(s *system) {
				s.mesh.silence(func(_, dst string) bool { return dst != "" })
			},
			serving: everywhere, reached: everywhere, stops: "north-a",
		},
		{
			name: "RegionLost",
			strike: func(s *system) {
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
			serving: northOnly, reached: northOnly, stops: "north-a",
		},
		{
			name:    "ControlKilled",
			strike:  func(s *system) { s.controls[0].kill() },
			heal:    func(s *system) { s.controls[0].start() },
			serving: everywhere, reached: everywhere, stops: "north-a",
		},
		{
			name: "ControlMajorityLost",
			strike: func(s *system) {
				s.controls[0].kill()
				s.controls[1].kill()
			},
			heal: func(s *system) {
				s.controls[0].start()
				s.controls[1].start()
			},
			serving: everywhere, stops: "north-a",
		},
		{
			name: "ControlDiskLostThenAnother",
			strike: func(s *system) {
				s.loseDisk(1)
				s.loseDisk(2)
			},
			serving: everywhere, reached: everywhere, stops: "north-b",
		},
		{
			name: "EndpointsCrash",
			strike: func(s *system) {
				for _, e := range s.endpoints["north-a"] {
					e.crash()
				}
			},
			heal: func(s *system) {
				for _, e := range s.endpoints["north-a"] {
					e.start()
				}
			},
			serving: everywhere, reached: everywhere, stops: "south-a",
		},
		{
			name: "AnnouncementsStop",
			strike: func(s *system) {
				for _, list := range s.endpoints {
					for _, e := range list {
						e.mute(true)
					}
				}
			},
			heal: func(s *system) {
				for _, list := range s.endpoints {
					for _, e := range list {
						e.mute(false)
					}
				}
			},
			serving: everywhere, reached: everywhere, stops: "north-a",
		},
	}
}

// eachEntry does something to every entry of a place.
func (s *system) eachEntry(place string, do func(*process)) {
	for _, name := range s.entriesIn(place) {
		do(s.entries[name])
	}
}

// loseDisk wipes the data folder of a control VM and waits until it votes
// again, with what the others have.
func (s *system) loseDisk(n int) {
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

// TestMatrix runs every flow under every fault, with callers in all places, and
// checks at the end that no promise was broken to any of them.
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
	if r.strike != nil {
		r.strike(s)
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
	if len(r.reached) > 0 {
		cell("Apply", func() { s.flowApply(s.entriesIn(r.reached...)) })
		drained := "north-b"
		if !slices.Contains(r.reached, drained) {
			drained = r.reached[0]
		}
		cell("Drain", func() { s.flowDrain(drained, s.entriesIn(r.reached...)) })
	} else {
		cell("Apply", func() {
			if code := s.apply(s.doc); code == 0 || code == exitNotInForce {
				s.t.Errorf("apply without a quorum: exit %d", code)
			}
		})
	}
	if r.stops != "" {
		cell("PlannedStop", func() { s.flowStop(r.stops) })
	}
	if r.heal != nil {
		r.heal(s)
	}
	cell("CatchUp", func() {
		s.eventually("a control quorum", func() bool { return s.status().Quorum })
		s.inForce(s.status().Version, s.allEntries())
		for _, place := range everywhere {
			s.flowIdempotent(place)
		}
	})
	var records []record
	for _, l := range loads {
		records = append(records, l.finish()...)
	}
	cell("Promises", func() {
		sum := s.judge(records)
		s.t.Logf("%+v", sum)
		if sum.broken() > 0 {
			s.t.Errorf("broken promises: %+v", sum)
		}
	})
}
