package link

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

// endpointBody is an answer's body. Closing it after its end keeps the connection for reuse.
type endpointBody struct {
	ctx        context.Context
	client     *EndpointClient
	conn       *endpointConn
	body       io.ReadCloser
	response   *http.Response
	progress   time.Duration // longest time between two records of progress; 0 for no bound
	progressAt time.Time     // of the last one, at first the time of the header
	detach     func() bool   // detaches the connection from ctx
	written    chan error    // the result of writing the request
	ordered    bool          // no answer to another request preceded this one
	framing    Framing
	ended      bool // read to its end
	closed     bool
}

// Read implements io.Reader. Errors other than io.EOF are *Failure.
func (b *endpointBody) Read(p []byte) (int, error) {
	b.conn.source.silentSince = b.progressAt
	if b.progress > 0 {
		_ = b.conn.SetReadDeadline(b.progressAt.Add(b.progress))
	}
	n, err := b.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.ended = true
		return n, io.EOF
	default:
		failure := b.conn.failure(b.ctx, err)
		if failure.Reason != verdict.RetrySilent {
			failure.Reason = verdict.RetryTruncated
		}
		return n, failure
	}
}

// Close implements io.Closer. A connection whose answer was not read to its end is aborted, one on which answers to other requests
// preceded it is closed.
func (b *endpointBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	connOpen := b.detach() // false if ctx has ended, which aborts the connection
	if !b.ended {
		b.conn.abort()
		return nil
	}
	if connOpen && b.ended && b.ordered && b.delimited() && b.requestWritten() {
		_ = b.conn.SetReadDeadline(time.Time{})
		b.client.putIdle(b.conn, b.response.Header)
		return nil
	}
	return b.conn.Close()
}

// delimited reports whether the answer ends by its length or last chunk, not by the end of the
// connection.
func (b *endpointBody) delimited() bool { return !b.response.Close && b.framing != ByConnection }

// requestWritten reports whether the whole request was written. It waits up to writeGrace.
func (b *endpointBody) requestWritten() bool {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-b.written:
		return err == nil
	case <-timer.C:
		return false
	}
}
