// Package engine is a stand-in for a model engine with the OpenAI HTTP API: continuous batching, a
// prefix cache, load reports with lag, a cold start that falls over under full load, orders with
// and without fencing, and scripted faults.
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

// Settings of an engine.
type Settings struct {
	Model   string
	Version string
	// Quality is written into each answer, where the stand-in rater finds it. 0 to 1.
	Quality float64
	// QualitySpread varies the quality from prompt to prompt by at most this much either way.
	QualitySpread float64
	// Tokens per answer unless the request asks for fewer.
	Tokens int
	// Step is the time between tokens with one request in the batch; each further request in the
	// batch adds StepPerRequest.
	Step           time.Duration
	StepPerRequest time.Duration
	// Prefill is the time to the first token without a cached prefix.
	Prefill time.Duration
	// MaxBatch requests run at once; more wait. Default 16.
	MaxBatch int
	// PrefixEntries is the size of the prefix cache. Default 64.
	PrefixEntries int
	// ColdLimit is how many requests a cold engine bears at once; one more makes it fall over.
	// 0 means that it bears any load.
	ColdLimit int
	// WarmAfter completed requests the engine bears its full load.
	WarmAfter int
	// RecoverAfter is how long an engine that fell over refuses work.
	RecoverAfter time.Duration
	// LoadLag delays the load report.
	LoadLag time.Duration
	// OnLoad, if set, is told the new version and incarnation after an order was carried out.
	OnLoad func(version, incarnation string)
	// ChecksFence makes the engine refuse orders with an old fencing number.
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
	settings Settings
	batch    chan struct{}
	prefixes *prefixCache
	loads    *loadReport

	mu          sync.Mutex
	version     string
	incarnation string
	restarted   bool // not yet told to anyone
	running     int
	queued      int
	completed   int // since the last start
	fellOver    int
	fallenUntil time.Time
	fence       uint64
	faults      Faults
	runs        map[string]int // by request id
}

// New returns a freshly started engine.
func New(settings Settings) *Engine {
	settings.fillDefaults()
	return &Engine{
		settings:    settings,
		batch:       make(chan struct{}, settings.MaxBatch),
		prefixes:    newPrefixCache(settings.PrefixEntries),
		loads:       &loadReport{lag: settings.LoadLag},
		version:     settings.Version,
		incarnation: uuid.NewString(),
		runs:        make(map[string]int),
	}
}

// Handler serves callers under /v1, load under /metrics, orders under /orders and faults under
// /faults.
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

// Restart makes the engine cold again, as a new process would be.
func (g *Engine) Restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restart()
}

func (g *Engine) restart() {
	g.incarnation = uuid.NewString()
	g.restarted = true
	g.completed = 0
	g.prefixes.clear()
}

// Incarnation names the engine's present run.
func (g *Engine) Incarnation() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation
}

// FellOver returns how often the engine was overloaded while cold.
func (g *Engine) FellOver() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fellOver
}

// Runs returns how many attempts of each request the engine ran.
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
	if !g.enter(c.Request().Header.Get(link.HeaderRequestID)) || fault.refuse {
		c.Response().Header().Set(link.HeaderVerdict, "not_run")
		return c.String(http.StatusServiceUnavailable, "overloaded")
	}
	if err := g.waitForBatch(c); err != nil {
		return nil
	}
	completed := false
	defer func() { g.leave(completed) }()
	if fault.fail {
		return c.String(http.StatusInternalServerError, "engine failed")
	}
	completed = g.generate(c, request, fault)
	return nil
}

// setHeaders writes what the engine says of itself.
func (g *Engine) setHeaders(c echo.Context, fault fault) {
	header := c.Response().Header()
	running, queued := g.loads.read()
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := c.Request().Header.Get(link.HeaderAttemptID)
	if fault.cross {
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
	if g.restarted {
		header.Set(link.HeaderRestarted, "1")
		g.restarted = false
	}
}

// enter admits a request, or falls over if the engine is cold and already has all it can bear.
func (g *Engine) enter(requestID string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Before(g.fallenUntil) {
		return false
	}
	cold := g.settings.ColdLimit > 0 && g.completed < g.settings.WarmAfter
	if cold && g.running+g.queued >= g.settings.ColdLimit {
		g.fellOver++
		g.fallenUntil = now.Add(g.settings.RecoverAfter)
		g.restart()
		return false
	}
	g.queued++
	g.runs[requestID]++
	g.loads.add(g.running, g.queued)
	return true
}

// waitForBatch waits for a place in the batch.
func (g *Engine) waitForBatch(c echo.Context) error {
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
	g.loads.add(g.running, g.queued)
	return err
}

// leave gives the place in the batch back.
func (g *Engine) leave(completed bool) {
	<-g.batch
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if completed {
		g.completed++
	}
	g.loads.add(g.running, g.queued)
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
			Message:      &openai.Content{Role: "assistant", Content: text(tokens, g.quality(request))},
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

// text is the whole answer; its first word carries the quality for the stand-in rater.
func text(tokens int, quality float64) string {
	words := make([]string, tokens)
	for i := range words {
		words[i] = word(i, quality)
	}
	return strings.Join(words, "")
}

func word(i int, quality float64) string {
	if i == 0 {
		return fmt.Sprintf("[quality=%.3f] ", quality)
	}
	return fmt.Sprintf("w%d ", i)
}

// quality of the answer to a request; the same request always gets the same one.
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
	swing := float64(digest.Sum64()%steps)/steps*2 - 1
	return min(1, max(0, g.settings.Quality+swing*g.settings.QualitySpread))
}

func promptTokens(request openai.ChatRequest) int64 {
	var bytes int
	for _, message := range request.Messages {
		bytes += len(message.Content)
	}
	const bytesPerToken = 4
	return int64(bytes/bytesPerToken) + 1
}
