// Package peergrpc implements the protocol between entry VMs over gRPC, and the
// client with which an entry VM fetches the document from control VMs.
//
// The client keeps one connection per peer. Before it forwards a request, it
// replaces a connection on which no call has succeeded for a second: a network
// device between the VMs may have lost the connection's state, so that its bytes
// are dropped without an error. A forwarded request has the verdict NotRun only if
// no connection became ready for it, or if the peer reports NotRun.
package peergrpc
