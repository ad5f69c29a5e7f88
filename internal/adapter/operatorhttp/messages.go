package operatorhttp

import "sassafrasreach/internal/core/document"

// Names of headers and query parameters.
const (
	// HeaderChangeID is the request header with the ID of a change; a resend has
	// the same ID.
	HeaderChangeID = "Change-Id"
	// HeaderVersion is the response header with the version of the document.
	HeaderVersion = "Document-Version"
	// HeaderDigest is the response header with the hex SHA-256 of the document.
	HeaderDigest = "Document-Digest"
	// QueryBase is the version that a change was made from.
	QueryBase = "base"
	// QueryPlace and QueryService identify the drain to remove.
	QueryPlace   = "place"
	QueryService = "service"
)

// MaxChangeIDBytes is the maximum length of a change ID.
const MaxChangeIDBytes = 128

// Validation is the response to a validation that found no faults.
type Validation struct {
	// Digest is the hex SHA-256 of the text.
	Digest string `json:"digest"`
	// Entries is the number of entry VMs in the document.
	Entries int `json:"entries"`
}

// Comparison is the response to a diff.
type Comparison struct {
	// Version is the version in the register that the text was compared with.
	Version uint64 `json:"version"`
	// Differences lists the fields that the text would change.
	Differences []document.Difference `json:"differences"`
}

// DrainRequest is the body of a request to add a drain.
type DrainRequest struct {
	// Place is the name of the place to drain.
	Place string `json:"place"`
	// Service is the name of the service to drain; empty means every service.
	Service string `json:"service,omitempty"`
	// Reason is shown to other operators.
	Reason string `json:"reason"`
}
