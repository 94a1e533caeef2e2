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
	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror"
	"plumbarrow.example/plumbarrow/platform"
	"plumbarrow.example/plumbarrow/quarantine"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/zone"
)

const (
	// gcPercent is the heap growth, in percent, that triggers a garbage collection (GOGC). It is below the
	// default of 100 because instances use only a few hundredths of a core: frequent collections cost less
	// than the memory that they save.
	gcPercent = 25
	// sweepInterval is the time between two sweeps of the idle connections.
	sweepInterval = time.Second
	// balancerDelay is how long the balancer may keep sending requests to an instance that is not ready: two
	// checks a second apart, and the latency of their responses.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is the end of the stop time (StopSeconds), reserved for removing the instance's
	// registration from the store and exiting.
	stopMargin = 400 * time.Millisecond
	// finalAnswerTime is the phase before stopMargin in which requests that are still in progress are answered with
	// the verdict on their execution.
	finalAnswerTime = 100 * time.Millisecond
	// shutdownGrace is the time for the answers to requests that were read just before the end of a stop. It is a
	// part of stopMargin.
	shutdownGrace = 100 * time.Millisecond
	// drainQuietTime is the time without any request in progress after which a drain ends.
	drainQuietTime = 300 * time.Millisecond
	// gatewayHeaderTimeout is the limit for reading a request's header. It is longer than the operators'
	// limits for callers, so that no caller within them is cut off.
	gatewayHeaderTimeout = 10 * time.Second
	// gatewayIdleTimeout is the idle timeout of callers' connections. It is longer than the operators' limits
	// for callers, so that no connection is closed while a request is arriving on it.
	gatewayIdleTimeout = 120 * time.Second
	// maxHeaderBytes is the limit of a request's header at the servers that are not for callers.
	maxHeaderBytes = 64 << 10
	// maxRelayedBody is the largest body in bytes of a request that a peer passes on. The sender keeps to the operators' limit.
	maxRelayedBody = 64 << 20
)

// Gateway is one entry instance on the users' platform.
type Gateway struct {
	settings GatewaySettings
	log      *slog.Logger
	counters *telemetry.Counters

	self           machine.Member
	store          *platform.Store
	mirror         *mirror.Mirror
	mirrorTopic    *mirror.Topic
	watchers       *mirror.Watchers
	presence       *mirror.Presence
	membership     *zone.Membership
	exchange       *zone.Exchange
	current        *catalog.Current
	table          *upstream.Table
	rollouts       *canary.Rollouts
	quarantine     *quarantine.Quarantine
	keeper         *quarantine.Keeper
	driver         *canary.Driver
	endpointClient *link.EndpointClient
	callers        *intake.Guard
	dialer         *link.PeerDialer
	relayDialer    *link.PeerDialer
	reachMonitor   *upstream.ReachMonitor
	peers          *drpcmux.Mux
	server         *gateway.Server
}

// NewGateway creates an instance. It starts nothing; Run does. It sets the garbage collector's parameters of
// the whole process.
func NewGateway(settings GatewaySettings, log *slog.Logger) (*Gateway, error) {
	debug.SetGCPercent(gcPercent)
	setMemoryLimit(settings.MemoryMB)
	g := &Gateway{
		settings: settings,
		log:      log,
		counters: telemetry.New(),
		self: machine.Member{
			ID:          machine.InstanceID(settings.Instance),
			Incarnation: machine.Incarnation(uuid.NewString()),
			// Instances of all zones of a region exchange state directly, so the region takes the
			// place of the zone in the exchange.
			Zone:    settings.Region,
			Address: settings.PeersAddress,
		},
		current:     &catalog.Current{},
		dialer:      link.NewPeerDialer(),
		relayDialer: link.NewRelayDialer(),
		peers:       drpcmux.New(),
	}
	g.self.LinkMbps, _ = settings.linkMbps() // checked when the settings were loaded
	limits := settings.callers().limits()
	limits.HeadBytes = g.headBytes
	g.callers = intake.New(limits, g.counters, log)
	g.assembleStore()
	g.assembleServing()
	err := errors.Join(
		link.NewLiveness(g.self).Register(g.peers),
		g.exchange.Register(g.peers),
		g.mirrorTopic.Register(g.peers),
		link.NewForwardServer(g.server, maxRelayedBody, g.callers).Register(g.peers),
	)
	return g, eris.Wrap(err, "register peer services")
}

// headBytes returns the limit of a caller's header in the configuration in force; 0 without one.
func (g *Gateway) headBytes() int64 {
	if snapshot := g.current.Get(); snapshot != nil {
		return snapshot.Limits.HeaderBytes
	}
	return 0
}

// assembleStore creates the store's client, the mirror of its documents, and the state that is exchanged with
// peers.
func (g *Gateway) assembleStore() {
	g.store = platform.NewStore(g.settings.StoreAddress, func(operation string) {
		g.counters.Add("plumbarrow_store_calls_total", "op", operation)
	})
	decoder := &platform.DocumentDecoder{Current: g.current, Log: g.log, OnConfiguration: func(*catalog.Snapshot) { g.exchange.TriggerRound() }}
	g.mirror = mirror.New(g.log, decoder.OnChange)
	g.mirror.SetRestoreHold(platform.RestoreHold)
	g.presence = mirror.NewPresence(g.mirror, g.store, g.self, g.log)
	g.membership = zone.NewMembership(g.settings.Exchange, g.self, g.presence, g.log)
	g.exchange = zone.NewExchange(g.settings.Exchange, g.membership, g.dialer, g.counters, g.log)
	g.watchers = mirror.NewWatchers(g.membership)
	g.mirrorTopic = mirror.NewTopic(g.mirror, g.dialer, g.watchers)
	g.registerMirrorMetrics()
	g.table = upstream.NewTable(g.self.ID, g.settings.Zone, g.current, g.membership, g.counters, g.log)
	g.table.UseStatedLoads(upstream.StatedLoads{From: g.settings.StatedLoadsFrom, Unpaced: g.settings.StatedLoadsUnpaced})
	g.counters.Gauge("plumbarrow_endpoints_leaving", func() float64 { return float64(len(g.table.Leaving())) })
	g.counters.Gauge("plumbarrow_endpoints_fragile", func() float64 { return float64(g.table.Fragile()) })
	slack, _ := g.settings.canarySlack() // checked when the settings were loaded
	g.rollouts = canary.New(canary.Exposure{Share: g.settings.CanaryShare, Slack: slack}, g.counters, g.log)
	g.driver = canary.NewDriver(g.rollouts, g.mirror, g.store, platform.Publisher{}, g.membership, g.log)
	decoder.Endpoints = g.table
	decoder.Rollouts = g.rollouts
	g.endpointClient = link.NewEndpointClient(platform.EndpointHeaders{}.Match)
	g.reachMonitor = upstream.NewReachMonitor(g.table, g.endpointClient, g.counters, g.log)
	g.endpointClient.BoundHeads(headBudget(g.settings.MemoryMB, g.counters))
	g.quarantine = quarantine.New(g.endpointClient, g.exchange.TriggerRound, g.counters, g.log)
	g.keeper = quarantine.NewKeeper(g.quarantine, g.store, g.mirror.Era, g.membership, g.log)
	decoder.Quarantine = g.quarantine
	g.exchange.Add(g.mirrorTopic)
	g.exchange.Add(upstream.NewLoadTopic(g.table))
	g.exchange.Add(upstream.NewLimitTopic(g.table))
	g.exchange.Add(upstream.NewToleranceTopic(g.table))
	g.exchange.Add(g.rollouts)
	g.exchange.Add(g.quarantine)
}

// assembleServing creates the server that routes callers' requests to endpoints.
func (g *Gateway) assembleServing() {
	g.counters.Gauge("plumbarrow_isolated", func() float64 {
		if g.server.Isolated() {
			return 1
		}
		return 0
	})
	g.counters.Gauge("plumbarrow_endpoint_connections_opened", func() float64 { return float64(g.endpointClient.OpenedCount()) })
	g.server = gateway.New(gateway.Parts{
		Self:             g.self,
		CallerProtocol:   platform.CallerHeaders{},
		EndpointProtocol: platform.EndpointHeaders{},
		Current:          g.current,
		Upstreams:        g.table,
		Sender:           g.endpointClient,
		Versions:         g.rollouts,
		Relay:            link.NewRelayClient(g.relayDialer),
		Members:          g.membership,
		Quarantine:       g.quarantine,
		RetryBudget:      gateway.NewRetryBudget(),
		EscalationPolicy: gateway.NewEscalationPolicy(),
		QueueGoalShare:   g.settings.QueueGoalShare,
		Counters:         g.counters,
		Log:              g.log,
	})
}

// Run serves until ctx ends or a task fails. When ctx ends, it makes a planned stop.
func (g *Gateway) Run(ctx context.Context) error {
	var group run.Group
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	addStop(ctx, &group, g.stop)
	addTasks(background, cancel, &group, g.tasks())
	server := g.httpServer(g.server)
	g.callers.Attach(server)
	servers := []struct {
		address string
		server  *http.Server
		listen  func(ctx context.Context, address string) (net.Listener, error)
	}{
		{g.settings.CallersAddress, server, g.callers.Listen},
		{g.settings.ReadyAddress, g.httpServer(g.readyHandler()), listen},
		{g.settings.MetricsAddress, g.httpServer(g.metricsHandler()), listen},
	}
	for _, s := range servers {
		listener, err := s.listen(ctx, s.address)
		if err != nil {
			return eris.Wrap(err, s.address)
		}
		addServer(&group, listener, s.server, shutdownGrace)
	}
	err := group.Run()
	g.endpointClient.Close()
	g.dialer.Close()
	g.relayDialer.Close()
	return err
}

// tasks returns the background tasks; each runs until its context ends.
func (g *Gateway) tasks() []func(context.Context) error {
	return []func(context.Context) error{
		func(ctx context.Context) error { return g.mirror.Follow(ctx, g.store, g.mirrorTopic.Watching) },
		g.mirrorTopic.Run,
		g.mirrorTopic.Poll,
		g.presence.Run,
		g.membership.Run,
		g.exchange.Run,
		g.driver.Run,
		g.keeper.Run,
		g.sweep,
		g.reachMonitor.Run,
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

// sweep periodically closes idle connections that are too old for reuse or whose endpoint is no longer listed.
func (g *Gateway) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.endpointClient.Sweep(g.table.HasAddress)
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

// addServer adds a server to the group. At the end it closes the listener and waits up to grace for the answers
// to requests that have been read.
func addServer(group *run.Group, listener net.Listener, server *http.Server, grace time.Duration) {
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// ready reports whether the balancer should send requests to this instance.
func (g *Gateway) ready() bool {
	return !g.server.Stopping() && !g.server.Isolated() && g.current.Get() != nil && g.table.Ready()
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
	e.GET("/status", g.statusHandler)
	e.POST("/route", echo.WrapHandler(g.server.PreviewHandler()))
	return e
}

// stop makes a planned stop within StopSeconds. It reports the instance as not ready, keeps serving until the
// balancer has stopped sending requests, then refuses new streams and drains the requests in progress. Those that
// remain are answered, before the instance leaves the fleet.
func (g *Gateway) stop() {
	g.log.Info("planned stop")
	started := time.Now()
	ends := started.Add(time.Duration(g.settings.StopSeconds*float64(time.Second)) - stopMargin)
	answersEnd := ends.Add(-finalAnswerTime)
	g.server.Stop(answersEnd)
	time.Sleep(min(balancerDelay, time.Until(answersEnd)))
	// The balancer opens no new connections. Idle ones stay open: a request may be arriving on any of them.
	g.server.RefuseStreams()
	if !g.server.Finish(answersEnd, drainQuietTime, finalAnswerTime) {
		g.log.Warn("stop time ends with requests still in progress", "stop_seconds", g.settings.StopSeconds)
	}
	g.membership.Leave()
	g.exchange.TriggerRound()
	g.log.Info("stopped", "took_ms", time.Since(started).Milliseconds())
}

// Reload logs whether changed settings need a restart. It applies none of them.
func (g *Gateway) Reload(settings GatewaySettings) {
	changed := settings.Instance != g.settings.Instance || settings.CallersAddress != g.settings.CallersAddress ||
		settings.StoreAddress != g.settings.StoreAddress
	g.log.Info("settings file re-read", "needs_restart", changed)
}
