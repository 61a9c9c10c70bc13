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
	latencyRounds = 400 // interleaved calls with and without the system
	milli         = time.Millisecond
)

// measures are the figures of a run.
type measures struct {
	convergence []time.Duration
	control     controlRate
	good, bad   ticket.RolloutStatus
	report      load.Report
	ran         map[string]int // executions by request id
	exposed     int            // calls answered by the bad version
	direct      []time.Duration
	through     []time.Duration
}

// controlRate is the traffic of a daemon for control, in bytes a second, both
// directions together.
type controlRate struct{ mean, max float64 }

// addReport takes in what became of the calls.
func (m *measures) addReport(report load.Report) {
	m.report = report
	for _, answer := range report.Results {
		if answer.Version == versionBad {
			m.exposed++
		}
	}
}

// addedLatency compares calls through the system with calls straight to a
// target, in interleaved rounds.
func (m *measures) addedLatency(ctx context.Context, s *system) {
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	target := s.targets[1].Addr()
	entry := s.settings[0].Entry.Listen
	for range latencyRounds {
		if took, ok := timeCall(ctx, client, target); ok {
			m.direct = append(m.direct, took)
		}
		if took, ok := timeCall(ctx, client, entry); ok {
			m.through = append(m.through, took)
		}
	}
	m.ran = executions(s)
	slices.Sort(m.direct)
	slices.Sort(m.through)
}

func timeCall(ctx context.Context, client *http.Client, address string) (time.Duration, bool) {
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

// executions counts how often the targets ran each request.
func executions(s *system) map[string]int {
	ran := make(map[string]int)
	for _, target := range s.targets {
		for _, record := range target.ExecutionRecords() {
			ran[record.RequestID]++
		}
	}
	return ran
}

// faults counts what must never happen.
type faults struct {
	lost, twice, falseRefusals, crossed int
}

func (m *measures) faults() faults {
	f := faults{crossed: int(m.report.Summary.Mismatched)}
	for _, answer := range m.report.Results {
		ran := m.ran[answer.RequestID]
		switch {
		case answer.Outcome == load.OutcomeResponded && ran == 0:
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
	f := m.faults()
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	fmt.Fprintln(out)
	row("measure", "this run (seed %d, %d daemons, %d zones, %d calls/s)", seed, zones*hostsPerZone, zones, rate)
	row("convergence", "max %v of %d tickets (bound 12 s)", slices.Max(m.convergence).Round(milli), len(m.convergence))
	row("control bytes", "mean %.0f B/s, max %.0f B/s for each daemon (bound 5000 B/s)", m.control.mean, m.control.max)
	row("good version", "%s, %v before its deadline", m.good.Verdict, m.good.By.Sub(m.good.At).Round(milli))
	row("bad version", "%s: %s", m.bad.Verdict, m.bad.Reason)
	row("exposure", "%d of %d calls met the bad version", m.exposed, len(m.report.Results))
	row("latency", "p50 %v, p99 %v under load, %v of it work at the target", m.report.Summary.P50.Std().Round(milli/100), m.report.Summary.P99.Std().Round(milli/100), targetWork)
	row("added latency", "p50 %v, p99 %v against direct calls, idle", m.added(50), m.added(99))
	row("calls", "%d answered, %d refused, %d unknown", m.report.Summary.Outcomes.Responded, m.report.Summary.Outcomes.Refused, m.report.Summary.Outcomes.Unknown)
	row("must be zero", "lost %d, run twice %d, false refusals %d, crossed answers %d", f.lost, f.twice, f.falseRefusals, f.crossed)
	_ = table.Flush()
	fmt.Fprintln(out)
}

// added returns the difference at a percentile between calls through the system
// and direct calls.
func (m *measures) added(percent int) time.Duration {
	if len(m.direct) == 0 || len(m.through) == 0 {
		return 0
	}
	difference := percentile(m.through, percent) - percentile(m.direct, percent)
	return difference.Round(time.Microsecond)
}

func percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[(len(sorted)-1)*percent/100]
}

// check returns an error unless the run went as it must.
func (m *measures) check() error {
	var errs []error
	if m.good.Verdict != ticket.Completed {
		errs = append(errs, fmt.Errorf("demo: the good version was %s: %s", m.good.Verdict, m.good.Reason))
	}
	if m.bad.Verdict != ticket.RolledBack {
		errs = append(errs, fmt.Errorf("demo: the bad version was %s", m.bad.Verdict))
	}
	if f := m.faults(); f != (faults{}) {
		errs = append(errs, fmt.Errorf("demo: calls went wrong: %+v", f))
	}
	return errors.Join(errs...)
}

// controlWatch measures control bytes over the time between its start and stop.
type controlWatch struct {
	d      *demonstration
	start  time.Time
	before []uint64
}

func (d *demonstration) watchControlBytes(ctx context.Context) *controlWatch {
	return &controlWatch{d: d, start: time.Now(), before: d.controlBytes(ctx)}
}

func (d *demonstration) controlBytes(ctx context.Context) []uint64 {
	totals := make([]uint64, len(d.system.settings))
	for host := range d.system.settings {
		if status, err := d.client.status(ctx, d.admin(host)); err == nil {
			totals[host] = status.ControlBytes.Sent + status.ControlBytes.Received
		}
	}
	return totals
}

func (w *controlWatch) stop(ctx context.Context) controlRate {
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
