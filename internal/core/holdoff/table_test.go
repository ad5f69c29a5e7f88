package holdoff_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/holdoff"
	"sassafrasreach/internal/core/registry"
)

var start = time.Unix(1_800_000_000, 0)

func endpoint(i int) registry.Endpoint {
	return registry.Endpoint{ID: fmt.Sprint(i), StartedMillis: 1, Service: "s"}
}

// TestLeaving guards against an endpoint that leaves and gets requests again after
// it answered without saying so, and against a restarted endpoint that gets none.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	table := holdoff.New()
	e := endpoint(1)
	is.True(!table.Holds(start, e))
	table.Record(start, e, registry.Signals{Leaving: true})
	table.Record(start.Add(time.Second), e, registry.Signals{})
	is.True(table.Holds(start.Add(time.Minute), e))
	e.StartedMillis = 2
	is.True(!table.Holds(start, e))
}

// TestPause guards against requests during a pause that an endpoint asked for, and
// against a pause that a shorter one ends or that never ends.
func TestPause(t *testing.T) {
	is := is.New(t)
	table := holdoff.New()
	e := endpoint(1)
	table.Record(start, e, registry.Signals{Pause: 3 * time.Second})
	table.Record(start.Add(time.Second), e, registry.Signals{Pause: time.Second})
	table.Record(start.Add(time.Second), endpoint(2), registry.Signals{Leaving: true})
	at := start.Add(2900 * time.Millisecond)
	is.True(table.Holds(at, e))
	is.True(!table.Leaves(at, e))
	is.Equal(table.Paused(at, "s"), []string{"1"})
	is.Equal(table.Paused(at, "t"), nil)
	at = start.Add(3 * time.Second)
	is.True(!table.Holds(at, e))
	is.Equal(table.Paused(at, "s"), nil)
}

// TestBound guards against a table that grows without bound, and against one that
// drops the newest entries.
func TestBound(t *testing.T) {
	is := is.New(t)
	table := holdoff.New()
	const n = 10_000
	for i := range n {
		table.Record(start.Add(time.Duration(i)*time.Millisecond), endpoint(i), registry.Signals{Leaving: true})
	}
	now := start.Add(n * time.Millisecond)
	held := 0
	for i := range n {
		if table.Holds(now, endpoint(i)) {
			held++
		}
	}
	is.Equal(held, 4096)
	is.True(table.Holds(now, endpoint(n-1)))
	is.True(!table.Holds(now, endpoint(0)))
}
