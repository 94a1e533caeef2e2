package link

import (
	"errors"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h.
const tcpUserTimeout = 18

// setUserTimeout makes the kernel close the connection once sent bytes have stayed unacknowledged for the time. It also decides when keep-alive
// probes give up, whatever their count.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	return errors.Join(err, controlErr)
}
