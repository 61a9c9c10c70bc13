package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/google/subcommands"
)

func TestExplain(t *testing.T) {
	name := filepath.Join(t.TempDir(), "a1.log")
	log := `{"ts":100.5,"msg":"call not answered","host":"a1","request_id":"r1","peer":"b1","outcome":"refused","status":503,"reason":"overloaded","step":"await answer","queued":16}
{"ts":120.5,"msg":"call not answered","host":"a1","request_id":"r3","peer":"b1","outcome":"refused","status":503,"reason":"dependency","nested":true}
{"ts":100.6,"msg":"target removed","host":"a1","instance":"i-1"}
not a line of a daemon
`
	is.New(t).NoErr(os.WriteFile(name, []byte(log), 0o600))
	cases := []struct {
		name      string
		arguments []string
		exit      subcommands.ExitStatus
		out, err  []string // expected parts of the output
	}{
		{"known", []string{"r1", name}, ExitSuccess, []string{
			"queued=16", "AROUND IT", "instance=i-1",
			"request r1: call not answered at a1: outcome refused, status 503, reason overloaded, step await answer, peer b1",
		}, []string{"a1.log: skipped 1 lines that are not from a daemon's log"}},
		{"no time around it", []string{"-around", "0s", "r1", name}, ExitSuccess, []string{"queued=16"}, nil},
		{"standard input", []string{"r1", "-"}, ExitSuccess, []string{"queued=16"}, nil},
		{"cause elsewhere", []string{"r3", name}, ExitSuccess, []string{"look at those services", "a target made this request"}, nil},
		{"unknown", []string{"r2", name}, ExitFailed, nil, []string{"no line names the request: r2 in 3 lines"}},
		{"no file", []string{"r1"}, ExitBadInput, nil, []string{"needs a request id and at least one file"}},
		{"absent file", []string{"r1", name + ".gz"}, ExitBadInput, nil, []string{"a1.log.gz"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			env := &Env{Stdin: strings.NewReader(log), Stdout: &out, Stderr: &errs}
			is.Equal(Run(context.Background(), env, append([]string{"explain"}, c.arguments...)), c.exit)
			for _, part := range c.out {
				is.True(strings.Contains(out.String(), part)) // part
			}
			for _, part := range c.err {
				is.True(strings.Contains(errs.String(), part)) // part
			}
			is.True(c.name != "no time around it" || !strings.Contains(out.String(), "AROUND"))
		})
	}
}
