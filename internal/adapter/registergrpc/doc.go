// Package registergrpc carries the messages of the replicated register, package
// internal/core/register, between control VMs over gRPC, serves the document to
// entry VMs, and encodes the state that a control VM keeps on disk.
//
// A member is one control VM that takes part in the register. A group is one
// fixed set of members; its number is part of the register's messages and of the
// stored state, so that members of different groups don't mix.
package registergrpc
