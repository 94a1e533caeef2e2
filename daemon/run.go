package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"plumbarrow.example/plumbarrow/link"
)

const (
	headerTimeout   = 10 * time.Second // a caller that sends its header more slowly is cut off
	shutdownTimeout = 5 * time.Second
	leaveNotice     = 300 * time.Millisecond // for the peers to hear that the instance leaves
)

// Run serves until ctx ends or a part fails. When ctx ends it makes a planned stop: not ready, a
// grace for the balancer, every request in progress to its end, then bills and claims to the store.
func (d *Daemon) Run(ctx context.Context) error {
	var group run.Group
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	addStop(ctx, &group, d.stop)
	addParts(background, cancel, &group, d.parts())
	d.addServer(&group, d.listeners.Callers, d.entry.Handler())
	d.addServer(&group, d.listeners.Operators, d.operate.Handler())
	err := group.Run()
	d.dispatcher.Close()
	d.dialer.Close()
	return err
}

// addStop makes a planned stop with stop when ctx ends.
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

// addParts runs the parts until one of the group ends.
func addParts(background context.Context, cancel context.CancelFunc, group *run.Group, parts []func(context.Context) error) {
	for _, part := range parts {
		group.Add(func() error { return part(background) }, func(error) { cancel() })
	}
}

// parts are the long-running parts; each returns when its context ends.
func (d *Daemon) parts() []func(context.Context) error {
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

// stop lets the balancer notice and requests finish.
func (d *Daemon) stop() {
	d.log.Info("planned stop")
	d.entry.Stop()
	time.Sleep(time.Duration(d.settings.StopGraceMS) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.StopTimeoutMS)*time.Millisecond)
	defer cancel()
	if err := d.entry.Drain(ctx); err != nil {
		d.log.Error("requests were still in progress at the end of the stop timeout", "error", err)
	}
	// Only now: an instance that has left owns no permits, and its queued requests would starve.
	d.membership.Leave()
	d.exchange.Nudge()
	time.Sleep(leaveNotice)
}

func (d *Daemon) addServer(group *run.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          slog.NewLogLogger(d.log.Handler(), slog.LevelWarn),
	}
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
}
