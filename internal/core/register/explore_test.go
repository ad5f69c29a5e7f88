package register_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

const (
	// schedules is the number of schedules without a planted fault; their seeds
	// are firstSeed and up.
	schedules = 100_000
	firstSeed = 1
	steps     = 200
	explorers = 4
)

// profiles are the mixes of actions that schedules take in turn.
var profiles = []weights{
	{deliver: 1000, duplicate: 20, drop: 10, change: 40, resend: 15, retry: 30, read: 15, join: 40, crash: 3, lose: 6, freeze: 10},
	{deliver: 1000, duplicate: 50, drop: 60, change: 40, resend: 15, retry: 60, read: 15, join: 60, crash: 10, lose: 12, freeze: 20},
	{deliver: 1000, duplicate: 5, drop: 20, change: 60, resend: 5, retry: 60, join: 60, lose: 6},
}

// guided is the mix of a schedule with a victim.
var guided = weights{deliver: 1000, duplicate: 5, drop: 5, change: 50, resend: 5, retry: 40, read: 5, join: 20}

// explore runs schedules and returns the first seed that the oracle objects
// to, with the objection; seed 0 is none.
func explore(f fault, from, count uint64) (uint64, error) {
	var next, worst atomic.Uint64
	next.Store(from)
	worst.Store(from + count)
	var mu sync.Mutex
	found := make(map[uint64]error)
	var workers sync.WaitGroup
	for range explorers {
		workers.Go(func() {
			for {
				seed := next.Add(1) - 1
				if seed >= worst.Load() {
					return
				}
				if err := schedule(f, seed); err != nil {
					mu.Lock()
					found[seed] = err
					worst.Store(min(worst.Load(), seed))
					mu.Unlock()
				}
			}
		})
	}
	workers.Wait()
	if err, any := found[worst.Load()]; any {
		return worst.Load(), err
	}
	return 0, nil
}

func schedule(f fault, seed uint64) error {
	members := 3
	if seed%5 == 0 {
		members = 5
	}
	w := profiles[seed%uint64(len(profiles))]
	s := newSim(seed, f, w, members, seed%4 != 0)
	if seed%2 == 0 {
		s.weights = guided
		s.victim = s.members[s.rng.IntN(members)]
		s.shuffle()
	}
	return s.run(steps)
}

func TestExplorerFindsNoFault(t *testing.T) {
	seed, err := explore(noFault, firstSeed, schedules)
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	t.Logf("%d schedules of %d steps, seeds from %d", schedules, steps, firstSeed)
}

func TestExplorerFindsPlantedFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault fault
		from  uint64
		count uint64
	}{
		{"votes with an empty disk", votesEmpty, firstSeed, 10_000},
		{"repairs by copying without a fence", copiesOnly, firstSeed, 20_000},
		// Rare, about one in 50,000: the seeds begin shortly before one.
		{"fences without generations", noGeneration, 1_020_001, 20_000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seed, err := explore(c.fault, c.from, c.count)
			is.New(t).True(err != nil) // the explorer must object
			t.Logf("found after %d schedules: %v", seed-c.from+1, err)
		})
	}
}
