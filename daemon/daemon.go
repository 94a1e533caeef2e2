// Package daemon assembles the components of an entry instance and runs them until a planned stop. Daemon
// serves the operators' configuration, Gateway the services of the users' platform. The package decides
// nothing about single requests.
package daemon

import (
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmux"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/internal/answercheck"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/limit"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/operate"
	"plumbarrow.example/plumbarrow/quality"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/rollout"
	"plumbarrow.example/plumbarrow/zone"
)

const pollTimeout = time.Second // limit of one read of an engine's load

// Daemon is one entry instance with all its components.
type Daemon struct {
	settings  Settings
	listeners Listeners
	log       *slog.Logger
	counters  *telemetry.Counters

	self            machine.Member
	store           infra.Store
	replica         *replica.Replica
	membership      *zone.Membership
	exchange        *zone.Exchange
	orders          *zone.Orders
	effective       *zone.Effective
	latestInstances instanceCache
	table           *machine.Table
	permits         *machine.SharedPermits
	queue           *machine.PriorityQueue
	poller          *machine.Poller
	loads           *zone.Loads
	ledger          *ledger.Ledger
	evidence        *rollout.Evidence
	guard           *rollout.Guard
	driver          *rollout.Driver
	restricted      *restrictedSource
	judge           *quality.RaterJudge
	entry           *entry.Server
	operate         *operate.Server

	callers    *intake.Guard
	dispatcher *link.Dispatcher
	dialer     *link.PeerDialer
	peers      *drpcmux.Mux
}

// New creates a daemon that serves on the listeners. It starts nothing; Run does, and closes the listeners
// when it ends. It sets the memory limit of the whole process. After an error they are still open.
func New(settings Settings, listeners Listeners, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings:  settings,
		listeners: listeners,
		log:       log,
		counters:  telemetry.New(),
		self: machine.Member{
			ID:          machine.InstanceID(settings.Instance),
			Incarnation: machine.Incarnation(uuid.NewString()),
			Zone:        settings.Zone,
			Address:     settings.PeersAddress,
		},
		dispatcher: link.NewDispatcher(),
		dialer:     link.NewPeerDialer(),
		peers:      drpcmux.New(),
	}
	if settings.MemoryMB > 0 {
		setMemoryLimit(settings.MemoryMB)
	}
	d.dispatcher.BoundHeads(headBudget(settings.MemoryMB, d.counters))
	d.callers = intake.New(settings.callers().limits(), d.counters, log)
	d.table = machine.NewTable(settings.Machine, d.self.ID)
	d.assembleFleet()
	d.assemblePermits()
	d.assembleLedger()
	d.assembleRollout()
	d.assembleJudge()
	d.assembleEntry()
	if err := d.assembleOperate(); err != nil {
		return nil, eris.Wrap(err, "operators' API")
	}
	if err := d.register(); err != nil {
		return nil, eris.Wrap(err, "register peer services")
	}
	return d, nil
}

// assembleFleet creates the clients of the platform and the state that the instance shares with its peers:
// membership, exchange, configuration replica and operators' orders.
func (d *Daemon) assembleFleet() {
	d.store = infra.NewConsul(d.settings.StoreAddress, d.counter("plumbarrow_store_calls_total"))
	list := infra.NewHTTPList(d.settings.ListAddress, d.counter("plumbarrow_platform_calls_total"))
	d.membership = zone.NewMembership(d.settings.Exchange, d.self, list, d.log)
	d.exchange = zone.NewExchange(d.settings.Exchange, d.membership, d.dialer, d.counters, d.log)
	d.replica = replica.New(d.store, d.log,
		replica.WithSettings(d.settings.Replica),
		replica.WithCounters(d.counters),
		replica.WithPeers(d.membership, d.dialer))
	d.orders = zone.NewOrders(d.replica, d.exchange.TriggerRound, d.counters, d.log)
	d.effective = zone.NewEffective(d.replica, d.orders)
	d.replica.OnChange(func(*contract.Snapshot) { d.exchange.TriggerRound() })
	d.exchange.Add(d.replica)
	d.exchange.Add(d.orders)
	d.membership.OnList(func(instances []infra.Instance) {
		d.latestInstances.set(instances)
		d.updateTable()
	})
	d.replica.OnChange(func(*contract.Snapshot) { d.updateTable() })
	d.orders.OnChange(d.updateTable)
}

// updateTable applies a changed instance list, configuration or operators' order to the endpoint table.
func (d *Daemon) updateTable() {
	if snapshot := d.effective.Current(); snapshot != nil {
		d.table.Apply(d.settings.Zone, d.latestInstances.get(), snapshot)
	}
}

// assemblePermits creates the permits that share the endpoints' concurrency limits among the zone's entry
// instances, the queue for them, and the exchange of endpoint and zone loads.
func (d *Daemon) assemblePermits() {
	d.queue = machine.NewPriorityQueue(d.settings.Machine)
	d.permits = machine.NewSharedPermits(machine.Parts{
		Settings:        d.settings.Machine,
		Table:           d.table,
		Members:         d.membership,
		ListedInstances: d.membership.ListedCount,
		Conns:           d.dialer,
		Dial:            probeAddress,
		PermitFreed:     d.queue.PermitFreed,
		TriggerRound:    d.exchange.TriggerRound,
		Counters:        d.counters,
		Log:             d.log,
	})
	d.exchange.Add(machine.NewStateTopic(d.permits))
	d.poller = machine.NewPoller(d.permits, machine.HTTPLoadFetch(&http.Client{Transport: answercheck.NewTransport(), Timeout: pollTimeout}))
	d.loads = zone.NewLoads(d.membership, d.effective, d.table.SpareCapacity, d.log)
	d.exchange.Add(d.loads)
}

func (d *Daemon) counter(name string) infra.CallCounter {
	return func(operation string) { d.counters.Add(name, "op", operation) }
}

func (d *Daemon) assembleLedger() {
	d.ledger = ledger.New(ledger.Parts{
		Store:    d.store,
		Members:  d.membership,
		Peers:    d.dialer,
		Counters: d.counters,
		Log:      d.log,
		Settings: d.settings.Ledger,
	})
}

// assembleRollout connects the evidence on model versions with the guard, which withdraws bad versions, and the
// roll-out driver.
func (d *Daemon) assembleRollout() {
	proposer := replica.NewProposer(d.store, d.replica, d.counters, d.log)
	d.evidence = rollout.NewEvidence(d.settings.Rollout, d.self)
	d.replica.OnChange(d.evidence.Apply)
	d.exchange.Add(d.evidence)
	withdrawals := automatedProposer{proposer: proposer, author: "guard", restrictive: true}
	d.restricted = &restrictedSource{source: d.effective}
	d.guard = rollout.NewGuard(d.settings.Rollout, d.evidence, d.replica, d.membership, withdrawals, d.counters, d.log)
	d.guard.OnChange(d.restricted.set)
	d.driver = rollout.NewDriver(d.settings.Rollout, rollout.Parts{
		Store:    d.store,
		Evidence: d.evidence,
		Source:   d.replica,
		Members:  d.membership,
		Proposer: automatedProposer{proposer: proposer, author: "rollout"},
		Orderer:  rollout.NewHTTPOrderer(d.latestInstances.get),
		Counters: d.counters,
		Log:      d.log,
	})
}

// assembleJudge creates the judge of answers over the platform's rater. Without a rater it decides by the
// configured quality.
func (d *Daemon) assembleJudge() {
	var rater infra.Rater = noRater{}
	if d.settings.RaterAddress != "" {
		rater = infra.NewHTTPRater(d.settings.RaterAddress, d.counter("plumbarrow_platform_calls_total"))
	}
	d.judge = quality.NewJudge(d.settings.Quality, d.restricted, rater, d.evidence, d.counters, d.log)
}

func (d *Daemon) assembleEntry() {
	d.entry = entry.New(entry.Parts{
		Self:            d.self,
		Source:          d.restricted,
		Table:           d.table,
		Picker:          decide.NewPicker(d.settings.Decide),
		Dispatcher:      d.dispatcher,
		Claims:          d.ledger.Claims,
		Bills:           d.ledger.Bills,
		Pins:            d.ledger.Pins,
		Counters:        d.counters,
		Log:             d.log,
		MaxBodyBytes:    d.settings.MaxBodyBytes,
		Settings:        d.settings.Entry,
		Permits:         d.permits,
		Queue:           d.queue,
		RetryBudget:     decide.NewRetryBudget(),
		Forwarder:       link.NewForwardClient(d.dialer),
		Members:         d.membership,
		Judge:           d.judge,
		Recorder:        d.evidence,
		Zones:           d.loads.OtherZones,
		RecordForwarded: d.loads.RecordForwarded,
		Confirmed:       d.replica.Confirmed,
		Limits:          limit.NewRateLimiter(d.membership),
	})
}

// register registers the services for other entry instances.
func (d *Daemon) register() error {
	return errors.Join(
		link.NewLiveness(d.self).Register(d.peers),
		link.NewForwardServer(d.entry, d.settings.MaxBodyBytes, d.callers).Register(d.peers),
		d.exchange.Register(d.peers),
		d.replica.Register(d.peers),
		d.ledger.Register(d.peers),
		d.permits.Register(d.peers),
	)
}
