package infra

import "context"

// Kind is what an instance of the platform's list runs.
type Kind string

// Kinds of instances.
const (
	KindEntry   Kind = "entry"
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// State is the state of an instance when the platform's list was last updated.
type State string

// States of instances.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one row of the platform's list, which lags behind the real state.
type Instance struct {
	ID string `json:"id"`
	// Incarnation changes with each start of the process; empty if unknown.
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
	// LinkMbps is the rate of an entry instance's network link in Mbit/s; 0 if unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Protocol is what an entry instance states; see upgrade.Protocol.
	Protocol int `json:"protocol,omitempty"`
}

// InstanceList is the platform's list of live and leaving instances. It lags behind the real state, and two
// readers may see different lists at the same moment.
type InstanceList interface {
	// Instances returns the present list. The caller owns the slice.
	Instances(ctx context.Context) ([]Instance, error)
}

// Rating is the score of one answer from the platform's rating service.
type Rating struct {
	RequestID string  `json:"request_id"`
	Score     float64 `json:"score"` // 0 to 1
}

// Rater scores the quality of answers. The service behind it is slow, lags and has outages.
type Rater interface {
	// Rate returns the score, 0 to 1, of an answer to a prompt. Only ctx bounds the call.
	Rate(ctx context.Context, requestID, prompt, answer string) (Rating, error)
}
