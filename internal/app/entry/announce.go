package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"sassafrasreach/internal/core/admission"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

// maxAnnounceSlots bounds the slots that an endpoint may announce.
const maxAnnounceSlots = 100_000

// Announce applies an endpoint's announcement and forwards it to the owner of
// its group and to the owner's backup.
func (e *Entry) Announce(_ context.Context, a port.Announcement) (port.AnnounceAnswer, error) {
	s, err := e.current()
	if err != nil {
		return port.AnnounceAnswer{}, err
	}
	if err := checkAnnouncement(s, a); err != nil {
		return port.AnnounceAnswer{}, err
	}
	e.applyAnnouncement(a)
	e.forwardAnnouncement(s, a)
	return port.AnnounceAnswer{
		Entries:        e.announceEntries(s, a.Place),
		IntervalMillis: announceInterval.Milliseconds(),
	}, nil
}

func checkAnnouncement(s *snapshot, a port.Announcement) error {
	if _, ok := s.table.Service(a.Service); !ok {
		return unknownService(a.Service)
	}
	if _, ok := s.regions[a.Place]; !ok {
		return verdict.NewError(verdict.NotRun, verdict.ReasonUnknownPlace, fmt.Errorf("place %q", a.Place))
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return verdict.NewError(verdict.NotRun, verdict.ReasonBadRequest, err)
	}
	known := a.State == port.EndpointStarting || a.State == port.EndpointReady || a.State == port.EndpointLeaving
	inRange := a.Slots >= 1 && a.Slots <= maxAnnounceSlots && a.Connections >= 1 && a.Incarnation > 0
	if err := registry.CheckID(a.ID); err != nil {
		return verdict.NewError(verdict.NotRun, verdict.ReasonBadRequest, err)
	}
	if !known || !inRange {
		return verdict.NewError(verdict.NotRun, verdict.ReasonBadRequest,
			fmt.Errorf("announcement of endpoint %q is incomplete or out of range", a.ID))
	}
	return nil
}

// applyAnnouncement applies an announcement to the tables of this entry. Every
// entry that receives one keeps it, so that a new owner of a group already
// knows its endpoints.
func (e *Entry) applyAnnouncement(a port.Announcement) {
	now := e.clock.Now()
	e.suspects.recordAnnouncement(now, a)
	key := groupKey{a.Service, a.Place}
	g := e.groups.get(key, e.admissionConfig)
	previous, replaced := g.announce(now, admission.Announcement{
		ID:          a.ID,
		Incarnation: a.Incarnation,
		Sequence:    a.Sequence,
		Address:     a.Address,
		Slots:       a.Slots,
		Connections: a.Connections,
		State:       admissionState(a.State),
		Load:        a.Load,
	})
	if a.Incarnation > previous {
		event.Log(context.Background(), e.logger, event.EndpointFound,
			slog.String("endpoint", a.ID), slog.Uint64("incarnation", a.Incarnation))
	}
	if replaced {
		go e.removeDeadEndpoint(a.ID, previous, a.Service)
	}
}

func admissionState(state port.EndpointState) admission.State {
	switch state {
	case port.EndpointReady:
		return admission.Ready
	case port.EndpointLeaving:
		return admission.Leaving
	default:
		return admission.Starting
	}
}

// forwardAnnouncement queues the announcement for the owner and its backup. The
// announcement of a leaving endpoint is sent at once.
func (e *Entry) forwardAnnouncement(s *snapshot, a port.Announcement) {
	now := e.clock.Now()
	key := groupKey{a.Service, a.Place}
	owner, okOwner := e.members.owner(now, key)
	backup, okBackup := e.members.backup(now, key)
	if okOwner {
		e.queueAnnouncement(s, owner.Name, a)
	}
	if okBackup {
		e.queueAnnouncement(s, backup.Name, a)
	}
	if a.State == port.EndpointLeaving {
		event.Log(context.Background(), e.logger, event.EndpointLeaving, slog.String("endpoint", a.ID))
		e.outbox.flush()
	}
}

func (e *Entry) queueAnnouncement(s *snapshot, to string, a port.Announcement) {
	address, ok := s.entries[to]
	if !ok || to == e.config.Name {
		return
	}
	e.outbox.add(address.peer, a)
}

// maxAnnounceEntries bounds the entries that an endpoint is given to announce
// to.
const maxAnnounceEntries = 8

// announceEntries lists the entries that the endpoint may announce to: those of
// its place, then others of the region, which own its group when its place has
// no live entry.
func (e *Entry) announceEntries(s *snapshot, place string) []string {
	region := s.regions[place].name
	addresses := e.liveCallers(s, place)
	for _, other := range s.doc.Places {
		if other.Region == region && other.Name != place {
			addresses = append(addresses, e.liveCallers(s, other.Name)...)
		}
	}
	return addresses[:min(len(addresses), maxAnnounceEntries)]
}

// liveCallers returns the caller addresses of the live entries of a place.
func (e *Entry) liveCallers(s *snapshot, place string) []string {
	var addresses []string
	for _, member := range e.members.live(e.clock.Now(), place) {
		if address, ok := s.entries[member.Name]; ok && !member.Leaving {
			addresses = append(addresses, address.caller)
		}
	}
	return addresses
}

// HandleAnnounce implements port.PeerHandler.
func (e *Entry) HandleAnnounce(batch []port.Announcement) {
	s := e.snapshot.Load()
	if s == nil {
		return
	}
	for _, a := range batch {
		if checkAnnouncement(s, a) == nil {
			e.applyAnnouncement(a)
		}
	}
}

// tickLoop expires queued requests and unresponsive endpoints: each tickPeriod
// while requests are queued, else each idleTickPeriod.
func (e *Entry) tickLoop(ctx context.Context) {
	for {
		now := e.clock.Now()
		waiting := false
		for _, g := range e.groups.all() {
			waiting = g.tick(now) || waiting
		}
		pause := idleTickPeriod
		if waiting {
			pause = tickPeriod
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		case <-e.groups.queued:
			if !wait.For(ctx, tickPeriod) {
				return
			}
		}
	}
}

const (
	// tickPeriod is the time between expiries while requests are queued.
	tickPeriod = 20 * time.Millisecond
	// idleTickPeriod is the time between expiries while no request is queued.
	idleTickPeriod = 250 * time.Millisecond
	// expirePeriod is the time between expiries of claims and suspects.
	expirePeriod = time.Second
)

// expireLoop removes expired claims and suspects, and presumes endpoints dead
// that broke a connection or became unresponsive.
func (e *Entry) expireLoop(ctx context.Context) {
	wait.Every(ctx, expirePeriod, func() {
		now := e.clock.Now()
		e.claims.expire(now)
		for _, endpoint := range e.suspects.expire(now) {
			go e.presumeDead(endpoint)
		}
	})
}
