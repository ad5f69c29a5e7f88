package membership

import "time"

// Member is one entry as the table knows it.
type Member struct {
	// Name and Place identify the entry.
	Name, Place string
	// Incarnation rises at each start of the entry.
	Incarnation uint64
	// Version is the version of the document in force at the entry.
	Version uint64
	// Leaving says that the entry is stopping; it never reverts within an
	// incarnation.
	Leaving bool
}

// Peer is an entry that heartbeats may be sent to.
type Peer struct {
	// Name identifies the entry; it may be empty for a seed.
	Name string
	// Place and Region say where the entry is; they may be empty for a seed.
	Place, Region string
	// Address is its IP:port for peers.
	Address string
}

// MemberRow is one entry's row in a heartbeat.
type MemberRow struct {
	// Name identifies the entry.
	Name string
	// Place is the entry's place; empty means the place of the heartbeat's
	// first row, which is the sender's own.
	Place string
	// Incarnation and Counter order the rows of one entry.
	Incarnation, Counter uint64
	// Version is the version of the document in force at the entry.
	Version uint64
	// Leaving says that the entry is stopping.
	Leaving bool
}

// GroupRow is the report of an owner on one group of endpoints.
type GroupRow struct {
	// Service and Place identify the group. In a heartbeat an empty place means
	// the sender's own.
	Service, Place string
	// Owner and OwnerIncarnation identify the entry that reports. In a
	// heartbeat an empty owner means the sender.
	Owner            string
	OwnerIncarnation uint64
	// Counter orders the rows of one owner.
	Counter uint64
	// Endpoints, Slots, Busy and Queued count the group's endpoints, the
	// requests that they may run at the same time, the slots in use and the
	// requests that wait.
	Endpoints, Slots, Busy, Queued int
	// Latency is the median latency of the group's recent requests.
	Latency time.Duration
}

// Heartbeat is one message between two entries.
type Heartbeat struct {
	// From names the sender.
	From string
	// Members holds the sender's own row first.
	Members []MemberRow
	// Groups holds rows of groups.
	Groups []GroupRow
}

// Target is a heartbeat and the peer to send it to.
type Target struct {
	Peer      Peer
	Heartbeat Heartbeat
}

const (
	defaultPeriod       = 500 * time.Millisecond
	defaultSuspectAfter = 2 * time.Second
	defaultLease        = 1500 * time.Millisecond
	defaultRelayPeriod  = time.Second
	defaultFanOut       = 2
	defaultCellFanOut   = 1
	defaultCellSize     = 4
	defaultMaxRows      = 8
	defaultMaxGroups    = 3
	defaultRelays       = 3
	defaultMaxUnlisted  = 64
)

// Config holds the times and bounds of a table; zero fields get defaults.
type Config struct {
	// Period is the time between two calls of Tick.
	Period time.Duration
	// SuspectAfter is the time without an update after which a member of the
	// own cell is no longer live.
	SuspectAfter time.Duration
	// Lease is how long an entry may act as an owner after its last Tick and,
	// while its cell has live members, after its last acknowledged heartbeat.
	// It is below SuspectAfter: withDefaults reduces it if it is not.
	Lease time.Duration
	// RelayPeriod is the minimum time between two resets of the relay count of
	// an entry or group by a newer row. The counter of the own group rows rises
	// at most once in it.
	RelayPeriod time.Duration
	// Relays is how many times the rows of one entry or group are relayed until
	// the relay count is reset. A new Leaving mark without a higher counter
	// resets it too.
	Relays int
	// FanOut is the number of heartbeats sent per period.
	FanOut int
	// CellFanOut is how many of them go to the own cell while there are peer
	// sets.
	CellFanOut int
	// CellSize bounds the members of a cell.
	CellSize int
	// MaxRows and MaxGroups bound the rows of one heartbeat.
	MaxRows, MaxGroups int
	// MaxUnlisted bounds the members kept that are not among the peers.
	MaxUnlisted int
}

func (c Config) withDefaults() Config {
	setDuration(&c.Period, defaultPeriod)
	setDuration(&c.SuspectAfter, defaultSuspectAfter)
	setDuration(&c.Lease, defaultLease)
	if c.Lease >= c.SuspectAfter {
		c.Lease = c.SuspectAfter * 3 / 4
	}
	setDuration(&c.RelayPeriod, defaultRelayPeriod)
	setInt(&c.Relays, defaultRelays)
	setInt(&c.FanOut, defaultFanOut)
	setInt(&c.CellFanOut, defaultCellFanOut)
	setInt(&c.CellSize, defaultCellSize)
	setInt(&c.MaxRows, defaultMaxRows)
	setInt(&c.MaxGroups, defaultMaxGroups)
	setInt(&c.MaxUnlisted, defaultMaxUnlisted)
	return c
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

func setInt(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}
