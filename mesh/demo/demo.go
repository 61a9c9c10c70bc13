// Package demo runs the whole system in one process: stand-ins for the platform
// and the targets, six daemons in three availability zones, and load. One rollout goes to a good
// version and one to a bad version.
package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/standin/load"
)

const (
	serviceName = "counter"
	versionOld  = "v1"
	versionGood = "v2"
	versionBad  = "v3"

	seed               = 1
	requestRate        = 1200             // requests per second
	serveRequestRate   = 400              // requests per second while an operator works
	concurrency        = 128              // requests in flight at most
	requestTimeout     = 5 * time.Second  // of one request
	goodDeadline       = 25 * time.Second // from the submission of the good rollout to its deadline
	badDeadline        = 20 * time.Second // from the submission of the bad rollout to its deadline
	runTimeout         = 90 * time.Second // bounds the whole demonstration
	pollInterval       = 100 * time.Millisecond
	ticketPollInterval = time.Second // longer, because the daemon reads the ticket from the platform each time

	objectiveSuccess = 9950 // basis points
	objectiveWindow  = 24 * time.Hour
)

// Run runs the demonstration and writes its progress and measures to out. It
// returns an error if a verdict is not the expected one or a request violates an invariant.
func Run(ctx context.Context, out io.Writer) error {
	return withSystem(ctx, out, runTimeout, (*demonstration).run)
}

// Serve starts the same system, submits the first ticket and sends load for the duration or until
// the context ends, so that an operator can submit further tickets.
func Serve(ctx context.Context, out io.Writer, duration time.Duration) error {
	return withSystem(ctx, out, duration, func(d *demonstration, ctx context.Context) error {
		return d.serve(ctx, duration)
	})
}

// withSystem starts the system, runs the work and stops the system. The limit bounds start and work.
func withSystem(ctx context.Context, out io.Writer, limit time.Duration, work func(*demonstration, context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d := &demonstration{out: out, client: newClient(), start: time.Now()}
	d.logf("starting the platform stand-in, %d daemons in %d availability zones and %d targets",
		zoneCount*hostsPerZone, zoneCount, 3*zoneCount*hostsPerZone)
	system, err := startSystem(ctx)
	if err != nil {
		return err
	}
	d.system = system
	workErr := work(d, ctx)
	d.logf("stopping")
	if err := system.stop(); err != nil && workErr == nil {
		return fmt.Errorf("demo: stop: %w", err)
	}
	return workErr
}

// serve sends load until the context ends.
func (d *demonstration) serve(ctx context.Context, duration time.Duration) error {
	if err := d.submitFirstTicket(ctx); err != nil {
		return err
	}
	_, stopLoad, err := d.startLoad(ctx, serveRequestRate, duration)
	if err != nil {
		return err
	}
	defer stopLoad()
	d.logf("callers send %d calls a second; the system runs for %v or until it is interrupted", serveRequestRate, duration)
	fmt.Fprintf(d.out, "\nIn another terminal:\n\n    export SASSAFRAS_ADMIN=%s\n    curl -i http://%s/counter/lookups/1\n\n",
		strings.Join(d.adminAddresses(), ","), d.system.settings[0].Entry.Listen)
	<-ctx.Done()
	return nil
}

// adminAddresses returns the admin addresses of all hosts.
func (d *demonstration) adminAddresses() []string {
	var addresses []string
	for host := range d.system.settings {
		addresses = append(addresses, d.adminAddress(host))
	}
	return addresses
}

// demonstration is one run of the system.
type demonstration struct {
	out      io.Writer
	client   *client
	system   *system
	start    time.Time
	measures measures
}

// logf prints a line of progress with the seconds since the start.
func (d *demonstration) logf(format string, args ...any) {
	fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// adminAddress returns the admin address of a host.
func (d *demonstration) adminAddress(host int) string { return d.system.settings[host].Admin.Listen }

// run runs the rollouts under load, measures and checks the results.
func (d *demonstration) run(ctx context.Context) error {
	if err := d.submitFirstTicket(ctx); err != nil {
		return err
	}
	reports, stopLoad, err := d.startLoad(ctx, requestRate, runTimeout)
	if err != nil {
		return err
	}
	defer stopLoad()
	d.logf("callers send %d calls a second to all daemons", requestRate)
	meter := d.startControlMeter(ctx)
	err = d.runRollouts(ctx)
	d.measures.controlTraffic = meter.stop(ctx)
	stopLoad()
	d.measures.addLoadReport(<-reports)
	if err != nil {
		return err
	}
	d.measures.measureLatency(ctx, d.system)
	d.measures.print(d.out)
	return d.measures.check()
}

// startLoad starts the load. The report is sent on the channel after the load is stopped with the
// returned function or its duration has passed.
func (d *demonstration) startLoad(ctx context.Context, perSecond float64, duration time.Duration) (<-chan load.Report, context.CancelFunc, error) {
	generator, err := load.New(d.loadConfig(perSecond, duration))
	if err != nil {
		return nil, nil, fmt.Errorf("demo: start the load: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	reports := make(chan load.Report, 1)
	go func() { reports <- generator.Run(ctx) }()
	return reports, cancel, nil
}

// submitFirstTicket submits the first ticket and waits until every daemon has applied it and reports
// every target.
func (d *demonstration) submitFirstTicket(ctx context.Context) error {
	if err := d.submit(ctx, 0, firstTicket()); err != nil {
		return err
	}
	want := 3 * zoneCount * hostsPerZone
	for host := range d.system.settings {
		err := d.until(ctx, pollInterval, func() (bool, error) {
			status, err := d.client.status(ctx, d.adminAddress(host))
			return err == nil && len(status.Targets) >= want, nil
		})
		if err != nil {
			return fmt.Errorf("demo: wait for the targets: %w", err)
		}
	}
	d.logf("every daemon knows all %d targets", want)
	return nil
}

// runRollouts runs the good rollout, then the bad one, and records their verdicts.
func (d *demonstration) runRollouts(ctx context.Context) error {
	verdict, err := d.runRollout(ctx, 2, versionGood, goodDeadline)
	if err != nil {
		return err
	}
	d.measures.goodRollout = verdict
	verdict, err = d.runRollout(ctx, 3, versionBad, badDeadline)
	if err != nil {
		return err
	}
	d.measures.badRollout = verdict
	return nil
}

// submit sends a ticket to a daemon, waits until its revision is in force on every daemon and records
// the duration as convergence.
func (d *demonstration) submit(ctx context.Context, host int, t ticket.Ticket) error {
	start := time.Now()
	status, err := d.client.submit(ctx, d.adminAddress(host), t)
	if err != nil {
		return fmt.Errorf("demo: submit ticket %d: %w", t.Number, err)
	}
	for other := range d.system.settings {
		err := d.until(ctx, pollInterval, func() (bool, error) {
			reported, err := d.client.status(ctx, d.adminAddress(other))
			return err == nil && reported.Applied >= status.Revision, nil
		})
		if err != nil {
			return fmt.Errorf("demo: revision %d is not in force on %s: %w", status.Revision, d.system.settings[other].Host, err)
		}
	}
	elapsed := time.Since(start)
	d.measures.convergence = append(d.measures.convergence, elapsed)
	d.logf("ticket %d accepted as revision %d, in force on every daemon after %v", t.Number, status.Revision, elapsed.Round(time.Millisecond))
	return nil
}

// runRollout submits a rollout and polls it until it has a verdict.
func (d *demonstration) runRollout(ctx context.Context, number uint64, to string, window time.Duration) (ticket.RolloutStatus, error) {
	var last ticket.RolloutStatus
	t := ticket.Ticket{Number: number, Rollouts: []ticket.RolloutRequest{{Service: serviceName, To: to, By: time.Now().Add(window)}}}
	if err := d.submit(ctx, int(number)%len(d.system.settings), t); err != nil {
		return last, err
	}
	err := d.until(ctx, ticketPollInterval, func() (bool, error) {
		status, err := d.client.ticket(ctx, d.adminAddress(0), number)
		if err != nil {
			return false, err
		}
		rollout := status.Rollouts[0]
		if rollout.Step != last.Step || rollout.Share != last.Share {
			d.logf("ticket %d: %s to %s, %.1f%% of the traffic %s", number, rollout.Step, to, float64(rollout.Share)/100, rollout.Reason)
		}
		last = rollout
		return rollout.Verdict != ticket.Running, nil
	})
	if err != nil {
		return last, fmt.Errorf("demo: follow ticket %d: %w", number, err)
	}
	return last, nil
}

// until polls a condition until it holds, returns an error or the context ends.
func (d *demonstration) until(ctx context.Context, interval time.Duration, condition func() (bool, error)) error {
	for {
		done, err := condition()
		if done || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
}

func (d *demonstration) loadConfig(perSecond float64, duration time.Duration) load.Config {
	return load.Config{
		Entries:     d.system.entryAddresses(),
		Rate:        perSecond,
		Concurrency: concurrency,
		Duration:    revision.Duration(duration),
		Timeout:     revision.Duration(requestTimeout),
		Seed:        seed,
		Routes: []load.Route{
			{Method: "GET", Path: "/counter/lookups/1", Weight: 4},
			{Method: "POST", Path: "/counter/orders", Weight: 1, BodyBytes: 200},
		},
	}
}

// firstTicket configures the service, its versions and routes, with all traffic on versionOld.
func firstTicket() ticket.Ticket {
	return ticket.Ticket{
		Number:  1,
		Comment: "counter service with three versions; all traffic on the first",
		Services: []revision.Service{{
			Name:         serviceName,
			Preference:   revision.PreferDeadline,
			LatencyBound: revision.Duration(200 * time.Millisecond),
			Objective:    revision.Objective{Success: objectiveSuccess, Window: revision.Duration(objectiveWindow)},
		}},
		Versions: []revision.Version{
			{Service: serviceName, Name: versionOld},
			{Service: serviceName, Name: versionGood},
			{Service: serviceName, Name: versionBad},
		},
		Splits: []revision.Split{{Service: serviceName, Shares: []revision.Share{{Version: versionOld, Weight: revision.FullShare}}}},
		Routes: []revision.Route{
			{Name: "lookups", Service: serviceName, Prefix: "/counter/lookups", Repeat: revision.RepeatIdempotent},
			{Name: "orders", Service: serviceName, Prefix: "/counter/orders", Repeat: revision.RepeatNever},
		},
	}
}
