package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
)

// TestRetryBudget guards against a retry storm when endpoints refuse most
// requests while they seem healthy: in any window, retries stay within the
// ratio of its requests plus the extra.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	budget := dispatch.RetryBudget{Ratio: 0.2, Extra: 30, Window: 10 * time.Second}
	pool := dispatch.NewPool("t/", dispatch.Config{
		ColdRate: func(string) float64 { return 0 }, RegionOf: func(string) string { return "" }, Random: func() float64 { return 0 }, Retries: budget,
	})
	now := time.Unix(1_800_000_000, 0)
	for i := range 10 {
		pool.Update(now, registry.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Slots: 9, StartedMillis: 1, LastSeen: now})
	}
	var retries []time.Time
	requests := 0
	for i := range 4000 { // 100 requests a second
		now = now.Add(10 * time.Millisecond)
		requests++
		request := dispatch.SlotRequest{ID: fmt.Sprint(i), Service: "s", Target: 100 * time.Millisecond, Deadline: now.Add(time.Second)}
		first, decided := pool.Acquire(now, request)
		is.True(decided)
		if first.Grant == "" {
			continue
		}
		pool.Release(now, first.Grant, dispatch.Refused, 0)
		request.ID += "/2"
		request.Retry, request.Exclude = true, []string{first.Endpoint.ID}
		second, decided := pool.Acquire(now, request)
		is.True(decided)
		if second.Grant == "" {
			continue
		}
		pool.Release(now, second.Grant, dispatch.Refused, 0)
		retries = append(retries, now)
	}
	perWindow := int(budget.Ratio*100*budget.Window.Seconds() + budget.Extra)
	for i := range retries {
		j := i
		for j < len(retries) && retries[j].Sub(retries[i]) < budget.Window {
			j++
		}
		is.True(j-i <= perWindow)
	}
	is.True(len(retries) > perWindow) // the budget is used
}
