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

// slowed is an operation with a fifth of the requests, each five times as long,
// so that tests are quick.
func slowed() Operation {
	op := Calibra()
	for i := range op.services {
		op.services[i].work *= 5
		op.services[i].deadline *= 5
	}
	return op
}

// TestGoodputComesBack checks that goodput is at 95% of before within 30 s
// after the cause is gone and stays there, and that no cap was passed.
func TestGoodputComesBack(t *testing.T) {
	for _, name := range []string{"one region lost", "retry storm"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := simulate(slowed(), 1, scenarioNamed(t, name), policies()[2])
			is.True(o.Before > 0.99)
			is.True(o.After >= 0.95*o.Before)
			is.True(o.Recovery >= 0 && o.Recovery <= 30*time.Second)
			is.True(o.CapUse > 0 && o.CapUse <= 1)
		})
	}
}

// TestSparedPlacesDontNotice checks that the places that a fault doesn't touch
// go on answering their own requests in time.
func TestSparedPlacesDontNotice(t *testing.T) {
	for _, name := range []string{"one place lost", "drain of a place"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := simulate(slowed(), 1, scenarioNamed(t, name), policies()[2])
			is.True(o.Spared > 0.99)
			is.True(o.CapUse > 0 && o.CapUse <= 1)
		})
	}
}

// TestWindowHoldsInAnySecond takes units at random moments and counts those of
// every second that begins with one of them.
func TestWindowHoldsInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := window{limit: rapid.IntRange(1, 10).Draw(t, "limit")}
		var taken []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if w.room(now, 1) {
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

func TestVerdictOfARow(t *testing.T) {
	ours := Outcome{P50: 2, P99: 9, InTime: 0.9, Headroom: []float64{0.2, 0.1}, Drain: time.Second}
	other := Outcome{Policy: "x", P50: 3, P99: 9, InTime: 0.9, Headroom: []float64{0, 0.5}, Drain: -1, CapUse: 2}
	faster, spacious, sure, quick := other, other, other, other
	faster.P50 = 1
	spacious.Headroom = []float64{0.15, 0.15}
	sure.InTime = 0.95
	quick.Drain = time.Millisecond
	cases := []struct {
		name  string
		op    Operation
		other Outcome
		want  string
	}{
		{"ahead", Hanbit(), other, "ahead."},
		{"latency", Hanbit(), faster, "p50"},
		{"latency doesn't rank", Calibra(), faster, "ahead."},
		{"headroom", Calibra(), spacious, "lowest headroom"},
		{"headroom doesn't rank", Hanbit(), spacious, "ahead."},
		{"in time", Hanbit(), sure, "in time 90.00% against 95.00% of x, which moved 2.0 times a cap"},
		{"drain", Calibra(), quick, "drain time (s) 1.00 against 0.00 of x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := verdictOf(c.op, Row{Outcomes: []Outcome{c.other, c.other, ours}})
			is.New(t).True(strings.Contains(got, c.want))
		})
	}
}

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
