package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/membership"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// TestBootstrap checks which version a starting entry serves before and after
// bootstrapGrace.
func TestBootstrap(t *testing.T) {
	type answers = map[string]port.FetchAnswer
	type documents = map[string]port.Config
	v2, v3, v4 := configOf(t, 2), configOf(t, 3), configOf(t, 4)
	wrong := configOf(t, 5)
	wrong.Digest = v2.Digest[1:] + "0"
	cases := []struct {
		name          string
		control       answers
		seeds         documents
		before, after uint64
	}{
		{"quorum", answers{"c1": {Config: v3, Quorum: true}}, documents{"s1": v2}, 3, 3},
		{"quorum and a stale VM", answers{"c1": {Config: v2}, "c2": {Config: v3, Quorum: true}}, nil, 3, 3},
		{"quorum without a document", answers{"c1": {Quorum: true}}, documents{"s1": v2}, 0, 0},
		{"no control VM", nil, documents{"s1": v2, "s2": v4}, 0, 4},
		{"no quorum, newer seed", answers{"c1": {Config: v2}}, documents{"s1": v3}, 0, 3},
		{"no quorum, older seed", answers{"c1": {Config: v3}}, documents{"s1": v2}, 0, 3},
		{"nobody", nil, nil, 0, 0},
		{"wrong digest from the quorum", answers{"c1": {Config: wrong, Quorum: true}}, nil, 0, 0},
		{"wrong digest from a seed", nil, documents{"s1": wrong}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tc := newTestCluster(t, v2)
				tc.control.set(c.control)
				tc.documents = c.seeds
				e := tc.start("a1", 2, "s1", "s2")
				time.Sleep(time.Millisecond)
				is.Equal(e.version(), c.before) // the first applied version must be the right one
				time.Sleep(bootstrapGrace - 2*time.Millisecond)
				is.Equal(e.version(), c.before)
				ready, why := e.Ready()
				is.True(!ready && (why == "just started") == (c.before > 0))
				time.Sleep(2 * pullPeriod)
				is.Equal(e.version(), c.after)
				time.Sleep(2 * bootstrapGrace) // until it may own groups
				ready, _ = e.Ready()
				is.Equal(ready, c.after > 0)
			})
		})
	}
}

// TestNewerDocuments offers documents to an entry that serves version 3. It
// guards against an older, corrupt or unparsable document replacing the one in
// force.
func TestNewerDocuments(t *testing.T) {
	v2, v3, v4 := configOf(t, 2), configOf(t, 3), configOf(t, 4)
	wrong, unreadable := v4, v4
	wrong.Digest = v4.Digest[1:] + "0"
	unreadable.Document = []byte("regions: 1")
	unreadable.Digest = document.Digest(unreadable.Document)
	cases := []struct {
		name   string
		config port.Config
		want   uint64
	}{
		{"newer", v4, 4},
		{"lower", v2, 3},
		{"wrong digest", wrong, 3},
		{"unreadable", unreadable, 3},
	}
	for _, c := range cases {
		for _, source := range []string{"control", "peer"} {
			t.Run(c.name+" from "+source, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					tc := newTestCluster(t, v3)
					e := tc.start("a1", 1)
					time.Sleep(settleTime)
					if source == "control" {
						tc.control.set(map[string]port.FetchAnswer{"c1": {Config: c.config, Quorum: true}})
					} else {
						tc.mu.Lock()
						tc.documents = map[string]port.Config{peerAddress("a2"): c.config}
						tc.mu.Unlock()
						row := membership.MemberRow{Name: "a2", Place: "a", Incarnation: 1, Counter: 1, Version: 9}
						e.HandleHeartbeat(membership.Heartbeat{From: "a2", Members: []membership.MemberRow{row}})
					}
					time.Sleep(backupPullPeriod + pullPeriod)
					is.Equal(e.version(), c.want)
					is.Equal(e.snapshot.Load().config.Digest, v3.Digest)
				})
			})
		}
	}
}

// TestCaps sends requests to the owner of place b at one time. It guards
// against crossing requests above the lowest cap, and against traffic of the
// place itself counting as crossing.
func TestCaps(t *testing.T) {
	rule := func(name, of string, limit int) document.Rule {
		return document.Rule{Name: name, Service: of, From: "a", To: "b", RequestsPerS: limit}
	}
	cases := []struct {
		name   string
		rules  []document.Rule
		origin string
		ran    int
		moved  int // requests counted by each rule
	}{
		{"no rule", nil, "a", 0, 0},
		{"rule of the service is less", []document.Rule{rule("one", service, 3), rule("all", "", 5)}, "a", 3, 3},
		{"rule of all is less", []document.Rule{rule("one", service, 5), rule("all", "", 3)}, "a", 3, 3},
		{"own traffic", []document.Rule{rule("one", service, 3)}, "b", 6, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tc := startTestCluster(t, c.rules...)
				ran := 0
				for range 6 {
					req := tc.request()
					req.Origin = c.origin
					_, err := tc.entry("b1").HandleForward(context.Background(), newOwnerForward(req, groupKey{service, "b"}, false))
					if err == nil {
						ran++
						continue
					}
					is.Equal(verdict.Of(err), verdict.NotRun)
					is.Equal(verdict.ReasonOf(err), verdict.ReasonCap)
				}
				is.Equal(ran, c.ran)
				is.Equal(tc.calls.ran(), c.ran)
				for _, r := range c.rules {
					is.Equal(tc.meter.moved[r.Name], c.moved)
				}
			})
		})
	}
}
