package controller_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/fleet"
)

// TestLateOrderUndoesNothing guards against an order that goes out twice around a
// change of the distinguished proposer: the copy that arrives late must not undo what
// was ordered since. Without a later order it is in force already.
func TestLateOrderUndoesNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2*time.Millisecond)
	is.NoErr(c.order(0, 2))
	c.settle()
	at := c.anyRunning()
	reply, err := at.Order(t.Context(), fleet.Order{})
	is.NoErr(err)
	copied := fleet.Order{Zone: "a1", Evacuated: true, Since: reply.Chosen.Value.Sequence}
	first, err := at.Order(t.Context(), copied)
	is.NoErr(err)
	is.NoErr(first.Refused)
	again, err := at.Order(t.Context(), copied)
	is.NoErr(err)
	is.True(errors.Is(again.Refused, fleet.ErrNoChange))
	time.Sleep(100 * time.Millisecond) // all controllers learn it
	is.NoErr(at.Evacuate(t.Context(), "a1", false))
	late, err := at.Order(t.Context(), copied)
	is.NoErr(err)
	is.True(errors.Is(late.Refused, fleet.ErrSuperseded))
	state, err := at.Current(t.Context())
	is.NoErr(err)
	is.Equal(len(state.Evacuated), 0)
	is.NoErr(at.Evacuate(t.Context(), "a1", true)) // a new order
}
