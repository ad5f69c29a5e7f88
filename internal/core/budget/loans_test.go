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

var ruleNames = []string{"r"}

// takeOne takes a unit of each rule for a request that arrives at once.
func takeOne(l *budget.Ledger, now time.Time, rules []string) bool {
	reservation := l.Take(now, rules)
	if reservation == nil {
		return false
	}
	l.Settle(now, reservation, 0)
	return true
}

// takeAll admits as many requests as fit now and returns their number.
func takeAll(l *budget.Ledger, now time.Time) int {
	n := 0
	for takeOne(l, now, ruleNames) {
		n++
	}
	return n
}

// startedLedgers returns the ledgers of two entries with a cap of 100, and a
// time at which their wait after the start is over.
func startedLedgers() (one, two *budget.Ledger, now time.Time) {
	one = budget.NewLedger(budget.Owner{Entry: "e1", Incarnation: 1}, budget.Config{}, epoch)
	two = budget.NewLedger(budget.Owner{Entry: "e2", Incarnation: 1}, budget.Config{}, epoch)
	for _, l := range []*budget.Ledger{one, two} {
		l.SetDocument(epoch, 1, twoEntries(100))
		l.SetVersions(epoch.Add(startupWait-2*time.Second), map[string]uint64{"e1": 1, "e2": 1})
	}
	return one, two, epoch.Add(startupWait)
}

// TestLentUnitsAreNeverUsedByBothEntries lends units, with delays between
// request, grant and receipt. It guards against a lender that lends units used
// in the same window, or uses lent units again before a window has passed since
// the borrower's term ended.
func TestLentUnitsAreNeverUsedByBothEntries(t *testing.T) {
	is := is.New(t)
	one, two, now := startedLedgers()
	is.Equal(takeAll(one, now), 50)
	is.Equal(takeAll(two, now), 50)
	r := one.LoanRequests(now)[0]
	is.Equal(r.Lender, "e2")
	is.Equal(two.Lend(now, r).Units, int64(0)) // used in this window

	now = now.Add(1200 * time.Millisecond)
	is.Equal(takeAll(one, now), 50)
	r = one.LoanRequests(now)[0]
	sentAt := now
	now = now.Add(500 * time.Millisecond)
	g := two.Lend(now, r)
	is.True(g.Units >= 10)
	lentAt := now
	now = now.Add(500 * time.Millisecond)
	one.RecordLoan(now, r, sentAt, g)
	is.Equal(takeAll(two, now), 50-int(g.Units))

	// The borrower's term began when it sent the request; the lender's ends a
	// window later.
	is.Equal(takeAll(one, now.Add(200*time.Millisecond)), 50+int(g.Units))
	is.Equal(takeAll(one, sentAt.Add(g.Term)), 50)
	is.Equal(takeAll(two, lentAt.Add(g.Term+time.Second)), 50-int(g.Units))
	is.Equal(takeAll(two, lentAt.Add(g.Term+1100*time.Millisecond)), int(g.Units))
}

// borrow lets e1 borrow units from e2 and returns the request and its answer.
func borrow(one, two *budget.Ledger, now time.Time, units int64) (budget.LoanRequest, budget.Grant) {
	r := budget.LoanRequest{
		Bucket: "rule:r", Lender: "e2", Borrower: "e1", BorrowerIncarnation: 1,
		Units: units, Term: 3 * time.Second, DocumentVersion: 1,
	}
	g := two.Lend(now, r)
	one.RecordLoan(now, r, now, g)
	return r, g
}

// TestSmallerRenewalKeepsFirstLoanOutstanding guards against a lender that
// takes the rest of a larger loan back before it has expired, because the
// renewal is smaller.
func TestSmallerRenewalKeepsFirstLoanOutstanding(t *testing.T) {
	is := is.New(t)
	one, two, now := startedLedgers()
	_, g := borrow(one, two, now, 40)
	is.Equal(g.Units, int64(40))
	_, g = borrow(one, two, now.Add(time.Second), 10)
	is.Equal(g.Units, int64(10))
	is.Equal(takeAll(two, now.Add(2*time.Second)), 10) // 40 units are still on loan
	is.Equal(takeAll(one, now.Add(2*time.Second)), 90)
	is.Equal(takeAll(one, now.Add(3500*time.Millisecond)), 60)
	is.Equal(takeAll(two, now.Add(4500*time.Millisecond)), 40)
}

// TestLoansDroppedWhenSplitChanges guards against loans between entries whose
// shares come from different versions of the document.
func TestLoansDroppedWhenSplitChanges(t *testing.T) {
	is := is.New(t)
	one, two, now := startedLedgers()
	r, g := borrow(one, two, now, 40)
	one.SetDocument(now, 2, twoEntries(80))
	one.RecordLoan(now, r, now, g) // the answer arrives after the change
	is.Equal(takeAll(one, now), 40)
	r.DocumentVersion = 2
	is.Equal(two.Lend(now, r).Units, int64(0)) // e2 doesn't have version 2 yet
	r.DocumentVersion = 1
	two.SetDocument(now, 2, twoEntries(80))
	is.Equal(two.Lend(now, r).Units, int64(0))
}

// TestSkippedVersion has entries that skip version 2, which gives the whole cap
// to e1. It guards against an entry that raises its share while another one may
// still use what the skipped version gave it.
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
		ledgers[name].SetVersions(epoch.Add(startupWait-2*time.Second), map[string]uint64{"e1": 1, "e2": 1, "e3": 1})
	}
	now := epoch.Add(startupWait)
	for name, version := range map[string]uint64{"e1": 2, "e2": 3, "e3": 3} {
		ledgers[name].SetDocument(now, version, docs[version-1])
	}
	ledgers["e1"].SetVersions(now, map[string]uint64{"e2": 3, "e3": 3})
	ledgers["e2"].SetVersions(now, map[string]uint64{"e1": 1, "e3": 3})
	now = now.Add(2 * time.Second)
	is.Equal(takeAll(ledgers["e1"], now), 40)
	is.Equal(takeAll(ledgers["e2"], now), 0) // e1 may have had more under version 2
	ledgers["e1"].SetDocument(now, 3, docs[2])
	ledgers["e2"].SetVersions(now, map[string]uint64{"e1": 3, "e3": 3})
	is.Equal(takeAll(ledgers["e2"], now.Add(1100*time.Millisecond)), 60)
}

// TestRestartedEntryWaitsForATermAndAWindow guards against an entry that uses
// its share after a restart while loans by its earlier incarnation may still be
// in use.
func TestRestartedEntryWaitsForATermAndAWindow(t *testing.T) {
	is := is.New(t)
	_, _, now := startedLedgers()
	l := budget.NewLedger(budget.Owner{Entry: "e1", Incarnation: 2}, budget.Config{}, now)
	l.SetDocument(now, 1, twoEntries(100))
	l.SetVersions(now, map[string]uint64{"e2": 1})
	is.Equal(takeAll(l, now), 0)
	is.Equal(takeAll(l, now.Add(4*time.Second)), 0) // a term of 3 s and a window
	l.SetVersions(now.Add(5*time.Second), map[string]uint64{"e2": 1})
	is.Equal(takeAll(l, now.Add(6100*time.Millisecond)), 50)
}

// TestDocumentChange guards against an entry that raises its share before the
// other entry is known to have the version, or lowers it too late.
func TestDocumentChange(t *testing.T) {
	secondDocument := func(cap int, percents ...int) *document.Document {
		doc := twoEntries(cap)
		for k, p := range percents {
			doc.Rules[0].Shares = append(doc.Rules[0].Shares,
				document.Share{Entry: fmt.Sprintf("e%d", k+1), Percent: p})
		}
		return doc
	}
	cases := []struct {
		name string
		doc  *document.Document
		// used is taken in the window before the change. immediately is
		// admitted right after it, later 2 s after that, and acknowledged 1.5 s
		// after e2 is known to have the version.
		used, immediately, later, acknowledged int
	}{
		{"lowered", secondDocument(20), 50, 0, 10, 10},
		{"raised", secondDocument(200), 50, 50, 100, 100},
		{"moved here", secondDocument(100, 80, 20), 50, 0, 50, 80},
		{"moved away", secondDocument(100, 20, 80), 0, 20, 20, 20},
		{"removed", &document.Document{}, 0, 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			one, _, now := startedLedgers()
			for range c.used {
				is.True(takeOne(one, now, ruleNames))
			}
			now = now.Add(500 * time.Millisecond) // the window straddles the change
			one.SetDocument(now, 2, c.doc)
			is.Equal(takeAll(one, now), c.immediately)
			now = now.Add(2 * time.Second)
			is.Equal(takeAll(one, now), c.later)
			one.SetVersions(now, map[string]uint64{"e2": 2})
			now = now.Add(1500 * time.Millisecond)
			is.Equal(takeAll(one, now), c.acknowledged)
		})
	}
}

// TestUsableShareOfCap checks how much of a cap sixteen entries can use when
// requests count as arrived at once, and when they do so only after the default
// transit. It guards against loans that leave too much of the cap unused.
func TestUsableShareOfCap(t *testing.T) {
	type minimum struct{ quick, slow float64 }
	bounds := map[string]minimum{
		"all at one entry":   {0.90, 0.90},
		"80% at two entries": {0.90, 0.90},
		"even":               {0.95, 0.90},
		"even, cut off":      {0.95, 0.90},
		"one entry, cut off": {0.06, 0.055},
	}
	for _, c := range measure.ShareCases() {
		t.Run(c.Name, func(t *testing.T) {
			quick, slow := measure.UsableShare(c, 0), measure.UsableShare(c, budget.DefaultTransit)
			t.Logf("%.1f%% of what cap and demand allow, %.1f%% with slow arrival", 100*quick, 100*slow)
			is := is.New(t)
			bound, ok := bounds[c.Name]
			is.True(ok)
			is.True(quick >= bound.quick)
			is.True(slow >= bound.slow)
		})
	}
}
