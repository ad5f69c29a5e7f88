package measure

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func scenarioNamed(t *testing.T, name string) scenario {
	t.Helper()
	for _, sc := range scenarios() {
		if sc.name == name {
			return sc
		}
	}
	t.Fatalf("no scenario %q", name)
	return scenario{}
}

// slowOperation returns Calibra with a fifth of the requests, each five times as
// long, so that tests run quickly.
func slowOperation() Operation {
	op := Calibra()
	for i := range op.services {
		op.services[i].work *= 5
		op.services[i].deadline *= 5
	}
	return op
}

// TestGoodputRecovers guards against a policy that stays overloaded after the
// cause of the overload has ended. Goodput must be back at 95% of its earlier value
// within 30 s and stay there, and no cap may be exceeded.
func TestGoodputRecovers(t *testing.T) {
	for _, name := range []string{"one region lost", "retry storm"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := simulate(slowOperation(), 1, scenarioNamed(t, name), policies()[2])
			is.True(o.Before > 0.99)
			is.True(o.After >= 0.95*o.Before)
			is.True(o.Recovery >= 0 && o.Recovery <= 30*time.Second)
			is.True(o.CapUse > 0 && o.CapUse <= 1)
		})
	}
}

// TestUnaffectedPlacesServeInTime guards against a fault in one place that
// degrades others: places that it doesn't affect must still answer more than 99%
// of their own requests in time, and no cap may be exceeded.
func TestUnaffectedPlacesServeInTime(t *testing.T) {
	for _, name := range []string{"one place lost", "drain of a place"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := simulate(slowOperation(), 1, scenarioNamed(t, name), policies()[2])
			is.True(o.Unaffected > 0.99)
			is.True(o.CapUse > 0 && o.CapUse <= 1)
		})
	}
}

// TestWindowHoldsInAnySecond guards against windows that admit more than their
// limit across the edge of two seconds. It takes units at random times and counts
// those of every second that begins with one of them.
func TestWindowHoldsInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := window{limit: rapid.IntRange(1, 10).Draw(t, "limit")}
		var taken []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if w.fits(now, 1) {
				w.take(now, 1)
				taken = append(taken, now)
			}
		}
		for i, from := range taken {
			count := 0
			for _, at := range taken[i:] {
				if at-from <= time.Second {
					count++
				}
			}
			if count > w.limit {
				t.Fatalf("%d units in the second from %v, limit %d", count, from, w.limit)
			}
		}
	})
}

// TestComparisonSummary guards against a summary that calls the policy ahead
// although a baseline is better in a measure that counts, or that counts a
// measure by which the operation isn't ranked.
func TestComparisonSummary(t *testing.T) {
	ours := Outcome{P50: 2, P99: 9, InTime: 0.9, Headroom: []float64{0.2, 0.1}, Drain: time.Second}
	other := Outcome{Policy: "x", P50: 3, P99: 9, InTime: 0.9, Headroom: []float64{0, 0.5}, Drain: -1, CapUse: 2}
	lowLatency, moreHeadroom, moreInTime, quickDrain := other, other, other, other
	lowLatency.P50 = 1
	moreHeadroom.Headroom = []float64{0.15, 0.15}
	moreInTime.InTime = 0.95
	quickDrain.Drain = time.Millisecond
	cases := []struct {
		name  string
		op    Operation
		other Outcome
		want  string
	}{
		{"ahead", Hanbit(), other, "ahead."},
		{"latency", Hanbit(), lowLatency, "p50"},
		{"latency doesn't rank", Calibra(), lowLatency, "ahead."},
		{"headroom", Calibra(), moreHeadroom, "lowest headroom"},
		{"headroom doesn't rank", Hanbit(), moreHeadroom, "ahead."},
		{"in time", Hanbit(), moreInTime, "in time 90.00% against 95.00% of x, which moved 2.0 times a cap"},
		{"drain", Calibra(), quickDrain, "drain time (s) 1.00 against 0.00 of x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := summaryOf(c.op, Row{Outcomes: []Outcome{c.other, c.other, ours}})
			is.New(t).True(strings.Contains(got, c.want))
		})
	}
}

// TestWriteComparison checks the texts of values that are missing, negative or
// not reached.
func TestWriteComparison(t *testing.T) {
	is := is.New(t)
	var page bytes.Buffer
	rows := []Row{{Scenario: "drain", Outcomes: []Outcome{
		{Policy: "a", InTime: 0.5, Drain: -1, Left: 0.25, Headroom: []float64{-0.5, 1}}, {Policy: "b"}, {Policy: "c"},
	}}}
	WriteComparison(&page, Calibra(), rows)
	is.True(strings.Contains(page.String(), "| drain | a | 0 | 0 | never | 50.0% |"))
	is.True(strings.Contains(page.String(), "| -50 / 100 | 0 | not reached, 25% left |"))
}
