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
	"maps"
	"slices"
)

var (
	// ErrConflict means that a change is based on another version than the
	// current one, or that its version isn't higher. Nothing was changed.
	ErrConflict = errors.New("another version is current")
	// ErrNoChange means that the order changes nothing: it is already in force, its
	// configuration was accepted before, or it is the zero Order.
	ErrNoChange = errors.New("order is in force already")
	// ErrSuperseded means that a later order about the same failure domain was made
	// durable after this one came. Nothing was changed.
	ErrSuperseded = errors.New("a later order about the failure domain is in force")
	// ErrUnreadable means that a stored state can't be decoded.
	ErrUnreadable = errors.New("stored state can't be read")
)

// maxAcceptedDigests is the largest number of digests that a state keeps to
// recognize a resend.
const maxAcceptedDigests = 2000

// State is the result of all orders of operators.
type State struct {
	Config Config `json:"Config"`
	// Source is the configuration in the form in which the operator sent it.
	Source []byte `json:"Source"`
	// Accepted holds the digests of the sources of accepted versions, oldest first.
	Accepted []string `json:"Accepted"`
	// Evacuated holds the failure domains that get no requests, sorted.
	Evacuated []string `json:"Evacuated"`
	// EvacuationChanged holds the sequence of the register's value with which each
	// failure domain was last evacuated or put back into use.
	EvacuationChanged map[string]uint64 `json:"EvacuationChanged,omitempty"`
}

// Change is a replacement of the configuration.
type Change struct {
	// Base is the version that the change was made from.
	Base   uint64 `json:"Base"`
	Config Config `json:"Config"`
	Source []byte `json:"Source"`
}

// Order is one order of an operator. The zero Order changes nothing.
type Order struct {
	// Change is a new configuration; nil in an order to evacuate.
	Change *Change
	// Zone is the failure domain to evacuate if Evacuated is true, or to put back
	// into use; empty in an order to change the configuration.
	Zone      string
	Evacuated bool
	// Since is the sequence of the register's newest value that was known when an
	// order to evacuate came; 0 if it isn't known. A copy of the order that arrives
	// late doesn't undo a later one.
	Since uint64
}

// Apply returns the state after an order, which is stored with the given sequence.
// The error is ErrNoChange or ErrSuperseded, or wraps ErrConflict.
func (s *State) Apply(o Order, sequence uint64) (*State, error) {
	switch {
	case o.Change != nil:
		return s.change(*o.Change)
	case o.Zone != "":
		return s.evacuate(o, sequence)
	default:
		return nil, ErrNoChange
	}
}

// digestBytes is the length of a digest in a state. 96 bits make a collision
// among all changes during a system's lifetime implausible.
const digestBytes = 12

func digest(source []byte) string {
	sum := sha256.Sum256(source)
	return hex.EncodeToString(sum[:digestBytes])
}

// change applies a configuration. The error is ErrNoChange for one that was accepted
// before, so that a resend is idempotent.
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
	next.Accepted = append(slices.Clone(s.Accepted[max(0, len(s.Accepted)-maxAcceptedDigests+1):]), d)
	return &next, nil
}

// evacuate marks a failure domain as evacuated or puts it back into use.
func (s *State) evacuate(o Order, sequence uint64) (*State, error) {
	zone, evacuated := o.Zone, o.Evacuated
	switch {
	case slices.Contains(s.Evacuated, zone) == evacuated:
		return nil, ErrNoChange
	case o.Since > 0 && s.EvacuationChanged[zone] > o.Since:
		return nil, ErrSuperseded
	}
	next := *s
	next.EvacuationChanged = maps.Clone(s.EvacuationChanged)
	if next.EvacuationChanged == nil {
		next.EvacuationChanged = make(map[string]uint64)
	}
	next.EvacuationChanged[zone] = sequence
	next.Evacuated = slices.DeleteFunc(slices.Clone(s.Evacuated), func(z string) bool { return z == zone })
	if evacuated {
		next.Evacuated = append(next.Evacuated, zone)
		slices.Sort(next.Evacuated)
	}
	return &next, nil
}

// InForce returns the part of the state that gateways need.
func (s *State) InForce() *State { return &State{Config: s.Config, Evacuated: s.Evacuated} }

// Encode returns the stored form of a state: JSON, compressed with gzip because
// each change is sent over links between regions.
func (s *State) Encode() ([]byte, error) {
	var out bytes.Buffer
	compressed, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	if err := json.NewEncoder(compressed).Encode(s); err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	if err := compressed.Close(); err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return out.Bytes(), nil
}

// Decode decodes the stored form of a state. Empty input is the empty state. The
// error wraps ErrUnreadable.
func Decode(encoded []byte) (*State, error) {
	s := &State{}
	if len(encoded) == 0 {
		return s, nil
	}
	compressed, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if err := json.NewDecoder(compressed).Decode(s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	// The checksum is at the end of the stream and is verified when it is read.
	if _, err := io.Copy(io.Discard, compressed); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return s, nil
}
