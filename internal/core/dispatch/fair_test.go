package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
)

// accountLoad runs requests of 10 accounts against a pool of 10 endpoints with 4 slots and
// runs of 400 ms, so 100 requests per second, for 30 s. Each account sends perSecond
// requests per second, the first surge times as many. It returns the share of each account's requests
// that were granted a slot, and that of all. With fair unset all count as of one account.
func accountLoad(perSecond, surge float64, fair bool) (byAccount []float64, all float64) {
	const accounts, run = 10, 400 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1_800_000_000, 0)
	pool := regionPool(now, "own", map[string]int{"own": 10})
	type ending struct {
		at    time.Time
		grant string
	}
	var running []ending
	sent, served := make([]float64, accounts), make([]float64, accounts)
	record := func(decisions ...dispatch.Decision) {
		for _, d := range decisions {
			if d.Grant != "" {
				served[d.Request.BodyBytes]++
				running = append(running, ending{now.Add(run), d.Grant})
			}
		}
	}
	for step := range 30_000 {
		now = now.Add(time.Millisecond)
		for len(running) > 0 && !running[0].at.After(now) {
			grant := running[0].grant
			running = running[1:]
			record(pool.Release(now, grant, dispatch.Served, run)...)
		}
		if step%20 == 0 {
			record(pool.Tick(now)...)
		}
		for i := range accounts {
			rate := perSecond
			if i == 0 {
				rate *= surge
			}
			if random.Float64() >= rate/1000 {
				continue
			}
			sent[i]++
			req := dispatch.SlotRequest{
				ID: fmt.Sprint(step, "/", i), Service: "s", Kind: "k", Target: 900 * time.Millisecond, Deadline: now.Add(3 * time.Second),
				BodyBytes: int64(i), // only to recognize the account
			}
			if fair {
				req.Account, req.Weight = fmt.Sprint("account-", i), 50
			}
			if d, decided := pool.Acquire(now, req); decided {
				record(d)
			}
		}
	}
	totalSent, totalServed := 0.0, 0.0
	for i := range accounts {
		byAccount = append(byAccount, served[i]/sent[i])
		totalSent, totalServed = totalSent+sent[i], totalServed+served[i]
	}
	return byAccount, totalServed / totalSent
}

// TestOneAccountSurges guards against an account at eight times its load that takes the
// slots of the others, and against one that is starved for it: the others are served as
// without the surge, and none is served less than a quarter as often as all requests.
func TestOneAccountSurges(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		least     float64
	}{{8, 0.95}, {15, 0.5}} { // 100 requests per second can be served
		t.Run(fmt.Sprint(c.perSecond), func(t *testing.T) {
			is := is.New(t)
			firstCome, _ := accountLoad(c.perSecond, 8, false)
			fair, all := accountLoad(c.perSecond, 8, true)
			t.Logf("first come, first served: %.2f; fair: %.2f, all %.2f", firstCome, fair, all)
			for i, share := range fair {
				is.True(share >= all/4)
				is.True(i == 0 || share >= c.least)
				is.True(i == 0 || share > firstCome[i]+0.1)
			}
		})
	}
}

// TestOvertakenRefusedAtOnce guards against queued slot requests that wait in vain for the
// end of their time after more urgent ones were placed before them.
func TestOvertakenRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	pool := regionPool(now, "own", map[string]int{"own": 1})
	request := func(id string, priority int) dispatch.SlotRequest {
		return dispatch.SlotRequest{
			ID: id, Service: "s", Kind: "k", Priority: priority, Target: 2 * time.Second, Deadline: now.Add(5 * time.Second),
		}
	}
	d, _ := pool.Acquire(now, request("first", 0))
	now = now.Add(500 * time.Millisecond)
	pool.Release(now, d.Grant, dispatch.Served, 500*time.Millisecond)
	pool.Tick(now)
	waiting := 0
	for i := range 7 { // the first ones take the slots
		if _, decided := pool.Acquire(now, request(fmt.Sprint("late-", i), 1)); !decided {
			waiting++
		}
	}
	is.True(waiting >= 3)
	refused := 0
	for i := range 200 {
		if d, decided := pool.Acquire(now, request(fmt.Sprint("urgent-", i), 0)); decided && d.Grant == "" {
			refused++
		}
	}
	is.True(refused > 0 && refused < 200)
	now = now.Add(20 * time.Millisecond)
	for _, d := range pool.Tick(now) {
		is.Equal(d.Reason, dispatch.ReasonOverload)
		is.Equal(d.Request.Priority, 1)
		waiting--
	}
	is.Equal(waiting, 0)
}
