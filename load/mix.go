// Package load is an open-loop load generator for a running deployment. It reports latencies and
// refusals by reason, and audits the answers against the executions at the endpoints.
package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
)

// Request is one request to send.
type Request struct {
	Kind   string
	Method string
	Path   string
	APIKey string
	// IdempotencyKey is empty for requests without one.
	IdempotencyKey string
	Body           string
	Stream         bool
	// Session numbers the conversation of a chat request; requests of one session share their first
	// message.
	Session int
}

// Kind generates one kind of request of a mix.
type Kind struct {
	Name  string
	Share float64 // weight relative to the other kinds
	// Make returns the run's request with the given number, which is unique in the run.
	Make func(random *rand.Rand, number int) Request
}

// Mix is a weighted set of request kinds.
type Mix struct {
	Name  string
	Kinds []Kind
}

// Mixes returns the workloads by name: tidy (assistant chat with bookings) and gala (registrations for a
// sports event and their payments, on the evening of the deadline).
func Mixes() map[string]Mix {
	return map[string]Mix{
		"tidy": {Name: "tidy", Kinds: []Kind{
			{"assistant", 6, chat("assistant", "sk-web-assistant", true)},
			{"room-plan", 1, chat("room-plan", "sk-field-app", true)},
			{"listing", 1, chat("assistant", "sk-listings-desk", false)},
			{"booking", 1, post("/bookings", "sk-booking-app")},
			{"schedule", 2, get("/schedules/today", "sk-booking-app")},
		}},
		"gala": {Name: "gala", Kinds: []Kind{
			{"entry-check", 5, chat("entry-check", "sk-entries-portal", true)},
			{"coach", 2, chat("coach", "sk-coach-desk", true)},
			{"heat-sheet", 1, chat("heat-sheet", "sk-results-office", false)},
			{"entry", 2, post("/entries", "sk-entries-portal")},
			{"payment", 1, post("/payments", "sk-entries-portal")},
		}},
	}
}

const (
	sessionCount = 50 // conversations of a mix; each chat request belongs to a random one
	maxWords     = 120
	bytesPerWord = 8
)

func chat(model, key string, stream bool) func(*rand.Rand, int) Request {
	return func(random *rand.Rand, number int) Request {
		session := random.IntN(sessionCount)
		prompt := strings.Repeat("details ", 1+random.IntN(maxWords))
		body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"system","content":"template %d"},{"role":"user","content":%q}]}`,
			model, stream, session, prompt)
		return Request{Method: http.MethodPost, Path: "/v1/chat/completions", APIKey: key, Body: body, Stream: stream, Session: session}
	}
}

func post(path, key string) func(*rand.Rand, int) Request {
	return func(random *rand.Rand, number int) Request {
		return Request{Method: http.MethodPost, Path: path, APIKey: key,
			IdempotencyKey: fmt.Sprintf("key-%d-%x", number, random.Uint64()),
			Body:           fmt.Sprintf(`{"number":%d}`, number)}
	}
}

func get(path, key string) func(*rand.Rand, int) Request {
	return func(*rand.Rand, int) Request {
		return Request{Method: http.MethodGet, Path: path, APIKey: key}
	}
}

// draw picks a random kind by share and makes the run's request with the given number. It panics if the
// mix has no kinds.
func (m Mix) draw(random *rand.Rand, number int) Request {
	var total float64
	for _, kind := range m.Kinds {
		total += kind.Share
	}
	point := random.Float64() * total
	for _, kind := range m.Kinds {
		point -= kind.Share
		if point < 0 {
			request := kind.Make(random, number)
			request.Kind = kind.Name
			return request
		}
	}
	panic("load: mix without kinds")
}
