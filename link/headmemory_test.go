package link

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/internal/answercheck"
)

// headCrowd is endpoints that each answer with the same text and then keep silent until their connection is closed.
type headCrowd struct {
	text    string
	written sync.WaitGroup // endpoints whose text was read, or not wanted to its end
}

func (e *headCrowd) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(far))
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err == nil {
			_, _ = io.WriteString(far, e.text)
		}
		e.written.Done()
		_, _ = io.Copy(io.Discard, far)
	}()
	return near, nil
}

// crowdSends sends attempts at once and calls check once each endpoint's text is read; then it ends them all. It returns the number of
// attempts that got an answer's head.
func crowdSends(c *qt.C, crowd *headCrowd, attempts int, send func(ctx context.Context) (io.Closer, error), check func()) int {
	ctx, cancel := context.WithCancel(c.TB.Context())
	defer cancel()
	var sends sync.WaitGroup
	answers := make(chan io.Closer, attempts)
	crowd.written.Add(attempts)
	for range attempts {
		sends.Go(func() {
			if answer, err := send(ctx); err == nil {
				answers <- answer
			}
		})
	}
	crowd.written.Wait()
	check()
	cancel()
	sends.Wait()
	close(answers)
	got := 0
	for answer := range answers {
		_ = answer.Close()
		got++
	}
	return got
}

// shortFields returns n fields with different names.
func shortFields(n int) string {
	var fields strings.Builder
	for i := range n {
		fmt.Fprintf(&fields, "%05x:\r\n", i)
	}
	return fields.String()
}

func liveBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// senders returns how each client sends an attempt to an endpoint of the crowd.
func senders(client *EndpointClient, dispatcher *Dispatcher) map[string]func(context.Context) (io.Closer, error) {
	return map[string]func(context.Context) (io.Closer, error){
		"client": func(ctx context.Context) (io.Closer, error) {
			request := newEndpointRequest("a", "/")
			request.NewConnection = true
			answer, err := client.Send(ctx, request)
			if err != nil {
				return nil, err
			}
			return answer.Body, nil
		},
		"dispatcher": func(ctx context.Context) (io.Closer, error) {
			attempt := newAttempt("e:1", false)
			attempt.NewConnection = true
			answer, err := dispatcher.Do(ctx, attempt)
			if err != nil {
				return nil, err
			}
			return answer.Body, nil
		},
	}
}

// TestCrowdOfLongHeads guards against engines whose heads use up the memory of the machine that called them: a crowd of attempts holds what
// as many ordinary heads may hold, whatever the heads are made of and whether they end.
func TestCrowdOfLongHeads(t *testing.T) {
	const attempts, bytesEach = 60, 192 << 10
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n"
	fields := shortFields(30_000)
	long := "Long: " + strings.Repeat("x", 240<<10)
	for name, text := range map[string]string{
		"fields":                ok + fields + "\r\n",
		"fields without end":    ok + fields,
		"one field":             ok + long + "\r\n\r\n",
		"one field without end": ok + long,
		"informational":         strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+shortFields(20)+"\r\n", 1500),
		"many values":           ok + strings.Repeat("a:\r\n", 60_000) + "\r\n",
		"status line":           "HTTP/1.1 200 " + strings.Repeat("x", 240<<10),
	} {
		t.Run(name, func(t *testing.T) {
			crowd := &headCrowd{text: text}
			client, dispatcher := NewEndpointClientWith(crowd.dial, matchAny), NewDispatcherWith(crowd.dial)
			for which, send := range senders(client, dispatcher) {
				c := qt.New(t)
				before := liveBytes()
				crowdSends(c, crowd, attempts, send, func() {
					held := liveBytes() - before
					c.Check(held < attempts*bytesEach, qt.IsTrue, qt.Commentf("%s: %d attempts hold %d bytes", which, attempts, held))
				})
			}
			client.Close()
			dispatcher.Close()
		})
	}
}

// TestBudgetOfHeads guards against the sum of heads that each stay within the bounds of one: beyond the budget the attempts with long heads
// fail, others go on, and at the end nothing is held.
func TestBudgetOfHeads(t *testing.T) {
	const attempts, limit = 100, 1 << 20
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	long := ok + strings.Repeat("Field: "+strings.Repeat("x", 230)+"\r\n", 120) + "\r\n"
	crowd, ordinary := &headCrowd{text: long}, stoppingDial(ok+"\r\nhi", io.EOF)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == "ordinary:1" {
			return ordinary(ctx, network, address)
		}
		return crowd.dial(ctx, network, address)
	}
	budget := answercheck.NewBudget(limit)
	client, dispatcher := NewEndpointClientWith(dial, matchAny), NewDispatcherWith(dial)
	client.BoundHeads(budget)
	dispatcher.BoundHeads(budget)
	for which, send := range senders(client, dispatcher) {
		t.Run(which, func(t *testing.T) {
			c := qt.New(t)
			got := crowdSends(c, crowd, attempts, send, func() {
				c.Check(budget.Held() <= limit, qt.IsTrue, qt.Commentf("%d bytes held", budget.Held()))
				request := newEndpointRequest("a", "/")
				request.Address = "ordinary:1"
				answer, err := client.Send(t.Context(), request)
				c.Assert(err, qt.IsNil)
				c.Check(readAndClose(c, answer), qt.Equals, "hi")
			})
			c.Check(got > 0 && got < attempts/2, qt.IsTrue, qt.Commentf("%d of %d attempts got an answer", got, attempts))
		})
	}
	client.Close()
	dispatcher.Close()
	for budget.Held() != 0 {
		time.Sleep(time.Millisecond) // until the transports have closed their connections
	}
}
