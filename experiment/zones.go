package experiment

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	zoneCount          = 3
	zoneEngines        = 4
	zoneInstances      = 2
	zonesDuration      = 4 * time.Minute
	zonesLoad          = 0.6 // of the capacity of all zones
	zoneOutAt          = time.Minute
	zoneBackAt         = 3 * time.Minute
	maxOrderLag        = 2 * time.Second // until the last instance applies an operator's order
	balancerLag        = 5 * time.Second // until the load balancer follows the order
	forwardDelay       = 2 * time.Millisecond
	returnLimit        = 1   // initial concurrency limit of an engine after its zone's return (slow start)
	spareWeight        = 0.5 // weight of a new value in the exponentially weighted average of spare capacity
	completionsPerSlot = 8   // complete answers after which slow start raises the limit by one
)

// callerShares is the share of requests that the load balancer sends to each zone while all are in
// service.
var callerShares = [zoneCount]float64{0.4, 0.4, 0.2}

// spillPolicy selects the zones to which an instance may forward requests.
type spillPolicy int

const (
	spillNone   spillPolicy = iota
	spillNext               // the next zone in service, by number
	spillRandom             // any other zone in service
	spillSpare              // by spare capacity, the last report
	spillSmooth             // by spare capacity, exponentially weighted average of the reports
)

// zonesSimulation is one run with one spill policy.
type zonesSimulation struct {
	*loop
	spill             spillPolicy
	picker            decide.Picker
	random            *rand.Rand
	inServiceSnapshot *contract.Snapshot
	zoneOutSnapshot   *contract.Snapshot
	engines           [zoneCount][]*engine
	instances         [zoneCount][]*zoneInstance
	spare             []decide.ZoneLoad // last report
	smoothed          [zoneCount]float64
	result            zonesResult
}

// zoneInstance is an entry instance of a zone.
type zoneInstance struct {
	sim       *zonesSimulation
	zone      int
	orderLag  time.Duration // until it applies an operator's order
	view      []machine.Endpoint
	completed []int // per engine; reset at the zone's return
	waiting   requestQueue
}

var _ decide.Candidates = (*zoneInstance)(nil)

// Len implements decide.Candidates.
func (i *zoneInstance) Len() int { return len(i.view) }

// At implements decide.Candidates.
func (i *zoneInstance) At(n int, endpoint *machine.Endpoint) { *endpoint = i.view[n] }

// zonesResult is the outcome of a run.
type zonesResult struct {
	offered, served                       int // requests that arrive while zone 0 is out of service
	offeredAfterReturn, servedAfterReturn int // requests that arrive after its return
	startedWhileOut                       int // attempts in zone 0 while it is out and all instances know it
	firstByteTimes                        []time.Duration
}

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }

// zonesSnapshot returns a configuration with three zones; out takes zone 0 out of service.
func zonesSnapshot(out bool) *contract.Snapshot {
	document := *exposureSnapshot().Document
	document.Zones = nil
	for zone := range zoneCount {
		document.Zones = append(document.Zones, contract.Zone{Name: zoneName(zone), Region: "nairobi", OutOfService: out && zone == 0})
	}
	return mustBuild(&document)
}

func newZonesSimulation(seed uint64, spill spillPolicy) *zonesSimulation {
	w := &zonesSimulation{
		loop: &loop{}, spill: spill, picker: decide.NewPicker(decide.DefaultSettings()),
		random: rand.New(rand.NewPCG(seed, 5)), inServiceSnapshot: zonesSnapshot(false), zoneOutSnapshot: zonesSnapshot(true),
	}
	neverFails := func(time.Duration) bool { return false }
	for zone := range zoneCount {
		for i := range zoneEngines {
			random := rand.New(rand.NewPCG(seed, uint64(100*zone+i)))
			w.engines[zone] = append(w.engines[zone], &engine{loop: w.loop, random: random, slots: engineSlots, meanService: meanServiceTime, failing: neverFails})
		}
		for range zoneInstances {
			w.instances[zone] = append(w.instances[zone], w.newInstance(zone))
		}
	}
	return w
}

func (w *zonesSimulation) newInstance(zone int) *zoneInstance {
	inst := &zoneInstance{sim: w, zone: zone, completed: make([]int, zoneEngines)}
	inst.orderLag = time.Duration(w.random.Float64() * float64(maxOrderLag))
	for i := range zoneEngines {
		id := machine.EndpointID(zoneName(zone) + "-" + strconv.Itoa(i))
		inst.view = append(inst.view, machine.Endpoint{ID: id, Pool: "engines", Zone: zoneName(zone), Version: oldVersion, Healthy: true, Limit: engineSlots / zoneInstances})
	}
	return inst
}

// snapshot returns the configuration that is active at the instance.
func (i *zoneInstance) snapshot() *contract.Snapshot {
	if now := i.sim.now; now >= zoneOutAt+i.orderLag && now < zoneBackAt+i.orderLag {
		return i.sim.zoneOutSnapshot
	}
	return i.sim.inServiceSnapshot
}

// run simulates the arrivals and returns the result.
func (w *zonesSimulation) run(arrivals *rand.Rand) *zonesResult {
	rate := zonesLoad * zoneCount * zoneEngines * engineSlots / meanServiceTime.Seconds()
	for at := time.Duration(0); at < zonesDuration; {
		at += time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second))
		zone := balancedZone(at, arrivals)
		target := w.instances[zone][arrivals.IntN(zoneInstances)]
		req := &callerRequest{arrived: at, deadline: at + overloadDeadline}
		w.after(at, func() { w.submit(target, req) })
	}
	for tick := time.Duration(0); tick < zonesDuration; tick += time.Second {
		w.after(tick, w.publishSpare)
	}
	w.after(zoneBackAt, w.limitReturnedEngines)
	w.loop.run()
	return &w.result
}

// balancedZone draws the zone that the load balancer chooses for a request at the given time. It
// avoids zone 0 while that is out, with a lag of balancerLag.
func balancedZone(at time.Duration, arrivals *rand.Rand) int {
	draw := arrivals.Float64()
	zone := 0
	for zone < zoneCount-1 && draw >= callerShares[zone] {
		draw -= callerShares[zone]
		zone++
	}
	if zone == 0 && at >= zoneOutAt+balancerLag && at < zoneBackAt+balancerLag {
		return 1 + arrivals.IntN(zoneCount-1)
	}
	return zone
}

// publishSpare publishes each zone's spare capacity to all instances, which use it until the next call.
func (w *zonesSimulation) publishSpare() {
	loads := make([]decide.ZoneLoad, zoneCount)
	for zone := range zoneCount {
		spare := 0
		for _, inst := range w.instances[zone] {
			spare -= inst.waiting.Len()
			for _, endpoint := range inst.view {
				spare += endpoint.Limit - endpoint.InFlight
			}
		}
		w.smoothed[zone] += spareWeight * (float64(max(spare, 0)) - w.smoothed[zone])
		if w.spill == spillSmooth {
			spare = int(math.Ceil(w.smoothed[zone]))
		}
		loads[zone] = decide.ZoneLoad{Zone: zoneName(zone), At: w.clock(), Spare: map[string]int{"engines": max(spare, 0)}}
	}
	w.spare = loads
}

// limitReturnedEngines begins slow start on the engines of zone 0, whose caches are cold.
func (w *zonesSimulation) limitReturnedEngines() {
	for _, inst := range w.instances[0] {
		for i := range inst.view {
			inst.view[i].Limit = returnLimit
			inst.completed[i] = 0
		}
	}
}

func (w *zonesSimulation) submit(target *zoneInstance, req *callerRequest) {
	snapshot := target.snapshot()
	req.request = &decide.Request{Customer: snapshot.Customers["acme"], Route: snapshot.Routes["assistant"], Idempotent: true,
		Arrived: epoch.Add(req.arrived), Deadline: epoch.Add(req.deadline)}
	switch {
	case req.arrived >= zoneOutAt && req.arrived < zoneBackAt:
		w.result.offered++
	case req.arrived >= zoneBackAt:
		w.result.offeredAfterReturn++
	}
	target.route(req)
}
