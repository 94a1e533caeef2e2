package daemon

import (
	"context"
	"net"
)

// dialOnce opens and closes a connection, to see whether something listens at the address.
func dialOnce(ctx context.Context, address string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
