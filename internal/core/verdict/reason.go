package verdict

// Reason classes the failure of a request. Its text is stable: callers see it
// in problem documents and entries pass it to each other.
type Reason string

const (
	// ReasonInternal is a failure that has no class of its own.
	ReasonInternal Reason = "internal"
	// ReasonBadRequest is a request that can't be understood.
	ReasonBadRequest Reason = "bad-request"
	// ReasonUnknownService names a service that the document doesn't have.
	ReasonUnknownService Reason = "unknown-service"
	// ReasonUnknownPlace names a place that the document doesn't have.
	ReasonUnknownPlace Reason = "unknown-place"
	// ReasonNoDocument means that the entry has no document yet.
	ReasonNoDocument Reason = "no-document"
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline Reason = "deadline-exceeded"
	// ReasonCanceled means that the caller went away.
	ReasonCanceled Reason = "canceled"
	// ReasonNoKey means that a once-only request came without a usable key.
	ReasonNoKey Reason = "key-required"
	// ReasonKeyReused means that a key came again with another request.
	ReasonKeyReused Reason = "key-reused"
	// ReasonKeyExpired means that a key is older than the retention.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonHomeLost means that the entry that the key is homed on is gone.
	ReasonHomeLost Reason = "home-lost"
	// ReasonClaimsFull means that the claims table has no room.
	ReasonClaimsFull Reason = "claims-full"
	// ReasonTooLarge means that the request's body is over the service's bound.
	ReasonTooLarge Reason = "body-too-large"
	// ReasonOverload means that no slot comes free before the deadline.
	ReasonOverload Reason = "overload"
	// ReasonCap means that a rule or a link has no room for the request.
	ReasonCap Reason = "cap-reached"
	// ReasonNoEndpoint means that no endpoint of the service is in reach.
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonNoOwner means that no entry owns the group now.
	ReasonNoOwner Reason = "no-owner"
	// ReasonQuarantined means that the request is known to crash endpoints.
	ReasonQuarantined Reason = "quarantined"
	// ReasonShed means that the endpoint refused the request.
	ReasonShed Reason = "shed"
	// ReasonDial means that no connection could be made.
	ReasonDial Reason = "dial-failed"
	// ReasonConnection means that a connection failed with the request on it.
	ReasonConnection Reason = "connection-failed"
	// ReasonBadAnswer means that an answer was truncated, oversized or another
	// request's.
	ReasonBadAnswer Reason = "bad-answer"
	// ReasonStopping means that the entry is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonNoRoute means that no route covers the host and path.
	ReasonNoRoute Reason = "no-route"
	// ReasonNoDispatcher means that no controller in reach dispatches the region.
	ReasonNoDispatcher Reason = "no-dispatcher"
	// ReasonPeer means that another entry failed with the request.
	ReasonPeer Reason = "peer-failed"
)
