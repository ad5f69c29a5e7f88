package claims_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/verdict"
)

var (
	self   = claims.Coordinator{Entry: "guro-a.1", Incarnation: 10}
	former = claims.Coordinator{Entry: "guro-a.2", Incarnation: 3}
	hire   = fingerprint.Of("filing-desk", "POST", "/hires", []byte("kim"))
	other  = fingerprint.Of("filing-desk", "POST", "/hires", []byte("lee"))
	ran    = claims.Outcome{Verdict: verdict.Ran, Status: 201, Body: []byte("filed")}
	lost   = claims.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnection}
	shed   = claims.Outcome{Verdict: verdict.NotRun, Reason: verdict.ReasonShed}
)

func key(t *testing.T, h claims.Coordinator, unique string) claims.Key { return keyAt(t, h, 0, unique) }

func keyAt(t *testing.T, h claims.Coordinator, after time.Duration, unique string) claims.Key {
	k, err := claims.ParseKey(claims.NewToken(h, epoch.Add(after)) + "." + unique)
	is.New(t).NoErr(err)
	return k
}

// TestParseKey guards against two texts that parse to the same key, and against
// keys that are out of bounds.
func TestParseKey(t *testing.T) {
	is := is.New(t)
	k := key(t, self, "A-z_9")
	is.Equal(k.Coordinator, self)
	is.True(k.Minted.Equal(epoch))
	for _, text := range []string{
		"", "...", "e.1.2", "e.1.2.", ".1.2.u", "e.x.2.u", "e.1.-2.u", "e.01.2.u", "e.1.2.u ", "e.1.2.u\n", "e.A.2.u",
		"e/.1.2.u", "e.1.2.ü", "e.11112222333344445.2.u", "e.1.2." + strings.Repeat("u", 65), strings.Repeat("e", 300) + ".1.2.u",
	} {
		_, err := claims.ParseKey(text)
		is.True(errors.Is(err, claims.ErrBadKey))
	}
}

// TestBegin prepares a table and checks what an attempt of a key gets then. It
// guards against a second start of a key and against a NotRun for a key that
// may have run.
func TestBegin(t *testing.T) {
	type table = *claims.Table
	k, otherKey := key(t, self, "u"), key(t, self, "v")
	formerKey := key(t, former, "u")
	start := func(t table) { t.Begin(epoch, k, hire) }
	end := func(o claims.Outcome) func(table) {
		return func(t table) { start(t); t.Finish(epoch, k, o) }
	}
	imported := func(complete bool) func(table) {
		return func(t table) {
			t.Import(epoch, former, []claims.Row{{Key: formerKey, Fingerprint: hire, Outcome: ran, Finished: true}}, complete)
		}
	}
	fill := func(t table) {
		for n := range limits.MaxEntries {
			t.Begin(epoch, key(nil, self, fmt.Sprint("f", n)), hire)
		}
	}
	youngKey := keyAt(t, self, limits.FirstUse/2, "u")
	const may, not, did = verdict.MayHaveRun, verdict.NotRun, verdict.Ran
	cases := []struct {
		name        string
		before      func(table)
		key         claims.Key
		fingerprint claims.Fingerprint
		after       time.Duration
		kind        claims.Kind
		want        verdict.Verdict
		reason      verdict.Reason
	}{
		{"first", func(table) {}, k, hire, 0, claims.Start, may, ""},
		{"while it runs", start, k, hire, 0, claims.Wait, may, ""},
		{"after it ran", end(ran), k, hire, 0, claims.Stored, did, ""},
		{"after it was lost", end(lost), k, hire, 0, claims.Stored, may, verdict.ReasonConnection},
		{"after it did not run", end(shed), k, hire, 0, claims.Stored, not, verdict.ReasonShed},
		{"another body while it runs", start, k, other, 0, claims.Refuse, may, verdict.ReasonKeyReused},
		{"another body after it ran", end(ran), k, other, 0, claims.Refuse, may, verdict.ReasonKeyReused},
		{"another body after it did not run", end(shed), k, other, 0, claims.Refuse, not, verdict.ReasonKeyReused},
		{"late in the retention", end(ran), k, hire, limits.Retention - 1, claims.Stored, did, ""},
		{"after the retention", end(ran), k, hire, limits.Retention, claims.Refuse, may, verdict.ReasonKeyExpired},
		{"first attempt, after FirstUse", func(table) {}, k, hire, limits.FirstUse, claims.Refuse, not, verdict.ReasonKeyExpired},
		{"first attempt, after the retention", func(table) {}, k, hire, limits.Retention, claims.Refuse, may, verdict.ReasonKeyExpired},
		{"not run, claim evicted", end(shed), k, hire, limits.FirstUse, claims.Refuse, not, verdict.ReasonKeyExpired},
		{"not run, clock set back", func(t table) { end(shed)(t); t.Expire(epoch.Add(limits.FirstUse)) }, k, hire, 0, claims.Refuse, not, verdict.ReasonKeyExpired},
		{"ran, clock set back", func(t table) { end(ran)(t); t.Expire(epoch.Add(limits.Retention)) }, k, hire, 0, claims.Refuse, may, verdict.ReasonKeyExpired},
		{"minted in the future", func(table) {}, k, hire, -limits.ClockSkew - 1, claims.Refuse, may, verdict.ReasonKeyExpired},
		{"running beyond the retention", func(t table) { start(t); t.Expire(epoch.Add(2 * limits.Retention)) }, k, hire, 0, claims.Wait, may, ""},
		{"full", fill, k, hire, 0, claims.Refuse, not, verdict.ReasonClaimsFull},
		{"room after full", func(t table) {
			fill(t)
			t.Begin(epoch, k, hire)
			t.Finish(epoch, key(nil, self, "f0"), shed)
			t.Expire(epoch.Add(limits.FirstUse))
		}, k, hire, 0, claims.Refuse, not, verdict.ReasonKeyExpired},
		{"refused when full, room in time", func(t table) {
			fill(t)
			t.Finish(epoch, key(nil, self, "f0"), shed)
			t.Begin(epoch.Add(limits.FirstUse/2), youngKey, hire)
		}, youngKey, hire, limits.FirstUse, claims.Refuse, not, verdict.ReasonKeyExpired},
		{"ran, refused another when full", func(t table) {
			end(ran)(t)
			fill(t)
			t.Begin(epoch, otherKey, hire)
		}, k, hire, 0, claims.Stored, did, ""},
		{"refused after FirstUse, clock set back", func(t table) { t.Begin(epoch.Add(limits.FirstUse), k, hire) }, k, hire, 0, claims.Refuse, not, verdict.ReasonKeyExpired},
		{"sealed", table.Seal, k, hire, 0, claims.Refuse, not, verdict.ReasonStopping},
		{"sealed after it ran", func(t table) { end(ran)(t); t.Seal() }, k, hire, 0, claims.Stored, did, ""},
		{"another key", end(ran), otherKey, hire, 0, claims.Start, may, ""},
		{"coordinator unknown", func(table) {}, formerKey, hire, 0, claims.Refuse, may, verdict.ReasonCoordinatorLost},
		{"coordinator stopped, row", imported(true), formerKey, hire, 0, claims.Stored, did, ""},
		{"coordinator stopped, no row", imported(true), key(t, former, "v"), hire, 0, claims.Refuse, not, verdict.ReasonCoordinatorLost},
		{"coordinator stopped, no row, near the retention", imported(true), key(t, former, "v"), hire, limits.Retention - limits.ClockSkew, claims.Refuse, may, verdict.ReasonKeyExpired},
		{"coordinator copied, no row", imported(false), key(t, former, "v"), hire, 0, claims.Refuse, may, verdict.ReasonCoordinatorLost},
		{"coordinator stopped, row evicted, clock set back", func(t table) { imported(true)(t); t.Expire(epoch.Add(limits.Retention)) }, formerKey, hire, 0, claims.Refuse, may, verdict.ReasonKeyExpired},
		{"coordinator stopped, no room", func(t table) { fill(t); imported(true)(t) }, formerKey, hire, 0, claims.Refuse, may, verdict.ReasonCoordinatorLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := claims.NewTable(self, limits)
			c.before(table)
			d := table.Begin(epoch.Add(c.after), c.key, c.fingerprint)
			is.Equal(d.Kind, c.kind)
			is.Equal(d.Outcome.Verdict, c.want)
			is.Equal(d.Outcome.Reason, c.reason)
			if d.Outcome.Verdict == verdict.Ran {
				is.Equal(d.Outcome, ran)
			}
		})
	}
}

// TestLargeAnswers stores an answer that is too large for the table. It guards
// against a lost verdict and against an empty body presented as the answer.
func TestLargeAnswers(t *testing.T) {
	is := is.New(t)
	cfg := limits
	cfg.MaxBytes = 1 << 16
	table := claims.NewTable(self, cfg)
	k := key(t, self, "u")
	table.Begin(epoch, k, hire)
	table.Finish(epoch, k, claims.Outcome{Verdict: verdict.Ran, Status: 200, Body: make([]byte, 1<<14)})
	d := table.Begin(epoch, k, hire)
	is.Equal(d.Kind, claims.Stored)
	is.Equal(d.Outcome.Verdict, verdict.Ran)
	is.True(d.Outcome.Omitted && d.Outcome.Body == nil)
	table.Expire(epoch.Add(cfg.Retention))
	is.Equal(table.Len(), 0)
	is.Equal(table.Bytes(), int64(0))
}

// TestBytesPerClaim compares the estimated memory with the growth of the heap.
// It guards against an estimate that is too low, or twice the real memory or
// more.
func TestBytesPerClaim(t *testing.T) {
	is := is.New(t)
	const n = 50_000
	cfg := claims.Config{MaxEntries: n, MaxBytes: 1 << 30, Retention: time.Hour}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := claims.NewTable(self, cfg)
	for i := range n {
		k := key(t, self, fmt.Sprintf("%032x", i))
		table.Begin(epoch, k, hire)
		table.Finish(epoch, k, claims.Outcome{Verdict: verdict.Ran, Status: 200, Header: http.Header{"Content-Type": {"application/json"}}, Body: bytes.Repeat([]byte("x"), 256)})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	real := int64(after.HeapAlloc - before.HeapAlloc)
	t.Logf("%d bytes per claim with an answer of 256, estimated %d", real/n, table.Bytes()/n)
	is.Equal(table.Len(), n)
	is.True(table.Bytes() >= real && table.Bytes() < 2*real)
}

func BenchmarkBeginFinish(b *testing.B) {
	table := claims.NewTable(self, claims.Config{MaxEntries: 1 << 30, MaxBytes: 1 << 50, Retention: time.Hour})
	keys := make([]claims.Key, b.N)
	for i := range keys {
		keys[i] = claims.Key{Coordinator: self, Minted: epoch.Add(time.Duration(i/1000) * time.Second), Unique: fmt.Sprintf("%032x", i)}
	}
	b.ResetTimer()
	for _, k := range keys {
		table.Begin(k.Minted, k, hire)
		table.Finish(k.Minted, k, ran)
	}
}
