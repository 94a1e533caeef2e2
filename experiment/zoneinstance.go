package experiment

import (
	"slices"
	"strconv"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/machine"
)

// spillTargets returns the other zones that the instance may forward to, under the simulation's policy.
func (i *zoneInstance) spillTargets() []decide.ZoneLoad {
	w := i.sim
	var others []decide.ZoneLoad
	for step := 1; step < zoneCount; step++ {
		name := zoneName((i.zone + step) % zoneCount)
		if i.snapshot().ZoneInService(name) {
			others = append(others, decide.ZoneLoad{Zone: name, At: w.clock(), Spare: map[string]int{"engines": 1}})
		}
	}
	switch w.spill {
	case spillNone:
		return nil
	case spillNext:
		return others[:min(1, len(others))]
	case spillRandom:
		return others
	}
	return w.spare
}

// choose returns an engine's index, or -1 and another zone, or -1 and an empty zone if neither can
// take the request.
func (i *zoneInstance) choose(req *callerRequest) (engine int, zone string) {
	w := i.sim
	observation := &decide.Observation{Now: w.clock(), Zone: zoneName(i.zone), Pool: func(string) decide.Candidates { return i }, Zones: i.spillTargets()}
	choice, refusal := w.picker.Pick(i.snapshot(), req.request, "engines", oldVersion, observation, nil, w.random)
	if refusal != nil || choice.Zone != "" {
		return -1, choice.Zone
	}
	return slices.IndexFunc(i.view, func(e machine.Endpoint) bool { return e.ID == choice.Endpoint.ID }), ""
}

// route sends a request to an engine or another zone, or queues it.
func (i *zoneInstance) route(req *callerRequest) {
	chosen, zone := i.choose(req)
	if zone != "" {
		i.forward(req, zone)
		return
	}
	if chosen < 0 {
		i.enqueue(req)
		return
	}
	i.send(req, chosen)
}

// enqueue queues a request, unless its zone is out of service or load shedding refuses it.
func (i *zoneInstance) enqueue(req *callerRequest) {
	queueState := decide.QueueState{
		Waiting: i.waiting.Len(), MaxWaiting: maxQueued,
		Concurrent: zoneEngines * engineSlots / zoneInstances, ServiceTime: meanServiceTime,
	}
	if !i.snapshot().ZoneInService(zoneName(i.zone)) || decide.Shed(req.request, queueState, i.sim.clock()) != nil {
		return
	}
	i.waiting.push(req)
}

func (i *zoneInstance) send(req *callerRequest, chosen int) {
	w := i.sim
	if i.zone == 0 && w.now >= zoneOutAt+maxOrderLag && w.now < zoneBackAt {
		w.result.startedWhileOut++
	}
	i.view[chosen].InFlight++
	w.engines[i.zone][chosen].accept(&call{
		deadline: req.deadline,
		started:  func() { w.started(req) },
		finished: func(bool) { i.finished(chosen) },
	})
}

func (w *zonesSimulation) started(req *callerRequest) {
	switch {
	case req.arrived >= zoneOutAt && req.arrived < zoneBackAt:
		w.result.served++
		w.result.firstByteTimes = append(w.result.firstByteTimes, w.now-req.arrived)
	case req.arrived >= zoneBackAt:
		w.result.servedAfterReturn++
	}
}

// finished ends an attempt, raises the limit of an engine in slow start and dispatches queued requests.
func (i *zoneInstance) finished(chosen int) {
	endpoint := &i.view[chosen]
	endpoint.InFlight--
	i.completed[chosen]++
	if endpoint.Limit < engineSlots/zoneInstances && i.completed[chosen]%completionsPerSlot == 0 {
		endpoint.Limit++
	}
	i.dispatchQueued()
}

// dispatchQueued sends queued requests while choose finds an engine or another zone.
func (i *zoneInstance) dispatchQueued() {
	for i.waiting.Len() > 0 {
		req := i.waiting.peek()
		if i.sim.now > req.deadline {
			i.waiting.pop()
			continue
		}
		chosen, zone := i.choose(req)
		switch {
		case zone != "":
			i.waiting.pop()
			i.forward(req, zone)
		case chosen >= 0:
			i.waiting.pop()
			i.send(req, chosen)
		default:
			return
		}
	}
}

// forward forwards a request to a random instance of another zone.
func (i *zoneInstance) forward(req *callerRequest, zone string) {
	req.request.Hops++
	target, _ := strconv.Atoi(zone[len("zone-"):])
	next := i.sim.instances[target][i.sim.random.IntN(zoneInstances)]
	i.sim.after(forwardDelay, func() { next.route(req) })
}
