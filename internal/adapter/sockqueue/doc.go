// Package sockqueue tells what the kernel holds of a connection's input and output, without
// reading or writing.
//
// A connection that is closed with unread input is reset, and a request in that input is lost.
// A timer or a limit that ends connections must therefore look at their input: a process that
// gets little processor time may not have read what arrived long ago. It must also look at their
// output: once a connection is closed, whatever its peer sends resets it, and what the
// peer hasn't taken of a response is lost.
package sockqueue

import (
	"net"
	"syscall"
)

// socket returns the socket of a connection, which may be wrapped; nil if there is none.
func socket(c net.Conn) syscall.Conn {
	for {
		if sc, ok := c.(syscall.Conn); ok {
			return sc
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapped.NetConn()
	}
}
