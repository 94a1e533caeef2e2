package infra

import "context"

// Kind says what an instance of the platform's list runs.
type Kind string

// Kinds of instances.
const (
	KindEntry   Kind = "entry"
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// State of an instance as the platform's list last saw it.
type State string

// States of instances.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one row of the platform's lagging list.
type Instance struct {
	ID string `json:"id"`
	// Incarnation changes with each start of the process; empty if the platform does not know it.
	Incarnation string `json:"incarnation"`
	Kind        Kind   `json:"kind"`
	Zone        string `json:"zone"`
	Pool        string `json:"pool,omitempty"` // engines and services only
	// Address is IP:port: the peer address of an entry instance, the HTTP address of an endpoint.
	Address string `json:"address"`
	// Model and Version are what an engine served when it registered.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	State   State  `json:"state"`
}

// InstanceList is the platform's list of live and leaving instances. It lags, and two readers may
// see different lists at the same moment.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Rating is the judgement of the platform's rating service on one answer.
type Rating struct {
	RequestID string  `json:"request_id"`
	Score     float64 `json:"score"` // 0 to 1
}

// Rater judges answers. It is slow, lags and has outages.
type Rater interface {
	Rate(ctx context.Context, requestID, prompt, answer string) (Rating, error)
}
