package decide

import (
	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/machine"
)

// Affinity places a prompt prefix on an endpoint, so that requests with the same beginning find
// the engine's prefix cache warm. Endpoints are divided into blocks of neighbouring positions; a
// jump hash (Lamping and Veach, 2014) chooses the block and rendezvous hashing the endpoint within
// it. A decision thus reads one block instead of the whole pool, and an endpoint that comes or goes
// moves about one prefix in Block.
type Affinity struct {
	// Block is the number of endpoints in a block.
	Block int
}

// Place copies the endpoint of the prefix into endpoint. fits is asked for each endpoint of the
// block; ok is false if none fits.
func (a Affinity) Place(prefix uint64, candidates Candidates, endpoint *machine.Endpoint, fits func(*machine.Endpoint) bool) (ok bool) {
	n := candidates.Len()
	if n == 0 {
		return false
	}
	blocks := (n + a.Block - 1) / a.Block
	first := jump(prefix, blocks) * a.Block
	best := -1
	var bestHash uint64
	for i := first; i < min(first+a.Block, n); i++ {
		candidates.At(i, endpoint)
		hash := mix(prefix ^ xxhash.Sum64String(string(endpoint.ID)))
		if (best < 0 || hash > bestHash) && fits(endpoint) {
			best, bestHash = i, hash
		}
	}
	if best < 0 {
		return false
	}
	candidates.At(best, endpoint)
	return fits(endpoint)
}

// jump maps a key to one of buckets so that few keys move when the number of buckets changes.
func jump(key uint64, buckets int) int {
	var bucket, next int64 = -1, 0
	for next < int64(buckets) {
		bucket = next
		key = key*2862933555777941757 + 1
		next = int64(float64(bucket+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(bucket)
}

// mix is the finalizer of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
