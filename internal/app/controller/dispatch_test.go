package controller_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/port"
)

// partition cuts the controllers of zones ending with 1 off from those of
// zones ending with 2, or reconnects them.
func (c *cluster) partition(enable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for from := range c.members {
		for to := range c.members {
			if from[1] != to[1] {
				c.blocked[[2]string{from, to}] = enable
			}
		}
	}
}

// holders counts, for each holder of a region that a controller reports to
// gateways, the controllers that report it.
func (c *cluster) holders(region string) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdersLocked(region)
}

// holdersLocked is holders with mu held.
func (c *cluster) holdersLocked(region string) map[string]int {
	out := make(map[string]int)
	for _, m := range c.members {
		if m.controller == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		update, err := m.controller.Watch(ctx, port.Gateway{Address: "g:1", Region: region, LastSeen: time.Now()}, port.WatchCursor{})
		cancel()
		if err != nil {
			continue
		}
		for _, l := range update.Dispatchers {
			if l.Region == region {
				out[l.Holder]++
			}
		}
	}
	return out
}

// TestSplitVote guards against a region that stays without a lease holder
// after a partition. While the two controllers of each region can't reach each
// other, both start to dispatch it and each gets half of the votes. After the
// partition ends, all controllers report the same holder.
func TestSplitVote(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2*time.Millisecond)
	is.NoErr(c.order(0, 2))
	c.settle()
	c.partition(true)
	time.Sleep(4 * time.Second)
	c.partition(false)
	time.Sleep(4 * time.Second)
	for _, region := range []string{"a", "b", "c"} {
		holders := c.holders(region)
		is.Equal(len(holders), 1)
		for _, n := range holders {
			is.Equal(n, len(c.members))
		}
	}
}
