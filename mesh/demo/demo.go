// Package demo runs the whole system in one process: stand-ins for the platform
// and the targets, six daemons in three availability zones, and load. One move
// of traffic goes to a good version and one to a bad version.
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
	service     = "counter"
	versionOld  = "v1"
	versionGood = "v2"
	versionBad  = "v3"

	seed        = 1
	rate        = 1200 // calls a second
	serveRate   = 400  // calls a second while the operator works
	concurrency = 128
	callTimeout = 5 * time.Second
	goodWindow  = 25 * time.Second // until the deadline of the good move
	badWindow   = 20 * time.Second // until the deadline of the bad move
	limit       = 90 * time.Second // of the whole demonstration
	poll        = 100 * time.Millisecond
	ticketPoll  = time.Second // each one is read from the platform

	objectiveSuccess = 9950 // basis points
	objectiveWindow  = 24 * time.Hour
)

// Run runs the demonstration and writes its progress and measures to out. It
// returns an error if a verdict was not the expected one or a call went wrong.
func Run(ctx context.Context, out io.Writer) error {
	return within(ctx, out, limit, (*demonstration).run)
}

// Serve starts the same system with load and the first ticket, and leaves it to
// its operator for the duration or until the context ends.
func Serve(ctx context.Context, out io.Writer, duration time.Duration) error {
	return within(ctx, out, duration, func(d *demonstration, ctx context.Context) error {
		return d.serve(ctx, duration)
	})
}

// within starts the system, runs the work for a limited time and stops.
func within(ctx context.Context, out io.Writer, limit time.Duration, work func(*demonstration, context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d := &demonstration{out: out, client: newClient(), begin: time.Now()}
	d.say("starting the platform stand-in, %d daemons in %d availability zones and %d targets",
		zones*hostsPerZone, zones, 3*zones*hostsPerZone)
	system, err := startSystem(ctx)
	if err != nil {
		return err
	}
	d.system = system
	workErr := work(d, ctx)
	d.say("stopping")
	if err := system.stop(); err != nil && workErr == nil {
		return fmt.Errorf("demo: stop: %w", err)
	}
	return workErr
}

// serve waits for the end of the time while calls go on.
func (d *demonstration) serve(ctx context.Context, duration time.Duration) error {
	if err := d.configure(ctx); err != nil {
		return err
	}
	_, stopLoad, err := d.startLoad(ctx, serveRate, duration)
	if err != nil {
		return err
	}
	defer stopLoad()
	d.say("callers send %d calls a second; the system runs for %v or until it is interrupted", serveRate, duration)
	fmt.Fprintf(d.out, "\nIn another terminal:\n\n    export SASSAFRAS_ADMIN=%s\n    curl -i http://%s/counter/lookups/1\n\n",
		strings.Join(d.admins(), ","), d.system.settings[0].Entry.Listen)
	<-ctx.Done()
	return nil
}

// admins returns the admin addresses of all hosts.
func (d *demonstration) admins() []string {
	var addresses []string
	for host := range d.system.settings {
		addresses = append(addresses, d.admin(host))
	}
	return addresses
}

// demonstration is one run.
type demonstration struct {
	out      io.Writer
	client   *client
	system   *system
	begin    time.Time
	measures measures
}

// say prints a line of progress.
func (d *demonstration) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.begin).Seconds(), fmt.Sprintf(format, args...))
}

// admin returns the admin address of a host.
func (d *demonstration) admin(host int) string { return d.system.settings[host].Admin.Listen }

func (d *demonstration) run(ctx context.Context) error {
	if err := d.configure(ctx); err != nil {
		return err
	}
	reports, stopLoad, err := d.startLoad(ctx, rate, limit)
	if err != nil {
		return err
	}
	defer stopLoad()
	d.say("callers send %d calls a second to all daemons", rate)
	watch := d.watchControlBytes(ctx)
	err = d.moves(ctx)
	d.measures.control = watch.stop(ctx)
	stopLoad()
	d.measures.addReport(<-reports)
	if err != nil {
		return err
	}
	d.measures.addedLatency(ctx, d.system)
	d.measures.print(d.out)
	return d.measures.check()
}

// startLoad begins to send calls; the report arrives when the load is stopped.
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

// configure submits the first ticket and waits until every daemon has it and
// knows every target.
func (d *demonstration) configure(ctx context.Context) error {
	if err := d.submit(ctx, 0, firstTicket()); err != nil {
		return err
	}
	want := 3 * zones * hostsPerZone
	for host := range d.system.settings {
		err := d.until(ctx, poll, func() (bool, error) {
			status, err := d.client.status(ctx, d.admin(host))
			return err == nil && len(status.Targets) >= want, nil
		})
		if err != nil {
			return fmt.Errorf("demo: wait for the targets: %w", err)
		}
	}
	d.say("every daemon knows all %d targets", want)
	return nil
}

// moves runs the good move, then the bad one.
func (d *demonstration) moves(ctx context.Context) error {
	verdict, err := d.move(ctx, 2, versionGood, goodWindow)
	if err != nil {
		return err
	}
	d.measures.good = verdict
	verdict, err = d.move(ctx, 3, versionBad, badWindow)
	if err != nil {
		return err
	}
	d.measures.bad = verdict
	return nil
}

// submit hands a ticket to a daemon and measures its convergence.
func (d *demonstration) submit(ctx context.Context, host int, t ticket.Ticket) error {
	start := time.Now()
	status, err := d.client.submit(ctx, d.admin(host), t)
	if err != nil {
		return fmt.Errorf("demo: submit ticket %d: %w", t.Number, err)
	}
	for other := range d.system.settings {
		err := d.until(ctx, poll, func() (bool, error) {
			view, err := d.client.status(ctx, d.admin(other))
			return err == nil && view.Applied >= status.Revision, nil
		})
		if err != nil {
			return fmt.Errorf("demo: revision %d is not in force on %s: %w", status.Revision, d.system.settings[other].Host, err)
		}
	}
	took := time.Since(start)
	d.measures.convergence = append(d.measures.convergence, took)
	d.say("ticket %d accepted as revision %d, in force on every daemon after %v", t.Number, status.Revision, took.Round(time.Millisecond))
	return nil
}

// move submits a move and follows it to its verdict.
func (d *demonstration) move(ctx context.Context, number uint64, to string, window time.Duration) (ticket.RolloutStatus, error) {
	var last ticket.RolloutStatus
	t := ticket.Ticket{Number: number, Rollouts: []ticket.RolloutRequest{{Service: service, To: to, By: time.Now().Add(window)}}}
	if err := d.submit(ctx, int(number)%len(d.system.settings), t); err != nil {
		return last, err
	}
	err := d.until(ctx, ticketPoll, func() (bool, error) {
		status, err := d.client.ticket(ctx, d.admin(0), number)
		if err != nil {
			return false, err
		}
		move := status.Rollouts[0]
		if move.Step != last.Step || move.Share != last.Share {
			d.say("ticket %d: %s to %s, %.1f%% of the traffic %s", number, move.Step, to, float64(move.Share)/100, move.Reason)
		}
		last = move
		return move.Verdict != ticket.Running, nil
	})
	if err != nil {
		return last, fmt.Errorf("demo: follow ticket %d: %w", number, err)
	}
	return last, nil
}

// until polls a condition until it holds, fails or the run's time is over.
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
		Entries:     d.system.entries(),
		Rate:        perSecond,
		Concurrency: concurrency,
		Duration:    revision.Duration(duration),
		Timeout:     revision.Duration(callTimeout),
		Seed:        seed,
		Routes: []load.Route{
			{Method: "GET", Path: "/counter/lookups/1", Weight: 4},
			{Method: "POST", Path: "/counter/orders", Weight: 1, BodyBytes: 200},
		},
	}
}

func firstTicket() ticket.Ticket {
	return ticket.Ticket{
		Number:  1,
		Comment: "counter service with three versions; all traffic on the first",
		Services: []revision.Service{{
			Name:         service,
			Preference:   revision.PreferDeadline,
			LatencyBound: revision.Duration(200 * time.Millisecond),
			Objective:    revision.Objective{Success: objectiveSuccess, Window: revision.Duration(objectiveWindow)},
		}},
		Versions: []revision.Version{
			{Service: service, Name: versionOld},
			{Service: service, Name: versionGood},
			{Service: service, Name: versionBad},
		},
		Splits: []revision.Split{{Service: service, Shares: []revision.Share{{Version: versionOld, Weight: revision.FullShare}}}},
		Routes: []revision.Route{
			{Name: "lookups", Service: service, Prefix: "/counter/lookups", Repeat: revision.RepeatIdempotent},
			{Name: "orders", Service: service, Prefix: "/counter/orders", Repeat: revision.RepeatNever},
		},
	}
}
