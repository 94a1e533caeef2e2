package fleet

import (
	"context"
	"net/http"
	"time"
)

const readyPollInterval = 20 * time.Millisecond

// WaitReady polls /readyz until every daemon is ready, or returns the error of ctx.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, d := range f.Daemons {
		for !ready(ctx, d.Settings.OperatorsAddress) {
			select {
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
