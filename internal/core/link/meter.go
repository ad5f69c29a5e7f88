// Package link measures the use of a gateway's link to the network, and chooses gateways
// whose links have room.
//
// The package has no I/O, goroutine or clock.
package link

import (
	"math"
	"time"
)

const (
	// FullPercent is the use of a link in percent from which on it counts as full, until
	// it falls below roomPercent. Beyond it, responses wait for each other.
	FullPercent = 85
	roomPercent = 70
	// meanTime is the time constant of the moving average: about as long as clients use a
	// response of the directory, so that its effect is seen before it changes again.
	meanTime = 2 * time.Second
	// minSampleTime is the shortest time between two samples.
	minSampleTime = 200 * time.Millisecond
	// reportStep is the difference, in percent, from which on the use is reported anew
	// although the link is neither full nor has room again: each report makes controllers
	// exchange their lists of gateways.
	reportStep = 40
	// bitsPerByte includes the headers of packets, about 4%.
	bitsPerByte = 8 * 1.04
)

// Meter measures the use of one link. It isn't safe for concurrent use.
type Meter struct {
	// bitsPerSecond is the capacity of the link in each direction; 0 if unknown.
	bitsPerSecond  float64
	at             time.Time
	sent, received int64
	use            float64
	full           bool
	reported       int
}

// NewMeter returns the meter of a link with a capacity in bits per second, in each
// direction. With 0 the use is always 0.
func NewMeter(bitsPerSecond float64) *Meter { return &Meter{bitsPerSecond: bitsPerSecond} }

// Sample records the bytes sent and received since the start. It reports whether the link
// became full, or has room again, by this sample.
func (m *Meter) Sample(now time.Time, sent, received int64) (changed bool) {
	elapsed := now.Sub(m.at)
	if m.bitsPerSecond <= 0 || elapsed < minSampleTime {
		return false
	}
	if !m.at.IsZero() {
		bits := float64(max(sent-m.sent, received-m.received)) * bitsPerByte
		use := bits / elapsed.Seconds() / m.bitsPerSecond
		m.use += (use - m.use) * (1 - math.Exp(-elapsed.Seconds()/meanTime.Seconds()))
	}
	m.at, m.sent, m.received = now, sent, received
	before := m.full
	m.full = m.Percent() >= FullPercent || m.full && m.Percent() >= roomPercent
	if m.full != before || abs(m.Percent()-m.reported) >= reportStep {
		m.reported = m.Percent()
	}
	return m.full != before
}

func abs(n int) int { return max(n, -n) }

// Percent returns the use of the link, the greater of both directions, in percent of its
// capacity. It may exceed 100 for a moment.
func (m *Meter) Percent() int { return int(math.Round(100 * m.use)) }

// Full reports whether the link is full.
func (m *Meter) Full() bool { return m.full }

// Reported returns the use in percent that controllers are told: at least FullPercent
// while the link is full, less while it isn't, else seldom changed.
func (m *Meter) Reported() int {
	if m.full {
		return max(m.reported, FullPercent)
	}
	return min(m.reported, FullPercent-1)
}
