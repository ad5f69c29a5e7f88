//go:build unix

package endpointhttp

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// openWithoutInput reports whether an idle connection is open and has no bytes to
// read. It doesn't block.
func openWithoutInput(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peek error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peek = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peek, unix.EAGAIN)
}
