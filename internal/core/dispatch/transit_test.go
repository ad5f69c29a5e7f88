package dispatch_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
)

// events is a heap of simulated events.
type events []simEvent

type simEvent struct {
	at time.Time
	do func()
}

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// TestSlotsInTransit guards against endpoints whose slots stand empty after each run, for as
// long as messages are on their way, while requests are refused.
func TestSlotsInTransit(t *testing.T) {
	t.Run("borrowed endpoints", func(t *testing.T) { testSlotsInTransit(t, "few", 55*time.Millisecond, 0) })
	t.Run("gateways with busy links", func(t *testing.T) { testSlotsInTransit(t, "big", 0, 55*time.Millisecond) })
}

// testSlotsInTransit sends more requests from a region than the endpoints of region big can
// serve. Requests take the time oneWay to an endpoint, and grants and releases the time
// message.
func testSlotsInTransit(t *testing.T, region string, oneWay, message time.Duration) {
	const (
		run       = 200 * time.Millisecond
		endpoints = 4
		slots     = 4
		perSecond = 120
		length    = 12 * time.Second
	)
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	pool := regionPoolAt(now, region, map[string]int{"big": endpoints}, 2*oneWay)
	loan := dispatch.Loan{Lender: "big", Borrower: region}
	for i := range endpoints {
		loan.Endpoints = append(loan.Endpoints, fmt.Sprint("big", i))
	}
	var queue events
	after := func(d time.Duration, do func()) { heap.Push(&queue, simEvent{now.Add(d), do}) }
	running, waiting := make(map[string]int), make(map[string][]func())
	ran, late := 0, 0
	var start func(dispatch.Decision)
	granted := func(all ...dispatch.Decision) {
		for _, d := range all {
			if d.Grant != "" {
				after(message+oneWay, func() { start(d) })
			}
		}
	}
	start = func(d dispatch.Decision) {
		sent, id := now.Add(-oneWay), d.Endpoint.ID
		runs := func() {
			running[id]++
			after(run, func() {
				ran++
				if now.Sub(sent) > 2*run+oneWay {
					late++
				}
				if running[id]--; len(waiting[id]) > 0 {
					next := waiting[id][0]
					waiting[id] = waiting[id][1:]
					next()
				}
				took := now.Sub(sent) + oneWay
				after(oneWay+message, func() {
					granted(pool.Release(now, d.Grant, dispatch.Served, took)...)
				})
			})
		}
		if running[id] >= slots {
			waiting[id] = append(waiting[id], runs)
			return
		}
		runs()
	}
	end := now.Add(length)
	for n := 0; now.Before(end); n++ {
		now = now.Add(time.Second / perSecond)
		for len(queue) > 0 && !queue[0].at.After(now) {
			e := heap.Pop(&queue).(simEvent)
			clock := now
			now = e.at
			e.do()
			now = clock
		}
		if n%30 == 0 && loan.Lender != loan.Borrower {
			pool.Borrow(now, loan)
			pool.SuspendShiftLimit(now) // nothing can run in the own region
		}
		granted(pool.Tick(now)...)
		d, decided := pool.Acquire(now, dispatch.SlotRequest{
			ID: fmt.Sprint(n), Service: "s", Target: 500 * time.Millisecond, Deadline: now.Add(2 * time.Second),
		})
		if decided {
			granted(d)
		}
	}
	most := float64(endpoints*slots) * length.Seconds() / run.Seconds()
	t.Logf("%d requests ran of at most %.0f, %d of them over %v after they arrived", ran, most, late, 2*run)
	is.True(float64(ran) > 0.85*most)
	is.True(float64(late) < 0.05*float64(ran))
}
