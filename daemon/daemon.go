package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"storj.io/drpc/drpcmux"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/platform"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/zone"
)

const (
	headerTimeout = 10 * time.Second // a caller that sends its header more slowly is cut off
	drainTimeout  = time.Minute
)

// Daemon is one entry instance.
type Daemon struct {
	settings   Settings
	log        *slog.Logger
	counters   *telemetry.Counters
	replica    *replica.Replica
	membership *zone.Membership
	table      *machine.Table
	entry      *entry.Server
	peers      *drpcmux.Mux
}

// New assembles a daemon; nothing runs before Run.
func New(settings Settings, log *slog.Logger) *Daemon {
	counters := telemetry.New()
	store := platform.NewConsul(settings.StoreAddress, func(op string) { counters.Add("plumbarrow_store_calls_total", "op", op) })
	list := platform.NewHTTPList(settings.ListAddress, func(op string) { counters.Add("plumbarrow_platform_calls_total", "op", op) })
	self := machine.Member{
		ID:          machine.InstanceID(settings.Instance),
		Incarnation: machine.Incarnation(uuid.NewString()),
		Zone:        settings.Zone,
		Address:     settings.PeersAddress,
	}
	d := &Daemon{
		settings:   settings,
		log:        log,
		counters:   counters,
		replica:    replica.New(store, log),
		membership: zone.NewMembership(zone.DefaultSettings(), self, list, log),
		table:      machine.NewTable(machine.DefaultSettings(), self.ID),
		peers:      drpcmux.New(),
	}
	d.membership.OnList(func(instances []platform.Instance) {
		if snapshot := d.replica.Current(); snapshot != nil {
			d.table.Apply(settings.Zone, instances, snapshot)
		}
	})
	memory := ledger.NewMemory()
	d.entry = entry.New(entry.Parts{
		Self:         self,
		Source:       d.replica,
		Table:        d.table,
		Picker:       decide.LeastLoaded{},
		Dispatcher:   link.NewDispatcher(),
		Claims:       memory,
		Bills:        memory,
		Counters:     counters,
		Log:          log,
		MaxBodyBytes: settings.MaxBodyBytes,
	})
	return d
}

// Run serves until ctx ends, then finishes what has started.
func (d *Daemon) Run(ctx context.Context) error {
	var group run.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
	add := func(f func(context.Context) error) {
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	add(d.replica.Run)
	add(d.membership.Run)
	add(d.servePeers)
	if err := d.addServer(&group, d.settings.CallersAddress, d.entry.Handler()); err != nil {
		return err
	}
	if err := d.addServer(&group, d.settings.OperatorsAddress, d.operators()); err != nil {
		return err
	}
	return group.Run()
}

func (d *Daemon) servePeers(ctx context.Context) error {
	listener, err := net.Listen("tcp", d.settings.PeersAddress)
	if err != nil {
		return fmt.Errorf("peers address: %w", err)
	}
	return link.ServePeers(ctx, listener, d.peers)
}

func (d *Daemon) addServer(group *run.Group, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return nil
}

// operators returns the operators' HTTP surface.
func (d *Daemon) operators() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if d.replica.Current() == nil {
			return c.String(http.StatusServiceUnavailable, "no configuration\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlain)
		d.counters.Write(c.Response())
		return nil
	})
	return e
}
