package dispatch

// maxTracked bounds the objects that are remembered per endpoint. If an
// endpoint keeps more objects warm, the pool doesn't learn of it.
const maxTracked = 128

// memory holds the objects that an endpoint served last. lastUse maps an
// object to the value of count at its last use.
type memory struct {
	count   uint64
	lastUse map[string]uint64
}

func newMemory() memory { return memory{lastUse: make(map[string]uint64)} }

// depth returns the number of other objects that were served since the object
// was last served (its stack distance); false if the object is not
// remembered.
func (m *memory) depth(object string) (int, bool) {
	at, known := m.lastUse[object]
	if !known {
		return 0, false
	}
	n := 0
	for _, other := range m.lastUse {
		if other > at {
			n++
		}
	}
	return n, true
}

// touch records a use of an object and returns the object whose record is
// evicted for it; empty if none.
func (m *memory) touch(object string) (evicted string) {
	m.count++
	m.lastUse[object] = m.count
	if len(m.lastUse) <= maxTracked {
		return ""
	}
	oldest := m.count
	for other, at := range m.lastUse {
		if at <= oldest {
			evicted, oldest = other, at
		}
	}
	delete(m.lastUse, evicted)
	return evicted
}

const (
	// assumedKept is the number of objects that an endpoint is assumed to
	// keep warm until runs of its service show the number.
	assumedKept = 32
	// assumedWeight is the weight of the assumption relative to one run.
	assumedWeight = 0.5
	// keptDecay is the factor by which each run reduces the weight of earlier
	// ones; a few thousand runs count.
	keptDecay = 0.9995
)

// keptMeter estimates how many objects the endpoints of a service keep warm,
// since there may be more objects than fit. An object counts as warm while
// fewer than limit other objects were served since its last use. The limit is
// the depth that best separates warm runs from cold ones.
type keptMeter struct {
	// balance holds, by depth, the weighted number of warm runs minus that of
	// cold ones.
	balance [maxTracked]float64
	limit   int
}

func newKeptMeter() *keptMeter {
	m := &keptMeter{limit: assumedKept}
	for depth := range m.balance {
		m.balance[depth] = assumedWeight
		if depth >= assumedKept {
			m.balance[depth] = -assumedWeight
		}
	}
	return m
}

// observe records a run of an object at a depth and updates the limit.
func (m *keptMeter) observe(depth int, warm bool) {
	if depth >= maxTracked {
		return
	}
	sum, best := 0.0, 0.0
	m.limit = 0
	for i := range m.balance {
		m.balance[i] *= keptDecay
		if i == depth && warm {
			m.balance[i]++
		} else if i == depth {
			m.balance[i]--
		}
		if sum += m.balance[i]; sum > best {
			best, m.limit = sum, i+1
		}
	}
}

// kind holds the statistics of one kind of requests.
type kind struct {
	// cold and warm are moving averages of the run times in seconds, without
	// and with the object warm, at an endpoint of average speed. They don't
	// include the round trip to another region. cold starts as the target of
	// the kind's first slot request; warm is zero before the first warm run.
	cold, warm float64
	// responseBytes is the moving average of the size of the responses; 0 before the
	// first one.
	responseBytes float64
}

// expected returns the expected run time in seconds at an endpoint of average
// speed.
func (k *kind) expected(warm bool) float64 {
	switch {
	case warm && k.warm > 0:
		return k.warm
	case warm:
		return warmFactor * k.cold
	default:
		return k.cold
	}
}

// maxSeparableRatio is the ratio of warm to cold run times up to which warm
// runs can be told from cold ones.
const maxSeparableRatio = 0.7

// ranWarm reports whether a run time is closer to that of a warm run. known
// is false while warm and cold runs can't be told apart.
func (k *kind) ranWarm(took float64) (warm, known bool) {
	if k.warm == 0 || k.warm > maxSeparableRatio*k.cold {
		return false, false
	}
	return took < (k.cold+k.warm)/2, true
}

// observe records the run time of a served request. warm is the expectation,
// which counts only while the run time doesn't show the difference.
func (k *kind) observe(warm bool, took float64) {
	if ran, known := k.ranWarm(took); known {
		warm = ran
	}
	if !warm {
		k.cold += smoothing * (took - k.cold)
		return
	}
	if k.warm == 0 {
		k.warm = took
	}
	k.warm += smoothing * (took - k.warm)
}
