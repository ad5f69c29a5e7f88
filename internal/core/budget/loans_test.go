package budget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/budget"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/measure"
)

var move = []string{"r"}

// sent takes a unit of each rule for a request that arrives at once.
func sent(l *budget.Ledger, now time.Time, rules []string) bool {
	hold := l.Take(now, rules)
	if hold == nil {
		return false
	}
	l.Settle(now, hold, 0)
	return true
}

// takeAll admits as many moves as fit now.
func takeAll(l *budget.Ledger, now time.Time) int {
	n := 0
	for sent(l, now, move) {
		n++
	}
	return n
}

// started returns the ledgers of two entries with a cap of 100, past their
// wait, at the time that it returns.
func started() (one, two *budget.Ledger, now time.Time) {
	one = budget.NewLedger(budget.Owner{Entry: "e1", Incarnation: 1}, budget.Config{}, epoch)
	two = budget.NewLedger(budget.Owner{Entry: "e2", Incarnation: 1}, budget.Config{}, epoch)
	for _, l := range []*budget.Ledger{one, two} {
		l.SetDocument(epoch, 1, pair(100))
		l.SetVersions(epoch.Add(wait-2*time.Second), map[string]uint64{"e1": 1, "e2": 1})
	}
	return one, two, epoch.Add(wait)
}

func TestLoanChangesHandsAfterAWholeWindow(t *testing.T) {
	is := is.New(t)
	one, two, now := started()
	is.Equal(takeAll(one, now), 50)
	is.Equal(takeAll(two, now), 50)
	r := one.Wants(now)[0]
	is.Equal(r.Lender, "e2")
	is.Equal(two.Lend(now, r).Units, int64(0)) // used in this window

	now = now.Add(1200 * time.Millisecond)
	is.Equal(takeAll(one, now), 50)
	r = one.Wants(now)[0]
	sent := now
	now = now.Add(500 * time.Millisecond)
	g := two.Lend(now, r)
	is.True(g.Units >= 10)
	lent := now
	now = now.Add(500 * time.Millisecond)
	one.Borrowed(now, r, sent, g)
	is.Equal(takeAll(two, now), 50-int(g.Units))

	// The borrower's term began when it sent, the lender's ends a window later.
	is.Equal(takeAll(one, now.Add(200*time.Millisecond)), 50+int(g.Units))
	is.Equal(takeAll(one, sent.Add(g.Term)), 50)
	is.Equal(takeAll(two, lent.Add(g.Term+time.Second)), 50-int(g.Units))
	is.Equal(takeAll(two, lent.Add(g.Term+1100*time.Millisecond)), int(g.Units))
}

// borrow makes e1 borrow units of e2 and returns the request and its answer.
func borrow(one, two *budget.Ledger, now time.Time, units int64) (budget.BorrowRequest, budget.Grant) {
	r := budget.BorrowRequest{
		Bucket: "rule:r", Lender: "e2", Borrower: "e1", BorrowerIncarnation: 1,
		Units: units, Term: 3 * time.Second, DocumentVersion: 1,
	}
	g := two.Lend(now, r)
	one.Borrowed(now, r, now, g)
	return r, g
}

func TestSmallerRenewalLeavesTheFirstLoanOut(t *testing.T) {
	is := is.New(t)
	one, two, now := started()
	_, g := borrow(one, two, now, 40)
	is.Equal(g.Units, int64(40))
	_, g = borrow(one, two, now.Add(time.Second), 10)
	is.Equal(g.Units, int64(10))
	is.Equal(takeAll(two, now.Add(2*time.Second)), 10) // 40 are still out
	is.Equal(takeAll(one, now.Add(2*time.Second)), 90)
	is.Equal(takeAll(one, now.Add(3500*time.Millisecond)), 60)
	is.Equal(takeAll(two, now.Add(4500*time.Millisecond)), 40)
}

func TestLoansEndWithTheirSplit(t *testing.T) {
	is := is.New(t)
	one, two, now := started()
	r, g := borrow(one, two, now, 40)
	one.SetDocument(now, 2, pair(80))
	one.Borrowed(now, r, now, g) // crossed with the change
	is.Equal(takeAll(one, now), 40)
	r.DocumentVersion = 2
	is.Equal(two.Lend(now, r).Units, int64(0)) // e2 doesn't have version 2 yet
	r.DocumentVersion = 1
	two.SetDocument(now, 2, pair(80))
	is.Equal(two.Lend(now, r).Units, int64(0))
}

// TestSkippedVersion has entries that jump over version 2, which gives the
// whole cap to e1.
func TestSkippedVersion(t *testing.T) {
	is := is.New(t)
	docs := []*document.Document{
		threeEntries(100, []int{40, 0, 60}),
		threeEntries(100, []int{100, 0, 0}),
		threeEntries(100, []int{40, 60, 0}),
	}
	ledgers := make(map[string]*budget.Ledger)
	for _, name := range []string{"e1", "e2", "e3"} {
		ledgers[name] = budget.NewLedger(budget.Owner{Entry: name}, budget.Config{}, epoch)
		ledgers[name].SetDocument(epoch, 1, docs[0])
		ledgers[name].SetVersions(epoch.Add(wait-2*time.Second), map[string]uint64{"e1": 1, "e2": 1, "e3": 1})
	}
	now := epoch.Add(wait)
	for name, version := range map[string]uint64{"e1": 2, "e2": 3, "e3": 3} {
		ledgers[name].SetDocument(now, version, docs[version-1])
	}
	ledgers["e1"].SetVersions(now, map[string]uint64{"e2": 3, "e3": 3})
	ledgers["e2"].SetVersions(now, map[string]uint64{"e1": 1, "e3": 3})
	now = now.Add(2 * time.Second)
	is.Equal(takeAll(ledgers["e1"], now), 40)
	is.Equal(takeAll(ledgers["e2"], now), 0) // e1 may have had more at 2
	ledgers["e1"].SetDocument(now, 3, docs[2])
	ledgers["e2"].SetVersions(now, map[string]uint64{"e1": 3, "e3": 3})
	is.Equal(takeAll(ledgers["e2"], now.Add(1100*time.Millisecond)), 60)
}

func TestRestartedEntryWaitsForATermAndAWindow(t *testing.T) {
	is := is.New(t)
	_, _, now := started()
	l := budget.NewLedger(budget.Owner{Entry: "e1", Incarnation: 2}, budget.Config{}, now)
	l.SetDocument(now, 1, pair(100))
	l.SetVersions(now, map[string]uint64{"e2": 1})
	is.Equal(takeAll(l, now), 0)
	is.Equal(takeAll(l, now.Add(4*time.Second)), 0) // a term of 3 s and a window
	l.SetVersions(now.Add(5*time.Second), map[string]uint64{"e2": 1})
	is.Equal(takeAll(l, now.Add(6100*time.Millisecond)), 50)
}

func TestChangeOfTheDocument(t *testing.T) {
	second := func(cap int, percents ...int) *document.Document {
		doc := pair(cap)
		for k, p := range percents {
			doc.Rules[0].Shares = append(doc.Rules[0].Shares,
				document.Share{Entry: fmt.Sprintf("e%d", k+1), Percent: p})
		}
		return doc
	}
	cases := []struct {
		name string
		doc  *document.Document
		// used is taken in the window before the change, then is admitted right
		// after it, later in the next window, and told once e2 has the version.
		used, then, later, told int
	}{
		{"lowered", second(20), 50, 0, 10, 10},
		{"raised", second(200), 50, 50, 100, 100},
		{"moved here", second(100, 80, 20), 50, 0, 50, 80},
		{"moved away", second(100, 20, 80), 0, 20, 20, 20},
		{"removed", &document.Document{}, 0, 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			one, _, now := started()
			for range c.used {
				is.True(sent(one, now, move))
			}
			now = now.Add(500 * time.Millisecond) // the window straddles the change
			one.SetDocument(now, 2, c.doc)
			is.Equal(takeAll(one, now), c.then)
			now = now.Add(2 * time.Second)
			is.Equal(takeAll(one, now), c.later)
			one.SetVersions(now, map[string]uint64{"e2": 2})
			now = now.Add(1500 * time.Millisecond)
			is.Equal(takeAll(one, now), c.told)
		})
	}
}

// TestUsablePart looks how much of a cap sixteen entries can use when answers
// come at once, and when they take longer than the transit.
func TestUsablePart(t *testing.T) {
	type least struct{ quick, slow float64 }
	bounds := map[string]least{
		"all at one entry":   {0.90, 0.90},
		"80% at two entries": {0.90, 0.90},
		"even":               {0.95, 0.90},
		"even, cut off":      {0.95, 0.90},
		"one entry, cut off": {0.06, 0.055},
	}
	for _, c := range measure.ShareCases() {
		t.Run(c.Name, func(t *testing.T) {
			quick, slow := measure.UsableShare(c, 0), measure.UsableShare(c, budget.DefaultTransit)
			t.Logf("%.1f%% of what cap and demand allow, %.1f%% with slow answers", 100*quick, 100*slow)
			is := is.New(t)
			bound, ok := bounds[c.Name]
			is.True(ok)
			is.True(quick >= bound.quick)
			is.True(slow >= bound.slow)
		})
	}
}
