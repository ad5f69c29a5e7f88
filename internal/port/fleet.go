package port

import (
	"context"
	"errors"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/core/quota"
	"sassafrasreach/internal/core/registry"
)

var (
	// ErrUnconfirmed means that no quorum confirmed the newest state, or that an
	// order or an endpoint's leaving wasn't acknowledged by a quorum in time;
	// it may still take effect later.
	ErrUnconfirmed = errors.New("no quorum confirmed the state or change in time")
	// ErrNotDispatcher means that a controller doesn't dispatch a region.
	ErrNotDispatcher = errors.New("controller doesn't dispatch the region")
	// ErrRejected means that a message couldn't be encoded or that its receiver, which
	// is reachable, failed to handle it. Sending it again unchanged fails, too.
	ErrRejected = errors.New("message was rejected")
	// ErrLinkReplaced means that the connection of a call was replaced because
	// another call on it was not answered in time.
	ErrLinkReplaced = errors.New("connection to the controller was replaced")
)

// Controller describes a controller, as reported by itself or by others.
type Controller struct {
	// Address is the IP:port where it serves controllers and gateways.
	Address string
	// Disk is the ID of its disk, by which the register identifies its voter.
	Disk string
	// Zone and Region are its failure domain and region.
	Zone, Region string
	// Incarnation is its start time in Unix nanoseconds.
	Incarnation uint64
	// LastSeen is when it was last known to be live, on this VM's clock.
	LastSeen time.Time
	// Stopping means that its process ends soon.
	Stopping bool
}

// Gateway describes a gateway, as reported by itself or by controllers.
type Gateway struct {
	// Address is the IP:port where it serves clients.
	Address      string
	Zone, Region string
	Incarnation  uint64
	// Ready means that clients may use it.
	Ready bool
	// LinkPercent is the use of its link in percent; 0 if it isn't known.
	LinkPercent int
	// LastSeen is when it was last known to be live, on this VM's clock.
	LastSeen time.Time
}

// Lease names the dispatcher of a region.
type Lease struct {
	Region string
	// Holder is the address of the controller that dispatches the region.
	Holder string
	// Remaining is the time left until the lease ends.
	Remaining time.Duration
	// HasMajority means that the holder has a majority of the votes. A controller
	// without one dispatches only while it knows of no holder.
	HasMajority bool
}

// ExchangeRequest is the message that one controller sends another in a periodic
// exchange, or at once when an endpoint leaves.
type ExchangeRequest struct {
	From        Controller
	Controllers []Controller
	Gateways    []Gateway
	Endpoints   []registry.Endpoint
	// VoteRequests names regions that the sender requests the receiver's vote for;
	// VoteReleases, those whose votes it no longer needs.
	VoteRequests, VoteReleases []string
	// Loads are the loads of the regions that the sender dispatches; Loans,
	// the endpoints that these regions lend to others.
	Loads []dispatch.Load
	Loans []dispatch.Loan
	// Limits are the changes of endpoints' limits that the receiver hasn't
	// acknowledged.
	Limits []dispatch.Limit
	// Returns are the recalled endpoints that the sender's regions return.
	Returns []dispatch.Return
	// Suspicions are the changes that the receiver hasn't acknowledged.
	Suspicions []Suspicion
	// FullSync requests all endpoints that the receiver knows; EndedSync, those that
	// leave or are gone. Both request the suspicions.
	FullSync, EndedSync bool
	// EpochNumber is the epoch whose voters the sender knows.
	EpochNumber uint64
	// Report is the version of the sender's Gateways and Loans; 0 if the message
	// says nothing about them. With ReportUnchanged they are left out: they are those
	// that the receiver's last reply confirmed, and still hold.
	Report          uint64
	ReportUnchanged bool
	// Quota is the request for tokens of the accounts that the receiver owns, nil if there is
	// none, and QuotaReturns the tokens that are returned with it.
	Quota        *quota.Request
	QuotaReturns []quota.Return
	// Durable requests that the receiver answers only once the Endpoints that leave
	// or are gone, and the Suspicions, are on its disk.
	Durable bool
}

// Suspicion is a change to the suspicion that a request crashes endpoints. Either
// Endpoint, Cleared or Quarantined is set.
type Suspicion struct {
	Fingerprint fingerprint.Fingerprint
	// Endpoint is the endpoint on which a run ended with a reset connection, and
	// StartedMillis identifies its incarnation.
	Endpoint      string
	StartedMillis int64
	// Cleared means that a run was answered.
	Cleared bool
	// Quarantined is the time left in quarantine.
	Quarantined time.Duration
	// Version orders the changes of a fingerprint, in Unix microseconds.
	Version uint64
}

// ExchangeReply is the answer to ExchangeRequest.
type ExchangeReply struct {
	From Controller
	// Epoch and Accepted are the voter's epoch and the last ballot that it
	// accepted. The epoch has no voters if the sender knows them.
	Epoch    quorum.Epoch
	Accepted quorum.Ballot
	// Grants names the requested regions that the receiver has given its vote
	// for.
	Grants []string
	// HeldLeases are the leases that the receiver holds itself.
	HeldLeases  []Lease
	Controllers []Controller
	Endpoints   []registry.Endpoint
	// Loads and Loans are those that the receiver of a full sync knows, of all
	// regions.
	Loads []dispatch.Load
	Loans []dispatch.Loan
	// Report is the version of the report that the receiver now has of the sender;
	// 0 if it has none.
	Report uint64
	// QuotaGrants answers ExchangeRequest.Quota; nil from a former release.
	QuotaGrants *quota.Grants
	// Suspicions are those that the sender of a full sync, or of one of ended endpoints, must
	// know before it dispatches.
	Suspicions []Suspicion
}

// OrderReply is the answer to an order.
type OrderReply struct {
	// Refused is fleet.ErrConflict, fleet.ErrNoChange or fleet.ErrSuperseded,
	// wrapped; nil if the order was accepted.
	Refused error
	// Chosen is the register's value after the order, in epoch Epoch.
	Epoch  quorum.Epoch
	Chosen quorum.Accepted
}

// ControllerPeer is a client of another controller.
type ControllerPeer interface {
	Prepare(ctx context.Context, m quorum.Prepare) (quorum.Promise, error)
	Accept(ctx context.Context, m quorum.Accept) (*quorum.Refusal, error)
	Learn(ctx context.Context, epoch quorum.Epoch, chosen quorum.Accepted) error
	Exchange(ctx context.Context, m ExchangeRequest) (ExchangeReply, error)
	// Order makes an order durable; the error wraps ErrUnconfirmed.
	Order(ctx context.Context, o fleet.Order) (OrderReply, error)
}

// ConfigDecoder decodes configurations again that a former release decoded.
type ConfigDecoder interface {
	// Decode decodes and checks a configuration in the form in which the operator sent
	// it. The error wraps fleet.ErrInvalid.
	Decode(source []byte) (fleet.Config, error)
}

// VoterStore stores a voter's state.
type VoterStore interface {
	// Load returns the stored state; false if there is none.
	Load() (quorum.State, bool, error)
	// Save returns once the state is durable.
	Save(s quorum.State) error
}

// WatchCursor identifies the state that a gateway has received from one
// incarnation of a controller.
type WatchCursor struct {
	Incarnation uint64
	Sequence    uint64
	// Controllers is the version of the list of controllers that the gateway has
	// received.
	Controllers uint64
	// Hold is how long the call may wait for a change; 0 stands for the
	// controller's own choice.
	Hold time.Duration
}

// Update is a controller's answer to a watch call.
type Update struct {
	// Confirmed is the latest time at which a quorum confirmed the state, on
	// this VM's clock; zero if there is none.
	Confirmed time.Time
	// Age is the time since then when the controller took it, and Held how long it had
	// held the call until then; both by clocks that go on while a VM is suspended. Held
	// is 0 from a former release.
	Age, Held time.Duration
	// Sequence is the sequence of the controller's state. State is nil unless
	// it is later than the cursor.
	Sequence    uint64
	State       *fleet.State
	Dispatchers []Lease
	// Controllers is empty if the gateway's list is current.
	Controllers []Controller
	Cursor      WatchCursor
}

// SlotRequest requests a slot from the dispatcher of a region.
type SlotRequest struct {
	dispatch.SlotRequest
	Region string
	// Suspicions are what the gateway saw of crashes by the same content, for a
	// dispatcher that has started again and knows of none.
	Suspicions []Suspicion
}

// SlotRelease releases a granted slot.
type SlotRelease struct {
	// Region is the region whose dispatcher granted it.
	Region  string
	Grant   string
	Outcome dispatch.Outcome
	// RunEnd is how the run ended, for the search for requests that crash endpoints;
	// nil if a former release doesn't say.
	RunEnd *quarantine.End
	Took   time.Duration
	// Answered means that the endpoint answered; Signals are what it said about
	// itself.
	Answered bool
	Signals  registry.Signals
	// AnsweredAt is when the endpoint answered, on this VM's clock; zero if it didn't or
	// a former release doesn't say.
	AnsweredAt time.Time
	// ResponseBytes is the size of the response's body; 0 if it isn't known.
	ResponseBytes int64
	// Suspicion follows from a run that ended with a reset connection, for a
	// controller that doesn't know the grant; nil otherwise.
	Suspicion *Suspicion
}

// ControllerLink is a gateway's client of one controller.
type ControllerLink interface {
	// Watch reports the gateway as live and returns the changes since the
	// cursor. The controller holds the call for a short time until there is a
	// change.
	Watch(ctx context.Context, g Gateway, since WatchCursor) (Update, error)
	Acquire(ctx context.Context, req SlotRequest) (dispatch.Decision, error)
	Release(ctx context.Context, r []SlotRelease) error
}

// ControllerService is the service that a controller offers to controllers and
// gateways.
type ControllerService interface {
	ControllerPeer
	ControllerLink
}
