// Command crash runs the cases with a request that crashes workers. Each case starts daemons as separate processes, with
// a store, workers and clients of its own in this process, and checks one rule. The fleet, the store and the clients are
// those of review/standin-2.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Exit codes: the rule held, was broken, or the case could not run.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// testCase returns what broke the rule, or "" if it held. It reports that it can't run with fail.
type testCase func(r *run) string

var cases = map[string]testCase{
	"same-path":  samePath,
	"quarantine": quarantineEnd,
	"fresh-keys": freshKeys,
	"restarts":   restarts,
}

// run is one run of a case.
type run struct {
	trouble bool
	started time.Time

	over atomic.Bool // the case has ended

	mu     sync.Mutex
	record *os.File
	fleet  *fleet
}

// failure is the panic of a case that can't run.
type failure struct{ reason string }

// fail ends the case: it could not run.
func (r *run) fail(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

// log writes a line to the record.
func (r *run) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: crash CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) (code int) {
	test := cases[name]
	if test == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	r.log("case %s, disruption %v", name, r.trouble)
	defer func() {
		r.over.Store(true)
		if r.fleet != nil {
			r.fleet.stop()
		}
		if cause := recover(); cause != nil {
			reason := fmt.Sprint(cause)
			if f, ok := cause.(failure); ok {
				reason = f.reason
			}
			r.log("NOT RUN: %s", reason)
			fmt.Println("NOT RUN:", reason)
			code = exitNotRun
		}
	}()
	if broken := test(r); broken != "" {
		r.log("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return exitBroken
	}
	r.log("HELD")
	fmt.Println("HELD")
	return exitHeld
}
