package link

import (
	"context"
	"errors"
	"io"
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

// watchedBody ends an answer whose connection goes silent. The progress timer runs only while a
// read waits: a caller that reads slowly is not a silent endpoint.
type watchedBody struct {
	ctx      context.Context
	body     io.ReadCloser
	cancel   context.CancelCauseFunc
	detach   func() bool // ends the caller's hold on the answer
	timer    *time.Timer
	ended    bool // read to its end
	progress time.Duration
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

const (
	releaseBytes = 4096
	releaseTime  = 100 * time.Millisecond
)

// Release closes the answer without waiting. Of one not read to its end it reads the few bytes that
// may follow in the background, so that the connection can be used again.
func (a *Answer) Release() {
	watched, ok := a.Body.(*watchedBody)
	if !ok || watched.ended || watched.ctx.Err() != nil {
		_ = a.Body.Close()
		return
	}
	watched.detach()
	watched.progress = min(watched.progress, releaseTime)
	go func() {
		_, _ = io.CopyN(io.Discard, watched, releaseBytes)
		_ = watched.Close()
	}()
}
