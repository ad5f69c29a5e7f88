package fleetgrpc

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quota"
	"sassafrasreach/internal/port"
)

// TestFingerprintsKept guards against suspicions and slot requests that lose the
// request's fingerprint, or what is known about it, between two VMs.
func TestFingerprintsKept(t *testing.T) {
	is := is.New(t)
	f := fingerprint.Of("h", "GET", "/x", nil)
	for _, s := range []port.Suspicion{
		{Fingerprint: f, Endpoint: "e1", StartedMillis: 1_767_458_710_170, Version: 7},
		{Fingerprint: f, Cleared: true, Version: 8},
		{Fingerprint: f, Quarantined: 90 * time.Second, Version: 9},
	} {
		is.Equal(suspicionFromProto(suspicionToProto(s)), s)
	}
	c := codec{now: time.Unix(1_800_000_000, 0)}
	s := port.Suspicion{Fingerprint: f, Endpoint: "e1", StartedMillis: 1_767_458_710_170}
	is.Equal(*c.releaseFromProto(c.releaseToProto(port.SlotRelease{Grant: "g", Suspicion: &s})).Suspicion, s)
	is.Equal(c.exchangeReplyFromProto(c.exchangeReplyToProto(port.ExchangeReply{Suspicions: []port.Suspicion{s}})).Suspicions, []port.Suspicion{s})
	for _, sent := range []fingerprint.Fingerprint{f, {}} {
		got := c.slotRequestFromProto(c.slotRequestToProto(port.SlotRequest{SlotRequest: dispatch.SlotRequest{Fingerprint: sent}}))
		is.Equal(got.Fingerprint, sent)
	}
	is.True(fingerprintFromProto(f[:8]).IsZero())
}

// TestQuotaKept guards against quota messages that lose or exchange figures between two VMs,
// and against lists of different lengths in them.
func TestQuotaKept(t *testing.T) {
	is := is.New(t)
	c := codec{now: time.Unix(1_800_000_000, 0)}
	sent := port.ExchangeRequest{
		Quota: &quota.Request{
			Sequence: 7, Digest: 8, Regions: 2, Owners: 5,
			Items: []quota.Item{{Account: 1, Held: 2, Wanted: 3}, {Account: 70, Wanted: 800}},
		},
		QuotaReturns: []quota.Return{{Account: 3, Tokens: 9}},
	}
	m := c.exchangeToProto(sent)
	got := c.exchangeFromProto(m)
	is.Equal(got.Quota, sent.Quota)
	is.Equal(got.QuotaReturns, sent.QuotaReturns)
	m.QuotaRequests.Held, m.QuotaReturns.Tokens = nil, nil
	got = c.exchangeFromProto(m)
	is.Equal(got.Quota.Items[0], quota.Item{Account: 1, Wanted: 3})
	is.Equal(got.QuotaReturns[0], quota.Return{Account: 3})
	for _, grants := range []*quota.Grants{{Sequence: 7, Tokens: []int{0, 800}}, {}, nil} {
		reply := c.exchangeReplyToProto(port.ExchangeReply{QuotaGrants: grants})
		is.Equal(c.exchangeReplyFromProto(reply).QuotaGrants, grants)
	}
}
