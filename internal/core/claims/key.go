package claims

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxKeyBytes is the maximum length of a key's text.
	MaxKeyBytes = 256
	// MaxUniqueBytes is the maximum length of the part of a key that the caller
	// chooses.
	MaxUniqueBytes = 64

	keySeparator = "."
	hexBase      = 16
)

// ErrBadKey is returned by ParseKey for a text that isn't a valid key.
var ErrBadKey = errors.New("bad once-only key")

// Coordinator is the one incarnation of an entry that may start a key.
type Coordinator struct {
	// Entry is the entry's name.
	Entry string
	// Incarnation changes at each start of the entry.
	Incarnation uint64
}

// Key identifies a once-only request.
type Key struct {
	// Coordinator is the only process that may start the key.
	Coordinator Coordinator
	// Minted is when the coordinator issued the token, by its clock, in whole
	// seconds.
	Minted time.Time
	// Unique is the part that the caller chose.
	Unique string
}

// NewToken returns the text with which keys of the coordinator begin: entry,
// incarnation and minting time, separated by dots, the numbers in hexadecimal.
// A caller appends a dot and its unique part of letters, digits, hyphens and
// underscores.
func NewToken(c Coordinator, minted time.Time) string {
	return strings.Join([]string{
		c.Entry,
		strconv.FormatUint(c.Incarnation, hexBase),
		strconv.FormatInt(minted.Unix(), hexBase),
	}, keySeparator)
}

// String returns the text form of the key.
func (k Key) String() string {
	return NewToken(k.Coordinator, k.Minted) + keySeparator + k.Unique
}

// ParseKey parses the text form of a key. It accepts only the form that String
// returns; for any other text the error wraps ErrBadKey.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyBytes {
		return Key{}, fmt.Errorf("%w: %d bytes, limit %d", ErrBadKey, len(text), MaxKeyBytes)
	}
	rest, unique := cutLast(text)
	rest, mintedText := cutLast(rest)
	entry, incarnationText := cutLast(rest)
	incarnation, errIncarnation := strconv.ParseUint(incarnationText, hexBase, 64)
	minted, errMinted := strconv.ParseInt(mintedText, hexBase, 64)
	k := Key{
		Coordinator: Coordinator{Entry: entry, Incarnation: incarnation},
		Minted:      time.Unix(minted, 0).UTC(),
		Unique:      unique,
	}
	valid := errIncarnation == nil && errMinted == nil && minted >= 0 &&
		validName(entry, true) && validName(unique, false) &&
		len(unique) <= MaxUniqueBytes && k.String() == text
	if !valid {
		return Key{}, fmt.Errorf("%w: %.80q", ErrBadKey, text)
	}
	return k, nil
}

// cutLast splits text at its last separator. Without a separator, before is
// empty and after is the text.
func cutLast(text string) (before, after string) {
	i := strings.LastIndex(text, keySeparator)
	if i < 0 {
		return "", text
	}
	return text[:i], text[i+1:]
}

func validName(name string, allowDots bool) bool {
	for _, c := range []byte(name) {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		other := '0' <= c && c <= '9' || c == '-' || c == '_'
		if letter || other || allowDots && c == '.' {
			continue
		}
		return false
	}
	return name != ""
}
