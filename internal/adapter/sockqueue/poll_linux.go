package sockqueue

import (
	"net"

	"golang.org/x/sys/unix"
)

// Pending reports whether bytes of the peer are unread and the peer hasn't closed its side. It
// doesn't block. It is false for a connection without a socket.
func Pending(c net.Conn) bool {
	events, ok := poll(c, unix.POLLIN|unix.POLLRDHUP)
	return ok && events&unix.POLLIN != 0 && events&unix.POLLRDHUP == 0
}

// PeerClosed reports whether the peer has closed or half-closed the connection, also while
// bytes that it sent before are unread. It doesn't block.
func PeerClosed(c net.Conn) bool {
	events, ok := poll(c, unix.POLLRDHUP)
	return !ok && socket(c) != nil || events != 0
}

// Unsent returns the number of bytes that were written and that the peer hasn't acknowledged. It
// doesn't block. It is 0 for a connection without a socket, or that the peer has reset.
func Unsent(c net.Conn) int {
	if events, ok := poll(c, 0); !ok || events&(unix.POLLERR|unix.POLLHUP) != 0 {
		return 0
	}
	raw, err := socket(c).SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		if got, errGet := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); errGet == nil {
			n = got
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// poll returns those of the events that hold, and the errors. ok is false if there is no open
// socket.
func poll(c net.Conn, events int16) (revents int16, ok bool) {
	sc := socket(c)
	if sc == nil {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, errPoll := unix.Poll(fds, 0); errPoll == nil && n > 0 {
			revents = fds[0].Revents
		}
	})
	return revents, err == nil
}
