package controller_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quota"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/port"
)

// accountClient sends the requests of one account to the dispatchers of all regions.
type accountClient struct {
	cluster *cluster
	limit   fleet.Account
	// perSecond is its rate in each region.
	perSecond int

	mu    sync.Mutex
	runs  []time.Time
	quota int
	count int
}

// run sends requests to a region's dispatcher until ctx ends.
func (a *accountClient) run(ctx context.Context, region string) {
	for ticker := time.NewTicker(time.Second / time.Duration(a.perSecond)); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go a.request(ctx, region)
		}
	}
}

func (a *accountClient) request(ctx context.Context, region string) {
	a.mu.Lock()
	a.count++
	id := fmt.Sprint(a.limit.Name, "/", a.count)
	a.mu.Unlock()
	for _, zone := range []string{region + "1", region + "2"} {
		a.cluster.mu.Lock()
		at := a.cluster.members[zone+":1"].controller
		a.cluster.mu.Unlock()
		if at == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		d, err := at.Acquire(ctx, port.SlotRequest{Region: region, SlotRequest: dispatch.SlotRequest{
			ID: id, Service: "s", Kind: "k", Account: a.limit.Name, Weight: a.limit.RatePerSecond, Target: time.Second, Deadline: time.Now().Add(time.Second),
		}})
		cancel()
		if err != nil {
			continue
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if d.Grant != "" {
			a.runs = append(a.runs, time.Now())
			_ = at.Release(context.Background(), []port.SlotRelease{{Region: region, Grant: d.Grant, Outcome: dispatch.Served, Took: time.Millisecond}})
		} else if d.Reason == dispatch.ReasonQuota {
			a.quota++
		}
		return
	}
}

// TestQuotasOverRegions guards against an account far beyond its quota whose requests run
// more often than the bound allows, while a dispatcher is killed and comes back, and against
// quotas that refuse an account which is below its own, or serve one less than its quota.
func TestQuotasOverRegions(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 15*time.Millisecond)
	beyond := &accountClient{cluster: c, perSecond: 120, limit: fleet.Account{Name: "beyond", RatePerSecond: 60, Burst: 60}}
	below := &accountClient{cluster: c, perSecond: 8, limit: fleet.Account{Name: "below", RatePerSecond: 40, Burst: 40}}
	change := fleet.Change{Source: []byte("with accounts"), Config: fleet.Config{
		Version: 1, Accounts: []fleet.Account{beyond.limit, below.limit}, Decoder: fleet.DecoderRelease,
	}}
	for deadline := time.Now().Add(orderLimit); c.anyRunning().Configure(t.Context(), change) != nil; {
		is.True(time.Now().Before(deadline))
	}
	for zone := range regions {
		for n := range 4 {
			is.NoErr(c.members[zone+":1"].controller.Announce(t.Context(), registry.Endpoint{
				ID: fmt.Sprint(zone, n), Zone: zone, Service: "s", Slots: 40, StartedMillis: 1, Sequence: 1, Address: fmt.Sprint(zone, ":", n), LastSeen: time.Now(),
			}))
		}
	}
	c.settle()
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for _, region := range []string{"a", "b", "c"} {
		clients.Go(func() { beyond.run(ctx, region) })
		clients.Go(func() { below.run(ctx, region) })
	}
	time.Sleep(5 * time.Second)
	c.kill("a1:1")
	time.Sleep(2 * time.Second)
	c.start("a1:1", false)
	time.Sleep(5 * time.Second)
	cancel()
	clients.Wait()
	bounds := quota.DefaultBounds
	allowed := bounds.Allowed(quota.Limit{Rate: beyond.limit.RatePerSecond, Burst: beyond.limit.Burst})
	beyond.mu.Lock()
	defer beyond.mu.Unlock()
	slices.SortFunc(beyond.runs, func(a, b time.Time) int { return a.Compare(b) })
	most, first := 0, 0
	for last := range beyond.runs {
		for beyond.runs[last].Sub(beyond.runs[first]) >= bounds.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	t.Logf("beyond: %d ran, at most %d in a window, %.0f allowed, %d refused; below: %d ran, %d refused for the quota, of %d",
		len(beyond.runs), most, allowed, beyond.quota, len(below.runs), below.quota, below.count)
	is.True(float64(most) <= allowed)
	is.True(float64(len(beyond.runs)) >= 0.7*12*beyond.limit.RatePerSecond)
	is.True(below.quota <= below.count/100)
}
