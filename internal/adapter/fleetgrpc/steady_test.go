package fleetgrpc

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	fleetv1 "sassafrasreach/api/fleet/v1"
	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/app/controller"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/port"
)

// memoryStore is a VoterStore in memory.
type memoryStore struct {
	state quorum.State
	found bool
}

func (s *memoryStore) Load() (quorum.State, bool, error) { return s.state, s.found, nil }
func (s *memoryStore) Save(state quorum.State) error     { s.state, s.found = state, true; return nil }

// calmFleet is a fleet of controllers in three regions without requests or faults.
// Its messages are encoded as on the network, and their bytes between regions counted.
type calmFleet struct {
	controllers []*controller.Controller
	byAddress   map[string]int
	bytes       atomic.Int64
	// former makes the messages those of a release that doesn't know reports.
	former func(n int) bool
}

// fleetLink is the connection from one controller to another.
type fleetLink struct {
	fleet    *calmFleet
	from, to int
}

func (l fleetLink) count(m proto.Message) {
	if l.from%regionCount != l.to%regionCount {
		l.fleet.bytes.Add(int64(proto.Size(m)))
	}
}

func (l fleetLink) Exchange(ctx context.Context, m port.ExchangeRequest) (port.ExchangeReply, error) {
	time.Sleep(linkDelay)
	c := codec{time.Now()}
	request := c.exchangeToProto(m)
	if l.fleet.former(l.from) || l.fleet.former(l.to) {
		request.Report, request.EpochNumber = 0, 0
	}
	l.count(request)
	reply, err := l.fleet.controllers[l.to].Exchange(ctx, c.exchangeFromProto(request))
	if err != nil {
		return reply, err
	}
	response := c.exchangeReplyToProto(reply)
	if l.fleet.former(l.to) {
		response.Report = 0
	}
	l.count(response)
	return c.exchangeReplyFromProto(response), nil
}

func (l fleetLink) Prepare(ctx context.Context, m quorum.Prepare) (quorum.Promise, error) {
	time.Sleep(linkDelay)
	return l.fleet.controllers[l.to].Prepare(ctx, m)
}

func (l fleetLink) Accept(ctx context.Context, m quorum.Accept) (*quorum.Refusal, error) {
	time.Sleep(linkDelay)
	return l.fleet.controllers[l.to].Accept(ctx, m)
}

func (l fleetLink) Learn(ctx context.Context, e quorum.Epoch, v quorum.Accepted) error {
	time.Sleep(linkDelay)
	return l.fleet.controllers[l.to].Learn(ctx, e, v)
}

func (l fleetLink) Order(ctx context.Context, o fleet.Order) (port.OrderReply, error) {
	time.Sleep(linkDelay)
	return l.fleet.controllers[l.to].Order(ctx, o)
}

const (
	regionCount = 3
	linkDelay   = 50 * time.Millisecond
	settleTime  = 12 * time.Second
	measureTime = 30 * time.Second
)

func addressOf(n int) string { return fmt.Sprintf("10.%d.0.%d:7740", n%regionCount, n) }

func startCalmFleet(ctx context.Context, t *testing.T, size int, former func(n int) bool) *calmFleet {
	f := &calmFleet{byAddress: make(map[string]int), former: former}
	zones := make(map[string]string)
	for n := range size {
		f.byAddress[addressOf(n)] = n
		zones[fmt.Sprint("zone-", n)] = fmt.Sprint("region-", n%regionCount)
	}
	for n := range size {
		c, err := controller.New(controller.Config{
			Name: fmt.Sprint("core-", n), Address: addressOf(n), Zone: fmt.Sprint("zone-", n), Region: fmt.Sprint("region-", n%regionCount),
			Zones: zones, Seeds: []string{addressOf(0), addressOf(1), addressOf(2)}, Bootstrap: true,
		}, controller.Ports{
			Clock: port.ClockFunc(time.Now), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Meter: metrics.New(), Store: &memoryStore{},
			Dial: func(to string) (port.ControllerPeer, error) { return fleetLink{f, n, f.byAddress[to]}, nil },
		})
		is.New(t).NoErr(err)
		f.controllers = append(f.controllers, c)
	}
	for _, c := range f.controllers {
		go c.Run(ctx)
	}
	return f
}

// announce lets endpoints announce themselves at their nearest controller every 1.5 s.
func (f *calmFleet) announce(ctx context.Context, endpoints int) {
	born := time.Now().UnixMilli()
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		for i := range endpoints {
			n := (i + int(sequence)) % len(f.controllers)
			_ = f.controllers[n].Announce(ctx, registry.Endpoint{
				ID: fmt.Sprintf("i-%08x", i), Address: fmt.Sprintf("10.%d.64.%d:8148", i%regionCount, i), Service: "svc", Zone: fmt.Sprint("zone-", i%regionCount),
				Slots: 4, StartedMillis: born, Sequence: sequence, LastSeen: time.Now(),
			})
		}
		time.Sleep(1500 * time.Millisecond)
	}
}

// watch lets gateways watch a near and a far controller.
func (f *calmFleet) watch(ctx context.Context, gateways int) {
	type watched struct{ near, far port.WatchCursor }
	cursors := make([]watched, gateways)
	step := func(n int, g port.Gateway, cursor *port.WatchCursor) {
		since := *cursor
		since.Hold = time.Nanosecond // round sets the pace
		if u, err := f.controllers[n].Watch(ctx, g, since); err == nil {
			*cursor = u.Cursor
			if n%regionCount != int(g.Incarnation-1)%regionCount {
				c := codec{time.Now()}
				sent, _ := c.updateToProto(u) // the state can be encoded, as it was decoded
				f.bytes.Add(int64(proto.Size(sent) + proto.Size(&fleetv1.WatchRequest{Gateway: c.gatewayToProto(g), Cursor: cursorToProto(since)})))
			}
		}
	}
	for round := 0; ctx.Err() == nil; round++ {
		for i := range gateways {
			g := port.Gateway{
				Address: fmt.Sprintf("10.%d.1.%d:8144", i%regionCount, i), Zone: fmt.Sprint("zone-", i%regionCount), Region: fmt.Sprint("region-", i%regionCount),
				Incarnation: uint64(i + 1), Ready: true, LastSeen: time.Now(),
			}
			near := i % len(f.controllers) / regionCount * regionCount
			near += i % regionCount
			if near >= len(f.controllers) {
				near = i % regionCount
			}
			step(near, g, &cursors[i].near)
			if round%3 == 0 { // the far watch waits three times as long
				step((near+1)%len(f.controllers), g, &cursors[i].far)
			}
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// steadyRate returns the payload bytes a second that a calm fleet sends between
// regions, and the gateways that the first controller knows then.
func steadyRate(t *testing.T, controllers, endpoints, gateways int, former func(n int) bool) (perSecond float64, known int64) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startCalmFleet(ctx, t, controllers, former)
		go f.announce(ctx, endpoints)
		go f.watch(ctx, gateways)
		time.Sleep(settleTime)
		before := f.bytes.Load()
		time.Sleep(measureTime)
		perSecond = float64(f.bytes.Load()-before) / measureTime.Seconds()
		known = f.controllers[0].Gauges()["gateways.live"]
		cancel()
		time.Sleep(5 * time.Second) // the calls in flight end
	})
	return perSecond, known
}

func none(int) bool { return false }

// TestSteadyTraffic guards against control traffic that grows with what is known
// instead of what changes. The bounds are payload between regions, from the targets
// of idle minutes: 2 MB for the first fleet, 25 MB for the second.
func TestSteadyTraffic(t *testing.T) {
	for _, c := range []struct {
		controllers, endpoints, gateways int
		limit                            float64
	}{{6, 50, 16, 2e6 / 60}, {18, 1083, 200, 25e6 / 60}} {
		is := is.New(t)
		rate, known := steadyRate(t, c.controllers, c.endpoints, c.gateways, none)
		t.Logf("%d controllers, %d endpoints, %d gateways: %.1f KB/s between regions", c.controllers, c.endpoints, c.gateways, rate/1000)
		is.Equal(known, int64(c.gateways))
		is.True(rate <= c.limit)
	}
}

// TestMixedReleases guards against gateways that are lost to some controllers while
// half of them are of a release that doesn't know reports.
func TestMixedReleases(t *testing.T) {
	is := is.New(t)
	_, known := steadyRate(t, 6, 50, 16, func(n int) bool { return n%2 == 0 })
	is.Equal(known, int64(16))
}
