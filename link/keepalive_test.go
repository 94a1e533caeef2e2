package link

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// unansweredProbes returns after how many unanswered keep-alive probes Linux closes a connection with these socket options, in the order
// idle, interval, user timeout. With a user timeout, the time since the last byte decides instead of the count (tcp_keepalive_timer).
func unansweredProbes(idle, interval time.Duration, count int, userTimeout time.Duration) int {
	silent := idle
	for probes := 0; ; probes++ {
		if userTimeout > 0 && silent >= userTimeout && probes > 0 || userTimeout == 0 && probes >= count {
			return probes
		}
		silent += interval
	}
}

// TestKeepAliveToleratesLoss guards against connections that end because one packet was lost while an answer was awaited: a user timeout
// overrides the count of keep-alive probes.
func TestKeepAliveToleratesLoss(t *testing.T) {
	for name, dial := range map[string]DialFunc{"endpoints": endpointDialer(), "others": defaultDial()} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer listener.Close()
			conn, err := dial(t.Context(), "tcp", listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			raw, err := conn.(syscall.Conn).SyscallConn()
			c.Assert(err, qt.IsNil)
			option := func(name int) (value int) {
				c.Assert(raw.Control(func(fd uintptr) {
					value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name)
				}), qt.IsNil)
				c.Assert(err, qt.IsNil)
				return value
			}
			idle, interval := time.Duration(option(syscall.TCP_KEEPIDLE))*time.Second, time.Duration(option(syscall.TCP_KEEPINTVL))*time.Second
			userTimeout := time.Duration(option(tcpUserTimeout)) * time.Millisecond
			c.Check(unansweredProbes(idle, interval, option(syscall.TCP_KEEPCNT), userTimeout) >= 2, qt.IsTrue, qt.Commentf("idle %s, interval %s, user timeout %s", idle, interval, userTimeout))
		})
	}
}
