package fleetgrpc

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	fleetv1 "sassafrasreach/api/fleet/v1"
	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/port"
)

// TestExchangeSurvives guards against an item of an exchange or a release that is another
// one when it arrives, whatever its texts and numbers are.
func TestExchangeSurvives(t *testing.T) {
	c := codec{time.Unix(1_800_000_000, 0)}
	rapid.Check(t, func(t *rapid.T) {
		text := func(name string) string { return rapid.String().Draw(t, name) }
		texts := func(name string) []string { return rapid.SliceOfN(rapid.String(), 1, 3).Draw(t, name) }
		f := fingerprint.Of(text("host"), "GET", text("target"), nil)
		controller := port.Controller{Address: text("address"), Disk: text("disk"), Zone: text("zone"), Region: text("region"), LastSeen: c.now}
		sent := port.ExchangeRequest{
			From: controller, Controllers: []port.Controller{controller}, VoteRequests: texts("asks"), VoteReleases: texts("drops"),
			Gateways:  []port.Gateway{{Address: text("gateway"), Zone: text("gateway zone"), Region: text("gateway region"), LastSeen: c.now}},
			Loads:     []dispatch.Load{{Region: text("load region"), Service: text("load service"), Slots: rapid.IntRange(0, 1<<30).Draw(t, "slots")}},
			Loans:     []dispatch.Loan{{Lender: text("lender"), Borrower: text("borrower"), Endpoints: texts("lent"), Recalled: texts("recalled")}},
			Returns:   []dispatch.Return{{Lender: text("lender"), Borrower: text("borrower"), Endpoints: texts("returned")}},
			Endpoints: []registry.Endpoint{{ID: text("id"), Service: text("service"), Zone: text("endpoint zone"), LastSeen: c.now}},
			Limits: []dispatch.Limit{{
				Endpoint: text("limited"), StartedMillis: rapid.Int64().Draw(t, "born"), PerSecond: rapid.Float64().Draw(t, "limit"),
			}},
			Suspicions: []port.Suspicion{{Fingerprint: f, Endpoint: text("suspect"), StartedMillis: rapid.Int64().Draw(t, "started")}},
		}
		encoded, err := proto.Marshal(c.exchangeToProto(sent))
		if err != nil {
			t.Fatal(err)
		}
		var m fleetv1.ExchangeRequest
		if err := proto.Unmarshal(encoded, &m); err != nil {
			t.Fatal(err)
		}
		if got := c.exchangeFromProto(&m); !reflect.DeepEqual(got, sent) {
			t.Fatalf("sent %+v, received %+v", sent, got)
		}
		end := rapid.SampledFrom([]quarantine.End{
			quarantine.Abandoned, quarantine.Reset, quarantine.Answered, quarantine.Failed, quarantine.NotStarted, quarantine.Down,
		}).Draw(t, "end")
		released := port.SlotRelease{
			Region: text("region"), Grant: text("grant"), Outcome: dispatch.Broken, RunEnd: &end, AnsweredAt: c.now,
			Signals: registry.Signals{Load: registry.Load{
				Known: true, Running: rapid.IntRange(0, 1<<30).Draw(t, "running"), Waiting: rapid.IntRange(0, 1<<30).Draw(t, "waiting"),
				Slots: rapid.IntRange(0, 1<<30).Draw(t, "load slots"), Pace: float64(rapid.IntRange(0, 1<<20).Draw(t, "pace")) / percent,
			}},
		}
		if got := c.releaseFromProto(c.releaseToProto(released)); !reflect.DeepEqual(got, released) {
			t.Fatalf("sent %+v, received %+v", released, got)
		}
		former := c.releaseToProto(released)
		former.Run, former.AnswerAgeMs = "", nil
		if got := c.releaseFromProto(former); got.RunEnd != nil || !got.AnsweredAt.IsZero() {
			t.Fatalf("a former gateway's release %+v has an end or a time of the answer", got)
		}
	})
}

// TestConfirmationNeverYounger guards against a confirmation that looks more recent at the
// gateway than it was at the controller, because of units or of a former release.
func TestConfirmationNeverYounger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := codec{time.Unix(1_800_000_000, 0)}
		draw := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, name))
		}
		u := port.Update{Age: draw("age"), Held: draw("held")}
		u.Confirmed = c.now.Add(-u.Age)
		sent, err := c.updateToProto(u)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.updateFromProto(sent)
		if err != nil {
			t.Fatal(err)
		}
		if got.Age < u.Age || got.Age > u.Age+time.Millisecond || got.Held > u.Held || got.Held < u.Held-time.Millisecond {
			t.Fatalf("age %v and held %v arrive as %v and %v", u.Age, u.Held, got.Age, got.Held)
		}
		sent.HeldMs = 0 // a former release
		if got, err = c.updateFromProto(sent); err != nil || got.Held != 0 || got.Age < u.Age {
			t.Fatalf("a former release's age %v and held %v, %v", got.Age, got.Held, err)
		}
		if got, err = c.updateFromProto(&fleetv1.WatchResponse{ConfirmedAgeMs: neverConfirmed}); err != nil || !got.Confirmed.IsZero() {
			t.Fatalf("no confirmation arrives as one of %v, %v", got.Confirmed, err)
		}
	})
}
