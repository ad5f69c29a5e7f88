package controller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/verdict"
)

// TestServesWithoutControllers kills all controllers under load and starts them again
// after a second. It guards against gateways that refuse everything meanwhile although
// they and the endpoints live; an endpoint that left before gets nothing.
func TestServesWithoutControllers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, _, gateways := newServedCluster(t)
	load := func(d time.Duration) (served, all int) {
		for deadline := time.Now().Add(d); time.Now().Before(deadline); all++ {
			answer := send(gateways[all%len(gateways)], fmt.Sprint("r", all), fmt.Sprint("/", all%7))
			if answer.Err == nil {
				served++
			} else {
				is.Equal(verdict.Of(answer.Err), verdict.NotRun)
			}
		}
		return served, all
	}
	served, all := load(500 * time.Millisecond)
	is.Equal(served, all)
	for address := range c.members {
		c.kill(address)
	}
	served, all = load(time.Second)
	t.Logf("%d of %d requests served without controllers", served, all)
	is.True(served >= all*9/10)
	for address := range c.members {
		c.start(address, false)
	}
	load(3 * time.Second)
	served, all = load(500 * time.Millisecond)
	is.Equal(served, all)
}
