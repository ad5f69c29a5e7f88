//go:build !unix

package endpointhttp

import "net"

// quiet reports false where an idle connection can't be looked at without
// blocking, so that none is reused.
func quiet(net.Conn) bool { return false }
