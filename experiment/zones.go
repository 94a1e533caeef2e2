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
	zonesCount       = 3
	zoneEngines      = 4
	zoneInstances    = 2
	zonesLength      = 4 * time.Minute
	zonesLoad        = 0.6 // of the capacity of all zones
	zoneOutAt        = time.Minute
	zoneBackAt       = 3 * time.Minute
	orderSpread      = 2 * time.Second // until the last instance knows of an order
	balancerLag      = 5 * time.Second // until the balancer sends elsewhere
	zoneHop          = 2 * time.Millisecond
	returnLimit      = 1   // of an engine after its zone's return
	spareGain        = 0.5 // weighs a new figure of spare capacity in a smoothed report
	returnCompletion = 8   // whole answers after which that limit grows by one
)

// callersOf is the share of callers that each zone's instances get while all are in service.
var callersOf = [zonesCount]float64{0.4, 0.4, 0.2}

// spillTo says how an instance finds another zone.
type spillTo int

const (
	spillNowhere spillTo = iota
	spillNext            // the next zone in service
	spillRandom          // any other zone in service
	spillSpare           // by the spare capacity at the moment of the report
	spillSmooth          // by spare capacity smoothed over reports
)

// zonesWorld is one run with one way of spilling.
type zonesWorld struct {
	*loop
	spill     spillTo
	picker    decide.Picker
	random    *rand.Rand
	inService *contract.Snapshot
	zoneOut   *contract.Snapshot
	engines   [zonesCount][]*engine
	instances [zonesCount][]*zoneInstance
	spare     []decide.ZoneLoad // as last reported
	smoothed  [zonesCount]float64
	result    zonesResult
}

// zoneInstance is an entry instance of a zone.
type zoneInstance struct {
	world     *zonesWorld
	zone      int
	lag       time.Duration // until it knows of an order
	view      []machine.Endpoint
	completed []int // since the zone's return, per engine
	waiting   waitingHeap
}

var _ decide.Candidates = (*zoneInstance)(nil)

// Len implements decide.Candidates.
func (i *zoneInstance) Len() int { return len(i.view) }

// At implements decide.Candidates.
func (i *zoneInstance) At(n int, endpoint *machine.Endpoint) { *endpoint = i.view[n] }

// zonesResult counts what came of a run.
type zonesResult struct {
	offered, served int // while the zone is out
	back, backGood  int // after its return
	started         int // at the zone's engines after the order is known everywhere
	waits           []time.Duration
}

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }

// zonesSnapshot has three zones, the first of which may be out.
func zonesSnapshot(out bool) *contract.Snapshot {
	document := *exposureSnapshot().Document
	document.Zones = nil
	for zone := range zonesCount {
		document.Zones = append(document.Zones, contract.Zone{Name: zoneName(zone), Region: "nairobi", OutOfService: out && zone == 0})
	}
	return mustBuild(&document)
}

func newZonesWorld(seed uint64, spill spillTo) *zonesWorld {
	w := &zonesWorld{
		loop: &loop{}, spill: spill, picker: decide.NewPicker(decide.DefaultSettings()),
		random: rand.New(rand.NewPCG(seed, 5)), inService: zonesSnapshot(false), zoneOut: zonesSnapshot(true),
	}
	sound := func(time.Duration) bool { return false }
	for zone := range zonesCount {
		for i := range zoneEngines {
			random := rand.New(rand.NewPCG(seed, uint64(100*zone+i)))
			w.engines[zone] = append(w.engines[zone], &engine{loop: w.loop, random: random, slots: engineSlots, service: engineService, failing: sound})
		}
		for range zoneInstances {
			w.instances[zone] = append(w.instances[zone], w.newInstance(zone))
		}
	}
	return w
}

func (w *zonesWorld) newInstance(zone int) *zoneInstance {
	one := &zoneInstance{world: w, zone: zone, completed: make([]int, zoneEngines)}
	one.lag = time.Duration(w.random.Float64() * float64(orderSpread))
	for i := range zoneEngines {
		id := machine.EndpointID(zoneName(zone) + "-" + strconv.Itoa(i))
		one.view = append(one.view, machine.Endpoint{ID: id, Pool: "engines", Zone: zoneName(zone), Version: oldVersion, Healthy: true, Limit: engineSlots / zoneInstances})
	}
	return one
}

// snapshot is the configuration that the instance has in force.
func (i *zoneInstance) snapshot() *contract.Snapshot {
	if now := i.world.now; now >= zoneOutAt+i.lag && now < zoneBackAt+i.lag {
		return i.world.zoneOut
	}
	return i.world.inService
}

// run offers the load and returns what came of it.
func (w *zonesWorld) run(arrivals *rand.Rand) *zonesResult {
	rate := zonesLoad * zonesCount * zoneEngines * engineSlots / engineService.Seconds()
	for at := time.Duration(0); at < zonesLength; {
		at += time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second))
		zone := callersZone(at, arrivals)
		target := w.instances[zone][arrivals.IntN(zoneInstances)]
		one := &ask{arrived: at, deadline: at + overloadDeadline}
		w.after(at, func() { w.offer(target, one) })
	}
	for tick := time.Duration(0); tick < zonesLength; tick += time.Second {
		w.after(tick, w.report)
	}
	w.after(zoneBackAt, w.comeBack)
	w.loop.run()
	return &w.result
}

// callersZone is where the balancer sends a caller: not to the zone that is out, once it knows.
func callersZone(at time.Duration, arrivals *rand.Rand) int {
	point := arrivals.Float64()
	zone := 0
	for zone < zonesCount-1 && point >= callersOf[zone] {
		point -= callersOf[zone]
		zone++
	}
	if zone == 0 && at >= zoneOutAt+balancerLag && at < zoneBackAt+balancerLag {
		return 1 + arrivals.IntN(zonesCount-1)
	}
	return zone
}

// report tells all instances each zone's spare capacity; they use it until the next report.
func (w *zonesWorld) report() {
	loads := make([]decide.ZoneLoad, zonesCount)
	for zone := range zonesCount {
		spare := 0
		for _, one := range w.instances[zone] {
			spare -= one.waiting.Len()
			for _, endpoint := range one.view {
				spare += endpoint.Limit - endpoint.InFlight
			}
		}
		w.smoothed[zone] += spareGain * (float64(max(spare, 0)) - w.smoothed[zone])
		if w.spill == spillSmooth {
			spare = int(math.Ceil(w.smoothed[zone]))
		}
		loads[zone] = decide.ZoneLoad{Zone: zoneName(zone), At: w.clock(), Spare: map[string]int{"engines": max(spare, 0)}}
	}
	w.spare = loads
}

// comeBack lowers the limits of the returned zone's engines, whose caches are cold.
func (w *zonesWorld) comeBack() {
	for _, one := range w.instances[0] {
		for i := range one.view {
			one.view[i].Limit = returnLimit
			one.completed[i] = 0
		}
	}
}

func (w *zonesWorld) offer(at *zoneInstance, one *ask) {
	snapshot := at.snapshot()
	one.request = &decide.Request{Customer: snapshot.Customers["acme"], Route: snapshot.Routes["assistant"], Idempotent: true,
		Arrived: epoch.Add(one.arrived), Deadline: epoch.Add(one.deadline)}
	switch {
	case one.arrived >= zoneOutAt && one.arrived < zoneBackAt:
		w.result.offered++
	case one.arrived >= zoneBackAt:
		w.result.back++
	}
	at.place(one)
}
