package mirror

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/internal/delta"
	"plumbarrow.example/plumbarrow/internal/pause"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror/mirrorpb"
)

const (
	// catchUpTimeout bounds one fetch from a peer that is ahead. After a timeout, the next peer that
	// reports a higher revision is asked.
	catchUpTimeout = 800 * time.Millisecond
	// pollWait is the long-poll timeout of a poll. maxPollWait bounds what a peer may ask for.
	pollWait    = 300 * time.Millisecond
	maxPollWait = 2 * time.Second
	// pollGrace is how much longer than its wait a poll may take before the next source is polled: several round trips between data
	// centres. Where packets queue on a link it is longer, up to maxPollGrace.
	pollGrace    = 300 * time.Millisecond
	maxPollGrace = 900 * time.Millisecond
	// latePollGrace is how much longer than its wait a poll may take altogether. A reply that comes after the next source was polled counts.
	latePollGrace = 1500 * time.Millisecond
	// maxPolls bounds the polls that wait for replies at the same time.
	maxPolls = 3
	// maxPollBytes bounds the documents in the reply of an instance of the version before, which does not pack them.
	maxPollBytes = 16 << 10
	// replyTime is how long the replies with a change may take the sender's link, for all instances that poll it. It is below pollGrace.
	replyTime = 250 * time.Millisecond
	// minReplyBytes and maxReplyBytes bound the documents in a reply. Some instances have links of 10 Mbit/s.
	minReplyBytes = 16 << 10
	maxReplyBytes = 128 << 10
	// maxSourceAge is the age of a source's copy from which another source is polled. A watcher that
	// reaches the store stays below it.
	maxSourceAge = watchWait + 3*minBatchDelay
	// sourceRetry is how long a source that did not answer, or whose copy is too old, is not polled.
	sourceRetry = 5 * time.Second
	// allAvoidedRetry is the time after which all sources are tried again if each one is avoided, as at the
	// start of a fleet or while the store is down.
	allAvoidedRetry = time.Second
)

// Topic reports the copy's revision to peers, fetches changes from peers that are ahead, and polls the
// fleet's watchers.
type Topic struct {
	mirror   *Mirror
	peers    link.Peers
	watchers *Watchers
	packs    *packCache
	standby  atomic.Bool         // this instance watches in place of a watcher
	ahead    chan machine.Member // a peer that is ahead of this copy; capacity 1
}

var (
	_ link.Topic                = (*Topic)(nil)
	_ mirrorpb.DRPCMirrorServer = (*Topic)(nil)
)

// NewTopic returns the topic of a mirror. It fetches changes only while Run and Poll are running.
func NewTopic(mirror *Mirror, peers link.Peers, watchers *Watchers) *Topic {
	return &Topic{mirror: mirror, peers: peers, watchers: watchers, packs: newPackCache(), ahead: make(chan machine.Member, 1)}
}

// Register serves the copy to peers.
func (t *Topic) Register(mux drpc.Mux) error { return mirrorpb.DRPCRegisterMirror(mux, t) }

// Name implements link.Topic.
func (t *Topic) Name() string { return "documents" }

// Message implements link.Topic.
func (t *Topic) Message(machine.Member) []byte {
	position := t.mirror.Position()
	data, err := proto.Marshal(&mirrorpb.Position{Revision: position.Revision, Era: position.Era, Steady: t.mirror.steady()})
	if err != nil {
		t.mirror.log.Error("encoding revision of the mirror failed", "error", err)
		return nil
	}
	return data
}

// Receive implements link.Topic.
func (t *Topic) Receive(from machine.Member, message []byte) {
	reported := &mirrorpb.Position{}
	if err := proto.Unmarshal(message, reported); err != nil {
		t.mirror.log.Warn("decoding revision of a peer's mirror failed", "peer", from.ID, "error", err)
		return
	}
	position, own := Position{Era: reported.GetEra(), Revision: reported.GetRevision()}, t.mirror.Position()
	if reported.GetSteady() && position.Era == own.Era {
		t.mirror.recordPeerSteady()
	}
	if !position.After(own) {
		return
	}
	t.mirror.recordBehind(position)
	select {
	case t.ahead <- from:
	default: // a fetch is already due
	}
}

// Run fetches changes from peers that are ahead until ctx ends.
func (t *Topic) Run(ctx context.Context) error {
	for {
		select {
		case peer := <-t.ahead:
			if err := t.catchUp(ctx, peer); err != nil {
				t.mirror.log.Debug("changes not fetched from peer", "peer", peer.ID, "error", err)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// Watching reports whether this instance watches the store: as one of the watchers, or because none of them has a fresh copy.
func (t *Topic) Watching() bool { return t.watchers.Watching() || t.standby.Load() }

// Poll keeps polling one of the fleet's watchers until ctx ends. It pauses while this instance is a watcher
// that reaches the store.
func (t *Topic) Poll(ctx context.Context) error {
	avoided := make(map[machine.InstanceID]time.Time)
	var current machine.InstanceID
	polls := newPolls(t)
	defer polls.running.Wait()
	for ctx.Err() == nil {
		source, ok := t.source(avoided)
		if !ok {
			interval := roleInterval
			if len(avoided) > 0 && !t.standby.Load() {
				clear(avoided)
				if interval = allAvoidedRetry; polls.takeLate() {
					interval = minBatchDelay // the sources answer, though late
				}
			}
			if !pause.Sleep(ctx, interval) {
				return nil
			}
			continue
		}
		wait := pollWait
		if source.ID != current {
			wait = 0 // whether its copy is fresh is to be known at once
		}
		result, err := polls.poll(ctx, source, wait)
		current = source.ID
		if errors.Is(err, errTooLarge) {
			if !pause.Sleep(ctx, minBatchDelay) {
				return nil
			}
			continue
		}
		if err != nil || ageOf(result.confirmedAt) > maxSourceAge {
			avoided[source.ID] = time.Now().Add(sourceRetry)
			current = ""
			t.mirror.log.Debug("source of changes avoided", "peer", source.ID, "age_ms", ageOf(result.confirmedAt).Milliseconds(), "error", err)
		}
		if result.changed > 0 && !pause.Sleep(ctx, minBatchDelay/2) {
			return nil
		}
	}
	return nil
}

// fetchLimit returns the most bytes of documents in a reply to this instance; 0 means no limit. An instance that does
// not reach the store can get large documents from its peers only.
func (t *Topic) fetchLimit() uint32 {
	if !t.mirror.storeReachable() {
		return 0
	}
	return maxPollBytes
}

// source returns the instance to poll next: a watcher, or a standby if all watchers are avoided. ok is false if none is to be polled now. It drops
// outdated entries of avoided.
func (t *Topic) source(avoided map[machine.InstanceID]time.Time) (source machine.Member, ok bool) {
	reachable := t.mirror.storeReachable()
	if t.watchers.Watching() && reachable {
		t.standby.Store(false)
		return machine.Member{}, false
	}
	now := time.Now()
	maps.DeleteFunc(avoided, func(_ machine.InstanceID, until time.Time) bool { return !now.Before(until) })
	if source, ok = firstOf(t.watchers.Sources(), avoided); ok {
		t.standby.Store(false)
		return source, true
	}
	standbys, standby := t.watchers.Standbys()
	standby = standby && len(avoided) > 0
	t.standby.Store(standby)
	if standby && reachable {
		return machine.Member{}, false
	}
	return firstOf(standbys, avoided)
}

// firstOf returns the first member that is not avoided.
func firstOf(members []machine.Member, avoided map[machine.InstanceID]time.Time) (first machine.Member, ok bool) {
	for _, member := range members {
		if _, skip := avoided[member.ID]; !skip {
			return member, true
		}
	}
	return machine.Member{}, false
}

// catchUp fetches from a peer that is ahead what has changed after this copy's revision. Documents that the peer omits come with the
// polls.
func (t *Topic) catchUp(ctx context.Context, peer machine.Member) error {
	_, err := t.fetch(ctx, peer, 0, catchUpTimeout)
	return err
}

// fetched is what a peer's reply has brought.
type fetched struct {
	changed     int           // documents
	confirmedAt time.Time     // for which the reply confirms the copy; zero if the peer's copy is not confirmed
	waited      time.Duration // for which the peer held back the reply
}

// fetch asks a peer for what has changed after this copy's revision and applies it. The peer waits for a
// change for at most wait. If changes are too large for a reply, the error is an omittedError, and the others are applied, or
// errTooLarge, and nothing is.
func (t *Topic) fetch(ctx context.Context, peer machine.Member, wait, timeout time.Duration) (fetched, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := t.peers.Conn(ctx, peer)
	if err != nil {
		return fetched{}, err
	}
	after, asked := t.mirror.Position(), time.Now()
	request := &mirrorpb.ChangesRequest{
		After: after.Revision, AfterEra: &after.Era, WaitMs: uint32(wait.Milliseconds()), MaxBytes: t.fetchLimit(), Packed: true,
	}
	for key, position := range t.mirror.largeVersions() {
		if position.Era == after.Era {
			request.Held = append(request.Held, &mirrorpb.Version{Key: key, Revision: position.Revision})
		}
	}
	reply, err := mirrorpb.NewDRPCMirrorClient(conn).Changes(ctx, request)
	if err != nil {
		return fetched{}, err
	}
	result := fetched{waited: milliseconds(reply.GetWaitedMs())}
	if reply.GetTooLarge() {
		t.mirror.recordBehind(Position{Era: after.Era, Revision: after.Revision + 1})
		return result, errTooLarge
	}
	position := Position{Era: reply.GetEra(), Revision: reply.GetRevision()}
	documents, err := t.unpack(reply.GetDocuments(), position.Era)
	if err != nil {
		return result, err
	}
	if reply.GetSteady() && position.Era == after.Era {
		t.mirror.recordPeerSteady()
	}
	if reply.ConfirmedAgeMs != nil {
		// The reply left the peer no earlier than the time waited after the question left this instance.
		result.confirmedAt = asked.Add(result.waited - milliseconds(reply.GetConfirmedAgeMs()))
	}
	if len(reply.GetOmitted()) > 0 {
		return result, t.applyPart(documents, reply, position, result.confirmedAt)
	}
	if reply.GetFull() {
		t.mirror.replace(documents, position)
	} else {
		t.mirror.apply(documents, position)
	}
	if t.mirror.Era() != position.Era {
		return fetched{}, fmt.Errorf("%w: peer's copy is of era %d", errOtherEra, position.Era)
	}
	t.mirror.confirm(result.confirmedAt)
	if len(documents) > 0 {
		t.mirror.log.Info("documents fetched from a peer", "peer", peer.ID, "after", after.Revision,
			"revision", reply.GetRevision(), "documents", len(documents), "full", reply.GetFull())
	}
	result.changed = len(documents)
	return result, nil
}

// applyPart applies the documents of a reply from which others were omitted, and returns an omittedError with these.
func (t *Topic) applyPart(documents []Document, reply *mirrorpb.ChangesReply, position Position, confirmedAt time.Time) error {
	t.mirror.recordBehind(position)
	t.mirror.mergePart(documents, position)
	changes := &omittedChanges{revisions: make(map[string]uint64), position: position, confirmedAt: confirmedAt, full: reply.GetFull()}
	if changes.full {
		changes.documents = documents
	}
	for _, version := range reply.GetOmitted() {
		changes.revisions[version.GetKey()] = version.GetRevision()
	}
	return &omittedError{changes}
}

// unpack decodes the documents of a reply of an era.
func (t *Topic) unpack(messages []*mirrorpb.Document, era uint64) ([]Document, error) {
	now := time.Now()
	documents := make([]Document, 0, len(messages))
	for _, message := range messages {
		document := Document{
			Key: message.GetKey(), Value: message.GetValue(), Revision: message.GetRevision(), Deleted: message.GetDeleted(), Era: era,
		}
		if message.KnownMs != nil {
			document.KnownAt = now.Add(-milliseconds(message.GetKnownMs()))
		}
		size := len(document.Value)
		if packed := message.GetPacked(); len(packed) > 0 {
			size = len(packed)
			base, baseValue, ok := t.base(document.Key, era, message.GetBase())
			if !ok {
				return nil, fmt.Errorf("%w: %s of revision %d", errNoBase, document.Key, message.GetBase())
			}
			value, err := delta.Decode(packed, baseValue, maxDocumentBytes)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", document.Key, err)
			}
			document.Value = value
			t.packs.add(document.Key, document.Position(), base, packed)
		}
		t.mirror.fromPeers.Add(int64(size))
		documents = append(documents, document)
	}
	return documents, nil
}

// base returns the position and value of the version against which a document is packed; all zero if the revision is 0.
func (t *Topic) base(key string, era, revision uint64) (base Position, value []byte, ok bool) {
	if revision == 0 {
		return Position{}, nil, true
	}
	base = Position{Era: era, Revision: revision}
	value, ok = t.mirror.version(key, base)
	return base, value, ok
}

var (
	// errTooLarge means that the changes exceed the size asked for.
	errTooLarge = errors.New("changes too large for a poll")
	// errOtherEra means that changes are of an era older than the copy's, or newer and not complete.
	errOtherEra = errors.New("changes of another era")
	// errNoBase means that a document is packed against a version that the copy no longer has.
	errNoBase = errors.New("no base of a packed document")
)

// omittedError means that a reply lacks some of the changes. It is an errTooLarge.
type omittedError struct{ changes *omittedChanges }

// Is makes the error an errTooLarge.
func (e *omittedError) Is(target error) bool { return target == errTooLarge }

// Error implements error.
func (e *omittedError) Error() string {
	return fmt.Sprintf("%d changes omitted up to revision %d", len(e.changes.revisions), e.changes.position.Revision)
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// Changes implements mirrorpb.DRPCMirrorServer.
func (t *Topic) Changes(ctx context.Context, request *mirrorpb.ChangesRequest) (*mirrorpb.ChangesReply, error) {
	arrived := time.Now()
	after := Position{Era: request.GetAfterEra(), Revision: request.GetAfter()}
	if request.AfterEra == nil {
		// An instance of the version before would otherwise get everything at each poll, without a wait.
		after.Era = t.mirror.Era()
	}
	t.mirror.awaitAfter(ctx, after, min(milliseconds(request.GetWaitMs()), maxPollWait))
	waited := time.Since(arrived)
	changes := t.mirror.changesAfter(after)
	limit := int(request.GetMaxBytes())
	if limit > 0 && !request.GetPacked() && sizeOf(changes.documents) > limit {
		return &mirrorpb.ChangesReply{TooLarge: true}, nil
	}
	reply := &mirrorpb.ChangesReply{
		Revision: changes.position.Revision, Era: changes.position.Era, Full: changes.full, Steady: t.mirror.steady(), WaitedMs: uint32(waited.Milliseconds()),
	}
	if !changes.confirmedAt.IsZero() {
		age := min((ageOf(changes.confirmedAt) + time.Millisecond - 1).Milliseconds(), math.MaxUint32)
		reply.ConfirmedAgeMs = proto.Uint32(uint32(age))
	}
	if request.GetPacked() {
		if limit > 0 {
			limit = t.replyLimit()
		}
		return reply, t.addPacked(reply, changes.documents, t.heldBy(request), limit)
	}
	for _, document := range changes.documents {
		message := messageOf(document)
		if !document.Deleted {
			message.Value = document.Value
		}
		reply.Documents = append(reply.Documents, message)
	}
	return reply, nil
}

// messageOf returns a document's message without its value.
func messageOf(document Document) *mirrorpb.Document {
	message := &mirrorpb.Document{Key: document.Key, Revision: document.Revision, Deleted: document.Deleted}
	if lag, ok := document.Lag(); ok {
		message.KnownMs = proto.Uint32(uint32(min(lag.Milliseconds(), math.MaxUint32)))
	}
	return message
}

// heldBy returns the positions of the large documents that the sender of a request has.
func (t *Topic) heldBy(request *mirrorpb.ChangesRequest) map[string]Position {
	held := make(map[string]Position, len(request.GetHeld()))
	for _, version := range request.GetHeld() {
		held[version.GetKey()] = Position{Era: request.GetAfterEra(), Revision: version.GetRevision()}
	}
	return held
}

// addPacked adds documents to a reply, the large ones packed against the versions held if this copy has these, too. The smallest come
// first; from limit bytes on, documents are omitted. A limit of 0 means none.
func (t *Topic) addPacked(reply *mirrorpb.ChangesReply, documents []Document, held map[string]Position, limit int) error {
	size := 0
	slices.SortFunc(documents, func(a, b Document) int { return cmp.Compare(len(a.Value), len(b.Value)) })
	for _, document := range documents {
		message := messageOf(document)
		switch {
		case document.Deleted:
		case len(document.Value) < largeBytes:
			message.Value = document.Value
		default:
			base := held[document.Key]
			value, ok := t.mirror.version(document.Key, base)
			if !ok || base.Era != document.Era {
				base, value = Position{}, nil
			}
			packed, err := t.packs.pack(document, base, value)
			if err != nil {
				return err
			}
			message.Packed, message.Base = packed, base.Revision
		}
		size += len(document.Key) + len(message.GetValue()) + len(message.GetPacked())
		if limit > 0 && size > limit {
			reply.Omitted = append(reply.Omitted, &mirrorpb.Version{Key: document.Key, Revision: document.Revision})
			continue
		}
		reply.Documents = append(reply.Documents, message)
	}
	return nil
}

// replyLimit returns the most bytes of documents in a reply, so that the replies to all instances that poll this one take its link for
// replyTime.
func (t *Topic) replyLimit() int {
	perSecond, receivers := t.watchers.replyCapacity()
	return min(max(int(perSecond*replyTime.Seconds())/receivers, minReplyBytes), maxReplyBytes)
}

func sizeOf(documents []Document) int {
	size := 0
	for _, document := range documents {
		size += len(document.Key)
		if !document.Deleted {
			size += len(document.Value)
		}
	}
	return size
}
