package daemon

import (
	"math"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/mirror"
	"plumbarrow.example/plumbarrow/upgrade"
)

// GatewayStatus is the state of a gateway instance: GET /status at its metrics address.
type GatewayStatus struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	// Configuration is the version in force, Routes the number of its routes; 0 without one.
	Configuration uint64     `json:"configuration"`
	Routes        int        `json:"routes"`
	Copy          CopyStatus `json:"copy"`
	// Protocol of this instance's build, see upgrade.Protocol, and the number of registered instances by theirs.
	Protocol  int         `json:"protocol"`
	Protocols map[int]int `json:"protocols"`
}

// Member returns the status in the terms of package upgrade.
func (s *GatewayStatus) Member() upgrade.Member {
	return upgrade.Member{
		Name: s.Instance, Ready: s.Ready, Protocol: s.Protocol, Configuration: s.Configuration, Listed: s.Protocols,
		Age: time.Duration(s.Copy.AgeMS) * time.Millisecond, Lag: time.Duration(s.Copy.LagMS) * time.Millisecond,
	}
}

// CopyStatus is the state of an instance's copy of the store's documents.
type CopyStatus struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// AgeMS is how old the state of the store is that the copy is known to include, in milliseconds; -1 before the first confirmation.
	AgeMS int64 `json:"age_ms"`
	// LagMS is how long after the first instance the last changes took effect here, in milliseconds.
	LagMS    int64 `json:"lag_ms"`
	Watching bool  `json:"watching"` // this instance watches the store
	// Bytes received since the start, and those of the store's answer that is arriving.
	FromStoreBytes int64 `json:"from_store_bytes"`
	FromPeersBytes int64 `json:"from_peers_bytes"`
	UnderWayBytes  int64 `json:"under_way_bytes"`
}

// status returns the state of the instance.
func (g *Gateway) status() GatewayStatus {
	status := GatewayStatus{
		Instance: g.settings.Instance, Zone: g.settings.Zone, Ready: g.ready(), Copy: CopyStatus{AgeMS: -1}, Protocol: upgrade.Protocol,
		Protocols: g.presence.Protocols(),
	}
	if snapshot := g.current.Get(); snapshot != nil {
		status.Configuration, status.Routes = snapshot.Version, snapshot.Routes()
	}
	position, traffic := g.mirror.Position(), g.mirror.Traffic()
	status.Copy.Era, status.Copy.Revision = position.Era, position.Revision
	if age, ok := g.mirror.ConfirmedAge(); ok {
		status.Copy.AgeMS = age.Milliseconds()
	}
	status.Copy.LagMS = g.mirror.LastLag().Milliseconds()
	status.Copy.Watching = g.mirrorTopic.Watching()
	status.Copy.FromStoreBytes, status.Copy.FromPeersBytes, status.Copy.UnderWayBytes = traffic.FromStore, traffic.FromPeers, traffic.UnderWay
	return status
}

func (g *Gateway) statusHandler(c echo.Context) error { return c.JSON(http.StatusOK, g.status()) }

// registerMirrorMetrics adds the metrics of the copy of the store's documents.
func (g *Gateway) registerMirrorMetrics() {
	g.mirror.OnLag(func(lag time.Duration) { g.counters.Observe("plumbarrow_change_lag_seconds", lag.Seconds()) })
	g.counters.Gauge("plumbarrow_mirror_age_seconds", g.mirrorAge)
	g.counters.Gauge("plumbarrow_mirror_lag_seconds", func() float64 { return g.mirror.LastLag().Seconds() })
	g.counters.Gauge("plumbarrow_store_era", func() float64 { return float64(g.mirror.Era()) })
	for name, value := range map[string]func(mirror.Traffic) int64{
		`plumbarrow_mirror_received_bytes{from="store"}`: func(t mirror.Traffic) int64 { return t.FromStore },
		`plumbarrow_mirror_received_bytes{from="peers"}`: func(t mirror.Traffic) int64 { return t.FromPeers },
		"plumbarrow_mirror_under_way_bytes":              func(t mirror.Traffic) int64 { return t.UnderWay },
	} {
		g.counters.Gauge(name, func() float64 { return float64(value(g.mirror.Traffic())) })
	}
}

// mirrorAge returns how old the state of the store is that the copy is known to include, in seconds; infinite
// before the first confirmation.
func (g *Gateway) mirrorAge() float64 {
	age, ok := g.mirror.ConfirmedAge()
	if !ok {
		return math.Inf(1)
	}
	return age.Seconds()
}
