package systemtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrasreach/internal/core/document"
)

const (
	// soakSeed is the seed of the order of the faults.
	soakSeed = 20261204
	// soakDefault and pairsDefault are the default durations of the load;
	// SOAK_SECONDS overrides both.
	soakDefault  = 12 * time.Second
	pairsDefault = 6 * time.Second
	// soakFault is how long each fault lasts.
	soakFault = 1500 * time.Millisecond
	// nearCap and farCap are the caps of a shift within a region and to another
	// region, in requests per second.
	nearCap = 120
	farCap  = 60
)

// currentSize is the current size of one user's system: six places in three
// regions, with 16 entries and 5 workers of three slots per place. The user has
// 32 workers; this layout starts 30.
func currentSize() layout {
	l := layout{
		entries:       3,
		smallerPlaces: 2,
		endpoints:     5,
		slots:         3,
		work:          2 * time.Millisecond,
	}
	regions := []string{"norte", "centro", "alentejo"}
	for _, region := range regions {
		a, b := region+"-a", region+"-b"
		l.places = append(l.places, document.Place{Name: a, Region: region}, document.Place{Name: b, Region: region})
		l.rules = append(l.rules,
			document.Rule{Name: a + "-to-b", From: a, To: b, RequestsPerS: nearCap},
			document.Rule{Name: b + "-to-a", From: b, To: a, RequestsPerS: nearCap})
		for _, other := range regions {
			if other == region {
				continue
			}
			l.rules = append(l.rules, document.Rule{
				Name: region + "-to-" + other, From: region, To: other, RequestsPerS: farCap,
			})
			l.links = append(l.links, document.Link{From: region, To: other, MbitPerS: 4000, FillPercent: 70})
		}
	}
	return l
}

func soakLength(t *testing.T, usual time.Duration) time.Duration {
	text := os.Getenv("SOAK_SECONDS")
	if text == "" {
		return usual
	}
	seconds, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("SOAK_SECONDS: %v", err)
	}
	return time.Duration(seconds) * time.Second
}

// soakFaults are the faults that the soak tests inject.
var soakFaults = []struct {
	name string
	// run injects the fault into a place or into a control VM that pick selects.
	run func(s *system, place *document.Place, pick *rand.Rand)
}{
	{"kill an entry and start it again", func(s *system, place *document.Place, _ *rand.Rand) {
		p := s.entries[place.Entries[0].Name]
		p.kill()
		time.Sleep(soakFault)
		p.start()
	}},
	{"freeze an entry", func(s *system, place *document.Place, _ *rand.Rand) {
		p := s.entries[place.Entries[1].Name]
		p.freeze()
		time.Sleep(soakFault)
		p.thaw()
	}},
	{"cut a place off", func(s *system, place *document.Place, _ *rand.Rand) {
		s.mesh.setRule(func(src, dst string) bool {
			return src != "" && dst != "" && (s.placeOfVM(src) == place.Name) != (s.placeOfVM(dst) == place.Name)
		})
		time.Sleep(soakFault)
		s.mesh.heal()
	}},
	{"silence all connections", func(s *system, _ *document.Place, _ *rand.Rand) {
		s.mesh.silence(func(_, _ string) bool { return true })
		time.Sleep(soakFault)
	}},
	{"crash the workers of a place", func(s *system, place *document.Place, _ *rand.Rand) {
		for _, e := range s.endpoints[place.Name] {
			e.crash()
		}
		time.Sleep(soakFault)
		for _, e := range s.endpoints[place.Name] {
			e.start()
		}
	}},
	{"kill a control VM and start it again", func(s *system, _ *document.Place, pick *rand.Rand) {
		p := s.controls[pick.IntN(controls)]
		p.kill()
		time.Sleep(soakFault)
		p.start()
	}},
	{"drain a place and end the drain", func(s *system, place *document.Place, _ *rand.Rand) {
		s.doc.Drains = []document.Drain{{Place: place.Name, Reason: "soak"}}
		s.apply(s.doc)
		time.Sleep(soakFault)
		s.doc.Drains = nil
		s.apply(s.doc)
	}},
	{"stop an entry as planned", func(s *system, place *document.Place, _ *rand.Rand) {
		p := s.entries[place.Entries[0].Name]
		p.stop()
		if err := p.wait(25 * time.Second); err != nil {
			s.t.Errorf("planned stop of %s: %v", p.name, err)
		}
		p.start()
	}},
}

// placeOfVM returns the place of an entry, or "" for other VMs.
func (s *system) placeOfVM(vm string) string {
	_, place := s.doc.EntryByName(vm)
	if place == nil {
		return ""
	}
	return place.Name
}

// TestSoak runs the current size of one user's system under mixed load, injects
// faults one after the other and counts violated guarantees. It guards against
// violations that appear only when faults follow each other.
func TestSoak(t *testing.T) {
	pick := rand.New(rand.NewPCG(soakSeed, 0))
	order := pick.Perm(len(soakFaults))
	soak(t, soakLength(t, soakDefault), func(s *system, n int) string {
		fault := soakFaults[order[n%len(order)]]
		fault.run(s, &s.doc.Places[pick.IntN(len(s.doc.Places))], pick)
		return fault.name
	})
}

// TestSoakPairs does the same with two faults at a time. It goes through all
// pairs in an order given by the seed, as far as the time allows.
func TestSoakPairs(t *testing.T) {
	var pairs [][2]int
	for i := range soakFaults {
		for k := range i {
			pairs = append(pairs, [2]int{i, k})
		}
	}
	pick := rand.New(rand.NewPCG(soakSeed, 1))
	pick.Shuffle(len(pairs), func(i, k int) { pairs[i], pairs[k] = pairs[k], pairs[i] })
	soak(t, soakLength(t, pairsDefault), func(s *system, n int) string {
		pair := pairs[n%len(pairs)]
		first, second := soakFaults[pair[0]], soakFaults[pair[1]]
		var other sync.WaitGroup
		// The second place is in the same region, so that each place is the
		// other's first choice for a shift.
		k := pick.IntN(len(s.doc.Places))
		a, b := &s.doc.Places[k], &s.doc.Places[k^1]
		other.Go(func() { first.run(s, a, rand.New(rand.NewPCG(soakSeed, uint64(n)))) })
		time.Sleep(soakFault / 2)
		second.run(s, b, pick)
		other.Wait()
		return first.name + " + " + second.name
	})
}

// sendUnfinished sends entries and control VMs requests whose bodies stop before their end,
// and leaves the connections open for a while, until ctx ends.
func (s *system) sendUnfinished(ctx context.Context, random *rand.Rand) {
	const size = 60_000 // within the bound of the service
	for ctx.Err() == nil {
		address, head := s.controlURL(1 + random.IntN(controls))[len("http://"):], "POST /v1/validate HTTP/1.1\r\nAuthorization: Bearer "+token
		if random.IntN(2) == 0 {
			place := random.IntN(len(s.doc.Places))
			entry := 1 + random.IntN(len(s.doc.Places[place].Entries))
			address, head = s.ip(kindEntry+place, entry)+":18080", "GET /s/"+service+"/unfinished HTTP/1.1"
		}
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil { // else it is down
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = fmt.Fprintf(c, "%s\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", head, size, strings.Repeat(" ", random.IntN(size)))
			time.AfterFunc(time.Duration(random.IntN(int(3*time.Second))), func() { _ = c.Close() })
		}
		time.Sleep(time.Duration(random.IntN(int(50 * time.Millisecond))))
	}
}

// soak injects faults under load for the given time, and then checks the
// outcomes that callers received and the caps of all rules. inject is called
// with n counting from 0 and returns the name of the fault.
func soak(t *testing.T, length time.Duration, inject func(s *system, n int) string) {
	s := newSystem(t, currentSize())
	var loads []*load
	for _, place := range s.doc.Places {
		loads = append(loads, s.startLoad(place.Name))
	}
	unfinished, stopUnfinished := context.WithCancel(t.Context())
	go s.sendUnfinished(unfinished, rand.New(rand.NewPCG(soakSeed, 2)))
	begun := time.Now()
	for n := 0; time.Since(begun) < length; n++ {
		at := time.Since(begun)
		t.Logf("%5.1f s: %s", at.Seconds(), inject(s, n))
	}
	stopUnfinished()
	s.mesh.heal()
	var records []record
	for _, l := range loads {
		records = append(records, l.finish()...)
	}
	sum := s.verify(records)
	t.Logf("%v of load: %+v", time.Since(begun).Round(time.Second), sum)
	if sum.violations() > 0 {
		t.Errorf("violated guarantees: %+v", sum)
	}
	for _, rule := range s.doc.Rules {
		most := s.runs.maxMovedPerSecond(func(from, to string) bool {
			return s.within(from, rule.From) && s.within(to, rule.To)
		})
		if most > rule.RequestsPerS {
			t.Errorf("rule %s moved %d requests in one second, its cap is %d", rule.Name, most, rule.RequestsPerS)
		}
	}
	t.Log(s.moveSummary())
}

// within reports whether a place is the place, or is in the region, that a
// rule names.
func (s *system) within(place, name string) bool {
	def := s.doc.PlaceByName(place)
	return place == name || def != nil && def.Region == name
}

func (s *system) moveSummary() string {
	most := 0
	for _, rule := range s.doc.Rules {
		most = max(most, s.runs.maxMovedPerSecond(func(from, to string) bool {
			return s.within(from, rule.From) && s.within(to, rule.To)
		})*100/rule.RequestsPerS)
	}
	return fmt.Sprintf("%d requests moved; the most used cap reached %d%%", len(s.runs.moved), most)
}
