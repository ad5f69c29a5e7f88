package systemtest

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/document"
)

// controlURL returns the URL at which one control VM serves operators.
func (s *system) controlURL(n int) string { return "http://" + s.ip(kindControl, n) + ":18090" }

// submit applies a variant of the document at one control VM and waits until the
// change is decided. It returns the client's exit code and output.
func (s *system) submit(n int, base uint64, changeID, variant string, flags ...string) (code int, out string) {
	doc := *s.doc
	doc.Drains = []document.Drain{{Place: "north-b", Reason: variant}}
	text, err := document.Marshal(&doc)
	if err != nil {
		s.t.Fatal(err)
	}
	path := s.write(fmt.Sprintf("variant-%s-%d.yaml", variant, n), string(text))
	args := []string{
		"apply", "-wait=false", "-timeout", "3s",
		"-base", strconv.FormatUint(base, 10), "-change-id", changeID,
	}
	return s.ctlAt(s.controlURL(n), append(append(args, flags...), path)...)
}

// watchVersions polls the document versions in the entries' look-up answers and
// fails the test when a version decreases. Call stop to end it.
func (s *system) watchVersions(entries []string) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, name := range entries {
		wg.Go(func() {
			var highest uint64
			for {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				version := s.lookupVersion(name)
				if version > 0 && version < highest {
					s.t.Errorf("%s returned version %d and then the older version %d", name, highest, version)
				}
				highest = max(highest, version)
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// TestOperatorsRace guards against two changes that are both accepted on the
// same base version. In each of 10 rounds, two operators apply a change at two
// control VMs at the same time. Exactly one may be accepted, and a retry at a
// third control VM must return the first outcome.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, twoRegions())
	for round := range 10 {
		base := s.status().Version
		var codes [2]int
		var outs [2]string
		var wg sync.WaitGroup
		for n := range 2 {
			wg.Go(func() {
				id := fmt.Sprintf("change-%d-%d", round, n)
				codes[n], outs[n] = s.submit(n+1, base, id, fmt.Sprintf("race%d-%d", round, n))
			})
		}
		wg.Wait()
		is.Equal(codes[0]+codes[1], 1) // one is accepted (0), the other refused (1)
		won := s.status()
		is.Equal(won.Version, base+1)
		for n := range 2 {
			is.True(strings.Contains(outs[n], fmt.Sprintf("version %d", won.Version)))
			is.True(strings.Contains(outs[n], won.Digest[:12])) // both outputs name the accepted change
			id := fmt.Sprintf("change-%d-%d", round, n)
			code, out := s.submit(3, base, id, fmt.Sprintf("race%d-%d", round, n))
			is.Equal(code, codes[n]) // a retry at another VM returns the first outcome
			is.True(strings.Contains(out, won.Digest[:12]))
		}
	}
	code, out := s.ctl("audit")
	is.Equal(code, 0) // the hash chain of the audit trail is valid
	is.True(strings.Contains(out, "change-9-1"))
}

// TestControlIsolated guards against a control VM that accepts changes without a
// quorum. One control VM is partitioned from the others: it must accept nothing
// and must catch up with the others when the partition ends.
func TestControlIsolated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, twoRegions())
	stop := s.watchVersions(s.allEntries())
	s.mesh.setRule(func(src, dst string) bool {
		return (src == "control-1") != (dst == "control-1") && src != "" && dst != ""
	})
	base := s.status().Version
	code, _ := s.submit(1, base, "isolated", "isolated")
	is.Equal(code, 3) // outcome unknown or no quorum; never 0 for accepted
	for i := range 5 {
		code, out := s.submit(2, base+uint64(i), fmt.Sprintf("others-%d", i), fmt.Sprintf("others%d", i))
		is.Equal(code, 0)
		is.True(strings.Contains(out, fmt.Sprintf("version %d", base+uint64(i)+1)))
	}
	s.awaitInForce(base+5, s.allEntries())
	s.mesh.heal()
	s.eventually("the isolated control VM has the newest version", func() bool {
		code, out := s.ctlAt(s.controlURL(1), "get")
		return code == 0 && strings.Contains(out, "others4")
	})
	code, _ = s.submit(1, base, "isolated", "isolated")
	is.Equal(code, 1) // another change has taken that version
	stop()
}

// TestRestartedEntryIsCurrent guards against a restarted entry that serves an
// old document. Three times, the entry is killed and misses a version; the first
// version that it serves after the restart must be the newest one.
func TestRestartedEntryIsCurrent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, twoRegions())
	name := "north-a-2"
	for range 3 {
		s.entries[name].kill()
		s.doc.Regions[0].ReservePercent++
		code := s.apply(s.doc)
		is.Equal(code, exitNotInForce)
		version := s.status().Version
		s.entries[name].start()
		first := uint64(0)
		s.eventually(name+" serves", func() bool {
			first = s.lookupVersion(name)
			return first > 0
		})
		is.Equal(first, version)
	}
}

// TestFreezeDuringHandOver guards against keys that are executed twice or get
// false verdicts because an entry is frozen during its planned stop. It freezes
// the owner for 3 s at three different times after the stop began.
func TestFreezeDuringHandOver(t *testing.T) {
	t.Parallel()
	s := newSystem(t, twoRegions())
	for _, wait := range []time.Duration{50 * time.Millisecond, time.Second, 2010 * time.Millisecond} {
		owner := ""
		s.eventually("an owner in north-a", func() bool {
			owner = s.owner("north-a")
			return placeOf(owner) == "north-a"
		})
		running := s.startLoad("north-a")
		time.Sleep(200 * time.Millisecond)
		p := s.entries[owner]
		p.stop()
		time.Sleep(wait)
		p.freeze()
		time.Sleep(3 * time.Second)
		p.thaw()
		if err := p.wait(25 * time.Second); err != nil {
			t.Errorf("stop of %s: %v", owner, err)
		}
		sum := s.verify(running.finish())
		t.Logf("frozen %v after the stop began: %+v", wait, sum)
		if sum.violations() > 0 {
			t.Errorf("violated guarantees: %+v", sum)
		}
		p.start()
		s.eventually(owner+" serves again", func() bool { return s.lookupVersion(owner) > 0 })
		s.flowIdempotent("north-a")
	}
}

// TestCutDuringDrain partitions a place before it receives its own drain. The
// place must keep serving its own callers, and must be drained once the
// partition ends.
func TestCutDuringDrain(t *testing.T) {
	t.Parallel()
	s := newSystem(t, twoRegions())
	running := s.startLoad("north-b")
	s.mesh.setRule(isolatePlace("north-b"))
	s.doc.Drains = []document.Drain{{Place: "north-b", Reason: "trial"}}
	s.flowApply(s.entriesIn("north-a", "south-a"))
	s.flowIdempotent("north-b")
	s.mesh.heal()
	s.awaitInForce(s.status().Version, s.allEntries())
	s.eventually("the drained place gets no work", func() bool {
		before := s.servedIn("north-b")
		for range batch {
			s.get("north-b", s.unique("drain"))
		}
		return s.servedIn("north-b") == before
	})
	if sum := s.verify(running.finish()); sum.violations() > 0 {
		t.Errorf("violated guarantees: %+v", sum)
	}
}

// TestCrashingRequest guards against a request that crashes one endpoint after
// the other because entries and callers retry it. It is sent through all entries
// in 8 rounds; quarantine must limit it to two executions.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, twoRegions())
	refused := 0
	for round := range 8 {
		for _, place := range everywhere {
			for _, entry := range s.entriesOf(place) {
				r := s.send(entry, place, "GET", "", "crash")
				if r.reason == "quarantined" {
					refused++
				}
			}
		}
		if round == 0 {
			is.True(s.runs.executions("crash/x") <= 2)
		}
	}
	is.True(s.runs.executions("crash/x") <= 2) // at most two endpoint incarnations crashed
	is.True(refused > 0)
	var listed []string
	s.eventually("the quarantine in the operators' status", func() bool {
		for _, entry := range s.status().Entries {
			listed = append(listed, entry.Quarantined...)
		}
		return len(listed) > 0
	})
	code, out := s.ctl("lift", listed[0])
	is.Equal(code, 0) // operators can lift the quarantine
	s.eventually("lifted everywhere: "+out, func() bool {
		for _, entry := range s.status().Entries {
			if len(entry.Quarantined) > 0 {
				return false
			}
		}
		return true
	})
	s.flowIdempotent("south-a")
}

// TestLostAnswers guards against a second execution of a once-only request whose
// answer was lost. The endpoint breaks the connection after the first execution
// of each request. Retries of a once-only request through any entry must not run
// it again; an idempotent request must be retried and its caller must get the
// answer.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	s := newSystem(t, twoRegions())
	for range batch {
		body := s.unique("drop")
		key, first := s.post("north-a", body)
		results := []result{first}
		for _, entry := range s.entriesOf("south-a") {
			results = append(results, s.send(entry, "north-a", "POST", key, body))
		}
		for _, r := range results {
			if r.verdict != "may-have-run" {
				t.Errorf("once-only request got verdict %q, reason %q", r.verdict, r.reason)
			}
		}
		if runs := s.runs.executions(body + "/x"); runs != 1 {
			t.Errorf("once-only request ran %d times", runs)
		}
	}
	body := s.unique("drop")
	if r := s.get("north-b", body); !r.complete(body) {
		t.Errorf("idempotent request got status %d, reason %q", r.status, r.reason)
	}
}

// TestSecondSignal sends a second SIGTERM during a planned stop. The entry must
// exit without waiting for its request in flight, and log how many requests it
// cut off.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, twoRegions())
	name := s.owner("south-a")
	for _, e := range s.endpoints["south-a"] {
		e.setWork(4 * time.Second)
	}
	def, _ := s.doc.EntryByName(name)
	results := make(chan result, 1)
	go func() {
		results <- s.sendWithin(def.Caller, "south-a", "POST", s.keyAt("south-a"), "slow", 5*time.Second)
	}()
	s.eventually("the slow request runs", func() bool { return s.runs.executions("slow/x") == 1 })
	p := s.entries[name]
	p.stop()
	time.Sleep(200 * time.Millisecond)
	begun := time.Now()
	p.stop()
	is.NoErr(p.wait(5 * time.Second))
	is.True(time.Since(begun) < 3*time.Second) // the entry didn't wait for the request
	is.True(strings.Contains(p.text(), `"msg":"stop-forced"`))
	is.True(strings.Contains(p.text(), `"cut_off":1`))
	r := <-results
	is.True(r.err != nil || r.verdict == "may-have-run") // never the verdict not-run
}

// keyAt returns a new once-only key, which starts with the prefix that a
// look-up returned.
func (s *system) keyAt(place string) string {
	answer, err := s.lookup(place)
	if err != nil {
		s.t.Errorf("look-up: %v", err)
	}
	return answer.KeyPrefix + "." + s.unique("key")
}
