package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// watchers is the number of controllers that are watched at once: one near,
	// and one of another region in case the first is cut off.
	watchers = 2
	// watchTimeout bounds a watch call, which is held for less than half of it.
	watchTimeout = time.Second
	// watchPause is the pause after a failed call.
	watchPause = 50 * time.Millisecond
	// avoidFor is how long a controller that failed or has no quorum is passed
	// over: a few rounds of news among controllers.
	avoidFor = time.Second
	// behindFor is how long the near controller may take to tell of a new state
	// before the other one is asked for it: its own call is held for less.
	behindFor = 500 * time.Millisecond
	// staleAfter is the age at which a controller's state counts as unconfirmed.
	staleAfter = 1200 * time.Millisecond
)

// watch keeps watching one controller after the other.
func (g *Gateway) watch(ctx context.Context, slot int) {
	address := ""
	var cursor port.WatchCursor
	for ctx.Err() == nil {
		if address == "" {
			address, cursor = g.pick(slot), port.WatchCursor{}
			if address == "" {
				wait.For(ctx, watchPause)
				continue
			}
		}
		update, err := g.watchOnce(ctx, address, g.wanted(slot, cursor))
		now := g.ports.Clock.Now()
		if err == nil {
			cursor = update.Cursor
			g.heardOf(now, update.Sequence)
			g.apply(now, update)
			if now.Sub(update.Confirmed) < staleAfter || !g.better(slot, address) {
				continue
			}
		}
		g.giveUp(now, slot, address, err)
		address = ""
		wait.For(ctx, watchPause)
	}
}

// wanted is the cursor that a watcher asks with. The second one leaves the state
// to the first, which is near, unless that one is behind.
func (g *Gateway) wanted(slot int, cursor port.WatchCursor) port.WatchCursor {
	g.mu.Lock()
	defer g.mu.Unlock()
	late := g.newest > g.sequence && g.ports.Clock.Now().Sub(g.newestSince) > behindFor
	if slot == 0 || late || g.sequence == 0 {
		cursor.Sequence = g.sequence
		return cursor
	}
	cursor.Sequence = max(g.sequence, g.newest)
	return cursor
}

// heardOf notes the newest state that any controller has told of.
func (g *Gateway) heardOf(now time.Time, sequence uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if sequence > g.newest {
		g.newest, g.newestSince = sequence, now
	}
}

func (g *Gateway) watchOnce(ctx context.Context, address string, cursor port.WatchCursor) (port.Update, error) {
	link, err := g.link(address)
	if err != nil {
		return port.Update{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return link.Watch(ctx, port.Gateway{
		Address: g.config.Address, Zone: g.config.Zone, Region: g.config.Region,
		Incarnation: g.incarnation, Ready: g.Ready(), Heard: g.ports.Clock.Now(),
	}, cursor)
}

// link returns the way to a controller.
func (g *Gateway) link(address string) (port.ControllerLink, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.links[address]; l != nil {
		return l, nil
	}
	l, err := g.ports.Dial(address)
	if err != nil {
		return nil, err
	}
	g.links[address] = l
	return l, nil
}

// giveUp makes a watcher pass a controller over for a while.
func (g *Gateway) giveUp(now time.Time, slot int, address string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.avoid[address] = now.Add(avoidFor)
	g.watching[slot] = ""
	why := "unconfirmed"
	if err != nil {
		why = err.Error()
	}
	event.Log(context.Background(), g.ports.Logger, event.WatchLost,
		slog.String("controller", address), slog.String("why", why))
}

// pick chooses the controller that a watcher watches next; empty if there is
// none.
func (g *Gateway) pick(slot int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ports.Clock.Now()
	best := g.ranked(now, slot)
	if best == "" {
		return ""
	}
	g.watching[slot] = best
	event.Log(context.Background(), g.ports.Logger, event.WatchBegun,
		slog.String("controller", best), slog.Int("watcher", slot))
	return best
}

// better says whether a watcher could watch another controller.
func (g *Gateway) better(slot int, than string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	other := g.ranked(g.ports.Clock.Now(), slot)
	return other != "" && other != than
}

// ranked returns the best controller for a watcher: the first is near, the
// second of another region. Must hold mu.
func (g *Gateway) ranked(now time.Time, slot int) string {
	type ranking struct {
		address string
		rank    int
		draw    uint32
	}
	var all []ranking
	add := func(address string, c port.Controller) {
		if now.Before(g.avoid[address]) || g.watching[1-slot] == address {
			return
		}
		rank := 2
		switch {
		case c.Zone == g.config.Zone:
			rank = 0
		case c.Region == g.config.Region:
			rank = 1
		}
		if slot == 1 {
			rank = 2 - rank
		}
		all = append(all, ranking{address, rank, rand.Uint32()})
	}
	for address, c := range g.known {
		add(address, c)
	}
	for _, address := range g.seeds {
		if _, known := g.known[address]; !known {
			add(address, port.Controller{})
		}
	}
	if len(all) == 0 {
		return ""
	}
	return slices.MinFunc(all, func(a, b ranking) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.draw, b.draw))
	}).address
}

// apply takes what a controller has told.
func (g *Gateway) apply(now time.Time, u port.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u.State != nil && u.Sequence > g.sequence {
		g.sequence = u.Sequence
		if u.State.Config.Version > 0 {
			g.table.Store(fleet.NewTable(&u.State.Config))
		}
		event.Log(context.Background(), g.ports.Logger, event.ConfigApplied,
			slog.Uint64("sequence", u.Sequence), slog.Uint64("version", u.State.Config.Version),
			slog.Int64("confirmed_ms_ago", now.Sub(u.Confirmed).Milliseconds()))
	}
	for _, l := range u.Dispatchers {
		until := now.Add(l.Left)
		if until.After(g.regions[l.Region].until) {
			g.regions[l.Region] = dispatcher{address: l.Holder, until: until}
		}
	}
	if len(u.Controllers) == 0 {
		return
	}
	if now.Sub(u.Confirmed) < staleAfter {
		clear(g.known)
	}
	for _, c := range u.Controllers {
		g.known[c.Address] = c
	}
}
