package testlink

import (
	"net"
	"syscall"
	"time"
)

// slowReceiveBuffer is the size of the receive buffer, in bytes, of a client of DialSlow.
const slowReceiveBuffer = 4 << 10

// DialSlow connects a client whose kernel takes little of what it doesn't read.
func DialSlow(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if errControl := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBuffer)
		}); errControl != nil {
			return errControl
		}
		return err
	}}
	return dialer.Dial("tcp", address)
}
