package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/integration/cluster"
)

// exitBadInput is the documented exit code of sassafrasctl for bad input.
const exitBadInput = 2

// TestBadInputChangesNothing checks that sassafrasctl refuses bad input as a whole, reports every reason
// with its line, and that the configuration and the stored tickets stay unchanged.
func TestBadInputChangesNothing(t *testing.T) {
	t.Parallel()
	s := newScenario(t, 1, 2, 2)
	s.mustSubmit(s.Daemons[0]) // ticket 2
	s.lastTicket.Store(19)
	s.mustSubmit(s.Daemons[0]) // ticket 20
	s.waitConverged(s.Daemons...)
	past := time.Now().Add(-time.Hour).UTC().Format(time.RFC3339)
	cases := []struct {
		name string
		args []string
		file string
		want []string
	}{
		{"malformed ticket", submitArgs, "{\n  \"number\": 9,\n  \"routes\": [\n", []string{"input.json:"}},
		{"unknown fields", submitArgs, "{\n  \"number\": 9,\n  \"rutes\": [],\n  // the comment counts as a line\n  \"mooves\": []\n}",
			[]string{"input.json:3: rutes: unknown field", "input.json:5: mooves: unknown field"}},
		{"wrong types", submitArgs, "{\n  \"number\": \"nine\",\n  \"routes\": 4\n}",
			[]string{"input.json:2: number:", "input.json:3: routes:"}},
		{"dangling references", submitArgs, `{
  "number": 9,
  "routes": [
    {"name": "a", "service": "absent", "prefix": "/a"},
    {"name": "b", "service": "missing", "prefix": "b"}
  ],
  "splits": [{"service": "counter", "shares": [{"version": "v9", "weight": 10}]}]
}`, []string{`route/a: service "absent" does not exist`, `route/b: service "missing" does not exist`, `route/b: prefix "b" does not start with /`,
			`split/counter: version "v9" of service "counter" does not exist`, "split/counter: weights sum to 10"}},
		{"number used with other content", submitArgs, "{\n  \"number\": 2,\n  \"services\": [{\"name\": \"other\"}]\n}",
			[]string{"ticket 2: registrar: ticket number was used with other content"}},
		{"lower number on a resource of a higher one", submitArgs, "{\n  \"number\": 9,\n  \"routes\": [{\"name\": \"page-4\", \"service\": \"counter\", \"prefix\": \"/x\"}]\n}",
			[]string{"route/page-4: superseded by ticket 20"}},
		{"deadline in the past", submitArgs, fmt.Sprintf("{\n  \"number\": 9,\n  \"moves\": [\n    {\"service\": \"counter\", \"to\": \"v2\",\n     \"by\": %q}\n  ]\n}", past),
			[]string{"input.json:5:", "deadline"}},
		{"malformed settings", checkArgs, "{\n  \"host\": \"a\",\n  \"zone\" \"b\"\n}", []string{"input.json:3:"}},
		{"settings with an unknown field", checkArgs, "{\n  \"host\": \"a\",\n  \"zone\": \"b\",\n  \"region\": \"c\",\n  \"entri\": {}\n}",
			[]string{"input.json:5: entri: unknown field", "entry.listen: is required"}},
		{"missing file", []string{"ticket", "submit", "/nonexistent"}, "", []string{"/nonexistent"}},
		{"unknown flag", []string{"ticket", "submit", "-x", "input"}, "", []string{"-x"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "input.json")
			is.New(t).NoErr(os.WriteFile(path, []byte(c.file), 0o600))
			args := append([]string{}, c.args...)
			if c.file != "" {
				args = append(args, path)
			}
			s.checkRejectedInput(t, s.Daemons[1].RunCommand(args...), c.want)
		})
	}
	s.checkInvariants()
}

var (
	submitArgs = []string{"ticket", "submit"}
	checkArgs  = []string{"check"}
)

// checkRejectedInput checks the exit code and the reasons of a command that refused its input, and that
// neither a revision nor a row of ticket 9 was stored.
func (s *scenario) checkRejectedInput(t *testing.T, command cluster.CommandResult, reasons []string) {
	t.Helper()
	is := is.New(t)
	if command.ExitCode != exitBadInput {
		t.Errorf("exit code %d, want %d", command.ExitCode, exitBadInput)
	}
	for _, reason := range reasons {
		if !strings.Contains(command.Stderr, reason) {
			t.Errorf("stderr doesn't contain the reason %q:\n%s", reason, command.Stderr)
		}
	}
	is.Equal(command.Stdout, "")
	head, err := s.PlatformClient().Get(t.Context(), "head")
	is.NoErr(err)
	is.True(strings.Contains(string(head.Value), fmt.Sprintf(`"revision":%d,`, s.lastAccepted.Load())))
	_, err = s.PlatformClient().Get(t.Context(), fmt.Sprintf("ticket/%020d", 9))
	is.True(err != nil) // no row of the refused ticket
	for _, daemon := range s.Daemons {
		status, err := daemon.Status()
		is.NoErr(err)
		is.Equal(status.Applied, s.lastAccepted.Load())
	}
}
