package explain

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// entryLog has lines of two requests, changes of two members and a line that no daemon wrote.
const entryLog = `{"level":"info","ts":100.5,"logger":"entry","msg":"call attempted again","host":"a1","request_id":"r1","peer":"b1","reason":"overloaded"}
{"level":"info","ts":100.75,"logger":"entry","msg":"call not answered","host":"a1","request_id":"r1","peer":"b2","outcome":"refused","reason":"leaving"}
{"level":"info","ts":100.6,"logger":"entry","msg":"call not answered","host":"a1","request_id":"r2","peer":"b1","reason":"overloaded"}
{"level":"info","ts":100.1,"logger":"membership","msg":"member changed","host":"a1","peer":"b2","leaving":true}
{"level":"info","ts":100.2,"logger":"membership","msg":"member changed","host":"a1","peer":"c9"}
panic: something else
`

// exitLog has the prefix of a log collector, a time and the name of the daemon, before each line.
const exitLog = `  0.71 b2 {"level":"info","ts":100.71,"msg":"daemon leaving","host":"b2"}
  9.00 b2 {"level":"info","ts":109,"msg":"daemon stopped","host":"b2"}
  9.00 b2 {"level":"info","ts":"late","msg":"no time"}
  9.00 b2 {"level":"in
`

// readLogs reads both logs.
func readLogs(t *testing.T) *Logs {
	t.Helper()
	logs := &Logs{}
	for _, log := range []string{entryLog, exitLog} {
		is.New(t).NoErr(logs.Read(strings.NewReader(log)))
	}
	return logs
}

// messages joins the hosts and messages of the lines.
func messages(lines []Line) string {
	var all []string
	for _, line := range lines {
		all = append(all, line.Host+" "+line.Message)
	}
	return strings.Join(all, ", ")
}

func TestExplainFollowsARequest(t *testing.T) {
	is := is.New(t)
	logs := readLogs(t)
	is.Equal(logs.Len(), 7)
	is.Equal(logs.Unrecognized(), 3)
	trace, err := logs.Explain("r1", time.Second)
	is.NoErr(err)
	is.Equal(messages(trace.Lines), "a1 call attempted again, a1 call not answered")
	is.Equal(messages(trace.Surrounding), "a1 member changed, b2 daemon leaving") // no lines of other requests, hosts or times
	is.Equal(trace.Completion().stringField("reason"), "leaving")
	is.Equal(trace.Completion().At, time.Unix(100, 75e7).UTC())
}

func TestExplainUnknownRequest(t *testing.T) {
	_, err := readLogs(t).Explain("r9", time.Second)
	is.New(t).True(errors.Is(err, ErrUnknownRequest))
}

// A trace has no completion if the logs do not contain the end of the request.
func TestExplainWithoutCompletion(t *testing.T) {
	is := is.New(t)
	logs := &Logs{}
	is.NoErr(logs.Read(strings.NewReader(strings.SplitAfter(entryLog, "\n")[0])))
	trace, err := logs.Explain("r1", 0)
	is.NoErr(err)
	is.Equal(trace.Completion(), nil)
}

func TestReadRejectsATooLongLine(t *testing.T) {
	err := (&Logs{}).Read(strings.NewReader(strings.Repeat("x", maxLineBytes+1)))
	is.New(t).True(err != nil)
}
