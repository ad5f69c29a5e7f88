package membership

import "time"

// historyTicks is the number of own heartbeats whose send times are kept.
const historyTicks = 32

// state is what the table holds of one other entry.
type state struct {
	row MemberRow
	// heard is when a higher counter last came in; zero while the entry is known to
	// have started again from others alone.
	heard time.Time
	// since is when the entry's present unbroken stretch of life began.
	since time.Time
	// source names the sender of the newest row.
	source string
	// mate says whether the entry is in the own cell.
	mate bool
	relay
}

// Table is one entry's view of the others. It isn't safe for concurrent use.
type Table struct {
	cfg     Config
	self    MemberRow
	dir     *Directory
	members map[string]*state
	groups  map[groupKey]*groupState
	spots   [][]int
	cell    []int
	rotor   rotor
	// farRounds is how many periods a row from outside the cell may be late.
	farRounds int
	// interest holds the places followed beyond the own region; nil means all.
	interest map[string]bool

	// started is the first time the table saw, or when it last resumed after a
	// stall or a spell without acknowledgement.
	started time.Time
	// lastTick is when Tick last ran.
	lastTick time.Time
	// resumed is when a stall was last noticed.
	resumed time.Time
	// acked is the send time of the newest own heartbeat that a member of the
	// cell is known to have.
	acked time.Time
	// hears is when the cell was first heard after silence.
	hears time.Time
	// sentAt holds the send times of recent own counters.
	sentAt [historyTicks]time.Time
	// successor is the highest incarnation of the own name seen elsewhere.
	successor uint64
	// groupCounter orders the own group rows; groupsAt is when it last rose.
	groupCounter uint64
	groupsAt     time.Time
}

// NewTable returns the table of the entry self.
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
		members: make(map[string]*state),
		groups:  make(map[groupKey]*groupState),
	}
	t.setDirectory(NewDirectory(nil, t.cfg.CellSize))
	return t
}

// SetPeers replaces the entries that heartbeats go to. When the list isn't
// empty, an entry that isn't in it is neither live nor an owner.
func (t *Table) SetPeers(now time.Time, peers []Peer) {
	t.SetDirectory(now, NewDirectory(peers, t.cfg.CellSize))
}

// SetDirectory is SetPeers for an index that was made with the table's cell
// size.
func (t *Table) SetDirectory(now time.Time, dir *Directory) {
	t.begin(now)
	t.setDirectory(dir)
}

// SetInterest names the places that this entry follows beyond its own region.
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
	t.spots = nil
	ownCell := -1
	if i, ok := dir.byName[t.self.Name]; ok && dir.peers[i].Place == t.self.Place {
		ownCell = dir.cells[i]
	}
	for k, members := range dir.places[t.self.Place] {
		switch {
		case k == ownCell || ownCell < 0 && k == 0:
			t.cell = without(dir, members, t.self.Name)
		default:
			t.spots = append(t.spots, members)
		}
	}
	for _, place := range sortedPlaces(dir) {
		if place != t.self.Place && t.follows(place) {
			t.spots = append(t.spots, join(dir.places[place]))
		}
	}
	for _, seed := range dir.seeds {
		t.spots = append(t.spots, []int{seed})
	}
	t.rotor = newRotor(t.self.Name, len(t.cell), len(t.spots))
	t.farRounds = t.roundsOutside()
	for name, s := range t.members {
		s.mate = dir.sameCell(t.self.Name, name)
	}
}

// follows says whether rows of a place are of use to this entry.
func (t *Table) follows(place string) bool {
	if t.interest == nil || place == t.self.Place || t.interest[place] {
		return true
	}
	region := t.dir.region[t.self.Place]
	return region != "" && t.dir.region[place] == region
}

// SetVersion records the version of the document in force here.
func (t *Table) SetVersion(version uint64) { t.self.Version = version }

// Leave marks this entry as stopping: it owns nothing from now on.
func (t *Table) Leave(now time.Time) {
	t.begin(now)
	t.self.Leaving = true
}

// Peer returns the listed peer with the given name.
func (t *Table) Peer(name string) (Peer, bool) { return t.dir.Peer(name) }

// begin notes the first time that the table sees.
func (t *Table) begin(now time.Time) {
	if t.started.IsZero() {
		t.started = now
	}
}
