package link

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

// wireBody is an answer's body. Its end puts the connection back for reuse.
type wireBody struct {
	ctx      context.Context
	wire     *Wire
	conn     *wireConn
	body     io.ReadCloser
	response *http.Response
	progress time.Duration
	stop     func() bool
	written  chan error
	whole    bool
	closed   bool
}

// Read implements io.Reader. Errors other than io.EOF are *Failure.
func (b *wireBody) Read(p []byte) (int, error) {
	if b.progress > 0 {
		_ = b.conn.SetReadDeadline(time.Now().Add(b.progress))
	}
	n, err := b.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.whole = true
		return n, io.EOF
	default:
		failure := b.conn.failure(b.ctx, err)
		if failure.Reason != verdict.RetrySilent {
			failure.Reason = verdict.RetryTruncated
		}
		return n, failure
	}
}

// Close implements io.Closer. A connection whose answer was not read to its end is closed.
func (b *wireBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	live := b.stop() // false: ctx has ended and closes the connection
	if live && b.whole && b.delimited() && b.sent() {
		_ = b.conn.SetReadDeadline(time.Time{})
		b.wire.keep(b.conn, b.response.Header)
		return nil
	}
	return b.conn.Close()
}

// delimited says whether the answer's end was not the connection's.
func (b *wireBody) delimited() bool {
	chunked := len(b.response.TransferEncoding) > 0
	return !b.response.Close && (chunked || b.response.ContentLength >= 0)
}

// sent says whether the whole request has left.
func (b *wireBody) sent() bool {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-b.written:
		return err == nil
	case <-timer.C:
		return false
	}
}
