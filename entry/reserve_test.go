package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/verdict"
)

// reservingBills keeps the amount that the last request reserved.
type reservingBills struct {
	*ledger.Memory
	reserved int64
}

func (b *reservingBills) Admit(_ context.Context, _ *contract.Customer, reserve int64) (func(), error) {
	b.reserved = reserve
	return func() {}, nil
}

// TestReserveCoversBill checks that the reservation of a customer with a budget covers the most
// expensive answer possible: one token per prompt byte and the maximum of output tokens for each
// choice.
func TestReserveCoversBill(t *testing.T) {
	for name, extra := range map[string]string{
		"unbounded": "", "bounded": `,"max_tokens":50`, "two bounds": `,"max_tokens":50,"max_completion_tokens":60`, "three choices": `,"n":3`,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			bills := &reservingBills{Memory: ledger.NewMemory()}
			f := newTestInstance(c, "a", func(parts *entry.Parts) { parts.Bills = bills })
			f.configure(func(d string) string {
				return strings.Replace(d, `name = "acme",`, `name = "acme", monthly_budget_micros = 1000000,`, 1)
			})
			var cost int64 // micro-units; small@v1 costs 1 a prompt token and 2 an output token
			f.add("small-engines", "small@v1", func(w http.ResponseWriter, r *http.Request) {
				data, _ := io.ReadAll(r.Body)
				var limits struct {
					MaxTokens           int64 `json:"max_tokens"`
					MaxCompletionTokens int64 `json:"max_completion_tokens"`
					N                   int64 `json:"n"`
				}
				c.Check(json.Unmarshal(data, &limits), qt.IsNil)
				maxTokens := max(limits.MaxTokens, limits.MaxCompletionTokens)
				c.Check(maxTokens > 0, qt.IsTrue, qt.Commentf("the engine's output is unbounded"))
				cost = int64(len("日本語日本語")) + 2*maxTokens*max(limits.N, 1)
				r.Body = io.NopCloser(strings.NewReader(string(data)))
				engine("v1")(w, r)
			})
			r := f.send(http.MethodPost, "/v1/chat/completions",
				`{"model":"assistant","messages":[{"role":"user","content":"日本語日本語"}]`+extra+`}`)
			c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
			c.Assert(bills.reserved >= cost, qt.IsTrue, qt.Commentf("reserved %d for a cost of %d", bills.reserved, cost))
		})
	}
}

// failingBills fails to record any bill.
type failingBills struct{ *ledger.Memory }

func (failingBills) Record(context.Context, ledger.Bill) error {
	return &verdict.Refusal{Verdict: verdict.Ran, Reason: verdict.LedgerUnavailable, Detail: "no second process"}
}

// TestEndWaitsForBill checks that no answer is completed whose bill can't be recorded, whether it is
// streamed or not and whether an engine or a service gave it.
func TestEndWaitsForBill(t *testing.T) {
	c := qt.New(t)
	f := newTestInstance(c, "a", func(parts *entry.Parts) { parts.Bills = failingBills{ledger.NewMemory()} })
	f.add("small-engines", "small@v1", engine("v1"))
	f.add("booking", "", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "booked") })
	stream := f.ask("assistant", true)
	c.Assert(stream.body, qt.Contains, `"reason":"ledger_unavailable"`)
	c.Assert(stream.body, qt.Not(qt.Contains), "[DONE]")
	assertRefused(c, f.ask("assistant", false), verdict.LedgerUnavailable, verdict.Ran)
	assertRefused(c, f.send(http.MethodPost, "/bookings", "{}"), verdict.LedgerUnavailable, verdict.Ran)
}
