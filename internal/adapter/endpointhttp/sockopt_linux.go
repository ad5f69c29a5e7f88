package endpointhttp

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout returns a net.Dialer.Control that sets TCP_USER_TIMEOUT
// (RFC 5482). A failure to set it is ignored: on a kernel without the option, the
// connection works without it.
func setUserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
	}
}
