package answercheck

import (
	"context"
	"net"
	"net/http"
)

// Conn is a connection to a server whose reads fail at the first byte that is not of a valid answer.
type Conn struct {
	net.Conn
	Answers Checker
}

// NewConn returns the connection with a checker that has the budget.
func NewConn(conn net.Conn, budget *Budget) *Conn {
	c := &Conn{Conn: conn}
	c.Answers.SetBudget(budget)
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.Answers.Err(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	return c.Answers.Filter(p[:n], err)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.Answers.Close()
	return c.Conn.Close()
}

// DialFunc opens a connection, as of http.Transport.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens checked connections with dial. It is for clients that send no HEAD.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn, nil), nil
	}
}

// NewTransport returns a transport like http.DefaultTransport with checked connections.
func NewTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = Dial(transport.DialContext)
	return transport
}
