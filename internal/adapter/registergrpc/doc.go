// Package registergrpc carries the messages of internal/core/register between
// control VMs over gRPC, and encodes the state that they keep on disk.
package registergrpc
