package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/oklog/run"

	"plumbarrow.example/plumbarrow/link"
)

const (
	headerTimeout   = 10 * time.Second // for reading a request's header
	shutdownTimeout = 5 * time.Second
	// endedAnswerTime is the time for the answers to requests that the end of a planned stop has ended, and for
	// recording what they may have run.
	endedAnswerTime = 2 * time.Second
	leaveDelay      = 300 * time.Millisecond // for the exchange to tell the peers that the instance leaves
)

// Run serves until ctx ends or a task fails. When ctx ends, it makes a planned stop: it reports the instance as
// not ready, waits for the balancer, drains the requests in progress, leaves the fleet, and writes outstanding
// bills and claims to the store.
func (d *Daemon) Run(ctx context.Context) error {
	var group run.Group
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	addStop(ctx, &group, d.stop)
	addTasks(background, cancel, &group, d.tasks())
	server := d.httpServer(d.entry.Handler())
	d.callers.Attach(server)
	addServer(&group, d.callers.Guarded(d.listeners.Callers), server, shutdownTimeout)
	addServer(&group, d.listeners.Operators, d.httpServer(d.operate.Handler()), shutdownTimeout)
	err := group.Run()
	d.dispatcher.Close()
	d.dialer.Close()
	return err
}

// addStop adds an actor that calls stop when ctx ends.
func addStop(ctx context.Context, group *run.Group, stop func()) {
	stopped := make(chan struct{})
	group.Add(func() error {
		select {
		case <-ctx.Done():
			stop()
		case <-stopped:
		}
		return nil
	}, func(error) { close(stopped) })
}

// addTasks adds the tasks to the group. When any actor of the group ends, it cancels their context.
func addTasks(background context.Context, cancel context.CancelFunc, group *run.Group, tasks []func(context.Context) error) {
	for _, task := range tasks {
		group.Add(func() error { return task(background) }, func(error) { cancel() })
	}
}

// tasks returns the background tasks; each runs until its context ends.
func (d *Daemon) tasks() []func(context.Context) error {
	return []func(context.Context) error{
		d.replica.Run,
		d.membership.Run,
		d.exchange.Run,
		d.ledger.Run,
		d.permits.Run,
		d.poller.Run,
		d.guard.Run,
		d.driver.Run,
		d.judge.Run,
		d.operate.Run,
		func(ctx context.Context) error { return link.ServePeers(ctx, d.listeners.Peers, d.peers) },
	}
}

// stop makes a planned stop: it reports the instance as not ready, waits for the balancer, drains the requests
// in progress and leaves the fleet.
func (d *Daemon) stop() {
	d.log.Info("planned stop")
	grace := time.Duration(d.settings.StopGraceMS) * time.Millisecond
	ends := time.Now().Add(grace + time.Duration(d.settings.StopTimeoutMS)*time.Millisecond)
	d.entry.Stop(ends)
	time.Sleep(grace)
	if !d.entry.Finish(ends, endedAnswerTime) {
		d.log.Error("stop timeout ended with requests still in progress")
	}
	// The instance leaves only after the drain: once it has left, it owns no permits, and requests in its queue
	// would starve.
	d.membership.Leave()
	d.exchange.TriggerRound()
	time.Sleep(leaveDelay)
}

func (d *Daemon) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          slog.NewLogLogger(d.log.Handler(), slog.LevelWarn),
	}
}
