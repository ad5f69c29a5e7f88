package systemtest

import (
	"fmt"
	"time"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

const (
	// leaveLimit is how long a leaving endpoint may still get new work.
	leaveLimit = 2 * time.Second
	// batch is the number of requests of one check.
	batch = 20
)

// The flows are the columns of the fault matrix. Each is run under a fault for
// the callers of one place.

// flowLookup wants look-ups from every place that name only entries that serve.
func (s *system) flowLookup(place string) {
	s.t.Helper()
	s.eventually("look-ups name an entry that serves "+place, func() bool {
		answer, err := s.lookup(place)
		if err != nil {
			return false
		}
		return s.send(answer.Entries[0].Address, place, "GET", "", s.unique("lookup")).status == 200
	})
}

// flowIdempotent wants every idempotent request answered in time once the
// system has noticed the fault.
func (s *system) flowIdempotent(place string) {
	s.t.Helper()
	s.eventually("requests served in "+place, func() bool { return s.get(place, s.unique("get")).status == 200 })
	for range batch {
		body := s.unique("get")
		r := s.get(place, body)
		if !r.whole(body) || r.took > callTimeout {
			s.t.Errorf("idempotent request in %s: status %d %s %v after %v", place, r.status, r.reason, r.err, r.took)
		}
	}
}

// flowOnce wants once-only requests run once, resends answered alike, and
// verdicts that hold.
func (s *system) flowOnce(place string) {
	s.t.Helper()
	served := 0
	for range batch {
		body := s.unique("once")
		key, first := s.post(place, body)
		if key == "" {
			continue
		}
		if first.whole(body) {
			served++
		}
		again := s.send(s.entriesOf(place)[1], place, "POST", key, body)
		count := s.runs.of(body + "/x")
		told := []result{first, again}
		for _, r := range told {
			if r.verdict == "not-run" && count > 0 || r.verdict == "ran" && count != 1 || count > 1 {
				s.t.Errorf("once-only request in %s: told %q, ran %d times", place, r.verdict, count)
			}
		}
	}
	if served < batch*9/10 {
		s.t.Errorf("once-only requests in %s: %d of %d served", place, served, batch)
	}
}

// flowAnnounce wants a new endpoint to get work.
func (s *system) flowAnnounce(place string) *endpoint {
	s.t.Helper()
	model := s.endpoints[place][0]
	i := s.placeIndex(place)
	n := 10 + len(s.endpoints[place])
	e := &endpoint{
		t: s.t, runs: s.runs, service: service, place: place,
		id:      fmt.Sprintf("%s-worker-%d", place, n),
		listen:  s.ip(kindEndpoint+i, n) + ":17000",
		front:   s.ip(kindFrontWorker+i, n) + ":17000",
		entries: append(s.entriesOf(place), s.entriesOf("north-b")...),
		slots:   model.slots,
		work:    model.work,
	}
	s.mesh.expose(e.front, e.listen, "", e.id)
	s.endpoints[place] = append(s.endpoints[place], e)
	e.start()
	s.eventually("work for the new endpoint "+e.id, func() bool {
		s.get(place, s.unique("announce"))
		return e.servedCount() > 0
	})
	return e
}

// flowLeave wants no new work for an endpoint that leaves.
func (s *system) flowLeave(place string, e *endpoint) {
	s.t.Helper()
	e.setEntries(s.nonOwnersFirst(place))
	e.leave()
	until := time.Now().Add(leaveLimit)
	for time.Now().Before(until) {
		s.get(place, s.unique("leave"))
	}
	before := e.servedCount()
	for range batch {
		s.get(place, s.unique("leave"))
	}
	if got := e.servedCount() - before; got > 0 {
		s.t.Errorf("endpoint %s got %d requests %v after it left", e.id, got, leaveLimit)
	}
	e.crash()
}

// nonOwnersFirst lists the entries of a place, those that don't own its group
// first, so that what an endpoint says has to be passed on.
func (s *system) nonOwnersFirst(place string) []string {
	owner := s.owner(place)
	var first, last []string
	for _, entry := range s.doc.PlaceByName(place).Entries {
		if entry.Name == owner {
			last = append(last, entry.Caller)
			continue
		}
		first = append(first, entry.Caller)
	}
	return append(append(first, last...), s.entriesOf("north-b")...)
}

func (s *system) placeIndex(place string) int {
	for i := range s.doc.Places {
		if s.doc.Places[i].Name == place {
			return i
		}
	}
	s.t.Fatalf("no place %s", place)
	return -1
}

// flowApply wants a change accepted and in force at the given entries.
func (s *system) flowApply(entries []string) {
	s.t.Helper()
	s.doc.Regions[0].ReservePercent++
	before := s.status().Version
	code := s.apply(s.doc)
	if code != 0 && code != exitNotInForce {
		s.t.Fatalf("apply: exit %d", code)
	}
	s.inForce(before+1, entries)
}

// exitNotInForce is the exit code for a change that is accepted but not in
// force everywhere yet.
const exitNotInForce = 4

// inForce waits until entries serve at least a version.
func (s *system) inForce(version uint64, entries []string) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("version %d in force at %v", version, entries), func() bool {
		for _, name := range entries {
			if s.lookupVersion(name) < version {
				return false
			}
		}
		return true
	})
}

// lookupVersion asks an entry itself which version it serves; 0 when it
// doesn't answer.
func (s *system) lookupVersion(entry string) uint64 {
	def, place := s.doc.EntryByName(entry)
	answer, err := s.lookupAt(def.Caller, place.Name)
	if err != nil {
		return 0
	}
	return answer.Version
}

// flowDrain wants the requests of a drained place served elsewhere, and back
// again after the drain.
func (s *system) flowDrain(place string, entries []string) {
	s.t.Helper()
	s.doc.Drains = []document.Drain{{Place: place, Reason: "trial"}}
	s.flowApply(entries)
	s.eventually("drained place "+place+" gets no work", func() bool {
		before := s.servedIn(place)
		for range batch {
			s.get(place, s.unique("drain"))
		}
		return s.servedIn(place) == before
	})
	s.flowIdempotent(place)
	s.doc.Drains = nil
	s.flowApply(entries)
	s.flowIdempotent(place)
}

func (s *system) servedIn(place string) int {
	sum := 0
	for _, e := range s.endpoints[place] {
		sum += e.servedCount()
	}
	return sum
}

// flowStop wants a planned stop of an entry to cut no request off.
func (s *system) flowStop(place string) {
	s.t.Helper()
	name := s.doc.PlaceByName(place).Entries[0].Name
	running := s.startLoad(place)
	time.Sleep(100 * time.Millisecond)
	p := s.entries[name]
	p.stop()
	if err := p.wait(25 * time.Second); err != nil {
		s.t.Errorf("planned stop of %s: %v", name, err)
	}
	s.wantWhole("planned stop of "+name, running.finish())
	p.start()
	s.eventually(name+" serves again", func() bool { return s.lookupVersion(name) > 0 })
}

// wantWhole wants every request answered whole, at the first try.
func (s *system) wantWhole(what string, records []record) {
	s.t.Helper()
	failed := make(map[string]int)
	for _, r := range records {
		if !r.whole(r.body) {
			failed[fmt.Sprintf("%d %s %s %v", r.status, r.verdict, r.reason, r.err)]++
		}
	}
	s.t.Logf("%s: %d requests", what, len(records))
	for how, count := range failed {
		s.t.Errorf("%s: %d of %d requests got %s", what, count, len(records), how)
	}
}

// allEntries names every entry.
func (s *system) allEntries() []string { return s.entriesIn("north-a", "north-b", "south-a") }

// entriesIn names the entries of places.
func (s *system) entriesIn(places ...string) []string {
	var names []string
	for _, place := range places {
		for _, entry := range s.doc.PlaceByName(place).Entries {
			names = append(names, entry.Name)
		}
	}
	return names
}

// owner names the entry that a look-up gives first for a place.
func (s *system) owner(place string) string {
	s.t.Helper()
	var answer port.LookupAnswer
	s.eventually("owner in "+place, func() bool {
		var err error
		answer, err = s.lookup(place)
		return err == nil
	})
	return answer.Entries[0].Name
}
