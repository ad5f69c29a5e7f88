//go:build !linux

package sockqueue

import "net"

// Pending is false on this system: without POLLRDHUP, input can't be told from the end of the
// stream, and idle connections of peers that left would stay open.
func Pending(net.Conn) bool { return false }

// Unsent is 0 on this system, where connections are closed as if their peers had taken all
// that was written.
func Unsent(net.Conn) int { return 0 }

// PeerClosed is false on this system: without POLLRDHUP, that the peer has closed the connection is
// known only once all that it sent before is read.
func PeerClosed(net.Conn) bool { return false }
