package pipelinehttp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peerClosed reports whether the peer has closed or half-closed the connection, also
// while bytes that it sent before are unread. It doesn't block.
func peerClosed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, errPoll := unix.Poll(fds, 0)
		closed = errPoll == nil && n > 0
	})
	return err != nil || closed
}
