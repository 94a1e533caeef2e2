// Package relay is a stand-in for a middlebox on a TCP connection, such as a NAT or a load balancer.
// It forwards connections to one target and can reset them or drop their bytes silently.
package relay

import (
	"errors"
	"net"
	"sync"
)

// Mode selects what the relay does with connections.
type Mode string

// Modes of a relay.
const (
	// Forward passes bytes both ways.
	Forward Mode = "forward"
	// Cut resets open connections, and new ones as soon as they are accepted.
	Cut Mode = "cut"
	// Silent drops all bytes of open and new connections and forwards neither EOF nor reset. A
	// connection that was silent once stays silent in every later mode.
	Silent Mode = "silent"
)

// ErrMode is returned for a mode that does not exist.
var ErrMode = errors.New("mode must be forward, cut or silent")

// Relay forwards to one target. Safe for concurrent use.
type Relay struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	mode   Mode
	closed bool
	links  map[*link]struct{}
	opened int
}

// New listens on address (IP:port) and forwards to target until Close.
func New(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: listener, mode: Forward, links: make(map[*link]struct{})}
	go r.accept()
	return r, nil
}

// Address returns the IP:port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Opened returns how many connections the relay has accepted in modes Forward and Silent; those for
// which the target could not be dialed don't count.
func (r *Relay) Opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// SetMode changes the mode, for open connections too. An unknown mode changes nothing and returns ErrMode.
func (r *Relay) SetMode(mode Mode) error {
	switch mode {
	case Forward, Cut, Silent:
	default:
		return ErrMode
	}
	r.mu.Lock()
	r.mode = mode
	r.mu.Unlock()
	switch mode {
	case Cut:
		r.each((*link).cut)
	case Silent:
		r.SilenceOpen()
	}
	return nil
}

// SilenceOpen makes the open connections silent permanently; new ones follow the mode.
func (r *Relay) SilenceOpen() { r.each((*link).silence) }

// Close stops listening and resets all connections.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	err := r.listener.Close()
	r.each((*link).reset)
	return err
}

func (r *Relay) each(f func(*link)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		f(l)
	}
}

func (r *Relay) accept() {
	for {
		downstream, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(downstream.(*net.TCPConn))
	}
}

func (r *Relay) serve(downstream *net.TCPConn) {
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(downstream)
		return
	}
	l := &link{downstream: downstream, upstream: upstream.(*net.TCPConn)}
	if !r.add(l) {
		l.reset()
		return
	}
	l.run()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// add registers a connection and reports whether to forward it; if not, the caller resets it.
func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Cut || r.closed {
		return false
	}
	if r.mode == Silent {
		l.silence()
	}
	r.links[l] = struct{}{}
	r.opened++
	return true
}
