package audit_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/audit"
	"sassafrasreach/internal/port"
)

func trail(records, limit int) []port.AuditRecord {
	var out []port.AuditRecord
	for i := range records {
		out = audit.Append(out, port.AuditRecord{
			Time: time.Unix(int64(i), 5), Operator: "ana", ChangeID: fmt.Sprint("c", i),
			From: uint64(i), To: uint64(i + 1), Digest: "d", State: port.ChangeAccepted,
		}, limit)
	}
	return out
}

// TestVerify checks that a record that was changed, removed from the middle or
// reordered is detected, and that records dropped at the beginning are not.
func TestVerify(t *testing.T) {
	cases := []struct {
		name   string
		tamper func([]port.AuditRecord) []port.AuditRecord
		bad    bool
	}{
		{"unmodified", func(r []port.AuditRecord) []port.AuditRecord { return r }, false},
		{"empty", func([]port.AuditRecord) []port.AuditRecord { return nil }, false},
		{"first records dropped", func(r []port.AuditRecord) []port.AuditRecord { return r[2:] }, false},
		{"time", func(r []port.AuditRecord) []port.AuditRecord { r[1].Time = r[1].Time.Add(1); return r }, true},
		{"operator", func(r []port.AuditRecord) []port.AuditRecord { r[1].Operator = "eva"; return r }, true},
		{"change", func(r []port.AuditRecord) []port.AuditRecord { r[1].ChangeID = "x"; return r }, true},
		{"from", func(r []port.AuditRecord) []port.AuditRecord { r[1].From++; return r }, true},
		{"to", func(r []port.AuditRecord) []port.AuditRecord { r[1].To++; return r }, true},
		{"digest", func(r []port.AuditRecord) []port.AuditRecord { r[1].Digest = "x"; return r }, true},
		{"state", func(r []port.AuditRecord) []port.AuditRecord { r[1].State = port.ChangeConflict; return r }, true},
		{"previous", func(r []port.AuditRecord) []port.AuditRecord { r[0].Previous = "x"; return r }, true},
		{"rehashed", func(r []port.AuditRecord) []port.AuditRecord {
			r[1].Operator = "eva"
			r[1].Hash = audit.Hash(r[1])
			return r
		}, true},
		{"removed", func(r []port.AuditRecord) []port.AuditRecord { return append(r[:1], r[2:]...) }, true},
		{"swapped", func(r []port.AuditRecord) []port.AuditRecord { r[1], r[2] = r[2], r[1]; return r }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := audit.Verify(c.tamper(trail(4, 10)))
			is.New(t).Equal(errors.Is(err, audit.ErrBroken), c.bad)
		})
	}
}

func TestAppendKeepsTheLimitAndItsInput(t *testing.T) {
	is := is.New(t)
	long := trail(7, 3)
	is.Equal(len(long), 3)
	is.Equal(long[0].ChangeID, "c4")
	is.True(long[0].Previous != "")
	is.NoErr(audit.Verify(long))
	before := long[0]
	_ = audit.Append(long, port.AuditRecord{ChangeID: "c7"}, 3)
	is.Equal(long[0], before)
}
