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
	crashWithin  = time.Second
	noticeWithin = 3 * time.Second
)

func TestMain(m *testing.M) {
	testseed.Main(m, testseed.Settings{Seed: 4, Checks: 2_000, Steps: 80})
}

// job is one run of a fingerprint on an endpoint incarnation.
type job struct {
	print    fingerprint.Fingerprint
	endpoint string
	number   uint64
	// crash is when the run takes its endpoint down; zero for innocents.
	crash time.Time
	ended bool
}

// fleet is a set of endpoints, in front of them one table.
type fleet struct {
	*quarantine.Table
	now     time.Time
	numbers map[string]uint64
	jobs    []*job
	// news holds the deaths that aren't noticed yet, by the time they will be.
	news   map[time.Time][]*job
	deaths int
	other  int
	hold   time.Duration
	// asked is when the poison was last asked for; deaths are counted until
	// nobody has asked for Hold.
	asked time.Time
}

// step passes time, in which endpoints crash and their deaths get known.
func (f *fleet) step(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, j := range f.jobs {
			if !j.crash.IsZero() && !f.now.Before(j.crash) && f.numbers[j.endpoint] == j.number {
				f.deaths++
				f.die(j.endpoint)
			}
		}
		for _, j := range f.news[f.now] {
			f.Died(f.now, j.endpoint, j.number)
		}
	}
	f.Expire(f.now)
}

// die ends an endpoint incarnation and resets the runs on it.
func (f *fleet) die(endpoint string) {
	for _, j := range f.jobs {
		if j.endpoint == endpoint && j.number == f.numbers[endpoint] && !j.ended {
			f.end(j, quarantine.Reset)
		}
	}
	due := f.now.Add(noticeWithin)
	f.news[due] = append(f.news[due], &job{endpoint: endpoint, number: f.numbers[endpoint]})
	f.numbers[endpoint]++
}

func (f *fleet) end(j *job, end quarantine.End) {
	j.ended = true
	f.Ended(f.now, j.endpoint, j.number, j.print, end)
}

func (f *fleet) ask(print fingerprint.Fingerprint, endpoint string, poisonous bool) {
	if poisonous {
		if f.now.Sub(f.asked) >= f.hold {
			f.deaths = 0
		}
		f.asked = f.now
	}
	if f.Started(f.now, endpoint, f.numbers[endpoint], print, "s") != quarantine.Admitted {
		return
	}
	j := &job{print: print, endpoint: endpoint, number: f.numbers[endpoint]}
	if poisonous {
		j.crash = f.now.Add(crashWithin)
	}
	f.jobs = append(f.jobs, j)
}

// TestAtMostTwoDeaths resends a request that crashes each endpoint, among
// innocent ones, gives runs up, and lets two endpoints die of other causes.
func TestAtMostTwoDeaths(t *testing.T) {
	cfg := cfg
	cfg.Hold = 15 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{Table: quarantine.NewTable(cfg), hold: cfg.Hold, now: epoch, numbers: map[string]uint64{}, news: map[time.Time][]*job{}}
		endpoint := func() string { return fmt.Sprint("w", rapid.IntRange(0, 4).Draw(t, "endpoint")) }
		open := func() *job {
			var all []*job
			for _, j := range f.jobs {
				if !j.ended {
					all = append(all, j)
				}
			}
			if len(all) == 0 {
				t.Skip("idle")
			}
			return all[rapid.IntRange(0, len(all)-1).Draw(t, "job")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if f.deaths > 2 {
					t.Fatalf("%d endpoints died of one request", f.deaths)
				}
			},
			"ask for the poison":       func(*rapid.T) { f.ask(poison, endpoint(), true) },
			"ask for the poison again": func(*rapid.T) { f.ask(poison, endpoint(), true) },
			"ask for another":          func(*rapid.T) { f.ask(second, endpoint(), false) },
			"answer": func(*rapid.T) {
				if j := open(); j.crash.IsZero() && f.numbers[j.endpoint] == j.number {
					f.end(j, quarantine.Answered)
				}
			},
			"give up": func(*rapid.T) { f.end(open(), quarantine.Lost) },
			"pass":    func(*rapid.T) { f.step(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * 100 * time.Millisecond) },
			"pass the quarantine but for a second": func(*rapid.T) {
				f.step(cfg.Hold - time.Second)
				f.ask(poison, endpoint(), true)
			},
			"another cause": func(*rapid.T) {
				if f.other++; f.other <= cfg.WiderDeaths-1 {
					f.die(endpoint())
				}
			},
		})
	})
}

// TestMemoryBound starts and loses far more fingerprints than are remembered.
func TestMemoryBound(t *testing.T) {
	is := is.New(t)
	small := cfg
	small.MaxEntries = 100
	table := quarantine.NewTable(small)
	for n := range 10_000 {
		f := fingerprint.Of("s", "GET", fmt.Sprint(n), nil)
		is.Equal(table.Started(epoch, "w", 1, f, "s"), quarantine.Admitted)
		table.Ended(epoch, "w", 1, f, quarantine.End(n%2)*quarantine.Answered)
	}
	records, proven := table.Size()
	is.True(records <= small.MaxEntries+1)
	is.True(proven <= small.MaxEntries)
	table.Expire(epoch.Add(cfg.Hold))
	records, proven = table.Size()
	is.Equal(records+proven, 0)
}

// notice is the news of a death.
type notice struct {
	at   time.Time
	tell func()
}

// TestSeveralEntries resends a request that crashes each endpoint through three
// entries in every order, a little after each loss or after its death is known.
func TestSeveralEntries(t *testing.T) {
	const entries, resends, orders = 3, 6, 729
	for _, pause := range []time.Duration{crashWithin, noticeWithin + time.Second, cfg.Blame + time.Second} {
		for order := range orders {
			is := is.New(t)
			tables := make([]*quarantine.Table, entries)
			for n := range tables {
				tables[n] = quarantine.NewTable(cfg)
			}
			spread := func(now time.Time, from int, c quarantine.Change, hold time.Duration) {
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
			var news []notice
			for n, rest := 0, order; n < resends; n, rest = n+1, rest/entries {
				from := rest % entries
				for len(news) > 0 && !now.Before(news[0].at) {
					news[0].tell()
					news = news[1:]
				}
				if tables[from].Started(now, "w", deaths, poison, "s") == quarantine.Admitted {
					spread(now, from, tables[from].Ended(now, "w", deaths, poison, quarantine.Reset), cfg.Blame)
					number, noticed := deaths, now.Add(noticeWithin)
					news = append(news, notice{noticed, func() {
						spread(noticed, from, tables[from].Died(noticed, "w", number), cfg.Hold)
					}})
					deaths++
				}
				now = now.Add(pause)
			}
			is.True(deaths <= 2)
		}
	}
}

// TestFirstRunsAtOnce asks several entries for a request that crashes each
// endpoint, at the same moment and more often than they let run. Each lets two
// run, which no one can know to be too many; after the news none runs.
func TestFirstRunsAtOnce(t *testing.T) {
	for _, entries := range []int{1, 2, 3} {
		is := is.New(t)
		runs := 0
		var told []quarantine.Change
		tables := make([]*quarantine.Table, entries)
		for n := range tables {
			tables[n] = quarantine.NewTable(cfg)
			for k := range 4 {
				if tables[n].Started(epoch, fmt.Sprint("w", n, k), 1, poison, "s") == quarantine.Admitted {
					runs++
				}
			}
		}
		is.Equal(runs, 2*entries)
		for n, table := range tables {
			for k := range 2 {
				table.Ended(epoch, fmt.Sprint("w", n, k), 1, poison, quarantine.Reset)
				told = append(told, table.Died(epoch, fmt.Sprint("w", n, k), 1))
			}
		}
		for _, change := range told {
			for _, f := range change.Quarantined {
				for _, table := range tables {
					table.Add(epoch, f, cfg.Hold)
				}
			}
		}
		for _, table := range tables {
			is.Equal(table.Started(epoch, "w", 1, poison, "s"), quarantine.Refused)
		}
	}
}

func BenchmarkStartedEnded(b *testing.B) {
	table := quarantine.NewTable(cfg)
	all := make([]fingerprint.Fingerprint, 1000)
	for n := range all {
		all[n] = fingerprint.Of("s", "GET", fmt.Sprint(n), nil)
	}
	b.ResetTimer()
	for n := range b.N {
		f := all[n%len(all)]
		table.Started(epoch, "w", 1, f, "s")
		table.Ended(epoch, "w", 1, f, quarantine.Answered)
	}
}
