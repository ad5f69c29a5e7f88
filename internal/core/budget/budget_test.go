package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/budget"
	"sassafrasreach/internal/core/document"
)

var epoch = time.Unix(1_800_000_000, 0)

// startupWait covers the wait after a start and the window after it.
const startupWait = 7 * time.Second

func twoEntries(cap int) *document.Document {
	return &document.Document{
		Regions: []document.Region{{Name: "west"}, {Name: "east"}},
		Places: []document.Place{
			{Name: "w", Region: "west"},
			{Name: "e", Region: "east", Entries: []document.Entry{{Name: "e1"}, {Name: "e2"}}},
		},
		Links: []document.Link{{From: "west", To: "east", MbitPerS: 8, FillPercent: 50}},
		Rules: []document.Rule{{Name: "r", From: "w", To: "e", RequestsPerS: cap}},
	}
}

// TestStaticShareInAnyWindow sends one request per millisecond to one of two
// entries. It guards against an entry that admits more than its share of 50 in
// any window of one second, or anything right after its start.
func TestStaticShareInAnyWindow(t *testing.T) {
	is := is.New(t)
	l := budget.NewLedger(budget.Owner{Entry: "e1", Incarnation: 1}, budget.Config{}, epoch)
	l.SetDocument(epoch, 1, twoEntries(100))
	is.True(!takeOne(l, epoch.Add(time.Second), ruleNames)) // still in the wait after the start
	now := epoch.Add(startupWait)
	l.SetVersions(now.Add(-2*time.Second), map[string]uint64{"e2": 1})
	var admitted []time.Time
	for range 3000 {
		if takeOne(l, now, ruleNames) {
			admitted = append(admitted, now)
		}
		now = now.Add(time.Millisecond)
	}
	is.True(len(admitted) >= 145) // nearly three windows of 50
	for i := 50; i < len(admitted); i++ {
		is.True(admitted[i].Sub(admitted[i-50]) > time.Second)
	}
}
