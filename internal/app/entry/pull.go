package entry

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/membership"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// pullPeriod is the time between checks for a newer document.
	pullPeriod = 500 * time.Millisecond
	// backupPullPeriod is the time between an entry's own queries to control
	// VMs while another entry of its place sends one each pullPeriod.
	backupPullPeriod = 5 * time.Second
	// bootstrapGrace is how long a starting entry waits for a control quorum
	// before it takes the newest version that it can fetch without one.
	bootstrapGrace = 2 * time.Second
)

// errDigest means that a document doesn't match its digest.
var errDigest = errors.New("document doesn't match its digest")

// puller is the state of the document pulls.
type puller struct {
	mu              sync.Mutex // serializes apply
	started         time.Time
	lastControlPull time.Time // when this entry last queried a control VM itself
	next            int       // index of the control VM to query next
	controlLost     bool      // the last pull found no control quorum
}

// pullLoop fetches newer documents each pullPeriod.
func (e *Entry) pullLoop(ctx context.Context) {
	e.pull.started = e.clock.Now()
	e.pullOnce(ctx)
	wait.Every(ctx, pullPeriod, func() { e.pullOnce(ctx) })
}

func (e *Entry) pullOnce(ctx context.Context) {
	if e.snapshot.Load() == nil {
		e.bootstrap(ctx)
		return
	}
	e.pullFromPeer(ctx)
	now := e.clock.Now()
	if e.representsPlace(now) || now.Sub(e.pull.lastControlPull) >= backupPullPeriod {
		e.pull.lastControlPull = now
		e.pullFromControl(ctx)
	}
}

// pullFromPeer fetches the newest version that a live member reports, from the
// nearest member that has it.
func (e *Entry) pullFromPeer(ctx context.Context) {
	now := e.clock.Now()
	var (
		from  membership.Member
		newer bool
	)
	e.members.with(func(t *membership.Table) { _, from, newer = t.NewestVersion(now) })
	if !newer {
		return
	}
	address, ok := e.snapshot.Load().entries[from.Name]
	if !ok {
		return
	}
	config, err := e.fetchFromPeer(ctx, address.peer, e.version())
	if err == nil {
		e.apply(ctx, config)
	}
}

func (e *Entry) fetchFromPeer(ctx context.Context, address string, currentVersion uint64) (port.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return e.peers.FetchDocument(ctx, address, currentVersion)
}

// pullFromControl queries one control VM, and the next ones until an answer is
// confirmed by a quorum. Each query reports the entries of this place.
func (e *Entry) pullFromControl(ctx context.Context) {
	query := port.FetchQuery{CurrentVersion: e.version(), Entries: e.reports(e.clock.Now())}
	for range e.config.Control {
		address := e.config.Control[e.pull.next%len(e.config.Control)]
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		answer, err := e.control.Fetch(ctx, address, query)
		cancel()
		if err != nil || !answer.Quorum {
			e.pull.next++
		}
		if err == nil {
			e.applyAnswer(ctx, answer)
		}
		if err == nil && answer.Quorum {
			e.setControlLost(ctx, false)
			return
		}
	}
	e.setControlLost(ctx, true)
}

func (e *Entry) applyAnswer(ctx context.Context, answer port.FetchAnswer) {
	if len(answer.Config.Document) > 0 {
		e.apply(ctx, answer.Config)
	}
	rows := e.suspects.liftByOperator(e.clock.Now(), answer.LiftedQuarantines)
	if len(rows) == 0 {
		return
	}
	e.meterQuarantined()
	e.broadcastLater(rows)
}

// setControlLost records whether the control quorum is lost and logs the
// change.
func (e *Entry) setControlLost(ctx context.Context, controlLost bool) {
	if controlLost == e.pull.controlLost {
		return
	}
	e.pull.controlLost = controlLost
	if controlLost {
		event.Log(ctx, e.logger, event.ControlLost)
		return
	}
	event.Log(ctx, e.logger, event.ControlFound)
}

// apply puts a document in force if it is valid and newer than the present one.
func (e *Entry) apply(ctx context.Context, config port.Config) bool {
	e.pull.mu.Lock()
	defer e.pull.mu.Unlock()
	if config.Version <= e.version() {
		return false
	}
	s, err := e.checkedSnapshot(config)
	if err != nil {
		event.Log(ctx, e.logger, event.DocumentRefused,
			slog.Uint64("version", config.Version), slog.String("error", err.Error()))
		return false
	}
	if e.snapshot.Load() == nil {
		e.fetchQuarantine(ctx, s)
	}
	now := e.clock.Now()
	e.ledger.setDocument(now, s)
	e.snapshot.Store(s)
	e.members.with(func(t *membership.Table) {
		t.SetPeers(now, s.peers)
		t.SetVersion(config.Version)
	})
	for _, g := range e.groups.all() {
		g.configure(e.admissionConfig(g.key))
	}
	e.meter.SetVersion(config.Version)
	event.Log(ctx, e.logger, event.DocumentApplied,
		slog.Uint64("version", config.Version), slog.String("digest", config.Digest))
	if s.entries[e.config.Name].place != e.config.Place {
		event.Log(ctx, e.logger, event.NotListed, slog.String("place", e.config.Place))
	}
	e.wakeHeartbeat()
	return true
}

// checkedSnapshot parses a document. The memory for it is taken whatever others hold, since
// the document must be applied.
func (e *Entry) checkedSnapshot(config port.Config) (*snapshot, error) {
	account := e.memory.OpenFor(memory.Messages)
	defer account.Close()
	account.Force(document.ParseBytes(config.Document))
	if document.Digest(config.Document) != config.Digest {
		return nil, errDigest
	}
	return newSnapshot(config)
}

// version returns the version in force; 0 without a document.
func (e *Entry) version() uint64 {
	s := e.snapshot.Load()
	if s == nil {
		return 0
	}
	return s.config.Version
}

// representsPlace reports whether this entry queries control VMs for its place.
func (e *Entry) representsPlace(now time.Time) bool {
	represents := true
	e.members.with(func(t *membership.Table) {
		representative, ok := t.Representative(now, e.config.Place)
		represents = !ok || representative.Name == e.config.Name
	})
	return represents
}

// reports describes this entry and the live ones of its place to control VMs.
func (e *Entry) reports(now time.Time) []port.EntryReport {
	self := port.EntryReport{
		Name:        e.config.Name,
		Place:       e.config.Place,
		Incarnation: e.config.Incarnation,
		Version:     e.version(),
	}
	for _, entry := range e.suspects.list(now) {
		self.Quarantined = append(self.Quarantined, entry.Fingerprint.String())
	}
	reports := []port.EntryReport{self}
	for _, member := range e.members.live(now, e.config.Place) {
		if member.Name == e.config.Name {
			continue
		}
		reports = append(reports, port.EntryReport{
			Name:        member.Name,
			Place:       member.Place,
			Incarnation: member.Incarnation,
			Version:     member.Version,
		})
	}
	return reports
}

// HandleFetchDocument implements port.PeerHandler.
func (e *Entry) HandleFetchDocument(currentVersion uint64) port.Config {
	s := e.snapshot.Load()
	if s == nil || s.config.Version <= currentVersion {
		return port.Config{}
	}
	return s.config
}
