//go:build !linux

package sockinput

import "net"

// Pending would report whether bytes of the peer are unread. Without POLLRDHUP, input can't be
// told from the end of the stream, and idle connections of peers that left would stay open.
func Pending(net.Conn) bool { return false }

// PeerClosed would report whether the peer has closed the connection while bytes that it sent
// before are unread. Without POLLRDHUP that is known only once they are read.
func PeerClosed(net.Conn) bool { return false }
