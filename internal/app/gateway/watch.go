package gateway

import (
	"cmp"
	"context"
	"errors"
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
	// watcherCount is the number of controllers that are watched at once: one
	// nearby, and one of another region in case the first is cut off.
	watcherCount = 2
	// watchTimeout bounds a watch call beyond the time for which the controller
	// holds it at most.
	watchTimeout = 600 * time.Millisecond
	// nearHold and farHold are how long the calls of the two watchers may wait for a
	// change. The far one carries bytes between regions and is only the reserve.
	nearHold = 400 * time.Millisecond
	farHold  = time.Second
	// watchPause is the pause after a failed call.
	watchPause = 50 * time.Millisecond
	// formerPause is the pause after a controller of a former release has sent a state.
	// If all are of that release, each switch costs the whole state.
	formerPause = 500 * time.Millisecond
	// avoidFor is how long a controller that failed or has no quorum is passed
	// over: a few rounds of exchanges among controllers.
	avoidFor = time.Second
	// maxLag is how long the nearby controller may take to send a new state
	// before the state is requested from the other one: the nearby one holds
	// its calls for less.
	maxLag = 500 * time.Millisecond
	// staleAfter is the age from which a controller's confirmation by a quorum
	// counts as stale.
	staleAfter = 1500 * time.Millisecond
)

// watch watches one controller at a time. It moves to another one after a
// failure, or when the state is no longer confirmed and another one could be
// watched.
func (g *Gateway) watch(ctx context.Context, watcher int) {
	address := ""
	var cursor port.WatchCursor
	for ctx.Err() == nil {
		if address == "" {
			address, cursor = g.pick(watcher), port.WatchCursor{}
			if address == "" {
				wait.For(ctx, watchPause)
				continue
			}
		}
		sent := g.ports.Boot.SinceBoot()
		update, err := g.watchOnce(ctx, address, g.requestCursor(watcher, cursor))
		now, received := g.ports.Clock.Now(), g.ports.Boot.SinceBoot()
		if err == nil {
			cursor = update.Cursor
			g.recordNewest(now, update.Sequence)
			g.apply(now, watcher, update)
			g.mu.Lock()
			g.renew(sent, received, update)
			g.mu.Unlock()
			why := g.disappointment(now, watcher, update)
			if why == "" || !g.hasAlternative(watcher, address) {
				continue
			}
			err = errors.New(why)
		}
		g.stopWatching(now, watcher, address, err)
		address = ""
		wait.For(ctx, g.pauseAfterWatch())
	}
}

// requestCursor returns the cursor of a watcher's next call. The second
// watcher skips the states that the first one, which watches a nearby
// controller, will receive, unless the first lags behind or no state was
// applied yet.
func (g *Gateway) requestCursor(watcher int, cursor port.WatchCursor) port.WatchCursor {
	g.mu.Lock()
	defer g.mu.Unlock()
	lagging := g.newest > g.sequence && g.ports.Clock.Now().Sub(g.newestSince) > maxLag
	cursor.Hold = g.config.holdOf(watcher)
	if g.former {
		// A controller of this release has it decoded again, under the same sequence.
		cursor.Sequence = g.formerSent[watcher]
		return cursor
	}
	// An answer without the state doesn't renew the lease if the state is new.
	if watcher == 0 || lagging || g.sequence == 0 || g.config.strict() {
		cursor.Sequence = g.sequence
		return cursor
	}
	cursor.Sequence = max(g.sequence, g.newest)
	return cursor
}

// recordNewest records the newest sequence that any controller has reported.
func (g *Gateway) recordNewest(now time.Time, sequence uint64) {
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
	ctx, cancel := context.WithTimeout(ctx, cursor.Hold+watchTimeout)
	defer cancel()
	return link.Watch(ctx, port.Gateway{
		Address: g.config.Address, Zone: g.config.Zone, Region: g.config.Region,
		Incarnation: g.incarnation, Ready: g.Ready(), LastSeen: g.ports.Clock.Now(), LinkPercent: g.measureLink(),
	}, cursor)
}

// measureLink measures the use of the link since the last call and returns what
// controllers are told.
func (g *Gateway) measureLink() int {
	if g.ports.Traffic == nil {
		return 0
	}
	sent, received := g.ports.Traffic()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.linkUse.Sample(g.ports.Clock.Now(), sent, received) {
		event.Log(context.Background(), g.ports.Logger, event.LinkUseChanged,
			slog.Bool("full", g.linkUse.Full()), slog.Int("percent", g.linkUse.Percent()))
	}
	return g.linkUse.Reported()
}

// link returns a client for a controller.
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

// stopWatching ends the watching of a controller, which no watcher picks again
// for avoidFor.
func (g *Gateway) stopWatching(now time.Time, watcher int, address string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.avoidUntil[address] = now.Add(avoidFor)
	g.watched[watcher] = ""
	g.lists[watcher] = nil
	event.Log(context.Background(), g.ports.Logger, event.WatchLost,
		slog.String("controller", address), slog.String("why", err.Error()))
}

// disappointment says why another controller should be watched although this one answers;
// empty if there is no reason.
func (g *Gateway) disappointment(now time.Time, watcher int, u port.Update) string {
	if now.Sub(u.Confirmed) >= staleAfter {
		return "unconfirmed"
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.needsComplete() && g.formerSent[watcher] == g.sequence {
		return "former release"
	}
	return ""
}

// needsComplete reports whether the gateway looks for a controller that sends the applied
// state with its client accounts. Must hold mu.
func (g *Gateway) needsComplete() bool { return g.former && (g.keyed || g.config.strict()) }

// pauseAfterWatch returns the pause until another controller is watched.
func (g *Gateway) pauseAfterWatch() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.needsComplete() {
		return formerPause
	}
	return watchPause
}

// pick chooses the controller that a watcher watches next; empty if there is
// none.
func (g *Gateway) pick(watcher int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ports.Clock.Now()
	address := g.bestController(now, watcher)
	if address == "" {
		return ""
	}
	g.watched[watcher], g.formerSent[watcher] = address, 0
	event.Log(context.Background(), g.ports.Logger, event.WatchBegun,
		slog.String("controller", address), slog.Int("watcher", watcher))
	return address
}

// hasAlternative reports whether a watcher could watch another controller than
// its current one.
func (g *Gateway) hasAlternative(watcher int, current string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	other := g.bestController(g.ports.Clock.Now(), watcher)
	return other != "" && other != current
}

// bestController returns the best controller for a watcher: nearby for the
// first watcher, of another region for the second; one of equally good ones is
// chosen at random. Must hold mu.
func (g *Gateway) bestController(now time.Time, watcher int) string {
	type candidate struct {
		address string
		rank    int
		draw    uint32
	}
	var all []candidate
	add := func(address string, c port.Controller) {
		if now.Before(g.avoidUntil[address]) || g.watched[1-watcher] == address {
			return
		}
		rank := 2
		switch {
		case c.Zone == g.config.Zone:
			rank = 0
		case c.Region == g.config.Region:
			rank = 1
		}
		if watcher == 1 {
			rank = 2 - rank
		}
		all = append(all, candidate{address, rank, rand.Uint32()})
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
	return slices.MinFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.draw, b.draw))
	}).address
}

// apply applies an update that a watcher received: the state if it is newer, the
// leases and the controllers. These replace the known controllers, or are only added
// to them if the update's confirmation is stale.
func (g *Gateway) apply(now time.Time, watcher int, u port.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heardAt = now
	former := u.State != nil && u.State.Config.Version > 0 && !u.State.Config.Complete()
	if former {
		g.formerSent[watcher] = u.Sequence
	}
	if u.State != nil && (u.Sequence > g.sequence || u.Sequence == g.sequence && g.former && !former) {
		g.sequence, g.evacuated, g.former = u.Sequence, u.State.Evacuated, former
		g.keyed = g.keyed || u.State.Config.Authenticate
		if u.State.Config.Version > 0 {
			g.table.Store(fleet.NewKeyedTable(&u.State.Config, g.keySecret))
			g.quotas.SetLimits(quotaLimits(u.State.Config.Accounts))
		}
		event.Log(context.Background(), g.ports.Logger, event.ConfigApplied,
			slog.Uint64("sequence", u.Sequence), slog.Uint64("version", u.State.Config.Version),
			slog.Int64("confirmed_ms_ago", now.Sub(u.Confirmed).Milliseconds()),
			slog.Bool("former_release", former), slog.Int("accounts", len(u.State.Config.Accounts)),
			slog.Int("routes", len(u.State.Config.Routes)), slog.Int64("idle_timeout_ms", u.State.Config.Limits.IdleTimeout.Milliseconds()),
			slog.Int64("took_ms", g.ports.Clock.Now().Sub(now).Milliseconds()))
	}
	for _, l := range u.Dispatchers {
		until := now.Add(l.Remaining)
		if until.After(g.dispatchers[l.Region].until) {
			g.dispatchers[l.Region] = dispatcher{address: l.Holder, until: until}
		}
	}
	if len(u.Controllers) > 0 {
		g.lists[watcher] = u.Controllers
	}
	if len(g.lists[watcher]) == 0 {
		return
	}
	if now.Sub(u.Confirmed) < staleAfter {
		clear(g.known)
	}
	for _, c := range g.lists[watcher] {
		g.known[c.Address] = c
	}
}
