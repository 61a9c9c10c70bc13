package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/standin/internal/sleep"
	"sassafrasnotch.example/mesh/standin/targetserver"
)

// maxBodyBytes bounds the part of a response body that is read.
const maxBodyBytes = 16 << 20

// Generator sends the requests of one run.
type Generator struct {
	config     Config
	mixture    mixture
	client     http.Client
	transport  *http.Transport
	slots      chan struct{}
	lastNumber atomic.Uint64
	results    *resultLog
}

// New returns a generator that has sent no request yet. It fails if the configuration is
// invalid.
func New(config Config) (*Generator, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: config.Concurrency}
	return &Generator{
		config:    config,
		mixture:   newMixture(config.Routes),
		client:    http.Client{Transport: transport, CheckRedirect: returnRedirect},
		transport: transport,
		slots:     make(chan struct{}, config.Concurrency),
		results:   newResultLog(),
	}, nil
}

func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run sends requests until the duration has passed or ctx ends, waits for those in flight and
// returns the report.
func (g *Generator) Run(ctx context.Context) Report {
	defer g.transport.CloseIdleConnections()
	random := rand.New(rand.NewPCG(g.config.Seed, 0))
	interval := time.Duration(float64(time.Second) / g.config.Rate)
	due := time.Now()
	end := due.Add(g.config.Duration.Std())
	var inFlight sync.WaitGroup
	for due.Before(end) && sleep.For(ctx, time.Until(due)) {
		g.startRequest(&inFlight, g.mixture.pick(random.IntN(g.mixture.total)), due)
		due = due.Add(interval)
	}
	inFlight.Wait()
	return g.results.report()
}

// Summary returns the figures so far. It may be called during a run.
func (g *Generator) Summary() Summary { return g.results.summary() }

// Results returns the results so far. It may be called during a run.
func (g *Generator) Results() []AttemptResult { return g.results.snapshot() }

// startRequest starts one request, or skips it if too many are in flight.
func (g *Generator) startRequest(inFlight *sync.WaitGroup, route Route, due time.Time) {
	select {
	case g.slots <- struct{}{}:
	default:
		g.results.skip()
		return
	}
	number := g.lastNumber.Add(1)
	inFlight.Go(func() {
		defer func() { <-g.slots }()
		g.sendWithResends(route, number, due)
	})
}

// sendWithResends sends one request, and again until its outcome is known or the resends of its
// route are used up. A resend is due when the attempt before it ends.
func (g *Generator) sendWithResends(route Route, number uint64, due time.Time) {
	for attempt := 1; attempt <= route.MaxResends+1; attempt++ {
		result := g.attempt(route, number, attempt, due)
		g.results.add(result)
		if result.outcomeKnown() {
			return
		}
		due = time.Now()
	}
}

// attempt sends one request to the next entry and reads the whole response.
func (g *Generator) attempt(route Route, number uint64, attempt int, due time.Time) AttemptResult {
	index := (number + uint64(attempt) - 2) % uint64(len(g.config.Entries))
	result := AttemptResult{
		RequestID: fmt.Sprintf("%s%d", g.config.IDPrefix, number),
		Attempt:   attempt,
		Entry:     g.config.Entries[index],
		Method:    route.Method,
		Path:      route.Path,
		Keyed:     route.Keyed,
		DueAt:     due,
	}
	g.exchange(route, &result)
	result.Latency = revision.Duration(time.Since(due))
	return result
}

func (g *Generator) exchange(route Route, result *AttemptResult) {
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Timeout.Std())
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), route, result)
	if err != nil {
		result.Outcome, result.Error = OutcomeUnsent, err.Error()
		return
	}
	resp, err := g.client.Do(req)
	if err != nil {
		result.Outcome, result.Error = errorOutcome(err, connected.Load()), err.Error()
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	result.Status = resp.StatusCode
	result.Version = resp.Header.Get(targetserver.HeaderVersion)
	if err != nil {
		result.Outcome, result.Error = OutcomeIncomplete, err.Error()
		return
	}
	result.Outcome = responseOutcome(resp)
	result.Mismatched = mismatched(resp, body, result.RequestID)
}

func newRequest(ctx context.Context, route Route, result *AttemptResult) (*http.Request, error) {
	url := "http://" + result.Entry + route.Path
	req, err := http.NewRequestWithContext(ctx, route.Method, url, bytes.NewReader(make([]byte, route.BodyBytes)))
	if err != nil {
		return nil, err
	}
	req.Header.Set(targetserver.HeaderRequestID, result.RequestID)
	if route.Keyed {
		req.Header.Set(targetserver.HeaderIdempotencyKey, result.RequestID)
	}
	for _, h := range route.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	return req, nil
}
