package systemtest

import (
	"fmt"
	"time"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

const (
	// leaveLimit is how long a leaving endpoint may still get new requests.
	leaveLimit = 2 * time.Second
	// batch is the number of requests that one check sends.
	batch = 20
)

// The flow functions are the columns of the fault matrix. Each runs under a
// fault, most of them for the callers of one place.

// flowLookup checks that a look-up for a place names first an entry that serves
// the place's requests; it waits up to convergeTimeout for that.
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

// flowIdempotent waits until one request is served, so that the system has
// detected the fault, and then checks that every idempotent request is answered
// in time.
func (s *system) flowIdempotent(place string) {
	s.t.Helper()
	s.eventually("requests served in "+place, func() bool { return s.get(place, s.unique("get")).status == 200 })
	for range batch {
		body := s.unique("get")
		r := s.get(place, body)
		if !r.complete(body) || r.took > callTimeout {
			s.t.Errorf("idempotent request in %s: status %d %s %v after %v", place, r.status, r.reason, r.err, r.took)
		}
	}
}

// flowOnce checks that once-only requests and their retries run at most once and
// get true verdicts, and that at least 90% of the requests are served.
func (s *system) flowOnce(place string) {
	s.t.Helper()
	served := 0
	for range batch {
		body := s.unique("once")
		key, first := s.post(place, body)
		if key == "" {
			continue
		}
		if first.complete(body) {
			served++
		}
		again := s.send(s.entriesOf(place)[1], place, "POST", key, body)
		count := s.runs.executions(body + "/x")
		results := []result{first, again}
		for _, r := range results {
			if r.verdict == "not-run" && count > 0 || r.verdict == "ran" && count != 1 || count > 1 {
				s.t.Errorf("once-only request in %s: verdict %q, but ran %d times", place, r.verdict, count)
			}
		}
	}
	if served < batch*9/10 {
		s.t.Errorf("once-only requests in %s: %d of %d served", place, served, batch)
	}
}

// flowAnnounce starts a new endpoint in a place and checks that it gets
// requests.
func (s *system) flowAnnounce(place string) *endpoint {
	s.t.Helper()
	model := s.endpoints[place][0]
	i := s.placeIndex(place)
	n := 10 + len(s.endpoints[place])
	e := &endpoint{
		t: s.t, runs: s.runs, service: service, place: place,
		id:      fmt.Sprintf("%s-worker-%d", place, n),
		listen:  s.ip(kindEndpoint+i, n) + ":17000",
		front:   s.ip(kindFrontEndpoint+i, n) + ":17000",
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

// flowLeave checks that an endpoint gets no new requests leaveLimit after it
// reported that it is leaving.
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

// nonOwnersFirst lists the entries of a place and then those of north-b. The
// owner of the place's group comes last among its entries, so that announcements
// have to be forwarded to it.
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

// flowApply checks that a change is accepted and comes into force at the given
// entries.
func (s *system) flowApply(entries []string) {
	s.t.Helper()
	s.doc.Regions[0].ReservePercent++
	before := s.status().Version
	code := s.apply(s.doc)
	if code != 0 && code != exitNotInForce {
		s.t.Fatalf("apply: exit %d", code)
	}
	s.awaitInForce(before+1, entries)
}

// exitNotInForce is the client's exit code for a change that is accepted but not
// yet in force everywhere.
const exitNotInForce = 4

// awaitInForce waits until the entries serve at least the given version.
func (s *system) awaitInForce(version uint64, entries []string) {
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

// lookupVersion returns the document version in an entry's look-up answer, or 0
// when the entry doesn't answer.
func (s *system) lookupVersion(entry string) uint64 {
	def, place := s.doc.EntryByName(entry)
	answer, err := s.lookupAt(def.Caller, place.Name)
	if err != nil {
		return 0
	}
	return answer.Version
}

// flowDrain drains a place and checks that its requests are served elsewhere,
// and that requests are still served after the drain.
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

// flowStop checks that a planned stop of an entry under load fails no request.
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
	s.expectAllAnswered("planned stop of "+name, running.finish())
	p.start()
	s.eventually(name+" serves again", func() bool { return s.lookupVersion(name) > 0 })
}

// expectAllAnswered fails the test for every record without a complete answer at
// the first attempt.
func (s *system) expectAllAnswered(what string, records []record) {
	s.t.Helper()
	failed := make(map[string]int)
	for _, r := range records {
		if !r.complete(r.body) {
			failed[fmt.Sprintf("%d %s %s %v", r.status, r.verdict, r.reason, r.err)]++
		}
	}
	s.t.Logf("%s: %d requests", what, len(records))
	for how, count := range failed {
		s.t.Errorf("%s: %d of %d requests got %s", what, count, len(records), how)
	}
}

// allEntries returns the names of all entries.
func (s *system) allEntries() []string { return s.entriesIn("north-a", "north-b", "south-a") }

// entriesIn returns the names of the entries in the given places.
func (s *system) entriesIn(places ...string) []string {
	var names []string
	for _, place := range places {
		for _, entry := range s.doc.PlaceByName(place).Entries {
			names = append(names, entry.Name)
		}
	}
	return names
}

// owner returns the entry that a look-up for a place names first: the owner of
// its group.
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
