// Package peergrpc carries the protocol between entries over gRPC.
//
// The client keeps one connection to each peer. A connection that was not
// heard from for a second is replaced by a new one before a request is
// forwarded on it, since something between the VMs may have lost track of it.
// A request counts as NotRun only while no connection was ready for it; after
// that, only the peer's own word makes it so.
package peergrpc
