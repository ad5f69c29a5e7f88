package dispatch

import (
	"math"
	"time"
)

const (
	// shiftDrift is the part of the bound by which a level may move in a second:
	// two windows that follow each other are two seconds each.
	shiftDrift = 0.32
	// shiftSlack is the part of the bound by which the runs may lie beside their
	// level.
	shiftSlack = 0.2
	// shiftFollow is the weight of one run in the recent shares.
	shiftFollow = 0.02
	// shiftBurst bounds the runs that a region may catch up on, and those beyond its
	// level that it makes up for.
	shiftBurst = 3.0
	// shiftLearn is how long a meter only learns, at first and after silence.
	shiftLearn = time.Second
)

// ShiftMeter answers the load of clients that move and of bursts: room in other
// regions comes and goes with them, but the share of a region's requests that
// runs in each may change only by a bound from one window to the next. Each
// region has a level that follows the runs slowly; runs are spread evenly around
// it. It is not safe for concurrent use.
type ShiftMeter struct {
	most    float64
	levels  map[string]*shiftLevel
	last    time.Time
	learned time.Time
}

// shiftLevel is one region's part.
type shiftLevel struct {
	share  float64
	recent float64
	// room is the number of runs until the level's upper edge.
	room float64
}

// NewShiftMeter returns a meter that allows a share of the requests to change
// their region from one window to the next; 0 sets no bound.
func NewShiftMeter(most float64) *ShiftMeter {
	return &ShiftMeter{most: most, levels: make(map[string]*shiftLevel)}
}

// learning says whether the meter doesn't bound anything yet.
func (m *ShiftMeter) learning(now time.Time) bool {
	return m.most <= 0 || m.learned.IsZero() || now.Before(m.learned) || now.Sub(m.last) > shiftLearn
}

func (m *ShiftMeter) level(region string) *shiftLevel {
	l := m.levels[region]
	if l == nil {
		l = &shiftLevel{}
		m.levels[region] = l
	}
	return l
}

// Count notes that a request is to run in a region. While the bound doesn't hold,
// free, the levels follow at once.
func (m *ShiftMeter) Count(now time.Time, region string, free bool) {
	if m.learned.IsZero() || now.Sub(m.last) > shiftLearn {
		m.learned = now.Add(shiftLearn)
	}
	free = free || m.learning(now)
	step := shiftDrift * m.most * now.Sub(m.last).Seconds()
	m.last = now
	m.level(region)
	for name, l := range m.levels {
		ran := 0.0
		if name == region {
			ran = 1
		}
		l.recent += shiftFollow * (ran - l.recent)
		if free {
			l.share, l.room = l.recent, 1
			continue
		}
		l.share += math.Max(-step, math.Min(step, l.recent-l.share))
		l.room = math.Max(-shiftBurst, math.Min(l.room+l.share+shiftSlack*m.most-ran, shiftBurst))
	}
}

// Allows says whether one more request may run in a region.
func (m *ShiftMeter) Allows(now time.Time, region string) bool {
	return m.learning(now) || m.level(region).room >= 1
}
