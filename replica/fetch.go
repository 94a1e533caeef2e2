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
	fetchTimeout  = 2 * time.Second
	fetchHedge    = 300 * time.Millisecond // before the next peer is asked as well
	catchUpPeers  = 8
	startPeers    = 16 // asked by an instance that starts
	startParallel = 4
)

// fetched is a peer's configuration; revision 0 if it is not above the known one.
type fetched struct {
	record  Record
	payload payload
}

// fetcher asks one peer for its configuration if that is above the known one, which may be nil.
type fetcher interface {
	fetch(ctx context.Context, from machine.Member, known *inForce) (fetched, error)
}

// peerFetcher is the fetcher over drpc.
type peerFetcher struct{ peers link.Peers }

var _ fetcher = (*peerFetcher)(nil)

func (f *peerFetcher) fetch(ctx context.Context, from machine.Member, known *inForce) (fetched, error) {
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

func fetchRequest(known *inForce) *replicapb.FetchRequest {
	request := &replicapb.FetchRequest{KnownRevision: uint64(known.revision())}
	if known != nil {
		request.KnownDigest = shortDigest(known.record.Digest)
	}
	return request
}

func fetchResult(reply *replicapb.FetchReply, known *inForce) (fetched, error) {
	if len(reply.Record) == 0 {
		return fetched{}, nil
	}
	got := fetched{payload: payload{packed: reply.Packed}}
	if known != nil && len(reply.Delta) > 0 {
		got.payload = payload{delta: reply.Delta, deltaFrom: known.record.Digest}
	}
	if err := json.Unmarshal(reply.Record, &got.record); err != nil {
		return fetched{}, fmt.Errorf("fetch configuration: %w", err)
	}
	return got, nil
}

// service gives peers the configuration in force.
type service struct{ replica *Replica }

var _ replicapb.DRPCConfigurationsServer = (*service)(nil)

// Register adds the replica's drpc service to a mux.
func (r *Replica) Register(mux drpc.Mux) error {
	return replicapb.DRPCRegisterConfigurations(mux, &service{r})
}

// FetchConfiguration implements the drpc service.
func (s *service) FetchConfiguration(_ context.Context, request *replicapb.FetchRequest) (*replicapb.FetchReply, error) {
	force := s.replica.current.Load()
	reply := &replicapb.FetchReply{Revision: uint64(force.revision())}
	if reply.Revision <= request.KnownRevision {
		return reply, nil
	}
	record, err := json.Marshal(force.record)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	reply.Record = record
	if len(force.delta) > 0 && request.KnownDigest == shortDigest(force.deltaFrom) {
		reply.Delta = force.delta
	} else {
		reply.Packed = force.packed
	}
	return reply, nil
}

// fetchLoop fetches the configuration from a peer that is ahead, whenever there is one.
func (r *Replica) fetchLoop(ctx context.Context) error {
	if r.fetcher == nil {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.behind:
			r.catchUp(ctx)
		}
	}
}

// catchUp asks the peers that are ahead, the next one when the last has failed or been slow, until
// one has answered.
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
	got, err := r.fetcher.fetch(ctx, member, r.current.Load())
	if err == nil && got.record.Revision > 0 {
		err = r.offer(got.record, got.payload, sourcePeer)
	}
	if err != nil {
		r.counters.Inc("plumbarrow_configuration_fetch_failed_total")
		r.log.Warn("configuration not fetched", "peer", member.ID, "error", err)
	}
	return err
}

// start brings a new instance up to date: from the store if that answers, else to the highest
// revision among the reachable peers. Until one of both is done the instance is not ready.
func (r *Replica) start(ctx context.Context) error {
	for ctx.Err() == nil && !r.synced.Load() {
		group := new(errgroup.Group)
		group.Go(func() error {
			r.counters.Add("plumbarrow_configuration_reads_total", "cause", "start")
			_, err := r.read(ctx)
			return err
		})
		r.askPeers(ctx)
		_ = group.Wait()
		if r.current.Load() != nil {
			r.synced.Store(true)
			return nil
		}
		pause(ctx, retryWait+rand.N(retryWait))
	}
	return nil
}

// askPeers asks some live peers, those of the own zone first, and returns when all have answered
// or failed.
func (r *Replica) askPeers(ctx context.Context) {
	if r.fetcher == nil {
		return
	}
	self := r.members.Self()
	var near, far []machine.Member
	for _, member := range r.members.Live() {
		switch {
		case member.ID == self.ID:
		case sameZone(member, self):
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	asked := append(near[:min(len(near), startPeers/2)], far...)
	group := new(errgroup.Group)
	group.SetLimit(startParallel)
	for _, member := range asked[:min(len(asked), startPeers)] {
		group.Go(func() error { return r.fetchFrom(ctx, member) })
	}
	_ = group.Wait()
}
