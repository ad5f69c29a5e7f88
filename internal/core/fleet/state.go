package fleet

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

var (
	// ErrConflict means that a change builds on another version than the
	// current one. Nothing was changed.
	ErrConflict = errors.New("another version is current")
	// ErrNoChange means that the order is in force already.
	ErrNoChange = errors.New("order is in force already")
	// ErrUnreadable means that a stored state can't be decoded.
	ErrUnreadable = errors.New("stored state can't be read")
)

// maxAccepted bounds the digests that a state remembers to answer a resend.
const maxAccepted = 2000

// State is the whole of what operators have ordered.
type State struct {
	Config Config `json:"Config"`
	// Source is the configuration as the operator sent it.
	Source []byte `json:"Source"`
	// Accepted are digests of the sources of the accepted versions, oldest first.
	Accepted []string `json:"Accepted"`
	// Evacuated are the failure domains that get no requests, sorted.
	Evacuated []string `json:"Evacuated"`
}

// Change replaces the configuration.
type Change struct {
	// Base is the version that the change builds on.
	Base   uint64 `json:"Base"`
	Config Config `json:"Config"`
	Source []byte `json:"Source"`
}

// Order is one order of an operator; the zero Order only reads.
type Order struct {
	// Change is a new configuration; nil if the order is another.
	Change *Change
	// Zone is evacuated or taken back; empty if the order is another.
	Zone      string
	Evacuated bool
}

// Apply returns the state after an order. The error is ErrNoChange, or wraps
// ErrConflict.
func (s *State) Apply(o Order) (*State, error) {
	switch {
	case o.Change != nil:
		return s.change(*o.Change)
	case o.Zone != "":
		return s.evacuate(o.Zone, o.Evacuated)
	default:
		return nil, ErrNoChange
	}
}

// digestBytes is the length of a digest that a state remembers; 96 bits make a
// collision among all changes of a system's life implausible.
const digestBytes = 12

func digest(source []byte) string {
	sum := sha256.Sum256(source)
	return hex.EncodeToString(sum[:digestBytes])
}

// change applies a configuration; one that was accepted before is ErrNoChange.
func (s *State) change(c Change) (*State, error) {
	d := digest(c.Source)
	if slices.Contains(s.Accepted, d) {
		return nil, ErrNoChange
	}
	if c.Base != s.Config.Version || c.Config.Version <= s.Config.Version {
		return nil, fmt.Errorf("%w: %d", ErrConflict, s.Config.Version)
	}
	next := *s
	next.Config, next.Source = c.Config, c.Source
	next.Accepted = append(slices.Clone(s.Accepted[max(0, len(s.Accepted)-maxAccepted+1):]), d)
	return &next, nil
}

// evacuate empties a failure domain or takes it back.
func (s *State) evacuate(zone string, evacuated bool) (*State, error) {
	if slices.Contains(s.Evacuated, zone) == evacuated {
		return nil, ErrNoChange
	}
	next := *s
	next.Evacuated = slices.DeleteFunc(slices.Clone(s.Evacuated), func(z string) bool { return z == zone })
	if evacuated {
		next.Evacuated = append(next.Evacuated, zone)
		slices.Sort(next.Evacuated)
	}
	return &next, nil
}

// InForce returns the part of the state that gateways need.
func (s *State) InForce() *State { return &State{Config: s.Config, Evacuated: s.Evacuated} }

// Encode returns the stored form of a state: compressed, since it crosses links
// between regions with each change.
func (s *State) Encode() ([]byte, error) {
	var out bytes.Buffer
	packed, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	if err := json.NewEncoder(packed).Encode(s); err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	if err := packed.Close(); err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return out.Bytes(), nil
}

// Decode reads the stored form; nothing stored is the empty state. The error
// wraps ErrUnreadable.
func Decode(encoded []byte) (*State, error) {
	s := &State{}
	if len(encoded) == 0 {
		return s, nil
	}
	packed, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if err := json.NewDecoder(packed).Decode(s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	// The end of the stream holds its checksum.
	if _, err := io.Copy(io.Discard, packed); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return s, nil
}
