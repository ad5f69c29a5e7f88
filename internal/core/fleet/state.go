package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
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
	Config Config
	// Source is the configuration as the operator sent it.
	Source []byte
	// Accepted are digests of the sources of the accepted versions, oldest first.
	Accepted []string
	// Evacuated are the failure domains that get no requests, sorted.
	Evacuated []string
}

// Change replaces the configuration.
type Change struct {
	// Base is the version that the change builds on.
	Base   uint64
	Config Config
	Source []byte
}

// digestBytes is the length of a digest that a state remembers; 96 bits make a
// collision among all changes of a system's life implausible.
const digestBytes = 12

func digest(source []byte) string {
	sum := sha256.Sum256(source)
	return hex.EncodeToString(sum[:digestBytes])
}

// Apply returns the state after a change. The error is ErrNoChange for one that
// was accepted before, or wraps ErrConflict.
func (s *State) Apply(c Change) (*State, error) {
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

// Evacuate returns the state after a failure domain was evacuated or taken
// back. The error is ErrNoChange when it is so already.
func (s *State) Evacuate(zone string, evacuated bool) (*State, error) {
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

// Encode returns the stored form of a state.
func (s *State) Encode() ([]byte, error) {
	encoded, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return encoded, nil
}

// Decode reads the stored form; nothing stored is the empty state. The error
// wraps ErrUnreadable.
func Decode(encoded []byte) (*State, error) {
	s := &State{}
	if len(encoded) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(encoded, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return s, nil
}
