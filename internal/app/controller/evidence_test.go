package controller_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// TestCrashesOutliveRestarts guards against a request that crashes endpoints again and again because
// all controllers are killed after each crash and forget it, also if a controller loses its disk
// then. It comes at another gateway each time, which hasn't seen it.
func TestCrashesOutliveRestarts(t *testing.T) {
	const rounds = 6
	cases := map[string]struct {
		// after is the time from the crash to the kill.
		after, saveTime time.Duration
		// wiped is the number of disks that are lost with each kill.
		wiped int
		// within means that the controllers are killed before the gateway reports the crash.
		within bool
		// again is the number of times that the request comes at once between the crash and the kill.
		again int
	}{
		"killed after each crash":          {after: 500 * time.Millisecond},
		"and a disk is lost":               {after: 500 * time.Millisecond, wiped: 1},
		"killed within each crash":         {within: true},
		"slow saves":                       {after: 700 * time.Millisecond, saveTime: 200 * time.Millisecond},
		"it comes again before the kill":   {after: 500 * time.Millisecond, again: 3},
		"it comes again beside slow saves": {after: 700 * time.Millisecond, again: 3, saveTime: 200 * time.Millisecond},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c, endpoints, _ := newServedCluster(t)
			for _, m := range c.members {
				m.evidence.lag = x.saveTime
			}
			served := 0
			killAll := func() {
				for address := range c.members {
					c.kill(address)
				}
			}
			if x.within {
				endpoints.crash = func(_ context.Context, end func()) error {
					end()
					killAll()
					return verdict.NewError(verdict.MayHaveRun, verdict.ReasonConnection, port.ErrConnectionLost)
				}
			}
			for i := range rounds {
				for n := range 1 + x.again {
					g := c.startGateway(fmt.Sprint("fresh-", i, "-", n), []string{"a", "b", "c"}[(i+n)%3], endpoints)
					is.True(send(g, fmt.Sprint("crash", i, n), crashTarget).Err != nil)
				}
				time.Sleep(x.after)
				killAll()
				for n, address := range []string{"a1:1", "b2:1", "c1:1", "a2:1", "b1:1", "c2:1"} {
					if lost := (n+i)%len(c.members) < x.wiped; lost {
						c.wipe(address)
					}
					c.start(address, false)
				}
				time.Sleep(5 * time.Second)
				g := c.startGateway(fmt.Sprint("other-", i), "a", endpoints)
				if send(g, fmt.Sprint("other", i), "/other").Err == nil {
					served++
				}
			}
			t.Logf("%d crashes, %d of %d other requests served", endpoints.crashCount(), served, rounds)
			is.True(endpoints.crashCount() <= 2)
			is.Equal(served, rounds)
		})
	}
}
