package systemtest

import (
	"strings"
	"sync"
	"time"
)

// load is a group of callers in one place that send idempotent and once-only
// requests in turn and record the outcomes.
type load struct {
	s     *system
	place string
	stop  chan struct{}
	wg    sync.WaitGroup

	mu      sync.Mutex
	records []record
}

// record is a caller's record of one request and its outcome.
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

// startLoad starts callers in a place; finish stops them.
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
			r.key = answer.KeyPrefix + "." + strings.ReplaceAll(body, "/", "")
		}
		r.result = l.s.send(r.entry, l.place, method, r.key, body)
		l.mu.Lock()
		l.records = append(l.records, r)
		l.mu.Unlock()
	}
}

// finish stops the callers and returns the records of their requests.
func (l *load) finish() []record {
	close(l.stop)
	l.wg.Wait()
	return l.records
}

// tally counts requests and violated guarantees. All counts but requests and
// unserved must be 0.
type tally struct {
	requests     int
	unserved     int // no complete answer; allowed under faults
	wrongAnswer  int // status 200 with a body that doesn't answer this request
	falseNotRun  int // once-only request with the verdict not-run that ran
	duplicateRun int // once-only request that ran more than once
	falseRan     int // request with the verdict ran that did not run
}

// verify compares the outcomes that callers received with the executions that
// endpoints counted. It first retries once-only requests without a complete
// answer, with the same key.
func (s *system) verify(records []record) tally {
	var sum tally
	for _, r := range records {
		sum.requests++
		if r.once && !r.complete(r.body) {
			again := s.send(r.entry, r.place, "POST", r.key, r.body)
			if again.err == nil && again.verdict != "" {
				r.result = again
			}
		}
		if !r.complete(r.body) {
			sum.unserved++
		}
		count := s.runs.executions(r.body + "/x")
		if r.err == nil && r.status == 200 && !r.complete(r.body) {
			sum.wrongAnswer++
		}
		if r.once && r.verdict == "not-run" && count > 0 {
			sum.falseNotRun++
		}
		if r.once && count > 1 {
			sum.duplicateRun++
		}
		if r.verdict == "ran" && count == 0 {
			sum.falseRan++
		}
	}
	return sum
}

// violations returns the number of violated guarantees.
func (t tally) violations() int { return t.wrongAnswer + t.falseNotRun + t.duplicateRun + t.falseRan }
