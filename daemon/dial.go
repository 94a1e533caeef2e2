package daemon

import (
	"context"
	"net"
)

// probeAddress opens and closes a TCP connection. It returns nil if something listens at the address.
func probeAddress(ctx context.Context, address string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
