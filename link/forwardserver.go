package link

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/link/linkpb"
	"plumbarrow.example/plumbarrow/verdict"
)

// ForwardHandler serves a forwarded request like one received from the caller directly, and returns
// the verdict on it. A panic aborts the answer.
type ForwardHandler interface {
	ServeForwarded(ctx context.Context, w http.ResponseWriter, forwarded *ForwardedRequest) verdict.Verdict
}

// ForwardServer serves requests that entry instances of other zones forward.
type ForwardServer struct {
	handler  ForwardHandler
	maxBytes int64
	callers  *intake.Guard
}

var _ linkpb.DRPCForwardingServer = (*ForwardServer)(nil)

// NewForwardServer returns a server that accepts requests with bodies of at most maxBytes each, and of what callers allows together.
func NewForwardServer(handler ForwardHandler, maxBytes int64, callers *intake.Guard) *ForwardServer {
	return &ForwardServer{handler: handler, maxBytes: maxBytes, callers: callers}
}

// Register adds the service to a server's mux.
func (s *ForwardServer) Register(mux drpc.Mux) error { return linkpb.DRPCRegisterForwarding(mux, s) }

// Forward implements linkpb.DRPCForwardingServer.
func (s *ForwardServer) Forward(stream linkpb.DRPCForwarding_ForwardStream) error {
	out := &frameSender{stream: stream}
	if err := out.keepAlive(); err != nil {
		return err
	}
	account := s.callers.Forwarded()
	defer account.Close()
	forwarded, err := s.receive(stream, account)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(intake.NewContext(stream.Context(), account))
	defer cancel()
	var keepAlives sync.WaitGroup
	keepAlives.Go(func() { out.keepAliveUntil(ctx) })
	end := s.serve(ctx, out, forwarded)
	cancel()
	keepAlives.Wait()
	return out.send(&linkpb.Frame{Kind: &linkpb.Frame_End{End: end}})
}

// receive reads a request. Its body is left out, and BodyError set, if the account has no room for it.
func (s *ForwardServer) receive(stream linkpb.DRPCForwarding_ForwardStream, account *intake.Account) (*ForwardedRequest, error) {
	frame, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	request := frame.GetRequest()
	if request == nil || request.GetBodyBytes() < 0 || request.GetBodyBytes() > s.maxBytes {
		return nil, fmt.Errorf("the first frame is not a request head, or its body length %d is not within 0 to %d bytes",
			request.GetBodyBytes(), s.maxBytes)
	}
	forwarded := &ForwardedRequest{
		RequestID: decodeText(request.GetRequestId()),
		Customer:  decodeText(request.GetCustomer()),
		Method:    decodeText(request.GetMethod()),
		Path:      decodeText(request.GetPath()),
		Header:    fromHeaders(request.GetHeaders()),
		Hops:      int(request.GetHops()),
	}
	if forwarded.BodyError = account.Grow(request.GetBodyBytes()); forwarded.BodyError == nil {
		forwarded.Body = make([]byte, 0, request.GetBodyBytes())
	}
	received := int64(0)
	for received < request.GetBodyBytes() {
		frame, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		received += int64(len(frame.GetChunk()))
		if forwarded.BodyError == nil {
			forwarded.Body = append(forwarded.Body, frame.GetChunk()...)
		}
	}
	if received > request.GetBodyBytes() {
		return nil, fmt.Errorf("request %s: the body has at least %d bytes, but %d were declared",
			forwarded.RequestID, received, request.GetBodyBytes())
	}
	return forwarded, nil
}

func (s *ForwardServer) serve(ctx context.Context, out *frameSender, forwarded *ForwardedRequest) (end *linkpb.End) {
	writer := newFrameWriter(out)
	defer func() {
		if cause := recover(); cause != nil { // drpc recovers from nothing: any panic would end the process
			end = &linkpb.End{Verdict: verdict.MayHaveRun.String(), Aborted: true}
		}
	}()
	outcome := s.handler.ServeForwarded(ctx, writer, forwarded)
	writer.WriteHeader(http.StatusOK)
	writer.Flush()
	return &linkpb.End{Verdict: outcome.String()}
}

// frameSender serializes the frames of one answer. Keep-alives are sent concurrently with the answer.
type frameSender struct {
	mu     sync.Mutex
	stream linkpb.DRPCForwarding_ForwardStream
}

func (s *frameSender) send(frame *linkpb.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Send(frame)
}

func (s *frameSender) keepAlive() error {
	return s.send(&linkpb.Frame{Kind: &linkpb.Frame_KeepAlive{KeepAlive: &linkpb.KeepAlive{}}})
}

// keepAliveUntil sends keep-alives until ctx ends or a send fails.
func (s *frameSender) keepAliveUntil(ctx context.Context) {
	ticker := time.NewTicker(frameKeepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if s.keepAlive() != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// frameWriter is an http.ResponseWriter that sends the answer as frames.
type frameWriter struct {
	out      *frameSender
	header   http.Header
	body     *bufio.Writer
	headSent bool
	err      error
}

var (
	_ http.ResponseWriter = (*frameWriter)(nil)
	_ http.Flusher        = (*frameWriter)(nil)
)

func newFrameWriter(out *frameSender) *frameWriter {
	w := &frameWriter{out: out, header: make(http.Header)}
	w.body = bufio.NewWriterSize(chunkWriter{out}, maxChunkBytes)
	return w
}

// Header implements http.ResponseWriter.
func (w *frameWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *frameWriter) WriteHeader(status int) {
	if w.headSent {
		return
	}
	w.headSent = true
	head := &linkpb.AnswerHead{Status: int32(status), Headers: toHeaders(w.header)}
	w.err = w.out.send(&linkpb.Frame{Kind: &linkpb.Frame_Answer{Answer: head}})
}

// Write implements http.ResponseWriter.
func (w *frameWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	return w.body.Write(p)
}

// Flush implements http.Flusher.
func (w *frameWriter) Flush() {
	w.WriteHeader(http.StatusOK)
	if w.err == nil {
		w.err = w.body.Flush()
	}
}

// chunkWriter sends each write as one frame.
type chunkWriter struct{ out *frameSender }

// Write implements io.Writer.
func (w chunkWriter) Write(p []byte) (int, error) {
	if err := w.out.send(&linkpb.Frame{Kind: &linkpb.Frame_Chunk{Chunk: p}}); err != nil {
		return 0, err
	}
	return len(p), nil
}
