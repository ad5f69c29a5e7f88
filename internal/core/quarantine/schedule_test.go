package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/testseed"
)

const (
	crashDelay  = time.Second
	noticeDelay = 3 * time.Second
)

func TestMain(m *testing.M) {
	testseed.Main(m, testseed.Settings{Seed: 4, Checks: 2_000, Steps: 80})
}

// testRun is one run of a fingerprint on an endpoint incarnation.
type testRun struct {
	fp       fingerprint.Fingerprint
	endpoint string
	number   uint64
	// crash is when the run crashes its endpoint; zero for harmless requests.
	crash time.Time
	ended bool
}

// simulation is a set of endpoints behind one table.
type simulation struct {
	*quarantine.Table
	now     time.Time
	numbers map[string]uint64
	runs    []*testRun
	// pendingDeaths holds the deaths that aren't detected yet, by detection
	// time.
	pendingDeaths map[time.Time][]*testRun
	deaths        int
	otherCrashes  int
	hold          time.Duration
	// lastRequested is when the poison was last requested; deaths are counted
	// until it wasn't requested for Hold.
	lastRequested time.Time
}

// step lets time d pass, in which endpoints crash and their deaths are detected.
func (s *simulation) step(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(100 * time.Millisecond)
		for _, r := range s.runs {
			if !r.crash.IsZero() && !s.now.Before(r.crash) && s.numbers[r.endpoint] == r.number {
				s.deaths++
				s.crashEndpoint(r.endpoint)
			}
		}
		for _, r := range s.pendingDeaths[s.now] {
			s.RecordDeath(s.now, r.endpoint, r.number)
		}
	}
	s.Expire(s.now)
}

// crashEndpoint ends an endpoint incarnation and resets the runs on it.
func (s *simulation) crashEndpoint(endpoint string) {
	for _, r := range s.runs {
		if r.endpoint == endpoint && r.number == s.numbers[endpoint] && !r.ended {
			s.end(r, quarantine.Reset)
		}
	}
	due := s.now.Add(noticeDelay)
	s.pendingDeaths[due] = append(s.pendingDeaths[due], &testRun{endpoint: endpoint, number: s.numbers[endpoint]})
	s.numbers[endpoint]++
}

func (s *simulation) end(r *testRun, end quarantine.End) {
	r.ended = true
	s.EndRun(s.now, r.endpoint, r.number, r.fp, end)
}

func (s *simulation) request(fp fingerprint.Fingerprint, endpoint string, poisonous bool) {
	if poisonous {
		if s.now.Sub(s.lastRequested) >= s.hold {
			s.deaths = 0
		}
		s.lastRequested = s.now
	}
	if s.StartRun(s.now, endpoint, s.numbers[endpoint], fp, "s") != quarantine.Admitted {
		return
	}
	r := &testRun{fp: fp, endpoint: endpoint, number: s.numbers[endpoint]}
	if poisonous {
		r.crash = s.now.Add(crashDelay)
	}
	s.runs = append(s.runs, r)
}

// TestAtMostTwoDeaths resends a request that crashes each endpoint, among
// harmless ones, gives runs up, and lets two endpoints die of other causes. It
// guards against a third endpoint that dies of the same request.
func TestAtMostTwoDeaths(t *testing.T) {
	cfg := cfg
	cfg.Hold = 15 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{Table: quarantine.NewTable(cfg), hold: cfg.Hold, now: epoch, numbers: map[string]uint64{}, pendingDeaths: map[time.Time][]*testRun{}}
		endpoint := func() string { return fmt.Sprint("w", rapid.IntRange(0, 4).Draw(t, "endpoint")) }
		open := func() *testRun {
			var all []*testRun
			for _, r := range s.runs {
				if !r.ended {
					all = append(all, r)
				}
			}
			if len(all) == 0 {
				t.Skip("no run in flight")
			}
			return all[rapid.IntRange(0, len(all)-1).Draw(t, "job")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if s.deaths > 2 {
					t.Fatalf("%d endpoints died of one request", s.deaths)
				}
			},
			"ask for the poison":       func(*rapid.T) { s.request(poison, endpoint(), true) },
			"ask for the poison again": func(*rapid.T) { s.request(poison, endpoint(), true) },
			"ask for another":          func(*rapid.T) { s.request(second, endpoint(), false) },
			"answer": func(*rapid.T) {
				if r := open(); r.crash.IsZero() && s.numbers[r.endpoint] == r.number {
					s.end(r, quarantine.Answered)
				}
			},
			"give up": func(*rapid.T) { s.end(open(), quarantine.Abandoned) },
			"pass":    func(*rapid.T) { s.step(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * 100 * time.Millisecond) },
			"pass the quarantine but for a second": func(*rapid.T) {
				s.step(cfg.Hold - time.Second)
				s.request(poison, endpoint(), true)
			},
			"another cause": func(*rapid.T) {
				if s.otherCrashes++; s.otherCrashes <= cfg.CorrelatedDeaths-1 {
					s.crashEndpoint(endpoint())
				}
			},
		})
	})
}

// TestMemoryBound starts and loses far more fingerprints than may be
// remembered. It guards against unbounded memory.
func TestMemoryBound(t *testing.T) {
	is := is.New(t)
	small := cfg
	small.MaxEntries = 100
	table := quarantine.NewTable(small)
	for n := range 10_000 {
		f := fingerprint.Of("s", "GET", fmt.Sprint(n), nil)
		is.Equal(table.StartRun(epoch, "w", 1, f, "s"), quarantine.Admitted)
		table.EndRun(epoch, "w", 1, f, quarantine.End(n%2)*quarantine.Answered)
	}
	records, proven := table.Size()
	is.True(records <= small.MaxEntries+1)
	is.True(proven <= small.MaxEntries)
	table.Expire(epoch.Add(cfg.Hold))
	records, proven = table.Size()
	is.Equal(records+proven, 0)
}

// deathNotice is the report of a death to the tables.
type deathNotice struct {
	at      time.Time
	deliver func()
}

// TestResendsThroughSeveralEntries resends a request that crashes each endpoint
// through three entries in every order, shortly after each loss or after its
// death is known. It guards against a third endpoint that dies because entries
// don't know of each other's losses.
func TestResendsThroughSeveralEntries(t *testing.T) {
	const entries, resends, orders = 3, 6, 729
	for _, pause := range []time.Duration{crashDelay, noticeDelay + time.Second, cfg.DetectionTimeout + time.Second} {
		for order := range orders {
			is := is.New(t)
			tables := make([]*quarantine.Table, entries)
			for n := range tables {
				tables[n] = quarantine.NewTable(cfg)
			}
			sendChange := func(now time.Time, from int, c quarantine.Change, hold time.Duration) {
				for n, table := range tables {
					for _, f := range c.Suspected {
						if n != from {
							table.Suspect(now, f, hold)
						}
					}
					for _, f := range c.Quarantined {
						table.Add(now, f, cfg.Hold)
					}
				}
			}
			deaths, now := uint64(0), epoch
			var notices []deathNotice
			for n, rest := 0, order; n < resends; n, rest = n+1, rest/entries {
				from := rest % entries
				for len(notices) > 0 && !now.Before(notices[0].at) {
					notices[0].deliver()
					notices = notices[1:]
				}
				if tables[from].StartRun(now, "w", deaths, poison, "s") == quarantine.Admitted {
					sendChange(now, from, tables[from].EndRun(now, "w", deaths, poison, quarantine.Reset), cfg.DetectionTimeout)
					number, noticed := deaths, now.Add(noticeDelay)
					notices = append(notices, deathNotice{noticed, func() {
						sendChange(noticed, from, tables[from].RecordDeath(noticed, "w", number), cfg.Hold)
					}})
					deaths++
				}
				now = now.Add(pause)
			}
			is.True(deaths <= 2)
		}
	}
}

// TestConcurrentFirstRuns sends several entries a request that crashes each
// endpoint, at the same moment and more often than they admit. Each entry
// admits two runs, because none can know of the others' runs; after the deaths
// are reported none is admitted.
func TestConcurrentFirstRuns(t *testing.T) {
	for _, entries := range []int{1, 2, 3} {
		is := is.New(t)
		runs := 0
		var changes []quarantine.Change
		tables := make([]*quarantine.Table, entries)
		for n := range tables {
			tables[n] = quarantine.NewTable(cfg)
			for k := range 4 {
				if tables[n].StartRun(epoch, fmt.Sprint("w", n, k), 1, poison, "s") == quarantine.Admitted {
					runs++
				}
			}
		}
		is.Equal(runs, 2*entries)
		for n, table := range tables {
			for k := range 2 {
				table.EndRun(epoch, fmt.Sprint("w", n, k), 1, poison, quarantine.Reset)
				changes = append(changes, table.RecordDeath(epoch, fmt.Sprint("w", n, k), 1))
			}
		}
		for _, change := range changes {
			for _, f := range change.Quarantined {
				for _, table := range tables {
					table.Add(epoch, f, cfg.Hold)
				}
			}
		}
		for _, table := range tables {
			is.Equal(table.StartRun(epoch, "w", 1, poison, "s"), quarantine.Refused)
		}
	}
}

func BenchmarkStartEndRun(b *testing.B) {
	table := quarantine.NewTable(cfg)
	all := make([]fingerprint.Fingerprint, 1000)
	for n := range all {
		all[n] = fingerprint.Of("s", "GET", fmt.Sprint(n), nil)
	}
	b.ResetTimer()
	for n := range b.N {
		f := all[n%len(all)]
		table.StartRun(epoch, "w", 1, f, "s")
		table.EndRun(epoch, "w", 1, f, quarantine.Answered)
	}
}
