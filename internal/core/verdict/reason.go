package verdict

// Reason is the class of a request's failure. Its text is stable: callers receive
// it in problem documents and entry VMs send it to each other.
type Reason string

const (
	// ReasonInternal is a failure without a more specific class.
	ReasonInternal Reason = "internal"
	// ReasonBadRequest means that the request is malformed or has invalid parts.
	ReasonBadRequest Reason = "bad-request"
	// ReasonUnknownService means that the document doesn't define the request's service.
	ReasonUnknownService Reason = "unknown-service"
	// ReasonUnknownPlace means that the document doesn't define the request's place.
	ReasonUnknownPlace Reason = "unknown-place"
	// ReasonNoDocument means that the entry VM has no document yet.
	ReasonNoDocument Reason = "no-document"
	// ReasonDeadline means that the request's deadline passed.
	ReasonDeadline Reason = "deadline-exceeded"
	// ReasonCanceled means that the caller canceled the request or disconnected.
	ReasonCanceled Reason = "canceled"
	// ReasonNoKey means that a request that may run only once has no usable
	// idempotency key.
	ReasonNoKey Reason = "key-required"
	// ReasonKeyReused means that an idempotency key was used before for another
	// request.
	ReasonKeyReused Reason = "key-reused"
	// ReasonKeyExpired means that an idempotency key is older than the retention.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonCoordinatorLost means that the incarnation of the entry VM that was
	// responsible for the idempotency key is gone.
	ReasonCoordinatorLost Reason = "home-lost"
	// ReasonClaimsFull means that the table of claims is full.
	ReasonClaimsFull Reason = "claims-full"
	// ReasonTooLarge means that the request's body is larger than the service allows.
	ReasonTooLarge Reason = "body-too-large"
	// ReasonOverload means that no slot becomes free before the deadline.
	ReasonOverload Reason = "overload"
	// ReasonCap means that the limit of a rule or a link is reached.
	ReasonCap Reason = "cap-reached"
	// ReasonNoEndpoint means that no endpoint of the service is reachable.
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonNoOwner means that no entry VM owns the group at present.
	ReasonNoOwner Reason = "no-owner"
	// ReasonQuarantined means that the request is quarantined because it is known to
	// crash endpoints.
	ReasonQuarantined Reason = "quarantined"
	// ReasonShed means that the endpoint refused the request.
	ReasonShed Reason = "shed"
	// ReasonDial means that no connection could be established.
	ReasonDial Reason = "dial-failed"
	// ReasonConnection means that a connection failed with the request in flight.
	ReasonConnection Reason = "connection-failed"
	// ReasonBadAnswer means that an answer was truncated, too large or for another
	// request.
	ReasonBadAnswer Reason = "bad-answer"
	// ReasonStopping means that the entry VM is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonNoRoute means that no route matches the host and path.
	ReasonNoRoute Reason = "no-route"
	// ReasonNoDispatcher means that no reachable controller dispatches the region.
	ReasonNoDispatcher Reason = "no-dispatcher"
	// ReasonPeer means that another entry VM was unreachable or failed to handle
	// the request.
	ReasonPeer Reason = "peer-failed"
)
