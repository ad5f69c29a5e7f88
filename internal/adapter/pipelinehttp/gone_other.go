//go:build !linux

package pipelinehttp

import "net"

// peerClosed would report whether the peer has closed the connection while bytes that it
// sent before are unread. Without POLLRDHUP that is known only once they are read.
func peerClosed(net.Conn) bool { return false }

// hasInput would report whether bytes of the peer are unread.
func hasInput(net.Conn) bool { return false }
