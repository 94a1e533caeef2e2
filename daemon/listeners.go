package daemon

import (
	"net"

	"github.com/rotisserie/eris"
)

// Listeners are the open sockets of a daemon.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Listen opens the sockets of the settings' addresses and writes the bound addresses back to the settings; they
// differ where a port is 0.
func Listen(settings *Settings) (Listeners, error) {
	var listeners Listeners
	sockets := []struct {
		name     string
		address  *string
		listener *net.Listener
	}{
		{"callers_address", &settings.CallersAddress, &listeners.Callers},
		{"operators_address", &settings.OperatorsAddress, &listeners.Operators},
		{"peers_address", &settings.PeersAddress, &listeners.Peers},
	}
	for _, socket := range sockets {
		listener, err := net.Listen("tcp", *socket.address)
		if err != nil {
			listeners.Close()
			return Listeners{}, eris.Wrap(err, socket.name)
		}
		*socket.listener = listener
		*socket.address = listener.Addr().String()
	}
	return listeners, nil
}

// Close closes the sockets that are open.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Operators, l.Peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
