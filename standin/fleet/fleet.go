// Package fleet runs a whole deployment in one process on loopback addresses: stand-ins for the
// platform, engines, services and several daemons. The demo and end-to-end tests use it.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"github.com/google/uuid"

	"plumbarrow.example/plumbarrow/daemon"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/standin/engine"
	"plumbarrow.example/plumbarrow/standin/instances"
	"plumbarrow.example/plumbarrow/standin/kv"
	"plumbarrow.example/plumbarrow/standin/rater"
	"plumbarrow.example/plumbarrow/standin/service"
)

const loopback = "127.0.0.1:0"

// Fleet is a running deployment. The maps are keyed by instance id. Its methods must not start or
// stop instances concurrently.
type Fleet struct {
	Store    *kv.Store
	List     *instances.List
	Rater    *rater.Rater
	Engines  map[string]*Engine
	Services map[string]*Service
	Daemons  map[string]*Daemon
	// Runs counts the executions of all services.
	Runs *service.RunCounter

	tokenFile string // path of the file with the operators' token; may be empty
	log       *slog.Logger
	tune      func(*daemon.Settings)
	store     *server
	list      *server
	rater     *server
	servers   []*server
}

// Engine is a running stand-in engine.
type Engine struct {
	*engine.Engine
	Instance infra.Instance
	server   *server
}

// Service is a running stand-in service.
type Service struct {
	*service.Service
	Instance infra.Instance
	server   *server
}

// Daemon is a running entry instance.
type Daemon struct {
	Settings daemon.Settings
	stop     context.CancelFunc
	done     chan error
}

// Options configures a fleet.
type Options struct {
	Log *slog.Logger
	// OperatorsTokenFile is the path of the file with the operators' token. Without it the operators'
	// API serves reads only.
	OperatorsTokenFile string
	// Tune, if set, changes the settings of each daemon before it starts.
	Tune func(*daemon.Settings)
}

// New starts the stand-ins for store, instance list and rater.
func New(options Options) (*Fleet, error) {
	f := &Fleet{
		Store:     kv.New(),
		List:      instances.New(0),
		Rater:     rater.New(),
		Engines:   make(map[string]*Engine),
		Services:  make(map[string]*Service),
		Daemons:   make(map[string]*Daemon),
		Runs:      service.NewRunCounter(),
		tokenFile: options.OperatorsTokenFile,
		log:       options.Log,
		tune:      options.Tune,
	}
	var err error
	if f.store, err = f.serve(f.Store.Handler()); err != nil {
		return nil, err
	}
	if f.list, err = f.serve(f.List.Handler()); err != nil {
		return nil, err
	}
	if f.rater, err = f.serve(f.Rater.Handler()); err != nil {
		return nil, err
	}
	return f, nil
}

// StartEngine starts an engine of a pool in a zone and adds it to the instance list.
func (f *Fleet) StartEngine(id, zone, pool string, settings engine.Settings) (*Engine, error) {
	e := &Engine{}
	settings.OnLoadOrder = func(version, incarnation string) {
		e.Instance.Version = version
		e.Instance.Incarnation = incarnation
		f.List.Set(e.Instance)
	}
	standin := engine.New(settings)
	server, err := f.serve(standin.Handler())
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", id, err)
	}
	*e = Engine{Engine: standin, server: server, Instance: infra.Instance{
		ID:          id,
		Incarnation: standin.Incarnation(),
		Kind:        infra.KindEngine,
		Zone:        zone,
		Pool:        pool,
		Address:     server.address(),
		Model:       settings.Model,
		Version:     settings.Version,
		State:       infra.StateLive,
	}}
	f.Engines[id] = e
	f.List.Set(e.Instance)
	return e, nil
}

// StartService starts a service instance of a pool in a zone and adds it to the instance list.
func (f *Fleet) StartService(id, zone, pool string) (*Service, error) {
	standin := service.New(f.Runs)
	server, err := f.serve(standin.Handler())
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", id, err)
	}
	s := &Service{Service: standin, server: server, Instance: infra.Instance{
		ID:          id,
		Incarnation: uuid.NewString(),
		Kind:        infra.KindService,
		Zone:        zone,
		Pool:        pool,
		Address:     server.address(),
		State:       infra.StateLive,
	}}
	f.Services[id] = s
	f.List.Set(s.Instance)
	return s, nil
}

// StartDaemon starts an entry instance and adds it to the instance list. It does not wait until the
// instance is ready.
func (f *Fleet) StartDaemon(id, zone string) (*Daemon, error) {
	settings := daemon.DefaultSettings()
	settings.Instance = id
	settings.Zone = zone
	settings.CallersAddress = loopback
	settings.OperatorsAddress = loopback
	settings.PeersAddress = loopback
	settings.StoreAddress = f.store.address()
	settings.ListAddress = f.list.address()
	settings.RaterAddress = f.rater.address()
	settings.OperatorsTokenFile = f.tokenFile
	settings.StopGraceMS = 0 // no load balancer has to notice the stop
	if f.tune != nil {
		f.tune(&settings)
	}
	listeners, err := daemon.Listen(&settings)
	if err != nil {
		return nil, fmt.Errorf("entry instance %s: %w", id, err)
	}
	instance, err := daemon.New(settings, listeners, f.log.With("instance", id))
	if err != nil {
		return nil, fmt.Errorf("entry instance %s: %w", id, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{Settings: settings, stop: stop, done: make(chan error, 1)}
	go func() { d.done <- instance.Run(ctx) }()
	f.Daemons[id] = d
	f.List.Set(infra.Instance{
		ID:      id,
		Kind:    infra.KindEntry,
		Zone:    zone,
		Address: settings.PeersAddress,
		State:   infra.StateLive,
	})
	return d, nil
}

// StopDaemon removes a running entry instance from the instance list, stops it gracefully and returns the
// error of its run. It panics if the id is unknown.
func (f *Fleet) StopDaemon(id string) error {
	d := f.Daemons[id]
	delete(f.Daemons, id)
	f.List.Remove(id)
	d.stop()
	return <-d.done
}

// StopEngine closes an engine's server and connections at once. The instance list keeps the engine. It
// panics if the id is unknown.
func (f *Fleet) StopEngine(id string) {
	f.Engines[id].server.close()
}

// Close stops the daemons gracefully, then closes all servers. It returns the first error of a daemon.
func (f *Fleet) Close() error {
	var group sync.WaitGroup
	errs := make(chan error, len(f.Daemons))
	for id, d := range f.Daemons {
		group.Go(func() {
			d.stop()
			if err := <-d.done; err != nil {
				errs <- fmt.Errorf("%s: %w", id, err)
			}
		})
	}
	group.Wait()
	close(errs)
	for _, s := range f.servers {
		s.close()
	}
	return <-errs
}

func (f *Fleet) serve(handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &server{listener: listener, http: &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}}
	go func() { _ = s.http.Serve(listener) }()
	f.servers = append(f.servers, s)
	return s, nil
}

type server struct {
	listener net.Listener
	http     *http.Server
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) close() { _ = s.http.Close() }
