package port

import (
	"context"
	"errors"
	"time"

	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/membership"
)

// Hop says what the receiver of a forwarded request is to do with it.
type Hop uint8

const (
	// HopHome asks the home of the request's key to claim it and to find the
	// owner.
	HopHome Hop = iota + 1
	// HopOwner asks the owner of a group to admit the request. An owner never
	// forwards.
	HopOwner
)

// Forward is a request between two entries.
type Forward struct {
	// Hop says what to do.
	Hop Hop
	// Place names the group's place, for HopOwner.
	Place string
	// Request is the request; its Deadline is on this VM's clock.
	Request *Request
	// Fresh asks for a new connection, for the second try of a request whose
	// first one is late.
	Fresh bool
}

// QuarantineRow is one fingerprint on its way between entries.
type QuarantineRow struct {
	// Fingerprint is in hexadecimal.
	Fingerprint string
	// Service names the service that it was seen in.
	Service string
	// Remaining is the time left in quarantine.
	Remaining time.Duration
	// Lifted takes the fingerprint out of quarantine.
	Lifted bool
	// Suspected holds the fingerprint back elsewhere.
	Suspected bool
	// Endpoint and Incarnation name the death that is blamed on the
	// fingerprint; an empty Endpoint means that none is certain.
	Endpoint    string
	Incarnation uint64
	// Version orders the rows of a fingerprint against its lifts.
	Version uint64
}

// ErrPeerUnreachable is wrapped by the error of a Forward that never left this
// VM. It is no word of the peer.
var ErrPeerUnreachable = errors.New("peer unreachable")

// PeerClient calls other entries. Errors of Forward are *verdict.Error.
type PeerClient interface {
	Heartbeat(ctx context.Context, address string, hb membership.Heartbeat) (membership.Heartbeat, error)
	Forward(ctx context.Context, address string, f Forward) (*Response, error)
	Announce(ctx context.Context, address string, batch []Announcement) error
	FetchDocument(ctx context.Context, address string, have uint64) (Config, error)
	HandOver(ctx context.Context, address string, h claims.HandOver) error
	// Quarantine tells rows to a peer. Without rows it asks for those of the peer.
	Quarantine(ctx context.Context, address string, rows []QuarantineRow) ([]QuarantineRow, error)
	Borrow(ctx context.Context, address string, r LoanRequest) (LoanGrant, error)
}

// PeerHandler answers other entries.
type PeerHandler interface {
	HandleHeartbeat(hb membership.Heartbeat) membership.Heartbeat
	HandleForward(ctx context.Context, f Forward) (*Response, error)
	HandleAnnounce(batch []Announcement)
	HandleFetchDocument(have uint64) Config
	HandleHandOver(h claims.HandOver)
	HandleQuarantine(rows []QuarantineRow) []QuarantineRow
	HandleBorrow(r LoanRequest) LoanGrant
}

// LoanRequest asks for a part of another entry's share of a cap.
type LoanRequest struct {
	// Bucket names the rule or link.
	Bucket string
	// Borrower and BorrowerIncarnation say who asks.
	Borrower            string
	BorrowerIncarnation uint64
	// Units is the wanted amount per second.
	Units uint64
	// Term is the wanted duration.
	Term time.Duration
	// DocumentVersion must be the lender's own.
	DocumentVersion uint64
}

// LoanGrant answers a LoanRequest; zero units refuse it.
type LoanGrant struct {
	Units uint64
	Term  time.Duration
}

// EntryReport is what one entry says of itself to control VMs.
type EntryReport struct {
	Name        string
	Place       string
	Incarnation uint64
	Version     uint64
	Quarantined []string
}

// FetchQuery asks a control VM for a newer document.
type FetchQuery struct {
	// Have is the version in force here.
	Have uint64
	// Entries are reports of this entry and of others of its place.
	Entries []EntryReport
}

// FetchAnswer answers a FetchQuery.
type FetchAnswer struct {
	// Config is the newest version; its Document is empty when not newer.
	Config Config
	// Quorum says that the version was read through a quorum just now.
	Quorum bool
	// LiftedQuarantines are fingerprints to forget.
	LiftedQuarantines []string
}

// ControlClient asks one control VM.
type ControlClient interface {
	Fetch(ctx context.Context, address string, q FetchQuery) (FetchAnswer, error)
}
