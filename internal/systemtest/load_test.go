package systemtest

import (
	"strings"
	"sync"
	"time"
)

// load is a caller in a place that sends requests of both kinds without pause
// and keeps what it was told.
type load struct {
	s     *system
	place string
	stop  chan struct{}
	wg    sync.WaitGroup

	mu      sync.Mutex
	records []record
}

// record is what a caller was told of one request.
type record struct {
	place string
	body  string
	once  bool
	key   string
	entry string
	result
}

const (
	loadCallers = 2
	loadPause   = 10 * time.Millisecond
)

// startLoad runs callers in a place until finish.
func (s *system) startLoad(place string) *load {
	l := &load{s: s, place: place, stop: make(chan struct{})}
	for range loadCallers {
		l.wg.Go(l.run)
	}
	return l
}

func (l *load) run() {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(loadPause):
		}
		answer, err := l.s.lookup(l.place)
		if err != nil {
			continue
		}
		body := l.s.unique(l.place)
		r := record{place: l.place, body: body, once: n%2 == 0, entry: answer.Entries[0].Address}
		method := "GET"
		if r.once {
			method = "POST"
			r.key = answer.Home + "." + strings.ReplaceAll(body, "/", "")
		}
		r.result = l.s.send(r.entry, l.place, method, r.key, body)
		l.mu.Lock()
		l.records = append(l.records, r)
		l.mu.Unlock()
	}
}

// finish stops the callers and returns what they were told.
func (l *load) finish() []record {
	close(l.stop)
	l.wg.Wait()
	return l.records
}

// tally counts the broken promises among records; all but unserved must be 0.
type tally struct {
	requests int
	unserved int // no whole answer; allowed under faults
	mixed    int // an answer that is not the request's own
	lied     int // told not-run, and it ran
	twice    int // once-only, and it ran more than once
	phantom  int // told ran, and it did not
}

// judge compares what callers were told with the runs that endpoints counted.
// Once-only requests that have no answer are sent again first.
func (s *system) judge(records []record) tally {
	var sum tally
	for _, r := range records {
		sum.requests++
		if r.once && !r.whole(r.body) {
			again := s.send(r.entry, r.place, "POST", r.key, r.body)
			if again.err == nil && again.verdict != "" {
				r.result = again
			}
		}
		if !r.whole(r.body) {
			sum.unserved++
		}
		count := s.runs.of(r.body + "/x")
		if r.err == nil && r.status == 200 && !r.whole(r.body) {
			sum.mixed++
		}
		if r.once && r.verdict == "not-run" && count > 0 {
			sum.lied++
		}
		if r.once && count > 1 {
			sum.twice++
		}
		if r.verdict == "ran" && count == 0 {
			sum.phantom++
		}
	}
	return sum
}

// broken counts the broken promises.
func (t tally) broken() int { return t.mixed + t.lied + t.twice + t.phantom }
