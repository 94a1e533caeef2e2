package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"plumbarrow.example/plumbarrow/gateway"
	"plumbarrow.example/plumbarrow/upstream"
)

// instanceTimeout bounds a call to an instance's metrics address.
const instanceTimeout = 5 * time.Second

type routeCommand struct {
	Host      string   `arg:"positional,required" help:"the request's host"`
	Path      string   `arg:"positional,required" help:"the request's path"`
	Metrics   string   `arg:"--metrics,required" help:"the instance's metrics_address, IP:port"`
	Customer  string   `arg:"--customer" help:"name of the customer, on routes that need a key"`
	ID        string   `arg:"--id" help:"request id; decides between the services of a route"`
	Session   string   `arg:"--session" help:"session; with the id it decides between versions in a roll-out"`
	AnyModel  bool     `arg:"--any-model" help:"the router chooses the model"`
	Tokens    int      `arg:"--tokens" help:"length of the prompt in tokens [default: that of the parts]"`
	Parts     []string `arg:"--part,separate" help:"ID:TOKENS of a part of the prompt, ID in hexadecimal; repeat it in order, the request's own part last"`
	TimeoutMS int64    `arg:"--timeout-ms" help:"the caller's time limit [default: the route's]"`
	JSON      bool     `arg:"--json" help:"print JSON"`
}

// run asks an instance and prints its answer. Nothing is sent to an endpoint.
func (c *routeCommand) run() error {
	query, err := c.query()
	if err != nil {
		return &exitError{exitUsage, err}
	}
	preview, err := requestPreview(c.Metrics, query)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(preview)
	}
	return printPreview(os.Stdout, preview)
}

func (c *routeCommand) query() (*gateway.PreviewQuery, error) {
	query := &gateway.PreviewQuery{
		Host: c.Host, Path: c.Path, ID: c.ID, Session: c.Session, Customer: c.Customer, OpenModel: c.AnyModel, TimeoutMS: c.TimeoutMS,
	}
	for _, text := range c.Parts {
		idText, tokensText, _ := strings.Cut(text, ":")
		id, err := strconv.ParseUint(idText, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("--part %s: %w", text, err)
		}
		tokens, err := strconv.Atoi(tokensText)
		if err != nil {
			return nil, fmt.Errorf("--part %s: %w", text, err)
		}
		query.PromptParts = append(query.PromptParts, upstream.PromptPart{ID: id, Tokens: tokens})
		query.PromptTokens += tokens
	}
	if c.Tokens > 0 {
		query.PromptTokens = c.Tokens
	}
	return query, nil
}

func requestPreview(address string, query *gateway.PreviewQuery) (*gateway.Preview, error) {
	body, err := json.Marshal(query)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/route", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	preview := &gateway.Preview{}
	return preview, callInstance(request, preview)
}

// callInstance sends a request to an instance's metrics address and decodes its answer.
func callInstance(request *http.Request, answer any) error {
	client := http.Client{Timeout: instanceTimeout}
	response, err := client.Do(request)
	if err != nil {
		return &exitError{exitUnreachable, err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", request.URL.Host, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("answer of %s: %w", request.URL.Host, err)
	}
	return nil
}

// printPreview prints the decision, what led to it, and the endpoints of the service.
func printPreview(out io.Writer, p *gateway.Preview) error {
	switch {
	case p.Refusal != nil:
		fmt.Fprintf(out, "refused with %d %s: %s", p.Refusal.Status, p.Refusal.Reason, p.Refusal.Detail)
		if p.Refusal.RetryAfterMS > 0 {
			fmt.Fprintf(out, "; Retry-After about %d ms", p.Refusal.RetryAfterMS)
		}
		fmt.Fprintln(out)
	case p.Endpoint == "":
		fmt.Fprintf(out, "waits up to %d ms for capacity (%s)", p.WaitMS, p.Blocked)
		if p.ExpectedWaitMS > 0 {
			fmt.Fprintf(out, ", expected %d ms", p.ExpectedWaitMS)
		}
		fmt.Fprintln(out)
	case p.Sampled:
		fmt.Fprintf(out, "goes to %s, drawn among the candidates\n", p.Endpoint)
	default:
		fmt.Fprintf(out, "goes to %s\n", p.Endpoint)
	}
	fmt.Fprintf(out, "instance %s, configuration %d, route %q (%s), service %q, model %q, priority %d, %d waiting\n",
		p.Instance, p.Configuration, p.Route, p.Kind, p.Service, p.Model, p.Priority, p.Waiting)
	if p.RequiredVersion != "" || len(p.ExcludedVersions) > 0 {
		fmt.Fprintf(out, "version: required %q, excluded %q, any other as a fallback: %t\n", p.RequiredVersion, p.ExcludedVersions, p.VersionFallback)
	}
	if len(p.Endpoints) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENDPOINT\tZONE\tVERSION\tSTATE\tREQUESTS\tPACE\tKEPT\tCOST MS\t= EXPECTED\t+ ZONE\t+ ERRORS\t+ OTHERS")
	for _, e := range p.Endpoints {
		state := "candidate"
		switch {
		case e.Excluded != "":
			state = e.Excluded
		case e.LastResort:
			state = "last resort"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d/%d\t%.2f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", e.Endpoint, e.Zone, e.Version, state, e.Requests, e.Slots,
			e.Pace, e.CachedTokens, e.CostMS, e.ExpectedMS, e.OtherZoneMS, e.ErrorsMS, e.OthersWaitMS)
	}
	return table.Flush()
}
