//go:build !unix

package endpointhttp

import "net"

// openWithoutInput returns false on systems where an idle connection can't be
// checked without blocking. No connection is reused there.
func openWithoutInput(net.Conn) bool { return false }
