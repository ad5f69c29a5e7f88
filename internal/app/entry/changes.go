package entry

import (
	"context"
	"log/slog"
	"time"

	"sassafrasreach/internal/event"
)

// observed holds the members and owned groups of the last heartbeat, to log what
// changed. Only heartbeatLoop uses it.
type observed struct {
	live  map[string]bool
	owned map[groupKey]bool
}

// logMembershipChanges logs the members and the group ownerships that were
// gained or lost since the last call.
func (e *Entry) logMembershipChanges(ctx context.Context, seen *observed, now time.Time) {
	s := e.snapshot.Load()
	if s == nil {
		return
	}
	live := make(map[string]bool)
	for name := range s.entries {
		if _, ok := e.members.member(now, name); ok {
			live[name] = true
		}
	}
	owned := make(map[groupKey]bool)
	for _, g := range e.groups.all() {
		if e.members.ownsSelf(now, g.key) {
			owned[g.key] = true
		}
	}
	eachMissing(seen.live, live, func(name string) {
		event.Log(ctx, e.logger, event.MemberLost, slog.String("member", name))
	})
	eachMissing(live, seen.live, func(name string) {
		event.Log(ctx, e.logger, event.MemberFound, slog.String("member", name))
	})
	eachMissing(seen.owned, owned, func(key groupKey) { e.logOwner(ctx, event.OwnerLost, key) })
	eachMissing(owned, seen.owned, func(key groupKey) { e.logOwner(ctx, event.OwnerGained, key) })
	seen.live = live
	seen.owned = owned
}

func (e *Entry) logOwner(ctx context.Context, ev event.Event, key groupKey) {
	event.Log(ctx, e.logger, ev, slog.String("service", key.service), slog.String("place", key.place))
}

// eachMissing calls do with every key of from that isn't in other.
func eachMissing[K comparable](from, other map[K]bool, do func(K)) {
	for key := range from {
		if !other[key] {
			do(key)
		}
	}
}
