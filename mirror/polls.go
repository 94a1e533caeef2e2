package mirror

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"plumbarrow.example/plumbarrow/machine"
)

// polls makes an instance's polls of its sources. One that is not answered in time goes on beside the next: on a link on which packets queue all
// replies are late, and each one that is discarded is sent again.
type polls struct {
	topic   *Topic
	slots   chan struct{}
	running sync.WaitGroup
	took    atomic.Int64 // time of the last answered poll without the source's wait, in nanoseconds
	late    atomic.Bool  // a reply has come late
}

func newPolls(topic *Topic) *polls { return &polls{topic: topic, slots: make(chan struct{}, maxPolls)} }

// errLate means that a poll was not answered in time. Its reply may yet come.
var errLate = errors.New("no reply in time")

// poll asks a source for changes, which it may wait for, and returns the result of Topic.fetch, or errLate.
func (p *polls) poll(ctx context.Context, source machine.Member, wait time.Duration) (fetched, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return fetched{}, ctx.Err()
	}
	type result struct {
		fetched
		err error
	}
	grace := min(max(pollGrace, time.Duration(p.took.Load())*3/2), maxPollGrace)
	results := make(chan result, 1)
	p.running.Go(func() {
		defer func() { <-p.slots }()
		started := time.Now()
		fetched, err := p.fetch(ctx, source, wait)
		if err == nil || errors.Is(err, errTooLarge) {
			took := time.Since(started) - fetched.waited
			p.took.Store(int64(took))
			if took > grace {
				p.late.Store(true)
			}
		}
		results <- result{fetched, err}
	})
	timer := time.NewTimer(wait + grace)
	defer timer.Stop()
	select {
	case result := <-results:
		return result.fetched, result.err
	case <-timer.C:
		return fetched{}, errLate
	}
}

// fetch makes one poll and has omitted changes read from the store.
func (p *polls) fetch(ctx context.Context, source machine.Member, wait time.Duration) (fetched, error) {
	result, err := p.topic.fetch(ctx, source, wait, wait+latePollGrace)
	if omitted := (*omittedError)(nil); errors.As(err, &omitted) {
		p.topic.mirror.readOmittedSoon(omitted.changes)
	} else if errors.Is(err, errTooLarge) {
		p.topic.mirror.callStore()
	}
	return result, err
}

// takeLate reports whether a reply has come late since the last call.
func (p *polls) takeLate() bool { return p.late.Swap(false) }
