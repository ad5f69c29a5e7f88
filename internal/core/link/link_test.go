package link_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/link"
)

func TestMeter(t *testing.T) {
	is := is.New(t)
	m := link.NewMeter(8000) // 1,000 bytes a second
	now, sent, changes := time.Unix(0, 0).Add(time.Hour), int64(0), 0
	run := func(seconds int, perSecond int64) {
		for range 4 * seconds {
			now, sent = now.Add(250*time.Millisecond), sent+perSecond/4
			if m.Sample(now, sent, sent/3) {
				changes++
			}
			is.Equal(m.Full(), m.Reported() >= link.FullPercent) // what the directory goes by
		}
	}
	run(20, 400)
	is.True(m.Percent() > 39 && m.Percent() < 44 && !m.Full())
	run(20, 900)
	is.True(m.Full())
	run(20, 800) // it counts as full until there is clearly room
	is.True(m.Full())
	run(20, 500)
	is.True(!m.Full())
	is.Equal(changes, 2)
	unknown := link.NewMeter(0)
	unknown.Sample(now, 0, 0)
	unknown.Sample(now.Add(time.Second), 1<<40, 0)
	is.Equal(unknown.Reported(), 0)
}

// TestNearest guards against a directory that names no gateway or crowds all clients to a
// few because links are full.
func TestNearest(t *testing.T) {
	gateways := func(percents ...int) []link.Gateway {
		var out []link.Gateway
		for i, p := range percents {
			out = append(out, link.Gateway{Address: fmt.Sprint(i), Zone: []string{"a", "b"}[i/4%2], Region: "r", Percent: p})
		}
		return out
	}
	cases := map[string]struct {
		percents []int
		zone     string
		want     string
	}{
		"all have room":                 {[]int{0, 10, 20, 84}, "a", "0123"},
		"one is full":                   {[]int{0, 90, 20, 30}, "a", "023"},
		"half have room":                {[]int{99, 90, 20, 30}, "a", "23"},
		"fewer, but the region has":     {[]int{99, 90, 95, 30, 10, 10, 90, 0}, "a", "3457"},
		"all of the region are full":    {[]int{99, 90, 95, 85, 88, 99, 90, 90}, "a", "0123"},
		"most of the region are full":   {[]int{99, 90, 95, 0, 88, 99, 90, 0}, "b", "4567"},
		"a zone without gateways":       {[]int{0, 90, 20, 30}, "c", "023"},
		"nobody is near, all are named": {[]int{99}, "a", "0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			for _, g := range link.Nearest(gateways(c.percents...), c.zone, "r") {
				got += g.Address
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// TestNearestUnderLoad compares the directory with one that doesn't know the links. Load:
// eight gateways of a failure domain, two of which also send downloads that take half of
// their links, and 400 clients that look up a gateway every two seconds. It guards against
// clients that flock from link to link.
func TestNearestUnderLoad(t *testing.T) {
	overload := func(knowsLinks bool) (worst float64) {
		random := rand.New(rand.NewPCG(1, 1))
		var all []link.Gateway
		meters := make([]*link.Meter, 8)
		sent, clients := make([]int64, 8), make([]int, 400)
		for i := range meters {
			meters[i] = link.NewMeter(8e6)
			all = append(all, link.Gateway{Address: fmt.Sprint(i), Zone: "a", Region: "r"})
		}
		now := time.Unix(1000, 0)
		for tick := range 400 {
			now = now.Add(250 * time.Millisecond)
			for c := range clients {
				if (tick+c)%8 == 0 {
					named := link.Nearest(all, "a", "r")
					chosen := named[random.IntN(len(named))]
					clients[c] = slices.Index(all, chosen)
				}
				sent[clients[c]] += 3000 // 12 kB a second, 60% of all links together
			}
			for i := range meters {
				if i < 2 {
					sent[i] += 125_000
				}
				meters[i].Sample(now, sent[i], 0)
				if knowsLinks {
					all[i].Percent = meters[i].Reported()
				}
				if tick > 100 {
					worst = max(worst, float64(meters[i].Percent()))
				}
			}
		}
		return worst
	}
	with, without := overload(true), overload(false)
	t.Logf("worst use of a link: %.0f%%, without the preference %.0f%%", with, without)
	if with >= without-5 {
		t.Error("the preference doesn't help")
	}
}
