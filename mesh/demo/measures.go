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
	latencySamples = 400 // interleaved requests through the system and directly to a target
	millisecond    = time.Millisecond
)

// measures are the results of a run.
type measures struct {
	convergence             []time.Duration
	controlTraffic          controlRate
	goodRollout, badRollout ticket.RolloutStatus
	load                    load.Report
	executions              map[string]int // by request id
	exposed                 int            // responses of the bad version
	directLatencies         []time.Duration
	entryLatencies          []time.Duration
}

// controlRate is the control traffic of the daemons in bytes per second, sent and received together:
// the mean and the maximum over the daemons.
type controlRate struct{ mean, max float64 }

// addLoadReport records the report of the load generator and counts the responses of the bad version.
func (m *measures) addLoadReport(report load.Report) {
	m.load = report
	for _, response := range report.Results {
		if response.Version == versionBad {
			m.exposed++
		}
	}
}

// measureLatency measures requests through an entry and directly to a target, in interleaved rounds.
// It then reads the execution records of the targets.
func (m *measures) measureLatency(ctx context.Context, s *system) {
	client := &http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	target := s.targets[1].Addr()
	entry := s.settings[0].Entry.Listen
	for range latencySamples {
		if elapsed, ok := timeRequest(ctx, client, target); ok {
			m.directLatencies = append(m.directLatencies, elapsed)
		}
		if elapsed, ok := timeRequest(ctx, client, entry); ok {
			m.entryLatencies = append(m.entryLatencies, elapsed)
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

// countExecutions returns how often the targets executed each request, by request id.
func countExecutions(s *system) map[string]int {
	executed := make(map[string]int)
	for _, target := range s.targets {
		for _, record := range target.ExecutionRecords() {
			executed[record.RequestID]++
		}
	}
	return executed
}

// violations counts the requests that violate an invariant: lost were answered without an execution,
// twice are POST requests executed more than once, falseRefusals were refused but executed, crossed
// received the response to another request.
type violations struct {
	lost, twice, falseRefusals, crossed int
}

func (m *measures) violations() violations {
	f := violations{crossed: int(m.load.Summary.Mismatched)}
	for _, response := range m.load.Results {
		executed := m.executions[response.RequestID]
		switch {
		case response.Outcome == load.OutcomeResponded && executed == 0:
			f.lost++
		case response.Outcome == load.OutcomeRefused && executed > 0:
			f.falseRefusals++
		}
		if response.Method == http.MethodPost && executed > 1 {
			f.twice++
		}
	}
	return f
}

// print writes the measures as a table.
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
	row("exposure", "%d of %d calls met the bad version", m.exposed, len(m.load.Results))
	row("latency", "p50 %v, p99 %v under load, %v of it work at the target", m.load.Summary.P50.Std().Round(millisecond/100), m.load.Summary.P99.Std().Round(millisecond/100), targetServiceTime)
	row("added latency", "p50 %v, p99 %v against direct calls, idle", m.addedLatency(50), m.addedLatency(99))
	row("calls", "%d answered, %d refused, %d unknown", m.load.Summary.Outcomes.Responded, m.load.Summary.Outcomes.Refused, m.load.Summary.Outcomes.Unknown)
	row("must be zero", "lost %d, run twice %d, false refusals %d, crossed answers %d", f.lost, f.twice, f.falseRefusals, f.crossed)
	_ = table.Flush()
	fmt.Fprintln(out)
}

// addedLatency returns the difference at a percentile between requests through the system and direct
// requests.
func (m *measures) addedLatency(percent int) time.Duration {
	if len(m.directLatencies) == 0 || len(m.entryLatencies) == 0 {
		return 0
	}
	difference := percentile(m.entryLatencies, percent) - percentile(m.directLatencies, percent)
	return difference.Round(time.Microsecond)
}

// percentile requires a sorted, non-empty slice.
func percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[(len(sorted)-1)*percent/100]
}

// check returns an error if a verdict is not the expected one or a request violates an invariant.
func (m *measures) check() error {
	var errs []error
	if m.goodRollout.Verdict != ticket.Completed {
		errs = append(errs, fmt.Errorf("demo: the verdict on the good version is %s, expected done: %s", m.goodRollout.Verdict, m.goodRollout.Reason))
	}
	if m.badRollout.Verdict != ticket.RolledBack {
		errs = append(errs, fmt.Errorf("demo: the verdict on the bad version is %s, expected taken-back", m.badRollout.Verdict))
	}
	if f := m.violations(); f != (violations{}) {
		errs = append(errs, fmt.Errorf("demo: requests violated invariants: %+v", f))
	}
	return errors.Join(errs...)
}

// controlMeter measures the control bytes of every daemon between its start and its stop.
type controlMeter struct {
	d      *demonstration
	start  time.Time
	before []uint64
}

func (d *demonstration) startControlMeter(ctx context.Context) *controlMeter {
	return &controlMeter{d: d, start: time.Now(), before: d.controlBytes(ctx)}
}

// controlBytes returns the control bytes of each daemon since its start, 0 if it did not respond.
func (d *demonstration) controlBytes(ctx context.Context) []uint64 {
	totals := make([]uint64, len(d.system.settings))
	for host := range d.system.settings {
		if status, err := d.client.status(ctx, d.adminAddress(host)); err == nil {
			totals[host] = status.ControlBytes.Sent + status.ControlBytes.Received
		}
	}
	return totals
}

// stop returns the control traffic since the start of the meter.
func (w *controlMeter) stop(ctx context.Context) controlRate {
	var rate controlRate
	seconds := time.Since(w.start).Seconds()
	after := w.d.controlBytes(ctx)
	for host := range after {
		hostRate := float64(after[host]-w.before[host]) / seconds
		rate.mean += hostRate / float64(len(after))
		rate.max = max(rate.max, hostRate)
	}
	return rate
}
