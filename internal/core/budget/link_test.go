package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasreach/internal/core/budget"
)

// linkRequest is an admitted request whose bytes haven't all been sent yet.
type linkRequest struct {
	reservation *budget.Reservation
	bytes       int64
	sent        int64
}

// transfer is a number of bytes that went over the link at one time.
type transfer struct {
	at    time.Time
	bytes int64
}

// TestLinkBudgetInEveryWindow sends the bytes of admitted requests at any time
// until they end and checks every window of one second. It guards against a
// window that exceeds the budget because bytes are sent long after admission.
func TestLinkBudgetInEveryWindow(t *testing.T) {
	const share = 250_000 // half of 8 Mbit/s * 50%, for one of two entries
	rapid.Check(t, func(rt *rapid.T) {
		l, _, now := startedLedgers()
		var requests []*linkRequest
		var transfers []transfer
		transferBytes := func(r *linkRequest, bytes int64) {
			r.sent += bytes
			transfers = append(transfers, transfer{now, bytes})
			sum := int64(0)
			for _, tr := range transfers {
				if now.Sub(tr.at) <= time.Second {
					sum += tr.bytes
				}
			}
			if sum > share {
				rt.Fatalf("%d bytes in a second, share %d", sum, share)
			}
		}
		for range rapid.IntRange(10, 60).Draw(rt, "steps") {
			bytes := rapid.SampledFrom([]int64{1000, 40_000, 100_000, 250_000}).Draw(rt, "bytes")
			ms := rapid.SampledFrom([]int{0, 1, 10, 300, 700, 1000, 1500}).Draw(rt, "ms")
			switch rapid.SampledFrom([]string{"take", "take", "transfer", "settle", "wait"}).Draw(rt, "step") {
			case "take":
				c := budget.Charge{Link: &budget.LinkID{From: "west", To: "east"}, Bytes: bytes}
				if reservation := l.Admit(now, c); reservation != nil {
					requests = append(requests, &linkRequest{reservation: reservation, bytes: bytes})
				}
			case "transfer":
				for _, r := range requests {
					transferBytes(r, min(bytes, r.bytes-r.sent))
				}
			case "settle":
				if len(requests) > 0 {
					l.Settle(now, requests[0].reservation, requests[0].sent)
					requests = requests[1:]
				}
			case "wait":
				now = now.Add(time.Duration(ms) * time.Millisecond)
			}
		}
	})
}

// TestChargeIsAllOrNothing guards against a charge that is admitted although
// its link or one of its rules has no room, and against a refused charge that
// still reserves units.
func TestChargeIsAllOrNothing(t *testing.T) {
	is := is.New(t)
	l, _, now := startedLedgers()
	c := budget.Charge{Rules: []string{"r"}, Link: &budget.LinkID{From: "west", To: "east"}, Bytes: 200_000}
	reservation := l.Admit(now, c)
	is.True(reservation != nil)
	is.True(l.Admit(now, c) == nil) // the link has no room
	is.Equal(takeAll(l, now), 50)
	l.Settle(now, reservation, 1000)
	is.True(l.Admit(now, budget.Charge{Rules: c.Rules, Link: c.Link, Bytes: 1000}) == nil) // the rule has none
	is.True(l.Admit(now, budget.Charge{Link: c.Link, Bytes: 249_000}) != nil)
	is.True(l.Admit(now, budget.Charge{Rules: []string{"unknown"}}) == nil)
	is.True(l.Admit(now, budget.Charge{Link: &budget.LinkID{From: "x", To: "y"}, Bytes: 1 << 40}) != nil)
}

// TestAnswersUseTheLinkInTheirDirection guards against counting the bytes of an
// answer on the link of its request, and against not counting the request's.
func TestAnswersUseTheLinkInTheirDirection(t *testing.T) {
	is := is.New(t)
	doc := twoEntries(100)
	doc.Links = append(doc.Links, doc.Links[0])
	doc.Links[1].From, doc.Links[1].To = "east", "west"
	l := budget.NewLedger(budget.Owner{Entry: "e1"}, budget.Config{}, epoch)
	l.SetDocument(epoch, 1, doc)
	l.Admit(epoch.Add(startupWait-2*time.Second), budget.Charge{})
	now := epoch.Add(startupWait)
	c := budget.Charge{Link: &budget.LinkID{From: "west", To: "east"}, Bytes: 1000, AnswerBytes: 200_000}
	for range 2 {
		reservation := l.Admit(now, c)
		is.True(reservation != nil)
		is.True(l.Admit(now, c) == nil)
		l.Settle(now, reservation, 100)
	}
	is.True(l.Admit(now, budget.Charge{Link: c.Link, Bytes: 248_001}) == nil) // 2,000 bytes of requests count
	is.True(l.Admit(now, budget.Charge{Link: c.Link, Bytes: 248_000}) != nil)
}

// TestShareRampsUpAfterIdleTime guards against a rule that admits its whole
// share at once after a time without demand.
func TestShareRampsUpAfterIdleTime(t *testing.T) {
	is := is.New(t)
	doc := twoEntries(100)
	doc.Rules[0].Ramp = 10_000_000_000
	l := budget.NewLedger(budget.Owner{Entry: "e1"}, budget.Config{}, epoch)
	l.SetDocument(epoch, 1, doc)
	now := epoch.Add(startupWait)
	l.SetVersions(now, nil)
	now = now.Add(2 * time.Second)
	var got []int
	for range 12 {
		got = append(got, takeAll(l, now))
		now = now.Add(1100 * time.Millisecond)
	}
	is.Equal(got[:4], []int{5, 9, 14, 19})
	is.Equal(got[10:], []int{50, 50})
	now = now.Add(20 * time.Second) // the ramp has ended; after idle time it starts again
	is.Equal(takeAll(l, now), 5)
}

// TestLinkAddedInFlight ends a request that was admitted before its link was in
// the document. It guards against releasing units that other requests hold.
func TestLinkAddedInFlight(t *testing.T) {
	is := is.New(t)
	_, l, now := startedLedgers()
	none := twoEntries(100)
	none.Links = nil
	l.SetDocument(now, 2, none)
	c := budget.Charge{Link: &budget.LinkID{From: "west", To: "east"}, Bytes: 200_000}
	early := l.Admit(now, c)
	l.SetDocument(now, 3, twoEntries(100))
	now = now.Add(time.Second)
	l.SetVersions(now, map[string]uint64{"e1": 3})
	now = now.Add(startupWait)
	is.True(l.Admit(now, c) != nil)
	l.Settle(now, early, 0)
	is.True(l.Admit(now, c) == nil) // the second request is still in flight
}
