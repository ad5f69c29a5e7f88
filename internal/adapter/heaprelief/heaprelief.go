// Package heaprelief runs the garbage collector when the memory of the process nears its
// bound. The memory limit of the runtime is a soft one: above it the collector takes half of
// the processor time at most, and buffers that come and go faster than that outgrow it.
package heaprelief

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"
)

// minPause is the shortest time between two collections, so that a heap of live objects near
// the bound doesn't lead to one after the other.
const minPause = 20 * time.Millisecond

// The memory in use is that mapped by the runtime less what is free.
const (
	totalBytes    = "/memory/classes/total:bytes"
	releasedBytes = "/memory/classes/heap/released:bytes"
	freeBytes     = "/memory/classes/heap/free:bytes"
)

// Collector collects garbage when the memory in use is beyond a bound. It is safe for
// concurrent use.
type Collector struct {
	bound uint64
	runs  atomic.Int64

	mu sync.Mutex
	// endedAt is when the last collection ended. Guarded by mu.
	endedAt time.Time
}

// New returns a Collector with a bound in bytes.
func New(bound int64) *Collector { return &Collector{bound: uint64(bound)} }

// Runs returns the number of collections.
func (c *Collector) Runs() int64 { return c.runs.Load() }

// Relieve collects garbage if the memory in use is beyond the bound. Others that call it
// meanwhile wait, so that they don't allocate more.
func (c *Collector) Relieve() {
	if inUse() <= c.bound {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if inUse() <= c.bound || time.Since(c.endedAt) < minPause {
		return
	}
	runtime.GC()
	c.runs.Add(1)
	c.endedAt = time.Now()
}

// inUse returns the bytes of memory in use by the runtime, garbage included.
func inUse() uint64 {
	samples := []metrics.Sample{{Name: totalBytes}, {Name: releasedBytes}, {Name: freeBytes}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64() - samples[2].Value.Uint64()
}
