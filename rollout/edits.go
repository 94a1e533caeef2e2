package rollout

import (
	"fmt"

	"plumbarrow.example/plumbarrow/contract"
)

// Withdrawn reports whether the configuration has withdrawn a version or does not list it.
func Withdrawn(snapshot *contract.Snapshot, id contract.VersionID) bool {
	version := snapshot.Versions[id]
	return version == nil || version.State == contract.VersionWithdrawn
}

// Withdraw returns the edit that withdraws a version; withdrawing one twice is no error.
func Withdraw(id contract.VersionID) func(*contract.Document) error {
	return func(document *contract.Document) error {
		version, err := findVersion(document, id)
		if err != nil {
			return err
		}
		version.State = contract.VersionWithdrawn
		return nil
	}
}

func findVersion(document *contract.Document, id contract.VersionID) (*contract.ModelVersion, error) {
	for i := range document.Models {
		if document.Models[i].Name != id.Model {
			continue
		}
		for j := range document.Models[i].Versions {
			if document.Models[i].Versions[j].Name == id.Name {
				return &document.Models[i].Versions[j], nil
			}
		}
	}
	return nil, fmt.Errorf("version %s is not configured", id)
}

// SetWeights returns the edit that sets the weights of versions of a model.
func SetWeights(weights []VersionWeight) func(*contract.Document) error {
	return func(document *contract.Document) error {
		for _, entry := range weights {
			version, err := findVersion(document, entry.Version)
			if err != nil {
				return err
			}
			if version.State != contract.VersionActive {
				return fmt.Errorf("version %s is %s", entry.Version, version.State)
			}
			weight := entry.Weight
			version.Weight = &weight
		}
		return nil
	}
}

// VersionWeight is a version's share of new sessions relative to the others'.
type VersionWeight struct {
	Version contract.VersionID
	Weight  float64
}
