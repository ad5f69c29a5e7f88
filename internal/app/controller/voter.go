package controller

import (
	"crypto/rand"
	"fmt"
	"slices"
	"sync"

	"sassafrasreach/internal/core/quorum"
)

// voter is the acceptor whose state is on this controller's disk.
type voter struct {
	id    string
	store interface{ Save(quorum.State) error }

	// mu guards acceptor and is held while the disk is written.
	mu       sync.Mutex
	acceptor *quorum.Acceptor

	// savedMu guards saved, the state as of the last save, which can be read
	// while the disk is written.
	savedMu sync.Mutex
	saved   quorum.State
}

// newVoter resumes from the state on the disk, or gives an empty disk its ID.
// Only a seed of a system that starts for the first time gets a founder's ID.
func newVoter(config Config, ports Ports) (*voter, error) {
	state, found, err := ports.Store.Load()
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if !found {
		state = quorum.State{ID: "disk-" + rand.Text()}
		if config.Bootstrap && slices.Contains(config.Seeds, config.Address) {
			state.ID = quorum.FounderID(config.Address)
		}
		if err := ports.Store.Save(state); err != nil {
			return nil, fmt.Errorf("save first state: %w", err)
		}
	}
	return &voter{id: state.ID, store: ports.Store, acceptor: quorum.NewAcceptor(state), saved: state}, nil
}

// savedState returns the state as of the last save.
func (v *voter) savedState() quorum.State {
	v.savedMu.Lock()
	defer v.savedMu.Unlock()
	return v.saved
}

// vote lets the acceptor answer and saves its changed state before the answer
// is returned. When the save fails, the acceptor is restored.
func vote[A any](v *voter, answer func(*quorum.Acceptor) (A, bool)) (A, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.acceptor.State()
	out, changed := answer(v.acceptor)
	if !changed {
		return out, nil
	}
	after := v.acceptor.State()
	if err := v.store.Save(after); err != nil {
		v.acceptor = quorum.NewAcceptor(before)
		var none A
		return none, fmt.Errorf("save vote: %w", err)
	}
	v.savedMu.Lock()
	v.saved = after
	v.savedMu.Unlock()
	return out, nil
}
