package operatorhttp

import "sassafrasreach/internal/core/document"

// Names of headers and query parameters.
const (
	// HeaderChangeID carries the ID of a change; a resend has the same one.
	HeaderChangeID = "Change-Id"
	// HeaderVersion carries the version of a document that is returned.
	HeaderVersion = "Document-Version"
	// HeaderDigest carries the digest of a document that is returned.
	HeaderDigest = "Document-Digest"
	// QueryBase names the version that a change was made from.
	QueryBase = "base"
	// QueryPlace and QueryService name the drain to remove.
	QueryPlace   = "place"
	QueryService = "service"
)

// MaxChangeIDBytes bounds the length of a change ID.
const MaxChangeIDBytes = 128

// Validation is the answer to a validation without faults.
type Validation struct {
	// Digest is the digest of the text.
	Digest string `json:"digest"`
	// Entries is the number of entries of the document.
	Entries int `json:"entries"`
}

// Comparison is the answer to a diff.
type Comparison struct {
	// Version is the version in the register that the text was compared with.
	Version uint64 `json:"version"`
	// Differences are what the text would change.
	Differences []document.Difference `json:"differences"`
}

// DrainRequest asks for a drain.
type DrainRequest struct {
	// Place names the place.
	Place string `json:"place"`
	// Service names the service; empty means every service.
	Service string `json:"service,omitempty"`
	// Reason is shown to other operators.
	Reason string `json:"reason"`
}
