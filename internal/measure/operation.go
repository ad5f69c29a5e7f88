package measure

import (
	"time"

	"sassafrasreach/internal/core/document"
)

// Operation is one user's deployment: its places, services and networks.
type Operation struct {
	// Name identifies the operation.
	Name string
	// ByHeadroom selects headroom instead of latency as the measure by which
	// policies are compared.
	ByHeadroom bool
	regions    []string
	perRegion  [][]string // names of places, per region
	services   []workload
	oneWayNear time.Duration // between places of a region
	oneWayFar  time.Duration // between regions
	oneWayUser time.Duration // between callers and their own place
	linkMbit   int
	reserve    int // percent, of every region
}

// workload is a service with its workers and the work of its requests.
type workload struct {
	name     string
	workers  int
	slots    int
	work     time.Duration // mean time of a request on a warm endpoint
	deadline time.Duration
	answer   int // bytes
}

const (
	// linkFillPercent is the percentage of every link that may be used.
	linkFillPercent = 70
	// nearCapPart and farCapPart are the caps of rules within a region and
	// between regions, as fractions of the capacity of the place of origin.
	nearCapPart = 0.5
	farCapPart  = 0.3
	// shiftRamp is the time over which a shift under any rule grows to its cap.
	shiftRamp = 5 * time.Second
	// connectTime is the time to open a connection.
	connectTime = time.Millisecond
)

// Hanbit is the records office's deployment at its current size. Sizes and delays
// are given by the office; the work of a request, its deadline and the
// size of an answer are assumptions.
func Hanbit() Operation {
	return Operation{
		Name:       "Hanbit",
		regions:    []string{"sudogwon", "yeongnam", "honam"},
		perRegion:  [][]string{{"guro-a", "pangyo-b"}, {"haeundae-a", "dalseo-b"}, {"sangmu-a", "jeonju-b"}},
		oneWayNear: 500 * time.Microsecond,
		oneWayFar:  55 * time.Millisecond,
		oneWayUser: 3 * time.Millisecond,
		linkMbit:   300,
		reserve:    10,
		services: []workload{
			{"roster-desk", 20, 7, 60 * time.Millisecond, 800 * time.Millisecond, 20_000},
			{"filing-desk", 12, 3, 120 * time.Millisecond, 2 * time.Second, 4_000},
		},
	}
}

// Calibra is the cooperatives' deployment at its current size.
func Calibra() Operation {
	return Operation{
		Name:       "Calibra",
		ByHeadroom: true,
		regions:    []string{"norte", "centro", "alentejo"},
		perRegion:  [][]string{{"norte-a", "norte-b"}, {"centro-a", "centro-b"}, {"alentejo-a", "alentejo-b"}},
		oneWayNear: 1500 * time.Microsecond,
		oneWayFar:  12 * time.Millisecond,
		oneWayUser: time.Millisecond,
		linkMbit:   4000,
		reserve:    15,
		services: []workload{
			{"belt-control", 20, 3, 20 * time.Millisecond, 300 * time.Millisecond, 4_000},
			{"lot-ledger", 12, 3, 40 * time.Millisecond, time.Second, 8_000},
		},
	}
}

// capacity is the number of requests a second that a service's endpoints in
// the place of the given index can run when warm.
func (o Operation) capacity(w workload, place int) float64 {
	return float64(o.workersIn(w, place)*w.slots) / w.work.Seconds()
}

// workersIn returns the number of a service's workers in a place. Workers are
// distributed evenly; the first places get one more when they don't divide
// evenly.
func (o Operation) workersIn(w workload, place int) int {
	places := o.placeCount()
	count := w.workers / places
	if place < w.workers%places {
		count++
	}
	return count
}

func (o Operation) placeCount() int {
	total := 0
	for _, names := range o.perRegion {
		total += len(names)
	}
	return total
}

// document builds the operators' document of the operation.
func (o Operation) document() *document.Document {
	doc := &document.Document{}
	for i, region := range o.regions {
		doc.Regions = append(doc.Regions, document.Region{Name: region, ReservePercent: o.reserve})
		for _, name := range o.perRegion[i] {
			doc.Places = append(doc.Places, document.Place{Name: name, Region: region})
		}
		for _, other := range o.regions {
			if other != region {
				doc.Links = append(doc.Links, document.Link{
					From: region, To: other, MbitPerS: o.linkMbit, FillPercent: linkFillPercent,
				})
			}
		}
	}
	for _, w := range o.services {
		doc.Services = append(doc.Services, o.service(w, doc.Places))
		doc.Rules = append(doc.Rules, o.rules(w, doc.Places)...)
	}
	return doc
}

func (o Operation) service(w workload, places []document.Place) document.Service {
	s := document.Service{
		Name: w.name, Deadline: document.Duration(w.deadline), Workers: w.workers, Slots: w.slots,
	}
	for _, p := range places {
		s.Places = append(s.Places, p.Name)
	}
	return s
}

// ruleName returns the name of the rule that permits a shift.
func ruleName(service, from, to string) string { return service + " " + from + " " + to }

// rules returns the rules that permit every place to shift requests of a service
// to every other place.
func (o Operation) rules(w workload, places []document.Place) []document.Rule {
	var rules []document.Rule
	for i, from := range places {
		for _, to := range places {
			if from.Name == to.Name {
				continue
			}
			part := farCapPart
			if from.Region == to.Region {
				part = nearCapPart
			}
			rules = append(rules, document.Rule{
				Name:         ruleName(w.name, from.Name, to.Name),
				Service:      w.name,
				From:         from.Name,
				To:           to.Name,
				RequestsPerS: int(part * o.capacity(w, i)),
				Ramp:         document.Duration(shiftRamp),
			})
		}
	}
	return rules
}
