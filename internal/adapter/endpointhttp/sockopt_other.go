//go:build !linux

package endpointhttp

import (
	"syscall"
	"time"
)

// setUserTimeout returns nil, for net.Dialer.Control, on systems without
// TCP_USER_TIMEOUT.
func setUserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
