package link

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcmux"
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
			idle, interval := time.Duration(option(c, conn, syscall.TCP_KEEPIDLE))*time.Second, time.Duration(option(c, conn, syscall.TCP_KEEPINTVL))*time.Second
			userTimeout := time.Duration(option(c, conn, tcpUserTimeout)) * time.Millisecond
			c.Check(unansweredProbes(idle, interval, option(c, conn, syscall.TCP_KEEPCNT), userTimeout) >= 2, qt.IsTrue, qt.Commentf("idle %s, interval %s, user timeout %s", idle, interval, userTimeout))
		})
	}
}

// option returns a TCP option of the connection's socket.
func option(c *qt.C, conn net.Conn, name int) (value int) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	c.Assert(err, qt.IsNil)
	c.Assert(raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name) }), qt.IsNil)
	c.Assert(err, qt.IsNil)
	return value
}

// acceptedConns hands out the connections that it accepts.
type acceptedConns struct {
	net.Listener
	conns chan net.Conn
}

func (a acceptedConns) Accept() (net.Conn, error) {
	conn, err := a.Listener.Accept()
	if err == nil {
		a.conns <- conn
	}
	return conn, err
}

// TestServingInstanceNoticesLostPeer guards against TWICE: the link between an instance and the peer that serves its request falls silent, the
// instance passes the request on to another peer, and the first one still works on it.
func TestServingInstanceNoticesLostPeer(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	accepted := acceptedConns{listener, make(chan net.Conn, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- ServePeers(ctx, accepted, drpcmux.New()) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	serving := <-accepted.conns
	second, err := net.Dial("tcp", listener.Addr().String()) // accepted after the options of the first one are set
	c.Assert(err, qt.IsNil)
	<-accepted.conns
	noticed := time.Duration(option(c, serving, tcpUserTimeout))*time.Millisecond + frameKeepAliveInterval
	c.Check(noticed > frameKeepAliveInterval && noticed < frameTimeout, qt.IsTrue, qt.Commentf("%s", noticed))
	_, _ = conn.Close(), second.Close()
	cancel()
	c.Check(<-served, qt.IsNil)
}
