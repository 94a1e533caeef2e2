package zone

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/internal/pause"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/zone/zonepb"
)

// minRoundInterval is the shortest time between two rounds. It bounds the traffic that TriggerRound causes.
const minRoundInterval = 100 * time.Millisecond

// Exchange gossips the states of registered topics with other entry instances: in each round with
// members of its own zone, and with members of the zones that it is the relay for. Rounds follow
// each other about once a second by default. Safe for concurrent use.
type Exchange struct {
	settings   Settings
	membership *Membership
	peers      link.Peers
	counters   *telemetry.Counters
	log        *slog.Logger
	trigger    chan struct{}

	mu       sync.Mutex
	topics   []link.Topic
	inFlight map[string]bool // peers with an exchange in flight, by address

	calls         sync.WaitGroup
	sentBytes     atomic.Uint64
	receivedBytes atomic.Uint64
}

var _ zonepb.DRPCExchangeServer = (*Exchange)(nil)

// NewExchange returns an exchange without topics.
func NewExchange(settings Settings, membership *Membership, peers link.Peers, counters *telemetry.Counters, log *slog.Logger) *Exchange {
	return &Exchange{
		settings:   settings,
		membership: membership,
		peers:      peers,
		counters:   counters,
		log:        log,
		trigger:    make(chan struct{}, 1),
		inFlight:   make(map[string]bool),
	}
}

// Add registers a topic. Its name must be unique.
func (e *Exchange) Add(topic link.Topic) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.topics = append(e.topics, topic)
}

// Register adds the exchange service to a server's mux.
func (e *Exchange) Register(mux drpc.Mux) error { return zonepb.DRPCRegisterExchange(mux, e) }

// TriggerRound starts a round at once, or minRoundInterval after the previous one, for changes that cannot
// wait for the next periodic round. It never blocks.
func (e *Exchange) TriggerRound() {
	select {
	case e.trigger <- struct{}{}:
	default: // a round is already due
	}
}

// Bytes returns the bytes of messages sent and received so far, without framing.
func (e *Exchange) Bytes() (sent, received uint64) { return e.sentBytes.Load(), e.receivedBytes.Load() }

// Run starts rounds until ctx ends. Then it waits for the exchanges in flight and returns nil.
func (e *Exchange) Run(ctx context.Context) error {
	defer e.calls.Wait()
	for {
		e.round(ctx)
		if !pause.Sleep(ctx, minRoundInterval) {
			return nil
		}
		timer := time.NewTimer(jittered(milliseconds(e.settings.ExchangeIntervalMS)) - minRoundInterval)
		select {
		case <-timer.C:
		case <-e.trigger:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// round starts one exchange with each target and does not wait for them, so that an unresponsive
// peer delays no other. It skips peers whose previous exchange is still in flight.
func (e *Exchange) round(ctx context.Context) {
	for _, target := range e.targets() {
		e.mu.Lock()
		inFlight := e.inFlight[target.Address]
		e.inFlight[target.Address] = true
		e.mu.Unlock()
		if inFlight {
			continue
		}
		e.calls.Go(func() {
			if !e.call(ctx, target) {
				e.callAnother(ctx, target)
			}
			e.mu.Lock()
			delete(e.inFlight, target.Address)
			e.mu.Unlock()
		})
	}
}

// callAnother makes an exchange with another member of the zone of a target that failed, if that is not this instance's own zone. Until a silent
// member is suspected, the rounds of all relays might choose it again.
func (e *Exchange) callAnother(ctx context.Context, failed machine.Member) {
	if failed.ID == "" || failed.Zone == e.membership.Self().Zone || ctx.Err() != nil {
		return
	}
	others := slices.DeleteFunc(inZone(e.membership.Live(), failed.Zone), func(m machine.Member) bool { return m.ID == failed.ID })
	if len(others) > 0 {
		e.call(ctx, others[rand.IntN(len(others))])
	}
}

// call makes an exchange with the target and reports whether it succeeded.
func (e *Exchange) call(ctx context.Context, target machine.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(e.settings.PeerTimeoutMS))
	defer cancel()
	conn, err := e.peers.Conn(ctx, target)
	if err != nil {
		e.recordFailure(ctx, target, err)
		return false
	}
	answer, err := zonepb.NewDRPCExchangeClient(conn).Exchange(ctx, e.message(target))
	if err != nil {
		e.recordFailure(ctx, target, err)
		return false
	}
	e.counters.Inc("plumbarrow_exchanges_total")
	e.receive(answer)
	return true
}

// recordFailure counts and logs a failed exchange and reports the target to the membership. A seed
// has no id and is not reported.
func (e *Exchange) recordFailure(ctx context.Context, target machine.Member, err error) {
	if context.Cause(ctx) == context.Canceled {
		return // this instance is shutting down
	}
	e.counters.Inc("plumbarrow_exchange_failures_total")
	if target.ID != "" {
		e.membership.recordFailure(target)
	}
	e.log.Debug("exchange failed", "peer", target.ID, "address", target.Address, "error", err)
}

// Exchange implements zonepb.DRPCExchangeServer.
func (e *Exchange) Exchange(_ context.Context, message *zonepb.Message) (*zonepb.Message, error) {
	if message.GetFrom().GetId() == "" {
		return nil, fmt.Errorf("exchange message has no sender id")
	}
	return e.message(e.receive(message)), nil
}

// message returns the message for a member: membership and the states of all topics. Topics that do
// not fit into MaxMessageBytes are left out.
func (e *Exchange) message(to machine.Member) *zonepb.Message {
	message := &zonepb.Message{From: e.membership.selfMessage(), Heard: e.membership.listDifferences()}
	size := proto.Size(message)
	for _, topic := range e.registered() {
		payload := topic.Message(to)
		if payload == nil {
			continue
		}
		if size+len(payload) > e.settings.MaxMessageBytes {
			e.counters.Add("plumbarrow_exchange_oversize_total", "topic", topic.Name())
			e.log.Error("topic left out: the message would exceed the size limit", "peer", to.ID, "topic", topic.Name(),
				"bytes", len(payload), "message_bytes", size+len(payload), "limit", e.settings.MaxMessageBytes)
			continue
		}
		size += len(payload)
		message.Topics = append(message.Topics, &zonepb.TopicMessage{Topic: topic.Name(), Payload: payload})
	}
	e.sentBytes.Add(uint64(proto.Size(message)))
	return message
}

// receive merges a message into the membership and the topics, and returns its sender.
func (e *Exchange) receive(message *zonepb.Message) machine.Member {
	e.receivedBytes.Add(uint64(proto.Size(message)))
	e.membership.merge(message.GetFrom(), true)
	for _, member := range message.GetHeard()[:min(len(message.GetHeard()), maxPassedOn)] {
		e.membership.merge(member, false)
	}
	from := machine.Member{
		ID:          machine.InstanceID(message.GetFrom().GetId()),
		Incarnation: machine.Incarnation(message.GetFrom().GetIncarnation()),
		Zone:        message.GetFrom().GetZone(),
		Address:     message.GetFrom().GetAddress(),
	}
	byName := make(map[string][]byte, len(message.GetTopics()))
	for _, topicMessage := range message.GetTopics() {
		byName[topicMessage.GetTopic()] = topicMessage.GetPayload()
	}
	for _, topic := range e.registered() {
		if payload, ok := byName[topic.Name()]; ok {
			topic.Receive(from, payload)
		}
	}
	return from
}

func (e *Exchange) registered() []link.Topic {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.topics[:len(e.topics):len(e.topics)]
}

// jittered varies an interval randomly by up to 20% in either direction, so that the rounds of
// different instances do not synchronize.
func jittered(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (0.8 + 0.4*rand.Float64()))
}
