package decide

import (
	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/machine"
)

// Affinity maps a prompt prefix to an endpoint, so that requests with the same prefix hit that
// engine's prefix cache. Endpoints are divided into blocks of consecutive positions: a jump hash
// (Lamping and Veach, 2014) selects the block, rendezvous hashing the endpoint within it. A decision
// therefore reads one block instead of the whole pool, and adding or removing an endpoint remaps
// about one in Block prefixes.
type Affinity struct {
	// Block is the number of endpoints in a block.
	Block int
}

// Place copies the endpoint that the prefix maps to into endpoint. Only endpoints for which fits
// returns true are eligible; ok is false if the block has none, and endpoint is undefined then.
func (a Affinity) Place(prefix uint64, candidates Candidates, endpoint *machine.Endpoint, fits func(*machine.Endpoint) bool) (ok bool) {
	n := candidates.Len()
	if n == 0 {
		return false
	}
	blocks := (n + a.Block - 1) / a.Block
	blockStart := jumpHash(prefix, blocks) * a.Block
	bestIndex := -1
	var bestHash uint64
	for i := blockStart; i < min(blockStart+a.Block, n); i++ {
		candidates.At(i, endpoint)
		hash := mix(prefix ^ xxhash.Sum64String(string(endpoint.ID)))
		if (bestIndex < 0 || hash > bestHash) && fits(endpoint) {
			bestIndex, bestHash = i, hash
		}
	}
	if bestIndex < 0 {
		return false
	}
	candidates.At(bestIndex, endpoint)
	return fits(endpoint)
}

// jumpHash maps a key to a bucket in [0, buckets). Few keys move when the number of buckets changes.
func jumpHash(key uint64, buckets int) int {
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
