package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"

	"sassafrasreach/internal/adapter/disk"
	"sassafrasreach/internal/adapter/registergrpc"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/event"
)

// Names of the records in the data folder.
const (
	stateRecord = "state"
	valueRecord = "value"
)

// open opens the data folder and loads the node's state. When a record is missing
// or fails verification, the member starts with a state that doesn't vote, under
// a new nonce.
func (n *Node) open(cfg Config) error {
	folder, err := disk.Open(cfg.Files, cfg.DataDir)
	if err != nil {
		return err
	}
	n.folder = folder
	state, stateErr := folder.Load(stateRecord)
	value, valueErr := folder.Load(valueRecord)
	for _, err := range []error{stateErr, valueErr} {
		if errors.Is(err, disk.ErrFailed) {
			return err
		}
	}
	if stateErr == nil && valueErr == nil {
		return n.restore(state, value)
	}
	damaged := n.damaged(state, stateErr, valueErr)
	event.Log(context.Background(), n.logger, event.FolderUnusable, slog.Any("damaged", damaged), slog.Any("state", stateErr), slog.Any("value", valueErr))
	return n.reset(damaged)
}

// restore continues from the records of the data folder.
func (n *Node) restore(state, value []byte) error {
	s, err := registergrpc.UnmarshalState(state, value, n.groupID)
	if err != nil {
		return err
	}
	n.acceptor = register.NewAcceptor(n.self, s)
	n.observe(s)
	return nil
}

// damaged says whether a folder without a usable state may have held one before.
// It did not when it has no records, or only the state record of a first start
// that was interrupted before the value record was saved.
func (n *Node) damaged(state []byte, stateErr, valueErr error) bool {
	if !errors.Is(valueErr, disk.ErrMissing) {
		return true
	}
	if errors.Is(stateErr, disk.ErrMissing) {
		return false
	}
	s, err := registergrpc.UnmarshalState(state, nil, n.groupID)
	return stateErr != nil || err != nil || s.Voting || s.Damaged
}

// reset replaces the state by one that doesn't vote, marked as damaged or as new.
// The value that the member knows to be chosen remains valid and is kept. The
// state record is saved before the value record: a crash between the two must not
// leave a folder whose state still votes. A folder without a value record holds no
// usable state until that record is saved too. The caller must hold mu or be New.
func (n *Node) reset(damaged bool) error {
	nonce, err := newNonce()
	if err != nil {
		return n.fail(err)
	}
	state := register.State{Nonce: nonce, Damaged: damaged}
	if n.acceptor != nil {
		known := n.acceptor.State()
		state.Committed, state.CommittedValue = known.Committed, known.CommittedValue
	}
	n.acceptor = register.NewAcceptor(n.self, state)
	if err := n.saveState(); err != nil {
		return err
	}
	return n.saveValue()
}

// newNonce returns a random nonce that isn't zero.
func newNonce() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("generate the nonce of the data folder: %w", err)
	}
	return binary.BigEndian.Uint64(b[:]) | 1, nil
}

// observe makes later ballots higher than those of the state.
func (n *Node) observe(s register.State) {
	n.ballots.Observe(s.Promised)
	n.ballots.Observe(s.Accepted)
	n.ballots.Observe(s.Committed)
}

// saveState makes promises, the vote and the ballots durable. The caller must hold
// mu or be New.
func (n *Node) saveState() error {
	record, err := registergrpc.MarshalState(n.acceptor.State(), n.groupID)
	if err != nil {
		return n.fail(err)
	}
	return n.fail(n.folder.Save(stateRecord, record))
}

// saveValue makes the accepted and the committed value durable. The caller must
// hold mu or be New.
func (n *Node) saveValue() error {
	record, err := registergrpc.MarshalValue(n.acceptor.State())
	if err != nil {
		return n.fail(err)
	}
	return n.fail(n.folder.Save(valueRecord, record))
}

// saveBoth makes the whole state durable. The value is saved first: after a crash
// between the two, a state that votes must not be loaded with an older value. The
// caller must hold mu.
func (n *Node) saveBoth() error {
	if err := n.saveValue(); err != nil {
		return err
	}
	return n.saveState()
}

// fail stops the member permanently when err is not nil. It returns the error that
// stopped the member, now or earlier. The caller must hold mu or be New.
func (n *Node) fail(err error) error {
	if err == nil || n.failed != nil {
		return n.failed
	}
	n.failed = err
	close(n.failedSignal)
	event.Log(context.Background(), n.logger, event.FolderFailed, slog.Any("cause", err))
	return err
}
