package heaprelief_test

import (
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/heaprelief"
)

var sink []byte

// TestRelieve guards against garbage that outgrows the bound, and against collections below
// it. The collector of the runtime is off.
func TestRelieve(t *testing.T) {
	is := is.New(t)
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	runtime.GC()
	const bound = 256 << 20
	c := heaprelief.New(bound)
	c.Relieve()
	is.Equal(c.Runs(), int64(0))
	for range 64 {
		for range 16 {
			sink = make([]byte, 1<<20)
		}
		time.Sleep(25 * time.Millisecond) // longer than the pause between two collections
		c.Relieve()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	is.True(c.Runs() >= 3)
	is.True(stats.HeapInuse < bound+(32<<20))
}

func BenchmarkRelieve(b *testing.B) {
	c := heaprelief.New(1 << 40)
	for b.Loop() {
		c.Relieve()
	}
}
