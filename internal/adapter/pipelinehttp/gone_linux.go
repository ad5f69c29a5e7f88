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

// hasInput reports whether bytes of the peer are unread, which reset the connection when it
// is closed. It doesn't block.
func hasInput(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		n, errPoll := unix.Poll(fds, 0)
		// The end of the stream is readable, too.
		readable = errPoll == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0 && fds[0].Revents&unix.POLLRDHUP == 0
	})
	return err == nil && readable
}
