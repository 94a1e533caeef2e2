package link

import (
	"context"
	"errors"
	"io"
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

// watchedBody is an answer's body that cancels the attempt when no bytes arrive for the progress
// time. The timer runs only during a read, so that a slow reader does not count as an unresponsive
// endpoint.
type watchedBody struct {
	ctx      context.Context
	body     io.ReadCloser
	cancel   context.CancelCauseFunc
	detach   func() bool // stops the caller's context from cancelling the attempt
	timer    *time.Timer
	ended    bool          // read to its end
	progress time.Duration // longest wait for the next bytes
}

var _ io.ReadCloser = (*watchedBody)(nil)

func newWatchedBody(ctx context.Context, body io.ReadCloser, cancel context.CancelCauseFunc, progress time.Duration) *watchedBody {
	timer := time.AfterFunc(progress, func() { cancel(errSilent) })
	timer.Stop()
	return &watchedBody{ctx: ctx, body: body, cancel: cancel, timer: timer, progress: progress}
}

// Read implements io.Reader. Errors other than io.EOF are *Failure.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.timer.Reset(b.progress)
	n, err := b.body.Read(p)
	b.timer.Stop()
	b.ended = err != nil
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.failure(err)
	}
	return n, err
}

func (b *watchedBody) failure(err error) *Failure {
	reason := verdict.RetryTruncated
	if errors.Is(context.Cause(b.ctx), errSilent) {
		reason = verdict.RetrySilent
	}
	return &Failure{Verdict: verdict.MayHaveRun, Reason: reason, Err: err}
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.timer.Stop()
	b.detach()
	err := b.body.Close()
	b.cancel(nil)
	return err
}

// Bounds of the remainder of a body that Release reads.
const (
	maxReleaseBytes = 4096
	releaseTimeout  = 100 * time.Millisecond
)

// Release closes the answer without blocking. If the body was not read to its end, Release reads a
// short remainder in the background, so that the connection can be reused.
func (a *Answer) Release() {
	watched, ok := a.Body.(*watchedBody)
	if !ok || watched.ended || watched.ctx.Err() != nil {
		_ = a.Body.Close()
		return
	}
	watched.detach()
	watched.progress = min(watched.progress, releaseTimeout)
	go func() {
		_, _ = io.CopyN(io.Discard, watched, maxReleaseBytes)
		_ = watched.Close()
	}()
}
