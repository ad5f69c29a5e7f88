package port

import (
	"context"
	"errors"
	"time"

	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/membership"
)

// Hop says which role the receiver of a forwarded request has.
type Hop uint8

const (
	// HopCoordinator requests that the receiver handles a once-only request as the
	// coordinator of its key, the entry that records the key's attempts, or
	// reports what it knows of a key whose coordinator is gone.
	HopCoordinator Hop = iota + 1
	// HopOwner requests that the owner of a group admits the request. An owner
	// never forwards a request.
	HopOwner
)

// Forward is a request that one entry sends to another.
type Forward struct {
	// Hop is the receiver's role.
	Hop Hop
	// Place names the group's place; it is set for HopOwner.
	Place string
	// Request is the request; its Deadline is on this VM's clock.
	Request *Request
	// NewConnection requests a new connection, for the second attempt of a request
	// whose first one is late.
	NewConnection bool
}

// QuarantineRow is the quarantine state of one fingerprint, as sent between
// entries.
type QuarantineRow struct {
	// Fingerprint is the request's fingerprint in hexadecimal.
	Fingerprint string
	// Service names the service whose request has the fingerprint.
	Service string
	// Remaining is the time left in quarantine.
	Remaining time.Duration
	// Lifted means that the fingerprint is taken out of quarantine.
	Lifted bool
	// Suspected means that the receiver holds requests with the fingerprint
	// back for the remaining time, without a quarantine.
	Suspected bool
	// Endpoint and Incarnation name the endpoint whose failure is attributed
	// to the fingerprint; an empty Endpoint means that none is known for
	// certain.
	Endpoint    string
	Incarnation uint64
	// Version orders the changes and the lifts of a fingerprint.
	Version uint64
}

// ErrPeerUnreachable is wrapped by the error of a Forward that never left this
// VM, so that it says nothing about the peer's state.
var ErrPeerUnreachable = errors.New("peer unreachable")

// PeerClient is a client of other entries. Errors of Forward are
// *verdict.Error.
type PeerClient interface {
	Heartbeat(ctx context.Context, address string, hb membership.Heartbeat) (membership.Heartbeat, error)
	Forward(ctx context.Context, address string, f Forward) (*Response, error)
	Announce(ctx context.Context, address string, batch []Announcement) error
	FetchDocument(ctx context.Context, address string, currentVersion uint64) (Config, error)
	HandOver(ctx context.Context, address string, h claims.HandOver) error
	// Quarantine sends rows to a peer. Without rows it requests the peer's
	// rows.
	Quarantine(ctx context.Context, address string, rows []QuarantineRow) ([]QuarantineRow, error)
	Borrow(ctx context.Context, address string, r LoanRequest) (LoanGrant, error)
}

// PeerHandler handles the calls of other entries.
type PeerHandler interface {
	HandleHeartbeat(hb membership.Heartbeat) membership.Heartbeat
	HandleForward(ctx context.Context, f Forward) (*Response, error)
	HandleAnnounce(batch []Announcement)
	HandleFetchDocument(currentVersion uint64) Config
	HandleHandOver(h claims.HandOver)
	HandleQuarantine(rows []QuarantineRow) []QuarantineRow
	HandleBorrow(r LoanRequest) LoanGrant
}

// LoanRequest requests a part of another entry's share of a cap.
type LoanRequest struct {
	// Bucket names the rule or link whose cap it is.
	Bucket string
	// Borrower and BorrowerIncarnation identify the requesting entry.
	Borrower            string
	BorrowerIncarnation uint64
	// Units is the requested amount per second.
	Units uint64
	// Term is the requested duration.
	Term time.Duration
	// DocumentVersion must equal the lender's.
	DocumentVersion uint64
}

// LoanGrant answers a LoanRequest; zero units mean that it is refused.
type LoanGrant struct {
	Units uint64
	Term  time.Duration
}

// EntryReport is one entry's report to control VMs.
type EntryReport struct {
	Name        string
	Place       string
	Incarnation uint64
	Version     uint64
	Quarantined []string
}

// FetchQuery requests a newer document from a control VM.
type FetchQuery struct {
	// CurrentVersion is the version in force at this entry.
	CurrentVersion uint64
	// Entries are the reports of this entry and of others of its place.
	Entries []EntryReport
}

// FetchAnswer answers a FetchQuery.
type FetchAnswer struct {
	// Config is the newest version; its Document is empty when not newer.
	Config Config
	// Quorum means that the version was read through a quorum just before.
	Quorum bool
	// LiftedQuarantines are the fingerprints whose quarantine the entry lifts.
	LiftedQuarantines []string
}

// ControlClient is a client of one control VM.
type ControlClient interface {
	Fetch(ctx context.Context, address string, q FetchQuery) (FetchAnswer, error)
}
