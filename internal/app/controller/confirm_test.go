package controller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/confirmation"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/port"
)

// watchRecord is what the answers to watch calls and the acknowledgements of orders proved.
type watchRecord struct {
	mu sync.Mutex
	// since holds, for each sequence, the latest T0 of an answer with it, and answers
	// counts the answers with a confirmation.
	since   map[uint64]time.Time
	answers int
	// acked holds when the state with each sequence was acknowledged.
	acked map[uint64]time.Time
}

// watch sends watch calls to a controller, as a gateway does, until ctx ends.
func (w *watchRecord) watch(ctx context.Context, c *cluster, address string) {
	var cursor port.WatchCursor
	start := time.Now()
	for ctx.Err() == nil {
		at := c.running(address)
		if at == nil {
			cursor = port.WatchCursor{}
			time.Sleep(5 * time.Millisecond)
			continue
		}
		cursor.Hold = 60 * time.Millisecond
		sent := time.Since(start)
		u, err := at.Watch(ctx, port.Gateway{Address: "g:1"}, cursor)
		if err != nil || u.Confirmed.IsZero() {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		cursor = u.Cursor
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond) // the answer is late
		since := start.Add(confirmation.Answer{Sent: sent, Received: time.Since(start), Held: u.Held, Age: u.Age}.Since())
		w.mu.Lock()
		w.answers++
		if since.After(w.since[u.Sequence]) {
			w.since[u.Sequence] = since
		}
		w.mu.Unlock()
	}
}

// order evacuates a failure domain and puts it back into use, again and again.
func (w *watchRecord) order(ctx context.Context, c *cluster) {
	for evacuated := true; ctx.Err() == nil; evacuated = !evacuated {
		at := c.anyRunning()
		if at == nil {
			continue
		}
		call, cancel := context.WithTimeout(ctx, time.Second)
		reply, err := at.Order(call, fleet.Order{Zone: "a1", Evacuated: evacuated})
		cancel()
		if err == nil && reply.Refused == nil {
			w.mu.Lock()
			w.acked[reply.Chosen.Value.Sequence] = time.Now()
			w.mu.Unlock()
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// running returns the controller at an address; nil if it is stopped.
func (c *cluster) running(address string) interface {
	Watch(context.Context, port.Gateway, port.WatchCursor) (port.Update, error)
} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.members[address].controller; at != nil {
		return at
	}
	return nil
}

// harm lets one controller stand still or get its responses late, cuts links in one
// direction, or restarts a controller, for a time of up to limit.
func (c *cluster) harm(rng *rand.Rand, addresses []string, limit time.Duration) {
	rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	last := time.Duration(rng.Int64N(int64(limit)))
	a, cutLink := addresses[0], [2]string{addresses[0], addresses[1]}
	switch rng.IntN(4) {
	case 0:
		// It doesn't learn of new states otherwise either.
		c.setLag(a, last/2)
		for _, from := range addresses[1:] {
			c.setBlocked([2]string{from, a}, true)
		}
		time.Sleep(limit)
		for _, from := range addresses[1:] {
			c.setBlocked([2]string{from, a}, false)
		}
		c.setLag(a, 0)
	case 1:
		clock := c.members[a].clock
		clock.mu.Lock()
		time.Sleep(last)
		clock.mu.Unlock()
	case 2:
		for _, to := range addresses[1:4] {
			cutLink[1] = to
			c.setBlocked(cutLink, true)
		}
		time.Sleep(last)
		for _, to := range addresses[1:4] {
			cutLink[1] = to
			c.setBlocked(cutLink, false)
		}
	default:
		c.kill(a)
		time.Sleep(last / 2)
		c.start(a, false)
	}
}

func (c *cluster) setBlocked(link [2]string, blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked[link] = blocked
}

func (c *cluster) setLag(address string, lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lag[address] = lag
}

// TestConfirmationsHold guards against a confirmation by which a gateway would serve a
// revoked key too long: one of a state although a later one was acknowledged before T0.
// Controllers stand still, are cut off in one direction and restarted meanwhile.
func TestConfirmationsHold(t *testing.T) {
	for seed := range uint64(3) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2*time.Millisecond)
			if err := c.order(0, 2); err != nil {
				t.Fatal(err)
			}
			c.settle()
			w := &watchRecord{since: make(map[uint64]time.Time), acked: make(map[uint64]time.Time)}
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			var addresses []string
			for zone := range regions {
				addresses = append(addresses, zone+":1")
				group.Go(func() { w.watch(ctx, c, zone+":1") })
			}
			group.Go(func() { w.order(ctx, c) })
			rng := rand.New(rand.NewPCG(seed, 3))
			for end := time.Now().Add(6 * time.Second); time.Now().Before(end); {
				c.harm(rng, addresses, 900*time.Millisecond)
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
			}
			cancel()
			group.Wait()
			w.check(t)
		})
	}
}

// check compares each confirmation with the acknowledgements of later states.
func (w *watchRecord) check(t *testing.T) {
	if w.answers < 100 || len(w.acked) < 5 {
		t.Errorf("%d answers and %d acknowledgements are too few", w.answers, len(w.acked))
	}
	for sequence, since := range w.since {
		for acked, at := range w.acked {
			if acked > sequence && since.After(at) {
				t.Errorf("state %d was confirmed %v after state %d had been acknowledged", sequence, since.Sub(at), acked)
			}
		}
	}
	t.Logf("%d answers, %d acknowledgements", w.answers, len(w.acked))
}

// testDecoder decodes sources that are the JSON form of a fleet.Config.
type testDecoder struct{}

func (testDecoder) Decode(source []byte) (fleet.Config, error) {
	var c fleet.Config
	err := json.Unmarshal(source, &c)
	c.Decoder = fleet.DecoderRelease
	return c, err
}

// TestFormerReleaseStores guards against accounts that are lost because a controller of the
// former release stored the configuration, with what it knows of it, or evacuated a zone.
func TestFormerReleaseStores(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2*time.Millisecond)
	full := fleet.Config{Version: 3, Authenticate: true, Accounts: []fleet.Account{{Name: "a", KeyDigests: [][]byte{fleet.KeyDigest("k")}}}}
	source, err := json.Marshal(full)
	is.NoErr(err)
	cases := []struct {
		version  uint64
		source   []byte
		complete bool
	}{{3, source, true}, {4, source, false}, {5, []byte("{"), false}} // of another version, unreadable
	for i, step := range cases {
		reply, err := c.anyRunning().Order(t.Context(), fleet.Order{Change: &fleet.Change{
			Base: []uint64{0, 3, 4}[i], Config: fleet.Config{Version: step.version}, Source: append(step.source, bytes.Repeat([]byte(" "), i)...),
		}})
		is.NoErr(err)
		is.NoErr(reply.Refused)
		for address := range c.members {
			config := c.sentConfig(t, address, reply.Chosen.Value.Sequence)
			is.Equal(config.Complete(), step.complete)
			is.Equal(config.Version, step.version)
			if step.complete {
				is.Equal(config.Accounts, full.Accounts)
			}
		}
	}
}

// sentConfig returns the configuration that a controller sends gateways, once it knows the
// state with a sequence.
func (c *cluster) sentConfig(t *testing.T, address string, sequence uint64) *fleet.Config {
	for deadline := time.Now().Add(orderLimit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		u, err := c.running(address).Watch(t.Context(), port.Gateway{Address: "g:1"}, port.WatchCursor{Hold: time.Millisecond})
		if err == nil && u.State != nil && u.Sequence >= sequence {
			return &u.State.Config
		}
	}
	t.Fatalf("%s doesn't send state %d", address, sequence)
	return nil
}
