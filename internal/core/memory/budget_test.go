package memory_test

import (
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/memory"
)

func TestBudget(t *testing.T) {
	is := is.New(t)
	b := memory.NewBudget(10)
	first, second := b.Open(), b.Open()
	is.True(first.Take(6))
	is.True(!second.Take(5)) // beyond the budget, though within it alone
	is.True(second.Take(4))
	first.Return(2)
	is.Equal(b.Held(), int64(8))
	is.True(second.Take(2))
	first.Return(100) // no more than it holds
	is.Equal(b.Held(), int64(6))
	second.Close()
	second.Close()
	is.True(!second.Take(1))
	is.Equal(b.Held(), int64(0))
	var unbounded *memory.Budget
	is.True(unbounded.Open().Take(1 << 60))
}

// TestReservedPart guards against large bodies that leave nothing for small ones, for
// responses and for connections, and against a process of 136 MB that can't hold one body
// of 64 MiB.
func TestReservedPart(t *testing.T) {
	is := is.New(t)
	b := memory.ForProcess(136_000_000)
	large := b.OpenFor(memory.Bodies)
	is.True(large.Take(64 << 20))
	for large.Take(memory.SmallBytes + 1) {
	}
	small, order, response, connection := b.OpenFor(memory.Bodies), b.OpenFor(memory.Orders), b.Open(), b.OpenFor(memory.Connections)
	is.True(small.Take(memory.SmallBytes))
	is.True(order.Take(memory.SmallBytes))
	is.True(response.Take(1 << 20))
	is.True(connection.TakeConnection())
	is.True(!small.Take(1)) // it isn't small any more
	is.Equal(b.Gauges()["memory.held.bodies"], large.Held()+memory.SmallBytes)
	is.Equal(b.Gauges()["memory.held.orders"], int64(memory.SmallBytes))
	message := b.OpenFor(memory.Messages)
	message.Force(1 << 40)
	is.True(!b.Open().Take(1))
	message.Close()
	large.Close()
	is.True(small.Take(1))
}

// TestFair guards against accounts that grow as long as there is room and leave nothing to
// those that come later.
func TestFair(t *testing.T) {
	is := is.New(t)
	b := memory.NewBudget(1000)
	for range 50 {
		a := b.Open()
		held := int64(0)
		for a.Fair(held+1) && a.Take(1) {
			held++
		}
		is.True(held > 0)
		if b.Held() > 990 {
			return // every one of many got something
		}
	}
}

// TestRetain guards against bytes that are given back while an attempt that outlives its
// request still uses them, and against bytes that never are.
func TestRetain(t *testing.T) {
	is := is.New(t)
	b := memory.NewBudget(10)
	a := b.Open()
	is.True(a.Take(6))
	a.Retain()
	a.Close()
	is.Equal(b.Held(), int64(6))
	a.Close()
	a.Close()
	is.Equal(b.Held(), int64(0))
}
