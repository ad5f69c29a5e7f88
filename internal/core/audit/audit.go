package audit

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"time"

	"sassafrasreach/internal/port"
)

// ErrBroken means that a record's hash or its link to the record before is wrong.
var ErrBroken = errors.New("audit chain is broken")

// Append returns trail with record at its end, chained to the record before
// it. The result keeps the last limit records; the first kept one still holds
// the hash of its dropped predecessor. The given slice is not modified.
func Append(trail []port.AuditRecord, record port.AuditRecord, limit int) []port.AuditRecord {
	record.Time = record.Time.Round(0).UTC()
	record.Previous = ""
	if len(trail) > 0 {
		record.Previous = trail[len(trail)-1].Hash
	}
	record.Hash = Hash(record)
	kept := trail
	if len(kept) >= limit {
		kept = kept[len(kept)-limit+1:]
	}
	next := make([]port.AuditRecord, 0, len(kept)+1)
	next = append(next, kept...)
	return append(next, record)
}

// Verify checks the hash of every record and its link to the record before it.
// The first record's link can't be checked: its predecessor may have been
// dropped. Records missing at either end are not detected. The error wraps
// ErrBroken and names the first bad record.
func Verify(trail []port.AuditRecord) error {
	for i, record := range trail {
		if record.Hash != Hash(record) {
			return fmt.Errorf("%w: record %d of change %q doesn't match its hash", ErrBroken, i, record.ChangeID)
		}
		if i > 0 && record.Previous != trail[i-1].Hash {
			return fmt.Errorf("%w: record %d of change %q doesn't hold the hash of the record before it", ErrBroken, i, record.ChangeID)
		}
	}
	return nil
}

// Hash returns the hex SHA-256 over all fields of the record except Hash. Each
// text field is preceded by its length, so that different records have different
// inputs.
func Hash(record port.AuditRecord) string {
	sum := sha256.New()
	writeUint(sum, uint64(record.Time.UnixNano()))
	writeUint(sum, record.From)
	writeUint(sum, record.To)
	writeText(sum, record.Operator)
	writeText(sum, record.ChangeID)
	writeText(sum, record.Digest)
	writeText(sum, string(record.State))
	writeText(sum, record.Previous)
	return hex.EncodeToString(sum.Sum(nil))
}

// Digest returns the hex SHA-256 of a document.
func Digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// TimeOf returns the time of a record, in UTC, from nanoseconds since the Unix epoch.
func TimeOf(unixNanos int64) time.Time { return time.Unix(0, unixNanos).UTC() }

func writeUint(sum hash.Hash, n uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	_, _ = sum.Write(b[:])
}

func writeText(sum hash.Hash, text string) {
	writeUint(sum, uint64(len(text)))
	_, _ = sum.Write([]byte(text))
}
