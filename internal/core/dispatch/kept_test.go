package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestKeptObjects answers the load of more objects than the endpoints keep warm
// if nobody minds their number: nine tenths of their room are needed, and how
// much each has is found out from the runs, whether it is less or more than
// assumed at first.
func TestKeptObjects(t *testing.T) {
	for _, keeps := range []int{12, 24, 60} {
		s := scene{
			endpoints: 8, slots: 9, keeps: keeps, objects: 8 * keeps * 9 / 10, perSecond: 130,
			cold: 900 * time.Millisecond, warm: 270 * time.Millisecond, target: 600 * time.Millisecond, lasts: 60 * time.Second,
		}
		is := is.New(t)
		out := s.play(true)
		t.Logf("keeps %d: %+v", keeps, out)
		is.True(10*out.inTarget > 9*out.asked)
	}
}
