package control_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/registergrpc"
	"sassafrasreach/internal/core/audit"
	"sassafrasreach/internal/port"
)

func entryReport(name string, incarnation, version uint64) registergrpc.EntryReport {
	return registergrpc.EntryReport{
		EntryStatus: port.EntryStatus{Name: name, Place: "guro-a", Version: version, Quarantined: []string{"f"}},
		Incarnation: incarnation,
	}
}

// TestEntriesPullAndReport checks what entries and operators receive. Entries get
// the document only when it is newer than theirs, and lifted quarantines for a
// limited time; operators get the reports of entries with their ages from every
// member. A lift must not take effect without its audit record.
func TestEntriesPullAndReport(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.submit(change("a", 0), 0)
		time.Sleep(time.Second)
		f, err := c.node(1).Fetch(0, []registergrpc.EntryReport{entryReport("e1", 5, 0), entryReport("e2", 5, 0)})
		is.NoErr(err)
		is.True(f.Quorum)
		is.Equal(string(f.Config.Document), "document a")
		f, err = c.node(1).Fetch(1, []registergrpc.EntryReport{entryReport("e1", 4, 9)}) // a stale report of an earlier incarnation
		is.NoErr(err)
		is.Equal(f.Config.Version, uint64(1))
		is.Equal(len(f.Config.Document), 0)
		time.Sleep(10 * time.Second)
		_, err = c.node(2).Fetch(1, []registergrpc.EntryReport{entryReport("e1", 5, 1)})
		is.NoErr(err)

		status, err := c.node(0).Status(context.Background())
		is.NoErr(err)
		is.True(status.Quorum)
		is.Equal(status.Version, uint64(1))
		is.Equal(len(status.Entries), 2)
		is.Equal(status.Entries[0].Name, "e1")
		is.Equal(status.Entries[0].Version, uint64(1)) // the youngest report
		is.True(status.Entries[0].Age < time.Second)
		is.True(status.Entries[1].Age >= 10*time.Second)

		lift := port.Lift{ID: "lift", Operator: "ana", Fingerprint: "f"}
		for range 2 { // a resend adds no second record
			out, err := c.node(0).LiftQuarantine(context.Background(), lift)
			is.NoErr(err)
			is.Equal(out, port.Outcome{ChangeID: "lift", State: port.ChangeLifted, Version: 1, Digest: status.Digest, Operator: "op-a"})
		}
		trail, err := c.node(2).Audit(context.Background())
		is.NoErr(err)
		is.Equal(len(trail), 2)
		is.Equal(trail[1].Digest+trail[1].Operator, "fana")
		is.NoErr(audit.Verify(trail))
		for i, want := range map[int]int{0: 1, 1: 1, 2: 1} {
			f, err = c.node(i).Fetch(1, nil)
			is.NoErr(err)
			is.Equal(len(f.Lifted), 2*want) // both calls sent the lift to every member
		}
		time.Sleep(time.Minute)
		f, err = c.node(2).Fetch(1, nil)
		is.NoErr(err)
		is.Equal(len(f.Lifted), 0)

		c.set(c.cut, 1, true)
		c.set(c.cut, 2, true)
		_, err = c.node(0).LiftQuarantine(context.Background(), port.Lift{ID: "alone", Operator: "ana", Fingerprint: "f"})
		is.True(errors.Is(err, port.ErrNoQuorum))
		f, err = c.node(0).Fetch(1, nil)
		is.NoErr(err)
		is.Equal(len(f.Lifted), 0) // nothing is lifted without a record
	})
}

// TestMessagesOfAChange guards against a change that exchanges more messages, or
// sends more copies of the document, than expected.
func TestMessagesOfAChange(t *testing.T) {
	for members, want := range map[int]int{3: 12, 5: 24} {
		inBubble(t, members, func(t *testing.T, c *cluster) {
			is := is.New(t)
			c.submit(change("a", 0), 0)
			time.Sleep(time.Second)
			var mu sync.Mutex
			messages, values, background := 0, 0, 0
			c.onEvent(func(e event) {
				mu.Lock()
				defer mu.Unlock()
				if e.kind == query {
					background++
				} else {
					messages++
				}
				if e.value {
					values++
				}
			})
			is.Equal(c.submit(change("b", 1), 0).State, port.ChangeAccepted)
			time.Sleep(10 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			is.Equal(messages, want)
			is.Equal(values, members-1) // only the accepts carry the value
			t.Logf("%d members: %d messages, %d with a value; %d of anti-entropy in 10 s", members, messages, values, background)
		})
	}
}
