package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const readyPollInterval = 20 * time.Millisecond

// WaitReady polls /readyz until every daemon is ready. If ctx ends before, it returns the error of ctx
// with the id of a daemon that is not ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, d := range f.Daemons {
		for !ready(ctx, d.Settings.OperatorsAddress) {
			select {
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				return fmt.Errorf("entry instance %s is not ready: %w", d.Settings.Instance, ctx.Err())
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
