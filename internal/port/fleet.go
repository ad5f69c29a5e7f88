package port

import (
	"context"
	"errors"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/core/registry"
)

var (
	// ErrUnsure means that a controller can't be sure of the newest state, or
	// couldn't make an order durable in time; the order may be accepted later.
	ErrUnsure = errors.New("no quorum confirmed it in time")
	// ErrNotDispatcher means that a controller doesn't dispatch a region.
	ErrNotDispatcher = errors.New("controller doesn't dispatch the region")
)

// Controller is what is known of a controller.
type Controller struct {
	// Address is the IP:port where it answers controllers and gateways.
	Address string
	// Disk is the ID of its disk in the register.
	Disk string
	// Zone and Region say where it runs.
	Zone, Region string
	// Incarnation is the time of its start.
	Incarnation uint64
	// Heard is when it was last heard of, on this VM's clock.
	Heard time.Time
}

// Gateway is what is known of a gateway.
type Gateway struct {
	// Address is the IP:port where it serves clients.
	Address      string
	Zone, Region string
	Incarnation  uint64
	// Ready says that clients may be sent there.
	Ready bool
	// Heard is when it was last heard of, on this VM's clock.
	Heard time.Time
}

// Lease names the dispatcher of a region.
type Lease struct {
	Region string
	// Holder is the controller's address.
	Holder string
	// Left is the rest of the term.
	Left time.Duration
	// Firm says that a majority has voted for the holder; else it dispatches only
	// as long as nobody holds the region.
	Firm bool
}

// News is what a controller tells another.
type News struct {
	From        Controller
	Controllers []Controller
	Gateways    []Gateway
	Endpoints   []registry.Endpoint
	// Asks names regions that the sender wants to dispatch; Drops, those that it
	// gives up.
	Asks, Drops []string
	// Loads are those of the regions that the sender dispatches; Loans, what these
	// lend to others.
	Loads []dispatch.Load
	Loans []dispatch.Loan
	// Whole asks for all endpoints that the receiver knows.
	Whole bool
}

// NewsReply answers News.
type NewsReply struct {
	From Controller
	// Epoch and Accepted are where the voter stands.
	Epoch    quorum.Epoch
	Accepted quorum.Ballot
	// Grants are the votes for the sender's asks.
	Grants []string
	// Known are the dispatchers that the receiver has voted for.
	Known       []Lease
	Controllers []Controller
	Endpoints   []registry.Endpoint
}

// OrderReply answers an order.
type OrderReply struct {
	// Refused is fleet.ErrConflict or fleet.ErrNoChange, wrapped; nil if the order
	// was accepted.
	Refused error
	// Chosen is the register's value after the order, in an epoch.
	Epoch  quorum.Epoch
	Chosen quorum.Accepted
}

// ControllerPeer sends messages to one controller.
type ControllerPeer interface {
	Prepare(ctx context.Context, m quorum.Prepare) (quorum.Promise, error)
	Accept(ctx context.Context, m quorum.Accept) (*quorum.Refusal, error)
	Learn(ctx context.Context, epoch quorum.Epoch, chosen quorum.Accepted) error
	Exchange(ctx context.Context, n News) (NewsReply, error)
	// Order makes an order durable; the error wraps ErrUnsure.
	Order(ctx context.Context, o fleet.Order) (OrderReply, error)
}

// VoterStore keeps a voter's state.
type VoterStore interface {
	// Load returns the state, or false if there is none.
	Load() (quorum.State, bool, error)
	// Save returns after the state is durable.
	Save(s quorum.State) error
}

// WatchCursor says what a gateway has been told by one incarnation of a
// controller.
type WatchCursor struct {
	Incarnation uint64
	Sequence    uint64
}

// Update is what a controller tells a gateway.
type Update struct {
	// Confirmed is when a quorum confirmed the state, on this VM's clock; zero if
	// never.
	Confirmed time.Time
	// Sequence is the state's; State is nil when the gateway has it.
	Sequence    uint64
	State       *fleet.State
	Dispatchers []Lease
	Controllers []Controller
	Cursor      WatchCursor
}

// AskSlot asks the dispatcher of a region for a slot.
type AskSlot struct {
	dispatch.Ask
	Region string
}

// SlotRelease gives a slot back.
type SlotRelease struct {
	// Region is whose dispatcher granted it.
	Region  string
	Grant   string
	Outcome dispatch.Outcome
	Took    time.Duration
}

// ControllerLink is a gateway's way to one controller.
type ControllerLink interface {
	// Watch gives a sign of life and returns what is new since the cursor, at the
	// latest after a short while.
	Watch(ctx context.Context, g Gateway, since WatchCursor) (Update, error)
	Acquire(ctx context.Context, a AskSlot) (dispatch.Decision, error)
	Release(ctx context.Context, r []SlotRelease) error
}

// ControllerService is what a controller serves to controllers and gateways.
type ControllerService interface {
	ControllerPeer
	ControllerLink
}
