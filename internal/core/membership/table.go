package membership

import "time"

// historyTicks is the number of own heartbeats whose send times are kept.
const historyTicks = 32

// memberState is what the table holds about one other entry.
type memberState struct {
	row MemberRow
	// updatedAt is when a row with a higher counter was last received. After a
	// stall of this entry's own loop it moves on by the length of the stall if
	// the member was live. It is zero while a restart of the entry is known only
	// from outside the own cell.
	updatedAt time.Time
	// liveSince is when the entry last became live.
	liveSince time.Time
	// source names the sender of the newest row.
	source string
	// inCell says whether the entry is in the own cell.
	inCell bool
	relay
}

// Table holds one entry's knowledge of the others. It is not safe for
// concurrent use.
type Table struct {
	cfg     Config
	self    MemberRow
	dir     *Directory
	members map[string]*memberState
	groups  map[groupKey]*groupState
	// peerSets holds the peers outside the own cell as indexes in dir.peers: one
	// set for each other cell of the place, each followed place and each seed.
	peerSets [][]int
	// cell holds the other members of the own cell as indexes in dir.peers.
	cell       []int
	roundRobin roundRobin
	// outsideDelay is the number of periods added to the time after which a
	// member outside the own cell is no longer live, since its rows may be late.
	outsideDelay int
	// interest holds the places followed outside the own region; nil means all.
	interest map[string]bool

	// startedAt is when the table was first used, or when this entry last
	// resumed after a stall or after a time without acknowledgements.
	startedAt time.Time
	// lastTick is when Tick last ran.
	lastTick time.Time
	// resumedAt is when a stall was last detected.
	resumedAt time.Time
	// lastAcked is the send time of the newest own heartbeat that a member of
	// the cell has acknowledged.
	lastAcked time.Time
	// cellLiveSince is when the cell last came to have a live member that is
	// not leaving; zero while it has none.
	cellLiveSince time.Time
	// sentAt holds the send times of recent heartbeats, by counter modulo
	// historyTicks.
	sentAt [historyTicks]time.Time
	// supersededBy is the highest incarnation seen of another process with this
	// entry's name; 0 if there was none.
	supersededBy uint64
	// groupCounter orders the own group rows; groupsAt is when it last rose.
	groupCounter uint64
	groupsAt     time.Time
}

// NewTable returns the table of the entry self. It has no peers yet.
func NewTable(self Member, cfg Config) *Table {
	t := &Table{
		cfg: cfg.withDefaults(),
		self: MemberRow{
			Name:        self.Name,
			Place:       self.Place,
			Incarnation: self.Incarnation,
			Version:     self.Version,
			Leaving:     self.Leaving,
		},
		members: make(map[string]*memberState),
		groups:  make(map[groupKey]*groupState),
	}
	t.setDirectory(NewDirectory(nil, t.cfg.CellSize))
	return t
}

// SetPeers replaces the entries that heartbeats are sent to. If any of them has
// a name and a place, an entry that is not listed is neither live nor an owner.
func (t *Table) SetPeers(now time.Time, peers []Peer) {
	t.SetDirectory(now, NewDirectory(peers, t.cfg.CellSize))
}

// SetDirectory is SetPeers with a directory that was built with the table's
// cell size.
func (t *Table) SetDirectory(now time.Time, dir *Directory) {
	t.markStarted(now)
	t.setDirectory(dir)
}

// SetInterest sets the places that this entry follows outside its own region.
// An empty list means every place.
func (t *Table) SetInterest(places []string) {
	t.interest = nil
	if len(places) > 0 {
		t.interest = make(map[string]bool, len(places))
	}
	for _, place := range places {
		t.interest[place] = true
	}
	t.setDirectory(t.dir)
}

func (t *Table) setDirectory(dir *Directory) {
	t.dir = dir
	t.cell = nil
	t.peerSets = nil
	ownCell := -1
	if i, ok := dir.byName[t.self.Name]; ok && dir.peers[i].Place == t.self.Place {
		ownCell = dir.cells[i]
	}
	for k, members := range dir.places[t.self.Place] {
		switch {
		case k == ownCell || ownCell < 0 && k == 0:
			t.cell = without(dir, members, t.self.Name)
		default:
			t.peerSets = append(t.peerSets, members)
		}
	}
	for _, place := range sortedPlaces(dir) {
		if place != t.self.Place && t.follows(place) {
			t.peerSets = append(t.peerSets, join(dir.places[place]))
		}
	}
	for _, seed := range dir.seeds {
		t.peerSets = append(t.peerSets, []int{seed})
	}
	t.roundRobin = newRoundRobin(t.self.Name, len(t.cell), len(t.peerSets))
	t.outsideDelay = t.outsideDelayPeriods()
	for name, s := range t.members {
		s.inCell = dir.sameCell(t.self.Name, name)
	}
}

// follows reports whether this entry keeps rows of a place.
func (t *Table) follows(place string) bool {
	if t.interest == nil || place == t.self.Place || t.interest[place] {
		return true
	}
	region := t.dir.region[t.self.Place]
	return region != "" && t.dir.region[place] == region
}

// SetVersion sets this entry's version of the document in force.
func (t *Table) SetVersion(version uint64) { t.self.Version = version }

// Leave marks this entry as stopping: from now on it owns nothing.
func (t *Table) Leave(now time.Time) {
	t.markStarted(now)
	t.self.Leaving = true
}

// Peer returns the listed peer with the given name.
func (t *Table) Peer(name string) (Peer, bool) { return t.dir.Peer(name) }

// markStarted records the time of the table's first use.
func (t *Table) markStarted(now time.Time) {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
}
