package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/replica/replicapb"
)

const (
	fetchTimeout           = 2 * time.Second
	fetchHedge             = 300 * time.Millisecond // hedging delay before the next peer is asked as well
	catchUpPeers           = 8
	initialSyncPeers       = 16 // most peers that an instance asks when it starts
	initialSyncParallelism = 4
)

// fetched is a peer's configuration; its record has revision 0 if the peer has none above the known one.
type fetched struct {
	record  Record
	payload payload
}

// fetcher asks one peer for its configuration if its revision is above that of known, which may be
// nil.
type fetcher interface {
	fetch(ctx context.Context, from machine.Member, known *activeConfig) (fetched, error)
}

// peerFetcher implements fetcher over drpc.
type peerFetcher struct{ peers link.Peers }

var _ fetcher = (*peerFetcher)(nil)

func (f *peerFetcher) fetch(ctx context.Context, from machine.Member, known *activeConfig) (fetched, error) {
	conn, err := f.peers.Conn(ctx, from)
	if err != nil {
		return fetched{}, fmt.Errorf("fetch configuration: %w", err)
	}
	reply, err := replicapb.NewDRPCConfigurationsClient(conn).FetchConfiguration(ctx, fetchRequest(known))
	if err != nil {
		return fetched{}, fmt.Errorf("fetch configuration: %w", err)
	}
	return fetchResult(reply, known)
}

func fetchRequest(known *activeConfig) *replicapb.FetchRequest {
	request := &replicapb.FetchRequest{KnownRevision: uint64(known.revision())}
	if known != nil {
		request.KnownDigest = shortDigest(known.record.Digest)
	}
	return request
}

func fetchResult(reply *replicapb.FetchReply, known *activeConfig) (fetched, error) {
	if len(reply.Record) == 0 {
		return fetched{}, nil
	}
	result := fetched{payload: payload{packed: reply.Packed}}
	if known != nil && len(reply.Delta) > 0 {
		result.payload = payload{delta: reply.Delta, deltaFrom: known.record.Digest}
	}
	if err := json.Unmarshal(reply.Record, &result.record); err != nil {
		return fetched{}, fmt.Errorf("fetch configuration: %w", err)
	}
	return result, nil
}

// service serves the configuration in force to peers.
type service struct{ replica *Replica }

var _ replicapb.DRPCConfigurationsServer = (*service)(nil)

// Register adds the replica's drpc service to a mux.
func (r *Replica) Register(mux drpc.Mux) error {
	return replicapb.DRPCRegisterConfigurations(mux, &service{r})
}

// FetchConfiguration implements the drpc service.
func (s *service) FetchConfiguration(_ context.Context, request *replicapb.FetchRequest) (*replicapb.FetchReply, error) {
	active := s.replica.current.Load()
	reply := &replicapb.FetchReply{Revision: uint64(active.revision())}
	if reply.Revision <= request.KnownRevision {
		return reply, nil
	}
	record, err := json.Marshal(active.record)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	reply.Record = record
	if len(active.delta) > 0 && request.KnownDigest == shortDigest(active.deltaFrom) {
		reply.Delta = active.delta
	} else {
		reply.Packed = active.packed
	}
	return reply, nil
}

// fetchLoop fetches the configuration from a peer that is ahead, each time that fetchSignal reports
// one.
func (r *Replica) fetchLoop(ctx context.Context) error {
	if r.fetcher == nil {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.fetchSignal:
			r.catchUp(ctx)
		}
	}
}

// catchUp asks the peers that are ahead in turn, highest revision first, until one has delivered a
// higher revision. The next peer is asked when the one before has answered without effect, has
// failed, or has not answered within fetchHedge.
func (r *Replica) catchUp(ctx context.Context) {
	known := r.current.Load().revision()
	members := r.peers.ahead(known)
	results := make(chan error, len(members))
	for _, member := range members[:min(len(members), catchUpPeers)] {
		go func() { results <- r.fetchFrom(ctx, member) }()
		hedge := time.NewTimer(fetchHedge)
		select {
		case <-results:
		case <-hedge.C:
		}
		hedge.Stop()
		if ctx.Err() != nil || r.current.Load().revision() > known {
			return
		}
	}
}

func (r *Replica) fetchFrom(ctx context.Context, member machine.Member) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	result, err := r.fetcher.fetch(ctx, member, r.current.Load())
	if err == nil && result.record.Revision > 0 {
		err = r.applyIfNewer(result.record, result.payload, sourcePeer)
	}
	if err != nil {
		r.counters.Inc("plumbarrow_configuration_fetch_failed_total")
		r.log.Warn("configuration not fetched or not applied", "peer", member.ID, "revision", result.record.Revision, "error", err)
	}
	return err
}

// initialSync brings a new instance up to date: from the store if that answers, else to the highest
// revision among the reachable peers. The instance is not ready before one of the two is done.
func (r *Replica) initialSync(ctx context.Context) error {
	for ctx.Err() == nil && !r.synced.Load() {
		group := new(errgroup.Group)
		group.Go(func() error {
			r.counters.Add("plumbarrow_configuration_reads_total", "cause", "start")
			_, err := r.read(ctx)
			return err
		})
		r.fetchFromPeers(ctx)
		_ = group.Wait()
		if r.current.Load() != nil {
			r.synced.Store(true)
			return nil
		}
		sleep(ctx, retryWait+rand.N(retryWait))
	}
	return nil
}

// fetchFromPeers asks some live peers, those of this zone first, and returns when all have answered
// or failed.
func (r *Replica) fetchFromPeers(ctx context.Context) {
	if r.fetcher == nil {
		return
	}
	self := r.members.Self()
	var sameZonePeers, otherZonePeers []machine.Member
	for _, member := range r.members.Live() {
		switch {
		case member.ID == self.ID:
		case sameZone(member, self):
			sameZonePeers = append(sameZonePeers, member)
		default:
			otherZonePeers = append(otherZonePeers, member)
		}
	}
	rand.Shuffle(len(sameZonePeers), func(i, j int) { sameZonePeers[i], sameZonePeers[j] = sameZonePeers[j], sameZonePeers[i] })
	rand.Shuffle(len(otherZonePeers), func(i, j int) { otherZonePeers[i], otherZonePeers[j] = otherZonePeers[j], otherZonePeers[i] })
	targets := append(sameZonePeers[:min(len(sameZonePeers), initialSyncPeers/2)], otherZonePeers...)
	group := new(errgroup.Group)
	group.SetLimit(initialSyncParallelism)
	for _, member := range targets[:min(len(targets), initialSyncPeers)] {
		group.Go(func() error { return r.fetchFrom(ctx, member) })
	}
	_ = group.Wait()
}
