package mirror

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/pause"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upgrade"
)

// MembersPrefix is the prefix of the keys under which entry instances register.
const MembersPrefix = "plumbarrow/members/"

const (
	// presenceTTL is the TTL of the lease: how long a crashed instance stays listed. Peers detect
	// sooner that it does not answer, so the TTL only bounds the entries of lost instances.
	presenceTTL = 30 * time.Second
	// presenceRenewInterval leaves two more attempts before the lease ends.
	presenceRenewInterval = 10 * time.Second
	// presenceTimeout bounds one call.
	presenceTimeout = 2 * time.Second
	// presenceMaxBackoff bounds the pause after a failed call. A lease outlasts several of them, and an
	// instance serves without it.
	presenceMaxBackoff = 2 * time.Second
	// restoreSpread is the time over which the instances of a fleet register again after the store was restored.
	restoreSpread = time.Second
)

// memberDocument is the value that an entry instance registers.
type memberDocument struct {
	Incarnation string `json:"incarnation"`
	Group       string `json:"group"` // the exchange group: the zone, in gateway mode the region
	Address     string `json:"address"`
	// LinkMbps is the rate of the instance's network link in Mbit/s; 0 if unknown. Earlier versions leave it out.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Protocol is upgrade.Protocol of the instance's build. Earlier versions leave it out.
	Protocol int `json:"protocol,omitempty"`
}

// Presence registers an entry instance in the store under a lease and lists the registered ones.
type Presence struct {
	mirror *Mirror
	writer Writer
	self   machine.Member
	log    *slog.Logger

	mu        sync.Mutex
	state     listState        // of the copy that instances was decoded from
	instances []infra.Instance // nil before the first call
}

var _ infra.InstanceList = (*Presence)(nil)

// NewPresence returns the presence of an instance, which is registered only while Run is running.
func NewPresence(mirror *Mirror, writer Writer, self machine.Member, log *slog.Logger) *Presence {
	return &Presence{mirror: mirror, writer: writer, self: self, log: log}
}

// Instances implements infra.InstanceList from the copy, without a call to the store. It returns the same slice
// as long as the copy has not changed; callers must not modify it.
func (p *Presence) Instances(context.Context) ([]infra.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.mirror.listState()
	if p.instances == nil || state != p.state {
		p.state, p.instances = state, p.decode()
	}
	return p.instances, nil
}

// Protocols returns the number of registered instances by the protocol that they state.
func (p *Presence) Protocols() map[int]int {
	instances, _ := p.Instances(context.Background()) // the copy never fails
	protocols := make(map[int]int)
	for i := range instances {
		protocols[instances[i].Protocol]++
	}
	return protocols
}

// decode returns the registered instances.
func (p *Presence) decode() []infra.Instance {
	var instances []infra.Instance
	for _, document := range p.mirror.List(MembersPrefix) {
		var member memberDocument
		if err := json.Unmarshal(document.Value, &member); err != nil {
			p.log.Warn("decoding member document failed; instance left out", "key", document.Key, "error", err)
			continue
		}
		instances = append(instances, infra.Instance{
			ID: strings.TrimPrefix(document.Key, MembersPrefix), Incarnation: member.Incarnation, Kind: infra.KindEntry,
			Zone: member.Group, Address: member.Address, State: infra.StateLive, LinkMbps: member.LinkMbps, Protocol: member.Protocol,
		})
	}
	return instances
}

// Run keeps the instance registered until ctx ends, then deregisters it.
func (p *Presence) Run(ctx context.Context) error {
	// The copy tells which document of a former process the registration replaces.
	p.mirror.awaitAfter(ctx, Position{}, presenceTimeout)
	var lease Lease
	delay := minBackoff
	for {
		var err error
		if lease, err = p.register(ctx, lease); err != nil {
			p.log.Warn("registering in the store or renewing the lease failed; retrying", "lease", lease.ID, "error", err)
			if !backoff(ctx, &delay, presenceMaxBackoff) {
				break
			}
			continue
		}
		delay = minBackoff
		if !p.awaitRenewal(ctx, lease) {
			break
		}
	}
	if lease.ID == 0 {
		return nil
	}
	endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), presenceTimeout)
	defer cancel()
	if err := p.writer.End(endCtx, lease); err != nil {
		p.log.Warn("deregistering failed; the instance stays listed until the lease expires", "lease", lease.ID, "error", err)
	}
	return nil
}

// awaitRenewal waits until the lease is due for renewal or the copy is of a newer era. It returns false if ctx ended.
func (p *Presence) awaitRenewal(ctx context.Context, lease Lease) bool {
	p.mirror.await(ctx, presenceRenewInterval, func(position Position) bool { return position.Era > lease.Era })
	if p.mirror.Era() > lease.Era {
		return pause.Sleep(ctx, rand.N(restoreSpread))
	}
	return ctx.Err() == nil
}

// register renews the lease, or starts one and registers the instance under it. It returns the lease, or
// none if none is in use.
func (p *Presence) register(ctx context.Context, lease Lease) (Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, presenceTimeout)
	defer cancel()
	if lease.ID != 0 && lease.Era >= p.mirror.Era() {
		err := p.writer.Renew(ctx, lease)
		if !errors.Is(err, ErrNoLease) {
			return lease, err
		}
	}
	value, err := json.Marshal(memberDocument{
		Incarnation: string(p.self.Incarnation), Group: p.self.Zone, Address: p.self.Address, LinkMbps: p.self.LinkMbps, Protocol: upgrade.Protocol,
	})
	if err != nil {
		return Lease{}, err
	}
	lease, err = p.writer.Grant(ctx, presenceTTL)
	if err != nil {
		return Lease{}, err
	}
	p.mirror.await(ctx, presenceTimeout, func(position Position) bool { return position.Era >= lease.Era })
	key := MembersPrefix + string(p.self.ID)
	era := p.mirror.Era()
	listed, _ := p.mirror.Get(key)
	// Without the condition a write whose outcome is unknown could take effect later and replace the document by one whose lease is
	// no longer renewed.
	write := &Write{
		Conditions: []Condition{{Key: key, Revision: listed.Revision}}, Puts: []Put{{Key: key, Value: value, Lease: lease}}, Era: era,
	}
	if _, err := p.writer.Write(ctx, write); err != nil {
		return Lease{}, err
	}
	return lease, nil
}
