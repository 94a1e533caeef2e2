// Package relay is a stand-in for what lies between two ends of a TCP connection. It forwards
// connections to one target and can cut them or lose track of them.
package relay

import (
	"errors"
	"net"
	"sync"
)

// Mode says what the relay does with connections.
type Mode string

// Modes of a relay.
const (
	// Forward passes bytes both ways.
	Forward Mode = "forward"
	// Cut resets open connections, and new ones as soon as they are accepted.
	Cut Mode = "cut"
	// Silent swallows all bytes of open and new connections and passes no end on. A connection
	// that was silent once stays so in every later mode.
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

// Opened returns how many connections the relay has forwarded or swallowed.
func (r *Relay) Opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// Set changes the mode.
func (r *Relay) Set(mode Mode) error {
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

// SilenceOpen makes the open connections silent for good; new ones follow the mode.
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
	for one := range r.links {
		f(one)
	}
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(near.(*net.TCPConn))
	}
}

func (r *Relay) serve(near *net.TCPConn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(near)
		return
	}
	l := &link{near: near, far: far.(*net.TCPConn)}
	if !r.add(l) {
		l.reset()
		return
	}
	l.run()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// add enters a connection; false if it must be reset.
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
