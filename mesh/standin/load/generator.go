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

const maxBodyBytes = 16 << 20

// Generator sends the requests of one run.
type Generator struct {
	config    Config
	mixture   mixture
	client    http.Client
	transport *http.Transport
	places    chan struct{}
	next      atomic.Uint64
	log       *log
}

// New returns a generator that has sent nothing yet.
func New(config Config) (*Generator, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: config.Concurrency}
	return &Generator{
		config:    config,
		mixture:   newMixture(config.Routes),
		client:    http.Client{Transport: transport, CheckRedirect: keepRedirect},
		transport: transport,
		places:    make(chan struct{}, config.Concurrency),
		log:       newLog(),
	}, nil
}

func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run sends requests until the duration has passed or ctx ends, waits for
// those in flight and returns the report.
func (g *Generator) Run(ctx context.Context) Report {
	defer g.transport.CloseIdleConnections()
	random := rand.New(rand.NewPCG(g.config.Seed, 0))
	interval := time.Duration(float64(time.Second) / g.config.Rate)
	due := time.Now()
	end := due.Add(g.config.Duration.Std())
	var inFlight sync.WaitGroup
	for due.Before(end) && sleep.For(ctx, time.Until(due)) {
		g.arrive(&inFlight, g.mixture.pick(random.IntN(g.mixture.total)), due)
		due = due.Add(interval)
	}
	inFlight.Wait()
	return g.log.report()
}

// Summary returns the figures so far; it may be called during a run.
func (g *Generator) Summary() Summary { return g.log.summary() }

// Results returns the answers so far; it may be called during a run.
func (g *Generator) Results() []AttemptResult { return g.log.snapshot() }

// arrive starts one request, or skips it if too many are in flight.
func (g *Generator) arrive(inFlight *sync.WaitGroup, route Route, due time.Time) {
	select {
	case g.places <- struct{}{}:
	default:
		g.log.skip()
		return
	}
	number := g.next.Add(1)
	inFlight.Go(func() {
		defer func() { <-g.places }()
		g.call(route, number, due)
	})
}

// call sends one request, and again as often as its route says.
func (g *Generator) call(route Route, number uint64, due time.Time) {
	for attempt := 1; attempt <= route.MaxResends+1; attempt++ {
		answer := g.attempt(route, number, attempt, due)
		g.log.add(answer)
		if answer.settled() {
			return
		}
		due = time.Now()
	}
}

// attempt sends one request to the next entry and reads the whole answer.
func (g *Generator) attempt(route Route, number uint64, attempt int, due time.Time) AttemptResult {
	place := (number + uint64(attempt) - 2) % uint64(len(g.config.Entries))
	answer := AttemptResult{
		RequestID: fmt.Sprintf("%s%d", g.config.IDPrefix, number),
		Attempt:   attempt,
		Entry:     g.config.Entries[place],
		Method:    route.Method,
		Path:      route.Path,
		Keyed:     route.Keyed,
		DueAt:     due,
	}
	g.exchange(route, &answer)
	answer.Latency = revision.Duration(time.Since(due))
	return answer
}

func (g *Generator) exchange(route Route, answer *AttemptResult) {
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Timeout.Std())
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), route, answer)
	if err != nil {
		answer.Outcome, answer.Error = OutcomeUnsent, err.Error()
		return
	}
	resp, err := g.client.Do(req)
	if err != nil {
		answer.Outcome, answer.Error = outcomeOfError(err, connected.Load()), err.Error()
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	answer.Status = resp.StatusCode
	answer.Version = resp.Header.Get(targetserver.HeaderVersion)
	if err != nil {
		answer.Outcome, answer.Error = OutcomeIncomplete, err.Error()
		return
	}
	answer.Outcome = outcomeOf(resp)
	answer.Mismatched = crossed(resp, body, answer.RequestID)
}

func newRequest(ctx context.Context, route Route, answer *AttemptResult) (*http.Request, error) {
	url := "http://" + answer.Entry + route.Path
	req, err := http.NewRequestWithContext(ctx, route.Method, url, bytes.NewReader(make([]byte, route.BodyBytes)))
	if err != nil {
		return nil, err
	}
	req.Header.Set(targetserver.HeaderRequestID, answer.RequestID)
	if route.Keyed {
		req.Header.Set(targetserver.HeaderIdempotencyKey, answer.RequestID)
	}
	for _, h := range route.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	return req, nil
}
