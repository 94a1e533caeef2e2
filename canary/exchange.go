package canary

import (
	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/canary/canarypb"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
)

// encode returns the samples as a message's strata.
func (s samples) encode() []*canarypb.Stratum {
	strata := make([]*canarypb.Stratum, 0, len(s))
	for at, counted := range s {
		strata = append(strata, &canarypb.Stratum{
			Route: at.route, Load: uint32(at.load), Phase: uint32(at.phase),
			OldAnswers: counted.old.answers, OldFailures: counted.old.failures, OldTimed: counted.old.timed, OldSlow: counted.old.slow,
			NewAnswers: counted.new.answers, NewFailures: counted.new.failures, NewTimed: counted.new.timed, NewSlow: counted.new.slow,
		})
	}
	return strata
}

// decodeSamples returns the samples of a received tally. Senders of earlier versions do not count by stratum, and count slow answers as
// failures; their answers form one stratum.
func decodeSamples(received *canarypb.Tally) samples {
	decoded := make(samples)
	if len(received.GetStrata()) == 0 && received.GetOldAnswers()+received.GetNewAnswers() > 0 {
		decoded[stratum{}] = sample{
			old: counts{answers: received.GetOldAnswers(), failures: received.GetOldFailures()},
			new: counts{answers: received.GetNewAnswers(), failures: received.GetNewFailures()},
		}
	}
	for _, s := range received.GetStrata() {
		at := stratum{route: s.GetRoute(), load: uint8(min(s.GetLoad(), uint32(loadClasses-1))), phase: phase(min(s.GetPhase(), uint32(fullPhase)))}
		decoded[at] = sample{
			old: counts{s.GetOldAnswers(), s.GetOldFailures(), s.GetOldTimed(), s.GetOldSlow()}.valid(),
			new: counts{s.GetNewAnswers(), s.GetNewFailures(), s.GetNewTimed(), s.GetNewSlow()}.valid(),
		}
	}
	return decoded
}

// stratified reports whether the samples come from a sender that counts by stratum.
func (s samples) stratified() bool {
	_, together := s[stratum{}]
	return len(s) > 1 || len(s) == 1 && !together
}

var _ link.Topic = (*Rollouts)(nil)

// Name implements link.Topic.
func (r *Rollouts) Name() string { return "version tallies" }

// Message implements link.Topic.
func (r *Rollouts) Message(machine.Member) []byte {
	message := &canarypb.Tallies{}
	r.mu.Lock()
	for service, ro := range r.byService {
		if ro.local == (tally{}) && !ro.rejected {
			continue
		}
		tally := &canarypb.Tally{
			Service: service, Order: ro.order.Revision, OrderEra: ro.order.Era,
			NewAnswers: ro.local.newAnswers, NewFailures: ro.local.newFailures,
			OldAnswers: ro.local.oldAnswers, OldFailures: ro.local.oldFailures, Rejected: ro.rejected,
			NewStarted: ro.local.newStarted, NewResponded: ro.local.newResponded,
		}
		if !ro.ended() {
			tally.Strata = ro.samples.encode()
			tally.OldPaces, tally.NewPaces, tally.NewIdlePaces = ro.paces.old[:], ro.paces.new[:], ro.paces.newIdle[:]
		}
		message.Tallies = append(message.Tallies, tally)
	}
	r.mu.Unlock()
	if len(message.Tallies) == 0 {
		return nil
	}
	data, err := proto.Marshal(message)
	if err != nil {
		r.log.Error("encoding tallies failed", "error", err)
		return nil
	}
	return data
}

// identifiedBy reports whether a tally is of the order. A sender of an earlier version states no era.
func (o *Order) identifiedBy(received *canarypb.Tally) bool {
	era := received.GetOrderEra()
	return o.Revision == received.GetOrder() && (era == 0 || era == o.Era)
}

// Receive implements link.Topic.
func (r *Rollouts) Receive(from machine.Member, data []byte) {
	message := &canarypb.Tallies{}
	if err := proto.Unmarshal(data, message); err != nil {
		r.log.Warn("decoding tallies failed", "peer", from.ID, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, received := range message.GetTallies() {
		ro := r.byService[received.GetService()]
		if ro == nil || !ro.order.identifiedBy(received) {
			continue
		}
		ro.peers[from.ID] = tally{
			newAnswers: received.GetNewAnswers(), newFailures: received.GetNewFailures(),
			oldAnswers: received.GetOldAnswers(), oldFailures: received.GetOldFailures(),
			newStarted: received.GetNewStarted(), newResponded: received.GetNewResponded(),
		}
		peerPaces := &paces{}
		peerPaces.old.merge(received.GetOldPaces())
		peerPaces.new.merge(received.GetNewPaces())
		peerPaces.newIdle.merge(received.GetNewIdlePaces())
		ro.peerPaces[from.ID] = peerPaces
		if decoded := decodeSamples(received); decoded.stratified() || !ro.peerSamples[from.ID].stratified() {
			// Without strata the sender is of an earlier version, or its roll-out has ended.
			ro.peerSamples[from.ID] = decoded
			ro.sumSamples()
		}
		if received.GetRejected() && !ro.rejected {
			// A large fleet exchanges tallies with a few members at a time, so that most instances know only a
			// part of the evidence.
			ro.rejected = true
			r.log.Warn("new version rejected by a peer", "service", ro.order.Service, "target", ro.order.Target, "peer", from.ID)
		}
		r.evaluate(ro)
	}
}
