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
