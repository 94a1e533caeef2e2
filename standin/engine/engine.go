// Package engine is a stand-in for a model engine with the OpenAI HTTP API. It simulates continuous
// batching, a prefix cache, delayed load reports, overload during a cold start, load orders with and
// without fencing tokens, and injected faults.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
)

// Settings configures an engine.
type Settings struct {
	Model   string
	Version string
	// Quality, 0 to 1, is written into each answer for the stand-in rater to read.
	Quality float64
	// QualitySpread is the largest deviation from Quality; each prompt has a fixed deviation.
	QualitySpread float64
	// Tokens per answer unless the request asks for fewer. Default 20.
	Tokens int
	// Step is the time per token with one request in the batch; each further request in the batch
	// adds StepPerRequest.
	Step           time.Duration
	StepPerRequest time.Duration
	// Prefill is the time to the first token without a cached prefix.
	Prefill time.Duration
	// MaxBatch is the number of requests that run at once; further requests queue. Default 16.
	MaxBatch int
	// PrefixEntries is the number of prefixes in the prefix cache. Default 64.
	PrefixEntries int
	// ColdLimit is the number of running and queued requests that a cold engine can hold. One more
	// overloads it: it restarts and refuses work for RecoverAfter. 0 means no limit.
	ColdLimit int
	// WarmAfter is the number of completed requests after which ColdLimit no longer applies.
	WarmAfter int
	// RecoverAfter is how long an engine refuses work after an overload.
	RecoverAfter time.Duration
	// LoadLag is the age of the load that the engine reports.
	LoadLag time.Duration
	// OnLoadOrder, if set, is called with the served version and the incarnation after each
	// accepted load order.
	OnLoadOrder func(version, incarnation string)
	// ChecksFence makes the engine refuse load orders with a fencing token below the highest one seen.
	ChecksFence bool
}

func (s *Settings) fillDefaults() {
	if s.MaxBatch == 0 {
		s.MaxBatch = 16
	}
	if s.PrefixEntries == 0 {
		s.PrefixEntries = 64
	}
	if s.Tokens == 0 {
		s.Tokens = 20
	}
}

// Engine is one stand-in engine. Safe for concurrent use.
type Engine struct {
	settings     Settings
	batch        chan struct{}
	prefixes     *prefixCache
	reportedLoad *loadReport

	mu               sync.Mutex
	version          string
	incarnation      string
	announceRestart  bool // the next answer carries HeaderRestarted
	running          int
	queued           int
	completed        int // since the last restart
	coldOverloads    int
	unavailableUntil time.Time
	fence            uint64
	faults           Faults
	runs             map[string]int // by request id
}

// New returns a freshly started engine.
func New(settings Settings) *Engine {
	settings.fillDefaults()
	return &Engine{
		settings:     settings,
		batch:        make(chan struct{}, settings.MaxBatch),
		prefixes:     newPrefixCache(settings.PrefixEntries),
		reportedLoad: &loadReport{lag: settings.LoadLag},
		version:      settings.Version,
		incarnation:  uuid.NewString(),
		runs:         make(map[string]int),
	}
}

// Handler serves chats under /v1, the load under /metrics and load orders under /orders. PUT /faults
// replaces the injected faults.
func (g *Engine) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/v1/chat/completions", g.chat)
	e.GET("/metrics", g.metrics)
	e.POST("/orders", g.order)
	e.GET("/orders", g.orderState)
	e.PUT("/faults", g.setFaults)
	return e
}

// Restart simulates a new process: a new incarnation, cold and with an empty prefix cache. Requests in
// flight continue.
func (g *Engine) Restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restart()
}

func (g *Engine) restart() {
	g.incarnation = uuid.NewString()
	g.announceRestart = true
	g.completed = 0
	g.prefixes.clear()
}

// Incarnation returns the id of the engine's current run; a restart changes it.
func (g *Engine) Incarnation() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation
}

// ColdOverloads returns how often the engine was overloaded while cold.
func (g *Engine) ColdOverloads() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coldOverloads
}

// Runs returns, by request id, how many attempts the engine admitted, including those whose caller left
// while they were queued.
func (g *Engine) Runs() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := make(map[string]int, len(g.runs))
	for id, n := range g.runs {
		runs[id] = n
	}
	return runs
}

func (g *Engine) chat(c echo.Context) error {
	var request openai.ChatRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	fault := g.takeFault()
	if fault.silent {
		<-c.Request().Context().Done()
		return nil
	}
	g.setHeaders(c, fault)
	if !g.admit(c.Request().Header.Get(link.HeaderRequestID)) || fault.refuse {
		c.Response().Header().Set(link.HeaderVerdict, "not_run")
		return c.String(http.StatusServiceUnavailable, "overloaded")
	}
	if err := g.acquireSlot(c); err != nil {
		return nil
	}
	completed := false
	defer func() { g.releaseSlot(completed) }()
	if fault.fail {
		return c.String(http.StatusInternalServerError, "engine failed")
	}
	completed = g.generate(c, request, fault)
	return nil
}

// setHeaders sets the headers for attempt id, version, load, resumability, leaving and restart.
func (g *Engine) setHeaders(c echo.Context, fault fault) {
	header := c.Response().Header()
	running, queued := g.reportedLoad.read()
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := c.Request().Header.Get(link.HeaderAttemptID)
	if fault.wrongAttempt {
		attempt = "another-attempt"
	}
	version := g.version
	if fault.wrongVersion {
		version = "another-version"
	}
	header.Set(link.HeaderAttemptID, attempt)
	header.Set(link.HeaderVersion, version)
	header.Set(link.HeaderRunning, strconv.Itoa(running))
	header.Set(link.HeaderQueued, strconv.Itoa(queued))
	header.Set(link.HeaderResume, "1")
	if g.faults.Leaving {
		header.Set(link.HeaderLeaving, "1")
	}
	if g.announceRestart {
		header.Set(link.HeaderRestarted, "1")
		g.announceRestart = false
	}
}

// admit admits a request, or restarts the engine if it is cold and at its ColdLimit.
func (g *Engine) admit(requestID string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Before(g.unavailableUntil) {
		return false
	}
	cold := g.settings.ColdLimit > 0 && g.completed < g.settings.WarmAfter
	if cold && g.running+g.queued >= g.settings.ColdLimit {
		g.coldOverloads++
		g.unavailableUntil = now.Add(g.settings.RecoverAfter)
		g.restart()
		return false
	}
	g.queued++
	g.runs[requestID]++
	g.reportedLoad.add(g.running, g.queued)
	return true
}

// acquireSlot waits for a slot in the batch.
func (g *Engine) acquireSlot(c echo.Context) error {
	var err error
	select {
	case g.batch <- struct{}{}:
	case <-c.Request().Context().Done():
		err = c.Request().Context().Err()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queued--
	if err == nil {
		g.running++
	}
	g.reportedLoad.add(g.running, g.queued)
	return err
}

// releaseSlot frees the request's slot in the batch.
func (g *Engine) releaseSlot(completed bool) {
	<-g.batch
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if completed {
		g.completed++
	}
	g.reportedLoad.add(g.running, g.queued)
}

func (g *Engine) generate(c echo.Context, request openai.ChatRequest, fault fault) bool {
	tokens := g.settings.Tokens
	if limit := max(request.MaxTokens, request.MaxCompletionTokens); limit > 0 {
		tokens = min(tokens, limit)
	}
	g.prefill(request)
	usage := &openai.Usage{PromptTokens: promptTokens(request), CompletionTokens: int64(tokens)}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	if request.Stream {
		return g.stream(c, tokens, g.quality(request), usage, fault)
	}
	for range tokens {
		g.step()
	}
	if fault.truncate {
		return truncate(c)
	}
	stop := "stop"
	answer := openai.ChatAnswer{
		ID:      c.Request().Header.Get(link.HeaderAttemptID),
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   g.settings.Model,
		Choices: []openai.Choice{{
			Message:      &openai.Content{Role: "assistant", Content: answerText(tokens, g.quality(request))},
			FinishReason: &stop,
		}},
		Usage: usage,
	}
	return c.JSON(http.StatusOK, answer) == nil
}

func (g *Engine) prefill(request openai.ChatRequest) {
	if !g.prefixes.hit(prefixOf(request)) {
		time.Sleep(g.settings.Prefill)
	}
}

func (g *Engine) step() {
	time.Sleep(g.settings.Step + time.Duration(len(g.batch)-1)*g.settings.StepPerRequest)
}

// answerText returns the whole answer. Its first token carries the quality for the stand-in rater.
func answerText(tokens int, quality float64) string {
	words := make([]string, tokens)
	for i := range words {
		words[i] = tokenText(i, quality)
	}
	return strings.Join(words, "")
}

func tokenText(i int, quality float64) string {
	if i == 0 {
		return fmt.Sprintf("[quality=%.3f] ", quality)
	}
	return fmt.Sprintf("w%d ", i)
}

// quality returns the quality of the answer to a request; it depends only on the messages and the
// settings unless a fault replaces it.
func (g *Engine) quality(request openai.ChatRequest) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.Quality != nil {
		return *g.faults.Quality
	}
	const steps = 1000
	digest := xxhash.New()
	for _, message := range request.Messages {
		_, _ = digest.Write(message.Content)
	}
	deviation := float64(digest.Sum64()%steps)/steps*2 - 1
	return min(1, max(0, g.settings.Quality+deviation*g.settings.QualitySpread))
}

func promptTokens(request openai.ChatRequest) int64 {
	var bytes int
	for _, message := range request.Messages {
		bytes += len(message.Content)
	}
	const bytesPerToken = 4
	return int64(bytes/bytesPerToken) + 1
}
