package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"plumbarrow.example/plumbarrow/internal/answercheck"
	"plumbarrow.example/plumbarrow/link/linkpb"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// frameKeepAliveInterval is the longest time between two frames of a forwarded answer.
	frameKeepAliveInterval = time.Second
	// frameTimeout is how long a forwarded call may wait for a frame before it fails. It is longer
	// than frameKeepAliveInterval.
	frameTimeout = 3 * time.Second
	// relayConfirmTimeout is how long a member nearby may take to confirm the connection: many round trips within a region.
	relayConfirmTimeout = 400 * time.Millisecond
	// maxChunkBytes bounds one body chunk.
	maxChunkBytes = 64 << 10
)

// ErrAborted is the cause of a failure that the serving instance has decided on: it makes no further attempt.
var ErrAborted = errors.New("the serving instance aborted the answer")

// ForwardedRequest is a caller's request that is forwarded to an entry instance of another zone.
type ForwardedRequest struct {
	RequestID string
	Customer  string // authenticated by the sender
	Method    string
	Path      string // with query
	Header    http.Header
	Body      []byte
	BodyError error // of a received request whose body there is no memory for; Body is nil then
	Hops      int   // entry instances that handled the request so far, including the sender
}

// ForwardClient sends requests to entry instances of other zones. Safe for concurrent use.
type ForwardClient struct {
	peers   Peers
	confirm time.Duration // bound of the time until the member has confirmed the connection
}

// NewForwardClient returns a client over the peer links.
func NewForwardClient(peers Peers) *ForwardClient {
	return &ForwardClient{peers: peers, confirm: frameTimeout}
}

// NewRelayClient returns a client for members nearby, of which another one is tried soon when one does not answer.
func NewRelayClient(peers Peers) *ForwardClient {
	return &ForwardClient{peers: peers, confirm: relayConfirmTimeout}
}

// Forward sends the request to the member and returns once it has the answer's head. The body ends
// with io.EOF only after the member's End frame; ForwardVerdict then returns the member's verdict on
// the request. Errors, including those of the body, are *Failure. The verdict is not_run if the
// member did not confirm the connection, as the request was not sent.
func (f *ForwardClient) Forward(ctx context.Context, member machine.Member, forwarded *ForwardedRequest) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	call := &forwardCall{ctx: ctx, cancel: cancel}
	call.timer = time.AfterFunc(f.confirm, func() { cancel(errSilent) })
	answer, err := call.start(f.peers, member, forwarded)
	if err != nil {
		failure := call.failure(err)
		call.close()
		return nil, failure
	}
	return answer, nil
}

// forwardCall is one forwarded request; it is the body of its answer.
type forwardCall struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	timer       *time.Timer
	stream      linkpb.DRPCForwarding_ForwardClient
	mayHaveSent bool   // the member may have received the request
	unread      []byte // of the last chunk
	ended       bool
	verdict     verdict.Verdict
}

var _ io.ReadCloser = (*forwardCall)(nil)

func (c *forwardCall) start(peers Peers, member machine.Member, forwarded *ForwardedRequest) (*Answer, error) {
	conn, err := peers.Conn(c.ctx, member)
	if err != nil {
		return nil, err
	}
	c.stream, err = linkpb.NewDRPCForwardingClient(conn).Forward(c.ctx)
	if err != nil {
		return nil, err
	}
	if _, err := c.stream.Recv(); err != nil { // the confirmation, within the time that the timer has left
		return nil, err
	}
	c.timer.Reset(frameTimeout)
	c.mayHaveSent = true
	if err := c.send(forwarded); err != nil {
		return nil, err
	}
	for {
		frame, err := c.receive()
		if err != nil {
			return nil, err
		}
		if answer := frame.GetAnswer(); answer != nil {
			if err := checkHead(answer); err != nil {
				return nil, err
			}
			return &Answer{Status: int(answer.GetStatus()), Header: fromHeaders(answer.GetHeaders()), Body: c, Length: -1}, nil
		}
		if end := frame.GetEnd(); end != nil {
			if end.GetAborted() {
				return nil, ErrAborted
			}
			return nil, errors.New("the answer ended before its head")
		}
	}
}

// checkHead returns an error for a head that could not be passed on.
func checkHead(head *linkpb.AnswerHead) error {
	if status := int(head.GetStatus()); !answercheck.ValidStatus(status) || status < http.StatusOK {
		return fmt.Errorf("the answer has the status %d", status)
	}
	for _, field := range head.GetHeaders() {
		if !answercheck.ValidField(decodeText(field.GetName()), decodeText(field.GetValue())) {
			return fmt.Errorf("the answer has an invalid field %.80q", field.GetName())
		}
	}
	return nil
}

func (c *forwardCall) send(forwarded *ForwardedRequest) error {
	request := &linkpb.RequestHead{
		RequestId: encodeText(forwarded.RequestID),
		Customer:  encodeText(forwarded.Customer),
		Method:    encodeText(forwarded.Method),
		Path:      encodeText(forwarded.Path),
		Headers:   toHeaders(forwarded.Header),
		BodyBytes: int64(len(forwarded.Body)),
		Hops:      int32(forwarded.Hops),
	}
	if err := c.stream.Send(&linkpb.Frame{Kind: &linkpb.Frame_Request{Request: request}}); err != nil {
		return err
	}
	for body := forwarded.Body; len(body) > 0; {
		n := min(len(body), maxChunkBytes)
		if err := c.stream.Send(&linkpb.Frame{Kind: &linkpb.Frame_Chunk{Chunk: body[:n]}}); err != nil {
			return err
		}
		c.timer.Reset(frameTimeout)
		body = body[n:]
	}
	return nil
}

// receive waits for one frame. The frame timer runs only during the wait.
func (c *forwardCall) receive() (*linkpb.Frame, error) {
	c.timer.Reset(frameTimeout)
	defer c.timer.Stop()
	return c.stream.Recv()
}

func (c *forwardCall) failure(err error) *Failure {
	failure := &Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryConnection, Err: err}
	if errors.Is(context.Cause(c.ctx), errSilent) {
		failure.Reason = verdict.RetrySilent
	}
	if !c.mayHaveSent {
		failure.Verdict = verdict.NotRun
	}
	return failure
}

// Read implements io.Reader.
func (c *forwardCall) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		frame, err := c.receive()
		if err != nil {
			return 0, c.failure(err)
		}
		c.unread = frame.GetChunk()
		if end := frame.GetEnd(); end != nil {
			if end.GetAborted() {
				return 0, c.failure(ErrAborted)
			}
			c.ended = true
			_ = c.verdict.UnmarshalText([]byte(end.GetVerdict()))
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (c *forwardCall) Close() error {
	c.close()
	return nil
}

func (c *forwardCall) close() {
	c.timer.Stop()
	if c.stream != nil {
		_ = c.stream.Close()
	}
	c.cancel(nil)
}

// ForwardVerdict returns the serving instance's verdict on a forwarded request. Until the answer is
// read to its end it returns MayHaveRun.
func ForwardVerdict(answer *Answer) verdict.Verdict {
	if call, ok := answer.Body.(*forwardCall); ok && call.ended {
		return call.verdict
	}
	return verdict.MayHaveRun
}

func toHeaders(header http.Header) []*linkpb.Header {
	var headers []*linkpb.Header
	for name, values := range header {
		for _, value := range values {
			headers = append(headers, &linkpb.Header{Name: encodeText(name), Value: encodeText(value)})
		}
	}
	return headers
}

func fromHeaders(headers []*linkpb.Header) http.Header {
	header := make(http.Header, len(headers))
	for _, encoded := range headers {
		header.Add(decodeText(encoded.GetName()), decodeText(encoded.GetValue()))
	}
	return header
}

// encodeText returns bytes of HTTP as a string of a message, which must be UTF-8: each byte becomes the character of its number. Text in ASCII
// stays as it is.
func encodeText(text string) string {
	if isASCII(text) {
		return text
	}
	encoded := make([]rune, 0, len(text))
	for _, b := range []byte(text) {
		encoded = append(encoded, rune(b))
	}
	return string(encoded)
}

// decodeText reverses encodeText.
func decodeText(encoded string) string {
	if isASCII(encoded) {
		return encoded
	}
	text := make([]byte, 0, len(encoded))
	for _, char := range encoded {
		text = append(text, byte(char))
	}
	return string(text)
}

func isASCII(text string) bool {
	for _, b := range []byte(text) {
		if b >= utf8.RuneSelf {
			return false
		}
	}
	return true
}
