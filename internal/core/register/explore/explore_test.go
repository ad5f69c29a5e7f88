package explore_test

import (
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/register/explore"
)

const (
	// schedules is the number of schedules without a planted fault; their seeds
	// begin at firstSeed.
	schedules   = 100_000
	firstSeed   = 1
	workerCount = 4
	// gcPercent makes garbage collection rare, since schedules keep little live
	// memory.
	gcPercent = 2000
)

// search runs schedules and returns the lowest seed for which the oracle detects a
// violation, and the violation; seed 0 means none.
func search(f explore.Fault, from, count uint64) (uint64, error) {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	var next, lowest atomic.Uint64
	next.Store(from)
	lowest.Store(from + count)
	var mu sync.Mutex
	found := make(map[uint64]error)
	var workers sync.WaitGroup
	for range workerCount {
		workers.Go(func() {
			for {
				seed := next.Add(1) - 1
				if seed >= lowest.Load() {
					return
				}
				if err := explore.Schedule(f, seed); err != nil {
					mu.Lock()
					found[seed] = err
					lowest.Store(min(lowest.Load(), seed))
					mu.Unlock()
				}
			}
		})
	}
	workers.Wait()
	if err, any := found[lowest.Load()]; any {
		return lowest.Load(), err
	}
	return 0, nil
}

func TestExplorerFindsNoFault(t *testing.T) {
	seed, err := search(explore.NoFault, firstSeed, schedules)
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	t.Logf("%d schedules of %d steps, seeds from %d", schedules, explore.Steps, firstSeed)
}

// TestSeedsThatFailedOnce runs seeds outside the range of TestExplorerFindsNoFault
// that found faults which are fixed now.
func TestSeedsThatFailedOnce(t *testing.T) {
	seeds := []uint64{
		30_527_871, // a read counted a report from an old image of a disk
	}
	for _, seed := range seeds {
		is.New(t).NoErr(explore.Schedule(explore.NoFault, seed))
	}
}

func TestExplorerFindsPlantedFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault explore.Fault
		from  uint64
		count uint64
	}{
		{"votes with an empty disk", explore.VoteWithoutRepair, firstSeed, 10_000},
		{"repairs by copying without a fence", explore.RepairWithoutFence, firstSeed, 20_000},
		// The next two faults are rarely found, so their seeds begin shortly before
		// one that finds them.
		{"lets an old image of a disk vote", explore.OldImageVotes, 10_001, 20_000},
		{"fences without generations", explore.NoGeneration, 1_020_001, 20_000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seed, err := search(c.fault, c.from, c.count)
			is.New(t).True(err != nil) // the explorer must find the fault
			t.Logf("found after %d schedules: %v", seed-c.from+1, err)
		})
	}
}
