package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/lease"
)

// TestUntil guards against an end of the majority that differs from what Holds says.
func TestUntil(t *testing.T) {
	is := is.New(t)
	random, now := rand.New(rand.NewPCG(1, 2)), time.Unix(1_800_000_000, 0)
	voters := []string{"a", "b", "c", "d", "e"}
	for n := range len(voters) + 1 {
		c := lease.NewCandidate()
		for range 8 {
			sentAt := now.Add(-time.Duration(random.Int64N(int64(2 * lease.Term))))
			c.RecordReply(voters[random.IntN(len(voters))], sentAt, true)
		}
		until := c.Until(voters[:n])
		is.Equal(c.Holds(now, voters[:n]), now.Before(until))
		is.True(n == 0 || !c.Holds(until, voters[:n]))
	}
}
