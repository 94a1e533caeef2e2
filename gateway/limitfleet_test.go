package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// toldTime is how long before a request its instance must have passed on a limit for the platform to count it.
	toldTime = 500 * time.Millisecond
	// An endpoint that states a limit may get limitFactor times as much in limitWindow, and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// recordLimited counts a request that reaches an endpoint, and records it if the endpoint states a limit.
func (f *testFleet) recordLimited(instance *fleetInstance, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrived[address]++
	if _, limited := f.limits[address]; !limited {
		return
	}
	toldAt, told := f.toldAt[toldKey{instance.process.Load(), address}]
	counted := told && time.Since(toldAt) >= toldTime && instance.inTouch()
	f.limited[address] = append(f.limited[address], limitedArrival{at: time.Now(), counted: counted})
}

// stateLimit adds the endpoint's limit to the header of an answer.
func (f *testFleet) stateLimit(instance *fleetInstance, address string, header http.Header) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit, limited := f.limits[address]
	if !limited {
		return
	}
	header.Set("Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	key := toldKey{instance.process.Load(), address}
	if _, told := f.toldAt[key]; !told {
		f.toldAt[key] = time.Now()
	}
}

// setLimit lets the endpoint at an address state a limit, or none if it is 0.
func (f *testFleet) setLimit(address string, limit float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit == 0 {
		delete(f.limits, address)
		return
	}
	f.limits[address] = limit
}

// TestFleetStatedLimit guards against an endpoint getting far more requests than the limit that it states, summed over the
// instances that it told (incident 0007), and against it getting hardly any, or none after the limit has ended.
func TestFleetStatedLimit(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkStatedLimit(t, size) })
		})
	}
}

func checkStatedLimit(t *testing.T, size int) {
	c := qt.New(t)
	f := newTestFleet(c, size, 6)
	var calls, loops sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	f.start(ctx, &loops)
	loops.Go(func() {
		f.traffic(ctx, &calls, 300, func(number int) {
			f.call(fmt.Sprintf("%x,%x,%x", 0xa, 0x100+number%40, 0x10000+number), 90)
		})
	})
	limits := map[string]float64{"10.0.0.0:80": 3.3, "10.0.0.1:80": 8}
	time.Sleep(5 * time.Second)
	limitedSince := time.Now()
	for address, limit := range limits {
		f.setLimit(address, limit)
	}
	time.Sleep(25 * time.Second)
	for address := range limits {
		f.setLimit(address, 0)
	}
	time.Sleep(time.Second)
	served := f.servedBy(limits)
	loops.Wait()
	calls.Wait()
	after := f.servedBy(limits)
	for address, limit := range limits {
		f.checkLimit(address, limit, limitedSince, after[address]-served[address])
	}
}

// servedBy returns how many requests the endpoints at some addresses have got in all.
func (f *testFleet) servedBy(addresses map[string]float64) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int)
	for address := range addresses {
		counts[address] = f.arrived[address]
	}
	return counts
}

// checkLimit asserts the platform's bound in each window, and that the endpoint was used while it stated the limit and
// afterwards; served is the number of its requests in the last seconds without a limit.
func (f *testFleet) checkLimit(address string, limit float64, since time.Time, served int) {
	c := f.test
	arrivals := f.limited[address]
	most, steady := 0, 0
	for index, first := range arrivals {
		if first.at.Before(since.Add(contactTime)) {
			continue
		}
		steady++
		counted := 0
		for _, other := range arrivals[index:] {
			if other.at.Sub(first.at) < limitWindow && other.counted {
				counted++
			}
		}
		most = max(most, counted)
	}
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
	used := float64(steady) / (arrivals[len(arrivals)-1].at.Sub(since.Add(contactTime)).Seconds() * limit)
	c.Logf("%d instances, limit %v: at most %d requests in a window, allowed %d; %.2f of the limit used; %d requests after its end",
		len(f.instances), limit, most, allowed, used, served)
	c.Check(most <= allowed, qt.IsTrue)
	c.Check(used >= 0.5, qt.IsTrue)
	c.Check(used <= limitFactor, qt.IsTrue)
	c.Check(served >= 45, qt.IsTrue)
}
