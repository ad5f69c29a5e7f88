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
	// ReasonNoKey means that a once-only request has no valid key.
	ReasonNoKey Reason = "key-required"
	// ReasonKeyReused means that a key was used before for another request.
	ReasonKeyReused Reason = "key-reused"
	// ReasonKeyExpired means that a key without a stored outcome is too old to
	// start or may have had an outcome that was removed, or that its time is too
	// far in the future.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonCoordinatorLost means that the coordinator of the key, the entry VM's
	// incarnation that alone may start it, is gone.
	ReasonCoordinatorLost Reason = "home-lost"
	// ReasonClaimsFull means that the table of claims is full.
	ReasonClaimsFull Reason = "claims-full"
	// ReasonTooLarge means that the request's body is larger than the service allows.
	ReasonTooLarge Reason = "body-too-large"
	// ReasonSlowBody means that the request's body arrived too slowly.
	ReasonSlowBody Reason = "body-too-slow"
	// ReasonMemory means that an entry VM has no memory left for the request's body.
	ReasonMemory Reason = "no-memory"
	// ReasonOverload means that the request can't get a slot or a connection in
	// time, or that the queue for slots is full.
	ReasonOverload Reason = "overload"
	// ReasonCap means that the limit of a rule or a link is reached.
	ReasonCap Reason = "cap-reached"
	// ReasonNoEndpoint means that no usable endpoint is known for the request.
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonNoOwner means that the group has no known owner, or that the entry VM
	// that received the request doesn't own it.
	ReasonNoOwner Reason = "no-owner"
	// ReasonQuarantined means that the request is quarantined because it crashed
	// endpoints, or refused because it is suspected of that.
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
	// ReasonUnauthenticated means that the request has no valid key of a client account.
	ReasonUnauthenticated Reason = "unauthenticated"
	// ReasonQuota means that the client account is beyond its quota.
	ReasonQuota Reason = "quota"
	// ReasonNoRegion means that no region is allowed both for the request's route and
	// for its client account.
	ReasonNoRegion Reason = "no-region"
	// ReasonLease means that the gateway has no valid confirmation lease, without which
	// it can't know whether the request's key still holds.
	ReasonLease Reason = "lease-ended"
	// ReasonFormerState means that the gateway knows the configuration only as a former
	// release decoded it, which drops the client accounts.
	ReasonFormerState Reason = "former-state"
	// ReasonPeer means that another entry VM was unreachable or failed to handle
	// the request.
	ReasonPeer Reason = "peer-failed"
)
