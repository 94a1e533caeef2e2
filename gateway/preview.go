package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

// maxQueryBytes bounds the JSON text of a PreviewQuery.
const maxQueryBytes = 64 << 10

// PreviewQuery describes a request that is not sent.
type PreviewQuery struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// ID decides between the services of a route, and with Session between versions in a roll-out.
	ID       string `json:"id,omitempty"`
	Session  string `json:"session,omitempty"`
	Customer string `json:"customer,omitempty"` // its name
	// OpenModel leaves the choice of the model to the router.
	OpenModel    bool                  `json:"open_model,omitempty"`
	PromptTokens int                   `json:"prompt_tokens,omitempty"`
	PromptParts  []upstream.PromptPart `json:"prompt_parts,omitempty"`
	TimeoutMS    int64                 `json:"timeout_ms,omitempty"` // 0 means the route's
}

// Preview is what this instance would do with a request now, and why. Times are in milliseconds.
type Preview struct {
	Instance         string   `json:"instance"`
	Configuration    uint64   `json:"configuration"`
	Route            string   `json:"route,omitempty"`
	Kind             string   `json:"kind,omitempty"`
	Customer         string   `json:"customer,omitempty"`
	Priority         int      `json:"priority"` // 0 is the most urgent
	Service          string   `json:"service,omitempty"`
	Model            string   `json:"model,omitempty"` // that the router chooses first
	RequiredVersion  string   `json:"required_version,omitempty"`
	ExcludedVersions []string `json:"excluded_versions,omitempty"`
	// VersionFallback means that no endpoint of the required version is left and any other is used.
	VersionFallback bool  `json:"version_fallback,omitempty"`
	Waiting         int   `json:"waiting"`         // requests in the service's queue at this instance
	LeastAnswerMS   int64 `json:"least_answer_ms"` // that recent answers of the route took

	// Endpoint gets the request at once. Without it the request is refused, or waits up to WaitMS because of Blocked.
	Endpoint string `json:"endpoint,omitempty"`
	Sampled  bool   `json:"sampled,omitempty"` // Endpoint is drawn among several candidates
	Blocked  string `json:"blocked,omitempty"`
	WaitMS   int64  `json:"wait_ms,omitempty"`
	// ExpectedWaitMS is how long it is expected to wait; 0 if that is not known.
	ExpectedWaitMS int64             `json:"expected_wait_ms,omitempty"`
	Refusal        *PreviewRefusal   `json:"refusal,omitempty"`
	Endpoints      []PreviewEndpoint `json:"endpoints,omitempty"`
}

// PreviewRefusal is the refusal that the caller would get.
type PreviewRefusal struct {
	Reason       string `json:"reason"`
	Status       int    `json:"status"`
	Detail       string `json:"detail"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// PreviewEndpoint is an endpoint of the service, see upstream.Considered.
type PreviewEndpoint struct {
	Endpoint     string  `json:"endpoint"`
	Zone         string  `json:"zone"`
	Version      string  `json:"version"`
	Excluded     string  `json:"excluded,omitempty"`
	LastResort   bool    `json:"last_resort,omitempty"`
	Requests     int     `json:"requests"`
	Slots        int     `json:"slots"`
	Pace         float64 `json:"pace"`
	CachedTokens int     `json:"cached_tokens"`
	CostMS       float64 `json:"cost_ms"`
	ExpectedMS   float64 `json:"expected_ms"`
	OtherZoneMS  float64 `json:"other_zone_ms,omitempty"`
	ErrorsMS     float64 `json:"errors_ms,omitempty"`
	OthersWaitMS float64 `json:"others_wait_ms,omitempty"`
}

// Preview returns what the server would do with the request now. It reserves nothing, sends nothing and counts nothing.
func (s *Server) Preview(query *PreviewQuery) *Preview {
	f := &requestState{server: s, arrived: time.Now(), call: &Call{
		ID: query.ID, Host: query.Host, Path: query.Path, Session: query.Session, OpenModel: query.OpenModel,
		PromptTokens: query.PromptTokens, PromptParts: query.PromptParts, Timeout: time.Duration(query.TimeoutMS) * time.Millisecond,
	}}
	preview := &Preview{Instance: string(s.Self.ID)}
	refusal := f.previewAdmission(query.Customer, preview)
	if refusal == nil {
		refusal = f.previewPlacement(preview)
	}
	if refusal != nil {
		preview.Endpoint = ""
		preview.Refusal = &PreviewRefusal{
			Reason: string(refusal.Reason), Status: statusOf(refusal), Detail: refusal.Detail, RetryAfterMS: refusal.RetryAfter.Milliseconds(),
		}
	}
	return preview
}

// previewAdmission is admit for a request without a body whose customer is named.
func (f *requestState) previewAdmission(customer string, preview *Preview) *verdict.Refusal {
	f.snapshot = f.server.Current.Get()
	if f.snapshot == nil {
		return verdict.Refuse(verdict.NoConfiguration, "this instance has no configuration yet")
	}
	preview.Configuration = f.snapshot.Version
	f.route = f.snapshot.Route(f.call.Host, f.call.Path)
	if f.route == nil {
		return verdict.Refuse(verdict.UnknownRoute, "no route leads to %s", f.call.Path)
	}
	preview.Route, preview.Kind = f.route.Name, f.route.Kind.String()
	if customer != "" {
		f.customer = f.snapshot.CustomerNamed(customer)
	}
	if f.customer == nil && (customer != "" || f.snapshot.NeedsKey(f.route)) {
		return verdict.Refuse(verdict.UnknownKey, "no customer has the name %q", customer)
	}
	f.start()
	preview.Customer, preview.Priority, preview.Service = customer, f.priority(), f.service
	if !f.finishesInTime(0) {
		return stoppingRefusal()
	}
	return nil
}

// previewPlacement is acquireEndpoint without a reservation.
func (f *requestState) previewPlacement(preview *Preview) *verdict.Refusal {
	preview.Waiting = f.server.Upstreams.Waiting(f.service)
	preview.LeastAnswerMS = f.leastAnswerTime(0).Milliseconds()
	if refusal := f.quarantined(); refusal != nil {
		return refusal
	}
	if refusal := f.outOfTime(0); refusal != nil {
		return refusal
	}
	need := f.need()
	preview.Model, preview.RequiredVersion, preview.ExcludedVersions = f.modelName(), need.Version, need.ExcludedVersions
	placement := f.server.Upstreams.Explain(need)
	if placement.Blocked == upstream.NoneEligible && need.Version != "" {
		preview.VersionFallback, need.Version = true, ""
		placement = f.server.Upstreams.Explain(need)
	}
	preview.addPlacement(&placement)
	if placement.Blocked == upstream.NotBlocked {
		return f.outOfTime(placement.Expected)
	}
	wait := f.queueTimeLeft(time.Now(), placement.Blocked)
	if placement.Blocked == upstream.TurnedAway {
		if pause := f.server.Upstreams.TurnedAwayFor(need); pause >= wait {
			return f.turnedAway(pause)
		}
	}
	if placement.Blocked == upstream.PlacesElsewhere {
		return f.noCapacity(placement.Blocked)
	}
	if refusal := f.admitToQueue(placement.Blocked, wait); refusal != nil {
		return refusal
	}
	if wait <= 0 {
		return f.noCapacity(placement.Blocked)
	}
	preview.ExpectedWaitMS = f.forecast.expected.Milliseconds()
	preview.WaitMS = wait.Milliseconds()
	return nil
}

func (p *Preview) addPlacement(placement *upstream.Placement) {
	p.Endpoint, p.Sampled, p.Blocked = string(placement.Endpoint), placement.Sampled, placement.Blocked.String()
	for _, e := range placement.Endpoints {
		p.Endpoints = append(p.Endpoints, PreviewEndpoint{
			Endpoint: string(e.Endpoint), Zone: e.Zone, Version: e.Version, Excluded: string(e.Excluded), LastResort: e.LastResort,
			Requests: e.Requests, Slots: e.Slots, Pace: e.Pace, CachedTokens: e.Cached, CostMS: inMilliseconds(e.Cost),
			ExpectedMS: inMilliseconds(e.Expected), OtherZoneMS: inMilliseconds(e.OtherZone), ErrorsMS: inMilliseconds(e.Errors),
			OthersWaitMS: inMilliseconds(e.OthersWait),
		})
	}
}

func inMilliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// PreviewHandler serves Preview to operators: a PreviewQuery is posted, a Preview returned, both as JSON.
func (s *Server) PreviewHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var query PreviewQuery
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes)).Decode(&query); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Preview(&query))
	})
}
