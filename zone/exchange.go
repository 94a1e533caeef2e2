package zone

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
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

// nudgeGap is the shortest time between two rounds; it bounds the traffic that nudges cause.
const nudgeGap = 100 * time.Millisecond

// Exchange swaps the states of registered topics with other entry instances about once a second:
// with the members of its zone, and, as the relay of its zone, with members of other zones. Safe
// for concurrent use.
type Exchange struct {
	settings   Settings
	membership *Membership
	peers      link.Peers
	counters   *telemetry.Counters
	log        *slog.Logger
	nudge      chan struct{}

	mu     sync.Mutex
	topics []link.Topic
	busy   map[string]bool // by peer address

	calls    sync.WaitGroup
	sent     atomic.Uint64
	received atomic.Uint64
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
		nudge:      make(chan struct{}, 1),
		busy:       make(map[string]bool),
	}
}

// Add registers a topic. Its name must be unique.
func (e *Exchange) Add(topic link.Topic) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.topics = append(e.topics, topic)
}

// Register serves the exchange to peers.
func (e *Exchange) Register(mux drpc.Mux) error { return zonepb.DRPCRegisterExchange(mux, e) }

// Nudge starts a round at once, for news that cannot wait. It never blocks.
func (e *Exchange) Nudge() {
	select {
	case e.nudge <- struct{}{}:
	default: // a round is already due
	}
}

// Bytes returns the bytes of messages sent and received so far, without framing.
func (e *Exchange) Bytes() (sent, received uint64) { return e.sent.Load(), e.received.Load() }

// Run exchanges until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	defer e.calls.Wait()
	for {
		e.round(ctx)
		if !pause.Sleep(ctx, nudgeGap) {
			return nil
		}
		timer := time.NewTimer(jittered(millis(e.settings.ExchangeIntervalMS)) - nudgeGap)
		select {
		case <-timer.C:
		case <-e.nudge:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// round starts one exchange with each target. A peer whose last exchange is still under way is
// left out, so that a silent one delays nobody.
func (e *Exchange) round(ctx context.Context) {
	for _, target := range e.targets() {
		e.mu.Lock()
		busy := e.busy[target.Address]
		e.busy[target.Address] = true
		e.mu.Unlock()
		if busy {
			continue
		}
		e.calls.Go(func() {
			e.call(ctx, target)
			e.mu.Lock()
			delete(e.busy, target.Address)
			e.mu.Unlock()
		})
	}
}

func (e *Exchange) call(ctx context.Context, target machine.Member) {
	ctx, cancel := context.WithTimeout(ctx, millis(e.settings.PeerTimeoutMS))
	defer cancel()
	conn, err := e.peers.Conn(ctx, target)
	if err != nil {
		e.failed(ctx, target, err)
		return
	}
	answer, err := zonepb.NewDRPCExchangeClient(conn).Exchange(ctx, e.message(target))
	if err != nil {
		e.failed(ctx, target, err)
		return
	}
	e.counters.Inc("plumbarrow_exchanges_total")
	e.take(answer)
}

func (e *Exchange) failed(ctx context.Context, target machine.Member, err error) {
	if context.Cause(ctx) == context.Canceled {
		return // this instance stops
	}
	e.counters.Inc("plumbarrow_exchange_failures_total")
	if target.ID != "" {
		e.membership.failed(target)
	}
	e.log.Debug("exchange failed", "peer", target.ID, "address", target.Address, "error", err)
}

// Exchange implements zonepb.DRPCExchangeServer.
func (e *Exchange) Exchange(_ context.Context, message *zonepb.Message) (*zonepb.Message, error) {
	if message.GetFrom().GetId() == "" {
		return nil, fmt.Errorf("exchange without a sender")
	}
	return e.message(e.take(message)), nil
}

// message gathers the topics' states for a member within the size bound.
func (e *Exchange) message(to machine.Member) *zonepb.Message {
	message := &zonepb.Message{From: e.membership.own(), Heard: e.membership.news()}
	size := proto.Size(message)
	for _, topic := range e.registered() {
		payload := topic.Message(to)
		if payload == nil {
			continue
		}
		if size+len(payload) > e.settings.MaxMessageBytes {
			e.counters.Add("plumbarrow_exchange_oversize_total", "topic", topic.Name())
			e.log.Error("topic does not fit into the message", "topic", topic.Name(), "bytes", len(payload))
			continue
		}
		size += len(payload)
		message.Topics = append(message.Topics, &zonepb.TopicMessage{Topic: topic.Name(), Payload: payload})
	}
	e.sent.Add(uint64(proto.Size(message)))
	return message
}

// take hands a message's states to the topics and returns its sender.
func (e *Exchange) take(message *zonepb.Message) machine.Member {
	e.received.Add(uint64(proto.Size(message)))
	e.membership.heard(message.GetFrom(), true)
	for _, member := range message.GetHeard()[:min(len(message.GetHeard()), maxHeard)] {
		e.membership.heard(member, false)
	}
	from := machine.Member{
		ID:          machine.InstanceID(message.GetFrom().GetId()),
		Incarnation: machine.Incarnation(message.GetFrom().GetIncarnation()),
		Zone:        message.GetFrom().GetZone(),
		Address:     message.GetFrom().GetAddress(),
	}
	byName := make(map[string][]byte, len(message.GetTopics()))
	for _, one := range message.GetTopics() {
		byName[one.GetTopic()] = one.GetPayload()
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

// jittered spreads an interval by a fifth to either side, so that instances do not fall into step.
func jittered(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (0.8 + 0.4*rand.Float64()))
}
