package dispatch

// mostTracked bounds the objects of an endpoint that are remembered; what it
// keeps beyond is found out by no request.
const mostTracked = 128

// memory holds the objects that an endpoint served last.
type memory struct {
	count uint64
	used  map[string]uint64
}

func newMemory() memory { return memory{used: make(map[string]uint64)} }

// depth is the number of other objects that were served since an object; false
// if it is not remembered.
func (m *memory) depth(object string) (int, bool) {
	at, known := m.used[object]
	if !known {
		return 0, false
	}
	n := 0
	for _, other := range m.used {
		if other > at {
			n++
		}
	}
	return n, true
}

// touch notes that an object is served, and returns the one that is forgotten
// for it; empty if none.
func (m *memory) touch(object string) (forgotten string) {
	m.count++
	m.used[object] = m.count
	if len(m.used) <= mostTracked {
		return ""
	}
	oldest := m.count
	for other, at := range m.used {
		if at <= oldest {
			forgotten, oldest = other, at
		}
	}
	delete(m.used, forgotten)
	return forgotten
}

const (
	// assumedKept is the number of objects that an endpoint is taken to keep before
	// its service's runs have shown it.
	assumedKept = 32
	// assumedWeight is what the assumption counts for beside one run.
	assumedWeight = 0.5
	// keptDecay is what each run leaves of the weight of earlier ones: a few
	// thousand count.
	keptDecay = 0.9995
)

// keptMeter finds out how many objects the endpoints of a service keep warm. It
// answers the load of more objects than fit: an object counts as warm only
// while fewer others than that were served since. The limit is where it splits
// warm runs from cold ones best.
type keptMeter struct {
	// balance holds, by the number of objects served since, warm runs less cold
	// ones.
	balance [mostTracked]float64
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

// observe takes a run of an object after which a number of others was served.
func (m *keptMeter) observe(depth int, warm bool) {
	if depth >= mostTracked {
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

// kind is what requests of one kind have shown.
type kind struct {
	// cold and warm are moving averages of their times in seconds at an endpoint of
	// ordinary speed in the own region, without and with their object warm; zero
	// before the first.
	cold, warm float64
}

// expected is the time of a request at an endpoint of ordinary speed.
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

// separable is the part of a cold run's time below which warm runs can be told
// from cold ones.
const separable = 0.7

// ranWarm says whether a run's time is nearer to a warm one; known is false while
// the two can't be told apart.
func (k *kind) ranWarm(took float64) (warm, known bool) {
	if k.warm == 0 || k.warm > separable*k.cold {
		return false, false
	}
	return took < (k.cold+k.warm)/2, true
}

// observe takes the time of a served request that was expected to be warm or not.
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
