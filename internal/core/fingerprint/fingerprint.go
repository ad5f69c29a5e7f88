package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
)

// ErrBad is returned by Parse for text that isn't a fingerprint.
var ErrBad = errors.New("bad fingerprint")

// Fingerprint is the SHA-256 of a request's scope, method, target and body, and of the name
// of its client account if there is one.
type Fingerprint [sha256.Size]byte

// Of returns the fingerprint of a request. The scope is what gives the target its
// meaning: a service, or a host whose routes lead to several services. Each part is
// preceded by its length, so that different requests have different encodings. The body may
// be in several pieces.
func Of(scope, method, target string, body ...[]byte) Fingerprint {
	return OfAccount("", scope, method, target, body...)
}

// OfAccount is Of for a request of a client account: the same content has another
// fingerprint for each account, so that one account's requests don't stop another's. An
// empty account means none.
func OfAccount(account, scope, method, target string, body ...[]byte) Fingerprint {
	h := sha256.New()
	addPart(h, []byte(scope))
	addPart(h, []byte(method))
	addPart(h, []byte(target))
	addPart(h, body...)
	if account != "" {
		addPart(h, []byte(account))
	}
	var f Fingerprint
	h.Sum(f[:0])
	return f
}

// IsZero reports whether f is the zero value, which is no request's fingerprint.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

func addPart(h hash.Hash, pieces ...[]byte) {
	length := 0
	for _, p := range pieces {
		length += len(p)
	}
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(length))
	_, _ = h.Write(size[:])
	for _, p := range pieces {
		_, _ = h.Write(p)
	}
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Parse parses the text form. Its error wraps ErrBad.
func Parse(text string) (Fingerprint, error) {
	var f Fingerprint
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(f) {
		return f, fmt.Errorf("%w: %.80q", ErrBad, text)
	}
	copy(f[:], raw)
	return f, nil
}
