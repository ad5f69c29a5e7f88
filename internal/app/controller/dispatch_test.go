package controller_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/port"
)

// split cuts the controllers whose zones end with 1 from those that end with 2,
// or joins them.
func (c *cluster) split(apart bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for from := range c.members {
		for to := range c.members {
			if from[1] != to[1] {
				c.cut[[2]string{from, to}] = apart
			}
		}
	}
}

// holders returns the controllers that hold a region with the votes of a majority,
// as each of the others knows.
func (c *cluster) holders(region string) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int)
	for _, m := range c.members {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		update, err := m.controller.Watch(ctx, port.Gateway{Address: "g:1", Region: region, Heard: time.Now()}, port.WatchCursor{})
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

// TestSplitVote has both controllers of each region start to dispatch it while
// they can't reach each other, so that each gets half of the votes. When they can
// again, one of them gets the votes of all.
func TestSplitVote(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2*time.Millisecond)
	is.NoErr(c.order(0, 2))
	c.settled()
	c.split(true)
	time.Sleep(4 * time.Second)
	c.split(false)
	time.Sleep(4 * time.Second)
	for _, region := range []string{"a", "b", "c"} {
		holders := c.holders(region)
		is.Equal(len(holders), 1)
		for _, n := range holders {
			is.Equal(n, len(c.members))
		}
	}
}
