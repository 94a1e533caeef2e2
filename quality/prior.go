package quality

import "plumbarrow.example/plumbarrow/contract"

// target is the configured target of a route.
func (l *Learner) target(name string) float64 {
	snapshot := l.source.Current()
	if snapshot == nil || snapshot.Routes[name] == nil {
		return 0
	}
	return snapshot.Routes[name].QualityTarget
}

// unknownQuality stands in for a version whose quality is not configured.
const unknownQuality = 0.5

// prior is the mean configured quality of the versions that the step's pool serves to new sessions.
func (l *Learner) prior(name string, step int) float64 {
	snapshot := l.source.Current()
	if snapshot == nil || snapshot.Routes[name] == nil || step >= len(snapshot.Routes[name].Pools) {
		return unknownQuality
	}
	pool := snapshot.Pools[snapshot.Routes[name].Pools[step]]
	model := snapshot.Models[pool.Model]
	if model == nil {
		return unknownQuality
	}
	var sum, weights float64
	for i := range model.Versions {
		version := &model.Versions[i]
		id := contract.VersionID{Model: model.Name, Name: version.Name}
		if version.State == contract.VersionActive && version.Quality > 0 && pool.Serves(id) {
			sum += version.Quality * *version.Weight
			weights += *version.Weight
		}
	}
	if weights == 0 {
		return unknownQuality
	}
	return sum / weights
}
