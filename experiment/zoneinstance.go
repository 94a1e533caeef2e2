package experiment

import (
	"slices"
	"strconv"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/machine"
)

// zones is what the instance may spill to.
func (i *zoneInstance) zones() []decide.ZoneLoad {
	w := i.world
	var others []decide.ZoneLoad
	for step := 1; step < zonesCount; step++ {
		name := zoneName((i.zone + step) % zonesCount)
		if i.snapshot().ZoneInService(name) {
			others = append(others, decide.ZoneLoad{Zone: name, At: w.clock(), Spare: map[string]int{"engines": 1}})
		}
	}
	switch w.spill {
	case spillNowhere:
		return nil
	case spillNext:
		return others[:min(1, len(others))]
	case spillRandom:
		return others
	}
	return w.spare
}

// choose decides where a request goes: an engine's index, another zone, or neither.
func (i *zoneInstance) choose(one *ask) (engine int, zone string) {
	w := i.world
	seen := &decide.Observation{Now: w.clock(), Zone: zoneName(i.zone), Pool: func(string) decide.Candidates { return i }, Zones: i.zones()}
	choice, refusal := w.picker.Pick(i.snapshot(), one.request, "engines", oldVersion, seen, nil, w.random)
	if refusal != nil || choice.Zone != "" {
		return -1, choice.Zone
	}
	return slices.IndexFunc(i.view, func(e machine.Endpoint) bool { return e.ID == choice.Endpoint.ID }), ""
}

// place sends a request to an engine or another zone, or lets it wait.
func (i *zoneInstance) place(one *ask) {
	chosen, zone := i.choose(one)
	if zone != "" {
		i.hop(one, zone)
		return
	}
	if chosen < 0 {
		i.hold(one)
		return
	}
	i.send(one, chosen)
}

// hold lets a request wait if its zone is in service and the wait would not pass its deadline.
func (i *zoneInstance) hold(one *ask) {
	pressure := decide.Pressure{
		Waiting: i.waiting.Len(), MaxWaiting: maxWaiting,
		Concurrent: zoneEngines * engineSlots / zoneInstances, Service: engineService,
	}
	if !i.snapshot().ZoneInService(zoneName(i.zone)) || decide.Shed(one.request, pressure, i.world.clock()) != nil {
		return
	}
	i.waiting.add(one)
}

func (i *zoneInstance) send(one *ask, chosen int) {
	w := i.world
	if i.zone == 0 && w.now >= zoneOutAt+orderSpread && w.now < zoneBackAt {
		w.result.started++
	}
	i.view[chosen].InFlight++
	w.engines[i.zone][chosen].take(&call{
		deadline: one.deadline,
		begun:    func() { w.begun(one) },
		done:     func(bool) { i.done(chosen) },
	})
}

func (w *zonesWorld) begun(one *ask) {
	switch {
	case one.arrived >= zoneOutAt && one.arrived < zoneBackAt:
		w.result.served++
		w.result.waits = append(w.result.waits, w.now-one.arrived)
	case one.arrived >= zoneBackAt:
		w.result.backGood++
	}
}

// done frees a permit, lets a returned engine's limit grow and takes in waiting requests.
func (i *zoneInstance) done(chosen int) {
	endpoint := &i.view[chosen]
	endpoint.InFlight--
	i.completed[chosen]++
	if endpoint.Limit < engineSlots/zoneInstances && i.completed[chosen]%returnCompletion == 0 {
		endpoint.Limit++
	}
	i.next()
}

// next sends waiting requests while there is room here or elsewhere.
func (i *zoneInstance) next() {
	for i.waiting.Len() > 0 {
		one := i.waiting.first()
		if i.world.now > one.deadline {
			i.waiting.drop()
			continue
		}
		chosen, zone := i.choose(one)
		switch {
		case zone != "":
			i.waiting.drop()
			i.hop(one, zone)
		case chosen >= 0:
			i.waiting.drop()
			i.send(one, chosen)
		default:
			return
		}
	}
}

// hop passes a request on to another zone.
func (i *zoneInstance) hop(one *ask, zone string) {
	one.request.Hops++
	target, _ := strconv.Atoi(zone[len("zone-"):])
	next := i.world.instances[target][i.world.random.IntN(zoneInstances)]
	i.world.after(zoneHop, func() { next.place(one) })
}
