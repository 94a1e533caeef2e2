package quality

import "plumbarrow.example/plumbarrow/contract"

// target returns the configured quality target of a route; 0 if the route is not configured.
func (l *Learner) target(route string) float64 {
	snapshot := l.source.Current()
	if snapshot == nil || snapshot.Routes[route] == nil {
		return 0
	}
	return snapshot.Routes[route].QualityTarget
}

// unknownQuality is the prior of a step without versions whose quality is configured.
const unknownQuality = 0.5

// prior returns the mean configured quality, by weight, of the versions that the step's pool serves to new sessions.
func (l *Learner) prior(route string, step int) float64 {
	snapshot := l.source.Current()
	if snapshot == nil || snapshot.Routes[route] == nil || step >= len(snapshot.Routes[route].Pools) {
		return unknownQuality
	}
	pool := snapshot.Pools[snapshot.Routes[route].Pools[step]]
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
