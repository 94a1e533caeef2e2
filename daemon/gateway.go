package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmux"

	"plumbarrow.example/plumbarrow/canary"
	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/gateway"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror"
	"plumbarrow.example/plumbarrow/platform"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/zone"
)

const (
	// memoryShare is the part of the machine's memory that the collector may fill; the rest is for
	// what the kernel holds for the process.
	memoryShare = 0.6
	// collectorPercent is the growth of the heap, in percent, at which the collector runs. Instances use
	// a few hundredths of a core, so that collecting often costs less than the memory it saves.
	collectorPercent = 25
	// sweepPeriod is how often idle connections are looked through.
	sweepPeriod = time.Second
	// unready is the time after which the balancer has noticed that an instance is not ready: two
	// checks a second apart and the way of their answers.
	unready = 2500 * time.Millisecond
	// stopMargin is left of the time to stop, to withdraw from the store and end.
	stopMargin = 400 * time.Millisecond
	// lastRequests is left before that for the requests under way, after which no further ones are
	// taken: several times what a plain request takes.
	lastRequests = time.Second
	// quietTime without a request ends a planned stop.
	quietTime = 300 * time.Millisecond
	// gatewayHeaderTimeout bounds how long a caller may take for its request's header. The
	// operators' limits may be shorter; no caller that keeps to them is cut off.
	gatewayHeaderTimeout = 10 * time.Second
	// gatewayIdleTimeout is longer than the operators' limits, so that no kept connection is closed
	// under a request.
	gatewayIdleTimeout = 120 * time.Second
	// maxHeaderBytes bounds a request's header, well above what operators allow callers.
	maxHeaderBytes = 64 << 10
)

// Gateway is one entry instance on the users' platform.
type Gateway struct {
	settings GatewaySettings
	log      *slog.Logger
	counters *telemetry.Counters

	self       machine.Member
	store      *platform.Store
	mirror     *mirror.Mirror
	documents  *mirror.Topic
	presence   *mirror.Presence
	membership *zone.Membership
	exchange   *zone.Exchange
	current    *catalog.Current
	table      *upstream.Table
	rollouts   *canary.Rollouts
	driver     *canary.Driver
	wire       *link.Wire
	dialer     *link.PeerDialer
	peers      *drpcmux.Mux
	server     *gateway.Server
}

// NewGateway assembles an instance; nothing runs before Run.
func NewGateway(settings GatewaySettings, log *slog.Logger) (*Gateway, error) {
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB<<20)))
	g := &Gateway{
		settings: settings,
		log:      log,
		counters: telemetry.New(),
		self: machine.Member{
			ID:          machine.InstanceID(settings.Instance),
			Incarnation: machine.Incarnation(uuid.NewString()),
			// Instances of all zones of a region exchange state directly: the region is the
			// exchange's zone.
			Zone:    settings.Region,
			Address: settings.PeersAddress,
		},
		current: &catalog.Current{},
		dialer:  link.NewPeerDialer(),
		peers:   drpcmux.New(),
	}
	g.assembleStore()
	g.assembleFlow()
	err := errors.Join(
		link.NewLiveness(g.self).Register(g.peers),
		g.exchange.Register(g.peers),
		g.documents.Register(g.peers),
	)
	return g, eris.Wrap(err, "register peer services")
}

// assembleStore joins what the instance knows through the store and through its peers.
func (g *Gateway) assembleStore() {
	g.store = platform.NewStore(g.settings.StoreAddress, func(operation string) {
		g.counters.Add("plumbarrow_store_calls_total", "op", operation)
	})
	decoder := &platform.DocumentDecoder{Current: g.current, Log: g.log, OnConfiguration: func(*catalog.Snapshot) { g.exchange.Nudge() }}
	g.mirror = mirror.New(g.log, decoder.OnChange)
	g.presence = mirror.NewPresence(g.mirror, g.store, g.self, g.log)
	g.membership = zone.NewMembership(g.settings.Exchange, g.self, g.presence, g.log)
	g.exchange = zone.NewExchange(g.settings.Exchange, g.membership, g.dialer, g.counters, g.log)
	g.documents = mirror.NewTopic(g.mirror, g.dialer)
	g.table = upstream.NewTable(g.self.ID, g.settings.Zone, g.current, g.membership, g.counters, g.log)
	g.rollouts = canary.New(g.settings.CanaryShare, g.counters, g.log)
	g.driver = canary.NewDriver(g.rollouts, g.mirror, g.store, platform.Publisher{}, g.self.ID, g.log)
	decoder.Endpoints = g.table
	decoder.Rollouts = g.rollouts
	g.exchange.Add(g.documents)
	g.exchange.Add(upstream.NewLoadTopic(g.table))
	g.exchange.Add(g.rollouts)
}

func (g *Gateway) assembleFlow() {
	endpoints := platform.EndpointHeaders{}
	g.wire = link.NewWire(endpoints.Answers)
	g.counters.Gauge("plumbarrow_endpoint_connections_opened", func() float64 { return float64(g.wire.Opened()) })
	g.server = gateway.New(gateway.Parts{
		Self:      g.self,
		Callers:   platform.CallerHeaders{},
		Endpoints: endpoints,
		Current:   g.current,
		Upstreams: g.table,
		Sender:    g.wire,
		Versions:  g.rollouts,
		Retries:   gateway.NewRetries(),
		Ladder:    gateway.NewLadder(),
		Counters:  g.counters,
		Log:       g.log,
	})
}

// Run serves until ctx ends or a part fails. When ctx ends it makes a planned stop.
func (g *Gateway) Run(ctx context.Context) error {
	var group run.Group
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	addStop(ctx, &group, g.stop)
	addParts(background, cancel, &group, g.parts())
	servers := []struct {
		address string
		server  *http.Server
	}{
		{g.settings.CallersAddress, g.httpServer(g.server)},
		{g.settings.ReadyAddress, g.httpServer(g.readyHandler())},
		{g.settings.MetricsAddress, g.httpServer(g.metricsHandler())},
	}
	for _, one := range servers {
		if err := addServer(&group, one.address, one.server); err != nil {
			return err
		}
	}
	err := group.Run()
	g.wire.Close()
	g.dialer.Close()
	return err
}

// parts are the long-running parts; each returns when its context ends.
func (g *Gateway) parts() []func(context.Context) error {
	return []func(context.Context) error{
		func(ctx context.Context) error { return g.mirror.Follow(ctx, g.store) },
		g.documents.Run,
		g.presence.Run,
		g.membership.Run,
		g.exchange.Run,
		g.driver.Run,
		g.sweep,
		g.servePeers,
	}
}

func (g *Gateway) servePeers(ctx context.Context) error {
	listener, err := net.Listen("tcp", g.settings.PeersAddress)
	if err != nil {
		return eris.Wrap(err, "peers_address")
	}
	return link.ServePeers(ctx, listener, g.peers)
}

// sweep closes connections that are of no more use.
func (g *Gateway) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.wire.Sweep(g.table.Live)
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gateway) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: gatewayHeaderTimeout,
		IdleTimeout:       gatewayIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
}

func addServer(group *run.Group, address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, address)
	}
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { _ = server.Close() })
	return nil
}

// ready says whether the balancer should send callers here.
func (g *Gateway) ready() bool {
	return !g.server.Stopping() && g.current.Get() != nil && g.table.Ready()
}

func (g *Gateway) readyHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/ready", func(c echo.Context) error {
		if !g.ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

func (g *Gateway) metricsHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
		c.Response().WriteHeader(http.StatusOK)
		g.counters.Write(c.Response())
		return nil
	})
	return e
}

// stop is a planned stop: not ready, serving on until the balancer has noticed, then until no request
// is in progress, within the time that the platform leaves.
func (g *Gateway) stop() {
	g.log.Info("planned stop")
	started := time.Now()
	g.server.Stop()
	time.Sleep(unready)
	// New connections come no more. Idle ones stay open: a request may be on its way on any of them.
	g.server.Close(gateway.ClosedToStreams)
	ends := started.Add(time.Duration(g.settings.StopSeconds*float64(time.Second)) - stopMargin)
	g.drain(ends.Add(-lastRequests))
	// What arrives from now on would be cut off at an endpoint by the end of the process.
	g.server.Close(gateway.ClosedToAll)
	if !g.drain(ends) {
		g.log.Error("requests were still in progress at the end of the time to stop")
	}
	g.membership.Leave()
	g.exchange.Nudge()
	g.log.Info("stopped", "took_ms", time.Since(started).Milliseconds())
}

// drain waits until no request is in progress, and returns false if that is not so by the time.
func (g *Gateway) drain(by time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	return g.server.Drain(ctx, quietTime) == nil
}

// Reload takes over a changed settings file as far as that is possible without a restart.
func (g *Gateway) Reload(settings GatewaySettings) {
	changed := settings.Instance != g.settings.Instance || settings.CallersAddress != g.settings.CallersAddress ||
		settings.StoreAddress != g.settings.StoreAddress
	g.log.Info("settings read again", "needs_restart", changed)
}
