package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/standin/load"
)

const (
	latencySamples = 400 // interleaved calls with and without the system
	millisecond    = time.Millisecond
)

// measures are the figures of a run.
type measures struct {
	convergence             []time.Duration
	controlTraffic          controlRate
	goodRollout, badRollout ticket.RolloutStatus
	load                    load.Report
	executions              map[string]int // executions by request id
	exposed                 int            // calls answered by the bad version
	directLatencies         []time.Duration
	entryLatencies          []time.Duration
}

// controlRate is the traffic of a daemon for control, in bytes a second, both
// directions together.
type controlRate struct{ mean, max float64 }

// addLoadReport takes in what became of the calls.
func (m *measures) addLoadReport(report load.Report) {
	m.load = report
	for _, answer := range report.Answers {
		if answer.Version == versionBad {
			m.exposed++
		}
	}
}

// measureLatency compares calls through the system with calls straight to a
// target, in interleaved rounds.
func (m *measures) measureLatency(ctx context.Context, s *system) {
	client := &http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	target := s.targets[1].Addr()
	entry := s.settings[0].Entry.Listen
	for range latencySamples {
		if took, ok := timeRequest(ctx, client, target); ok {
			m.directLatencies = append(m.directLatencies, took)
		}
		if took, ok := timeRequest(ctx, client, entry); ok {
			m.entryLatencies = append(m.entryLatencies, took)
		}
	}
	m.executions = countExecutions(s)
	slices.Sort(m.directLatencies)
	slices.Sort(m.entryLatencies)
}

func timeRequest(ctx context.Context, client *http.Client, address string) (time.Duration, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/counter/lookups/1", nil)
	if err != nil {
		return 0, false
	}
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return time.Since(start), err == nil
}

// countExecutions counts how often the targets ran each request.
func countExecutions(s *system) map[string]int {
	ran := make(map[string]int)
	for _, target := range s.targets {
		for _, record := range target.Witness() {
			ran[record.RequestID]++
		}
	}
	return ran
}

// violations counts what must never happen.
type violations struct {
	lost, twice, falseRefusals, crossed int
}

func (m *measures) violations() violations {
	f := violations{crossed: int(m.load.Summary.Crossed)}
	for _, answer := range m.load.Answers {
		ran := m.executions[answer.RequestID]
		switch {
		case answer.Outcome == load.OutcomeAnswered && ran == 0:
			f.lost++
		case answer.Outcome == load.OutcomeRefused && ran > 0:
			f.falseRefusals++
		}
		if answer.Method == http.MethodPost && ran > 1 {
			f.twice++
		}
	}
	return f
}

func (m *measures) print(out io.Writer) {
	f := m.violations()
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	fmt.Fprintln(out)
	row("measure", "this run (seed %d, %d daemons, %d zones, %d calls/s)", seed, zoneCount*hostsPerZone, zoneCount, requestRate)
	row("convergence", "max %v of %d tickets (bound 12 s)", slices.Max(m.convergence).Round(millisecond), len(m.convergence))
	row("control bytes", "mean %.0f B/s, max %.0f B/s for each daemon (bound 5000 B/s)", m.controlTraffic.mean, m.controlTraffic.max)
	row("good version", "%s, %v before its deadline", m.goodRollout.Verdict, m.goodRollout.By.Sub(m.goodRollout.At).Round(millisecond))
	row("bad version", "%s: %s", m.badRollout.Verdict, m.badRollout.Reason)
	row("exposure", "%d of %d calls met the bad version", m.exposed, len(m.load.Answers))
	row("latency", "p50 %v, p99 %v under load, %v of it work at the target", m.load.Summary.P50.Std().Round(millisecond/100), m.load.Summary.P99.Std().Round(millisecond/100), targetServiceTime)
	row("added latency", "p50 %v, p99 %v against direct calls, idle", m.addedLatency(50), m.addedLatency(99))
	row("calls", "%d answered, %d refused, %d unknown", m.load.Summary.Outcomes.Answered, m.load.Summary.Outcomes.Refused, m.load.Summary.Outcomes.Unknown)
	row("must be zero", "lost %d, run twice %d, false refusals %d, crossed answers %d", f.lost, f.twice, f.falseRefusals, f.crossed)
	_ = table.Flush()
	fmt.Fprintln(out)
}

// addedLatency returns the difference at a percentile between calls through the system
// and direct calls.
func (m *measures) addedLatency(percent int) time.Duration {
	if len(m.directLatencies) == 0 || len(m.entryLatencies) == 0 {
		return 0
	}
	difference := percentile(m.entryLatencies, percent) - percentile(m.directLatencies, percent)
	return difference.Round(time.Microsecond)
}

func percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[(len(sorted)-1)*percent/100]
}

// check returns an error unless the run went as it must.
func (m *measures) check() error {
	var errs []error
	if m.goodRollout.Verdict != ticket.Completed {
		errs = append(errs, fmt.Errorf("demo: the good version was %s: %s", m.goodRollout.Verdict, m.goodRollout.Reason))
	}
	if m.badRollout.Verdict != ticket.RolledBack {
		errs = append(errs, fmt.Errorf("demo: the bad version was %s", m.badRollout.Verdict))
	}
	if f := m.violations(); f != (violations{}) {
		errs = append(errs, fmt.Errorf("demo: calls went wrong: %+v", f))
	}
	return errors.Join(errs...)
}

// controlMeter measures control bytes over the time between its start and stop.
type controlMeter struct {
	d      *demonstration
	start  time.Time
	before []uint64
}

func (d *demonstration) startControlMeter(ctx context.Context) *controlMeter {
	return &controlMeter{d: d, start: time.Now(), before: d.controlBytes(ctx)}
}

func (d *demonstration) controlBytes(ctx context.Context) []uint64 {
	totals := make([]uint64, len(d.system.settings))
	for host := range d.system.settings {
		if status, err := d.client.status(ctx, d.adminAddress(host)); err == nil {
			totals[host] = status.ControlBytes.Sent + status.ControlBytes.Received
		}
	}
	return totals
}

func (w *controlMeter) stop(ctx context.Context) controlRate {
	var rate controlRate
	seconds := time.Since(w.start).Seconds()
	after := w.d.controlBytes(ctx)
	for host := range after {
		each := float64(after[host]-w.before[host]) / seconds
		rate.mean += each / float64(len(after))
		rate.max = max(rate.max, each)
	}
	return rate
}
