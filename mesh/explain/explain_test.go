package explain

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const entryLog = `{"level":"info","ts":100.5,"logger":"entry","msg":"call attempted again","host":"a1","request_id":"r1","peer":"b1","reason":"overloaded"}
{"level":"info","ts":100.75,"logger":"entry","msg":"call not answered","host":"a1","request_id":"r1","peer":"b2","outcome":"refused","reason":"leaving"}
{"level":"info","ts":100.6,"logger":"entry","msg":"call not answered","host":"a1","request_id":"r2","peer":"b1","reason":"overloaded"}
{"level":"info","ts":100.1,"logger":"membership","msg":"member changed","host":"a1","peer":"b2","leaving":true}
{"level":"info","ts":100.2,"logger":"membership","msg":"member changed","host":"a1","peer":"c9"}
panic: something else
`

// A collector put the daemon's name before each line.
const exitLog = `  0.71 b2 {"level":"info","ts":100.71,"msg":"daemon leaving","host":"b2"}
  9.00 b2 {"level":"info","ts":109,"msg":"daemon stopped","host":"b2"}
  9.00 b2 {"level":"info","ts":"late","msg":"no time"}
  9.00 b2 {"level":"in
`

func read(t *testing.T) *Logs {
	t.Helper()
	logs := &Logs{}
	for _, log := range []string{entryLog, exitLog} {
		is.New(t).NoErr(logs.Read(strings.NewReader(log)))
	}
	return logs
}

func messages(lines []Line) string {
	var all []string
	for _, line := range lines {
		all = append(all, line.Host+" "+line.Message)
	}
	return strings.Join(all, ", ")
}

func TestExplainFollowsARequest(t *testing.T) {
	is := is.New(t)
	logs := read(t)
	is.Equal(logs.Len(), 7)
	is.Equal(logs.Unrecognized(), 3)
	account, err := logs.Explain("r1", time.Second)
	is.NoErr(err)
	is.Equal(messages(account.Lines), "a1 call attempted again, a1 call not answered")
	is.Equal(messages(account.Surrounding), "a1 member changed, b2 daemon leaving") // not of other requests, hosts or times
	is.Equal(account.Completion().text("reason"), "leaving")
	is.Equal(account.Completion().At, time.Unix(100, 75e7).UTC())
}

func TestExplainUnknownRequest(t *testing.T) {
	_, err := read(t).Explain("r9", time.Second)
	is.New(t).True(errors.Is(err, ErrUnknownRequest))
}

func TestExplainWithoutAnEnd(t *testing.T) {
	is := is.New(t)
	logs := &Logs{}
	is.NoErr(logs.Read(strings.NewReader(strings.SplitAfter(entryLog, "\n")[0])))
	account, err := logs.Explain("r1", 0)
	is.NoErr(err)
	is.Equal(account.Completion(), nil)
}

func TestReadStopsAtAnEndlessLine(t *testing.T) {
	err := (&Logs{}).Read(strings.NewReader(strings.Repeat("x", maxLine+1)))
	is.New(t).True(err != nil)
}
