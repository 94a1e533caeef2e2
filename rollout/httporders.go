package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/answercheck"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	ordersPath         = "/orders"
	maxOrderReplyBytes = 4 << 10
	orderIdleTimeout   = 5 * time.Second
)

// HTTPOrderer sends load orders to engines over HTTP: GET /orders returns the version served and the
// highest fence seen, POST /orders sends an order. Safe for concurrent use.
type HTTPOrderer struct {
	client *http.Client
	listed func() []infra.Instance
}

var _ Orderer = (*HTTPOrderer)(nil)

// NewHTTPOrderer returns an orderer for the engines in the platform's list; listed returns its
// latest copy.
func NewHTTPOrderer(listed func() []infra.Instance) *HTTPOrderer {
	transport := &http.Transport{DialContext: answercheck.Dial(new(net.Dialer).DialContext), IdleConnTimeout: orderIdleTimeout}
	return &HTTPOrderer{client: &http.Client{Transport: transport}, listed: listed}
}

// orderMessage is the JSON body of orders and their replies.
type orderMessage struct {
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// Engines implements Orderer.
func (o *HTTPOrderer) Engines(pool string) []machine.Endpoint {
	var engines []machine.Endpoint
	for _, instance := range o.listed() {
		if instance.Kind != infra.KindEngine || instance.Pool != pool || instance.State == infra.StateLeaving {
			continue
		}
		engines = append(engines, machine.Endpoint{
			ID:          machine.EndpointID(instance.ID),
			Incarnation: instance.Incarnation,
			Pool:        instance.Pool,
			Zone:        instance.Zone,
			Address:     instance.Address,
			Version:     contract.VersionID{Model: instance.Model, Name: instance.Version},
		})
	}
	return engines
}

// Loaded implements Orderer.
func (o *HTTPOrderer) Loaded(ctx context.Context, engine machine.Endpoint) (contract.VersionID, error) {
	answer, err := o.call(ctx, http.MethodGet, engine, nil)
	if err != nil {
		return contract.VersionID{}, err
	}
	return contract.VersionID{Model: engine.Version.Model, Name: answer.Version}, nil
}

// Load implements Orderer.
func (o *HTTPOrderer) Load(ctx context.Context, engine machine.Endpoint, order Order) error {
	body, err := json.Marshal(orderMessage{Version: order.Version.Name, Fence: order.Fence})
	if err != nil {
		return err
	}
	_, err = o.call(ctx, http.MethodPost, engine, body)
	return err
}

func (o *HTTPOrderer) call(ctx context.Context, method string, engine machine.Endpoint, body []byte) (orderMessage, error) {
	var answer orderMessage
	request, err := http.NewRequestWithContext(ctx, method, "http://"+engine.Address+ordersPath, nil)
	if err != nil {
		return answer, err
	}
	if body != nil {
		// Without GetBody net/http cannot resend the order on its own.
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	response, err := o.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("engine %s answered %d", engine.ID, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxOrderReplyBytes)).Decode(&answer)
	return answer, err
}
