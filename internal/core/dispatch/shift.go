package dispatch

import (
	"math"
	"time"
)

const (
	// shiftDrift is the part of the limit by which a level may move per
	// second. The limit holds for the change between two consecutive windows
	// of two seconds each.
	shiftDrift = 0.32
	// shiftSlack is the part of the limit by which the share of the runs may
	// exceed its level.
	shiftSlack = 0.2
	// shiftSmoothing is the weight of one run in the recent shares.
	shiftSmoothing = 0.02
	// shiftBurst bounds a region's credit in both directions: the runs that
	// it may catch up on, and the runs above its level that are deducted from
	// later ones.
	shiftBurst = 3.0
	// shiftLearnTime is how long a meter sets no limit, initially and after
	// an equally long time without runs.
	shiftLearnTime = time.Second
)

// ShiftMeter limits how fast the share of a region's requests that runs in
// each region may change from one window to the next. The free capacity of
// other regions comes and goes with bursts and with clients that move. Each
// region has a level that slowly follows its share of the runs, and a credit,
// as of a token bucket, that keeps the runs close to the level. It is not
// safe for concurrent use.
type ShiftMeter struct {
	maxShift  float64
	levels    map[string]*shiftLevel
	lastCount time.Time
	// learnUntil is the time until which the meter sets no limit and only
	// follows the recent shares.
	learnUntil time.Time
	// wanted is the region in which the next run is wanted although the limit
	// keeps it elsewhere; empty if the limit doesn't matter for it.
	wanted string
}

// shiftLevel is the state of one region. share is the level, and recent the
// moving average of the region's share of the wanted runs.
type shiftLevel struct {
	share  float64
	recent float64
	// credit is the number of runs that the region may get before it exceeds
	// its level by more than the slack.
	credit float64
}

// NewShiftMeter returns a meter that lets the share maxShift of the requests
// change its region from one window of two seconds to the next; 0 sets no
// limit.
func NewShiftMeter(maxShift float64) *ShiftMeter {
	return &ShiftMeter{maxShift: maxShift, levels: make(map[string]*shiftLevel)}
}

// learning reports whether the meter sets no limit at this time.
func (m *ShiftMeter) learning(now time.Time) bool {
	return m.maxShift <= 0 || m.learnUntil.IsZero() || now.Before(m.learnUntil) || now.Sub(m.lastCount) > shiftLearnTime
}

func (m *ShiftMeter) level(region string) *shiftLevel {
	l := m.levels[region]
	if l == nil {
		l = &shiftLevel{}
		m.levels[region] = l
	}
	return l
}

// Count records that a request runs in a region. While the limit is suspended
// (unlimited) or the meter learns, the levels follow the recent shares at
// once.
func (m *ShiftMeter) Count(now time.Time, region string, unlimited bool) {
	if m.learnUntil.IsZero() || now.Sub(m.lastCount) > shiftLearnTime {
		m.learnUntil = now.Add(shiftLearnTime)
	}
	unlimited = unlimited || m.learning(now)
	step := shiftDrift * m.maxShift * now.Sub(m.lastCount).Seconds()
	m.lastCount = now
	if m.wanted == "" {
		m.wanted = region
	}
	m.level(region)
	m.level(m.wanted)
	for name, l := range m.levels {
		ran, wanted := indicator(name == region), indicator(name == m.wanted)
		l.recent += shiftSmoothing * (wanted - l.recent)
		if unlimited {
			l.share, l.credit = l.recent, 1
			continue
		}
		l.share += math.Max(-step, math.Min(step, l.recent-l.share))
		l.credit = math.Max(-shiftBurst, math.Min(l.credit+l.share+shiftSlack*m.maxShift-ran, shiftBurst))
	}
	m.wanted = ""
}

func indicator(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// Want records that the next counted run is wanted in a region, although the
// limit keeps it in another one. The levels follow what is wanted: those of runs
// that the limit holds back would hardly move.
func (m *ShiftMeter) Want(region string) { m.wanted = region }

// Allows reports whether one more request may run in a region.
func (m *ShiftMeter) Allows(now time.Time, region string) bool {
	return m.learning(now) || m.level(region).credit >= 1
}
