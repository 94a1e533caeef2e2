package rollout

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/contract"
)

// Comparison is a version that serves new sessions beside its predecessor.
type Comparison struct {
	Version, Predecessor contract.VersionID
	// WeightsHash is a hash of the two versions and the ratio of their weights; it is the epoch of
	// rolloutpb.Version. Evidence taken under different weights is not added up, since the share of
	// a version and the state of the fleet change together.
	WeightsHash uint64
}

// Comparisons returns the comparisons that the configuration defines: each active version of a
// model with a weight, against the last one before it in the document.
func Comparisons(snapshot *contract.Snapshot) []Comparison {
	var comparisons []Comparison
	for i := range snapshot.Document.Models {
		model := &snapshot.Document.Models[i]
		var previous *contract.ModelVersion
		for j := range model.Versions {
			version := &model.Versions[j]
			if version.State != contract.VersionActive || *version.Weight == 0 {
				continue
			}
			if previous != nil {
				comparisons = append(comparisons, compare(model.Name, previous, version))
			}
			previous = version
		}
	}
	return comparisons
}

func compare(model string, previous, next *contract.ModelVersion) Comparison {
	c := Comparison{
		Version:     contract.VersionID{Model: model, Name: next.Name},
		Predecessor: contract.VersionID{Model: model, Name: previous.Name},
	}
	text := []byte(c.Version.String() + " " + c.Predecessor.String())
	text = binary.LittleEndian.AppendUint64(text, math.Float64bits(*previous.Weight / *next.Weight))
	c.WeightsHash = xxhash.Sum64(text)
	return c
}
