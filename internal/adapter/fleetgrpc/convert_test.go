package fleetgrpc

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fingerprint"
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
	for _, sent := range []fingerprint.Fingerprint{f, {}} {
		got := c.slotRequestFromProto(c.slotRequestToProto(port.SlotRequest{SlotRequest: dispatch.SlotRequest{Fingerprint: sent}}))
		is.Equal(got.Fingerprint, sent)
	}
	is.True(fingerprintFromProto(f[:8]).IsZero())
}
