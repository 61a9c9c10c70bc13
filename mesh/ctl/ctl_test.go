package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/platform/operator"
)

const goodTicket = `{
	// Moves the desk to v2.
	"number": 17,
	"versions": [{"service": "desk", "name": "v2"}],
	"moves": [
		{"service": "desk", "to": "v2", "by": "2030-01-01T00:00:00Z"},
	],
}`

var accepted = ticket.Status{Number: 17, State: ticket.Accepted, Revision: 5}

// response is a response of a fake daemon.
type response struct {
	status int
	body   any
}

// daemon is a fake admin port. It returns the responses of each path in turn and repeats the
// last one.
type daemon struct {
	mu        sync.Mutex
	responses map[string][]response
	bodies    []string
	paths     []string
	// after, if set, is called after each response with the number of requests so far.
	after func(count int)
}

func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body)
	key := r.Method + " " + r.URL.RequestURI()
	d.bodies = append(d.bodies, body.String())
	d.paths = append(d.paths, key)
	responses := d.responses[key]
	if len(responses) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if len(responses) > 1 {
		d.responses[key] = responses[1:]
	}
	w.WriteHeader(responses[0].status)
	_ = json.NewEncoder(w).Encode(responses[0].body)
	if d.after != nil {
		d.after(len(d.paths))
	}
}

func (d *daemon) serve(t *testing.T) string {
	server := httptest.NewServer(d)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// daemonWith serves a fake daemon with the responses for one method and path.
func daemonWith(t *testing.T, key string, responses ...response) (*daemon, string) {
	d := &daemon{responses: map[string][]response{key: responses}}
	return d, d.serve(t)
}

// closedPort returns an address at which nothing listens.
func closedPort(t *testing.T) string {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	return listener.Addr().String()
}

// result is the exit code and the output of a command line.
type result struct {
	exit           subcommands.ExitStatus
	stdout, stderr string
}

func run(t *testing.T, stdin string, args ...string) result {
	return runWithin(t.Context(), stdin, args...)
}

func runWithin(ctx context.Context, stdin string, args ...string) result {
	var stdout, stderr bytes.Buffer
	now := func() time.Time { return time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC) }
	env := &Env{Stdin: strings.NewReader(stdin), Stdout: &stdout, Stderr: &stderr, Now: now, DecodeConfiguration: operator.DecodeConfiguration}
	exit := Run(ctx, env, args)
	return result{exit, stdout.String(), stderr.String()}
}

// fileWith writes the text to a temporary file and returns its name.
func fileWith(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "input.json")
	is.New(t).NoErr(os.WriteFile(name, []byte(text), 0o600))
	return name
}

const submitKey = "POST " + admin.PathTickets

func TestSubmit(t *testing.T) {
	refusal := admin.Error{Step: "submit ticket", Message: "refused", Reasons: []string{
		"moves[0].by: the deadline has passed",
		"version/desk/v2: superseded by ticket 18",
		"reason without a location",
	}}
	unavailable := admin.Error{Step: "submit ticket", Peer: "10.0.0.9:80", Message: "platform: unavailable"}
	cases := []struct {
		name     string
		response response
		exit     subcommands.ExitStatus
		output   []string
	}{
		{"accepted", response{200, accepted}, ExitSuccess, []string{"17", "accepted"}},
		{"refused", response{422, refusal}, ExitBadInput, []string{"input.json:6: moves[0].by: the deadline", "input.json:4: version/desk/v2: superseded", "  reason without a location"}},
		{"malformed", response{400, admin.Error{Step: "decode ticket", Message: "line 3: bad"}}, ExitBadInput, []string{"decode ticket: line 3: bad"}},
		{"platform unavailable", response{503, unavailable}, ExitUnreachable, []string{"submit ticket: platform: unavailable"}},
		{"outcome unknown", response{504, unavailable}, ExitUnreachable, []string{"outcome unknown: submit ticket"}},
		{"internal error of the daemon", response{500, unavailable}, ExitFailed, []string{"submit ticket"}},
		{"not a daemon", response{404, "no such page"}, ExitFailed, []string{"status 404"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, address := daemonWith(t, submitKey, c.response)
			got := run(t, "", "ticket", "submit", fileWith(t, goodTicket), "-admin", address)
			is.Equal(got.exit, c.exit)
			for _, want := range c.output {
				is.True(strings.Contains(got.stdout+got.stderr, want)) // the message
			}
			is.Equal(d.bodies, []string{goodTicket}) // sent once, unchanged
		})
	}
}

func TestBadTicketIsNotSent(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"syntax", "{\n", ":2: column 1"},
		{"unknown field", "{\n\"nummer\": 3}", ":2: nummer: unknown field"},
		{"wrong type", "{\n\"number\": \"x\"}", ":2: number: must be a whole number"},
		{"empty", `{"number": 3}`, ":1: ticket: changes nothing"},
		{"all problems", "{\"versions\": [\n{\"service\": \"A\", \"name\": \"v\"},\n{\"service\": \"a\", \"name\": \"V\"}]}", ":3: versions[1].name: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, address := daemonWith(t, submitKey, response{200, accepted})
			got := run(t, c.text, "ticket", "submit", "-admin", address, "-")
			is.Equal(got.exit, ExitBadInput)
			is.True(strings.Contains(got.stderr, "-"+c.want))
			is.Equal(len(d.paths), 0)
		})
	}
}

func TestNextDaemonIsTried(t *testing.T) {
	out := admin.Error{Step: "submit ticket", Message: "platform: unavailable"}
	_, unavailable := daemonWith(t, submitKey, response{503, out})
	_, unknown := daemonWith(t, submitKey, response{504, out})
	_, good := daemonWith(t, submitKey, response{200, accepted})
	_, refusing := daemonWith(t, submitKey, response{422, out})
	closed := closedPort(t)
	cases := []struct {
		name   string
		admins []string
		exit   subcommands.ExitStatus
		stderr string
	}{
		{"first that can be reached", []string{closed, unavailable, unknown, good}, ExitSuccess, ""},
		{"none can be reached", []string{closed, unavailable}, ExitUnreachable, "every address: daemon at"},
		{"unknown outcome is reported", []string{unknown, closed}, ExitUnreachable, "outcome unknown"},
		{"refusal is not retried", []string{refusing, good}, ExitBadInput, refusing},
		{"no address", []string{" "}, ExitBadInput, "names no daemon"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := run(t, goodTicket, "ticket", "submit", "-admin", strings.Join(c.admins, ","), "-")
			is.Equal(got.exit, c.exit)
			is.True(strings.Contains(got.stderr, c.stderr))
		})
	}
}

func TestShowAndList(t *testing.T) {
	is := is.New(t)
	d := &daemon{responses: map[string][]response{
		"GET /v1/tickets/17":       {{200, accepted}},
		"GET /v1/tickets/18":       {{404, admin.Error{Step: "show ticket", Message: "not found"}}},
		"GET /v1/tickets?after=0":  {{200, []ticket.Status{accepted}}},
		"GET /v1/tickets?after=17": {{200, []ticket.Status{{Number: 18, State: ticket.Refused}}}},
		"GET /v1/tickets?after=18": {{200, []ticket.Status{}}},
	}}
	address := d.serve(t)
	shown := run(t, "", "ticket", "show", "17", "-admin", address, "-o", "json")
	is.Equal(shown.exit, ExitSuccess)
	var status ticket.Status
	is.NoErr(json.Unmarshal([]byte(shown.stdout), &status))
	is.Equal(status, accepted)

	is.Equal(run(t, "", "ticket", "show", "-admin", address, "18").exit, ExitBadInput)

	listed := run(t, "", "ticket", "list", "-admin", address, "-o", "json")
	is.Equal(listed.exit, ExitSuccess)
	var statuses []ticket.Status
	is.NoErr(json.Unmarshal([]byte(listed.stdout), &statuses))
	is.Equal(len(statuses), 2) // both pages
}

func TestStatusTable(t *testing.T) {
	is := is.New(t)
	status := admin.Status{
		Host: "h1", Zone: "za", LatestRevision: 9, Applied: 8,
		Members:       []admin.MemberStatus{{Host: "h2", Zone: "zb", Status: "suspect", Revision: 7, Leaving: true}},
		Targets:       []admin.TargetStatus{{Host: "h2", Service: "desk", Version: "v1", Outstanding: 3, Slots: 12}},
		Rollouts:      []ticket.RolloutStatus{{Service: "desk", Step: "canary", Share: 150}},
		Dangling:      []string{"route/a"},
		LastRejection: "hash differs",
	}
	_, address := daemonWith(t, "GET "+admin.PathStatus, response{200, status})
	got := run(t, "", "status", "-admin", address)
	is.Equal(got.exit, ExitSuccess)
	for _, want := range []string{"h1", "unreachable", "suspect, leaving", "desk", "canary", "1.5%", "dangling: route/a", "last rejection: hash differs"} {
		is.True(strings.Contains(got.stdout, want))
	}
}

func TestBadCommandLines(t *testing.T) {
	cases := [][]string{
		{},
		{"tickets"},
		{"ticket"},
		{"ticket", "shew"},
		{"ticket", "show"},
		{"ticket", "show", "x"},
		{"ticket", "show", "0"},
		{"ticket", "show", "1", "2"},
		{"ticket", "list", "extra"},
		{"ticket", "hash-key", "key"},
		{"ticket", "wait", "1", "-interval", "0"},
		{"ticket", "submit", "absent.json"},
		{"status", "-o", "yaml"},
		{"check", "-kind", "novel", "a"},
	}
	for _, args := range cases {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			is := is.New(t)
			got := run(t, "", args...)
			is.Equal(got.exit, ExitBadInput)
			is.Equal(got.stdout, "")
			is.True(got.stderr != "")
		})
	}
}

func TestCheck(t *testing.T) {
	const goodSettings = `{"host": "a", "zone": "b", "region": "c", "platform": {"url": "http://127.0.0.1:1"},
		"entry": {"listen": "127.0.0.1:1"}, "peer": {"listen": "127.0.0.1:2"},
		"gossip": {"listen": "127.0.0.1:3"}, "admin": {"listen": "127.0.0.1:4"}}`
	const configuration = `{"Version":"0000000c","Services":[{"Name":"desk"}],"Routes":[
		{"Name":"r1","Host":"a.example","PathPrefix":"/x/","Kind":"safe","TimeoutMs":800,"Service":"desk","MaxAttempts":2}]}`
	cases := []struct {
		name, kind, text string
		exit             subcommands.ExitStatus
		want             string
	}{
		{"ticket", "auto", goodTicket, ExitSuccess, "valid ticket"},
		{"settings", "auto", goodSettings, ExitSuccess, "valid settings"},
		{"settings as a ticket", "ticket", goodSettings, ExitBadInput, "host: unknown field"},
		{"ticket as settings", "settings", goodTicket, ExitBadInput, "number: unknown field"},
		{"bad settings", "auto", `{}`, ExitBadInput, "-:1: host: is required"},
		{"syntax", "auto", `{"number"`, ExitBadInput, "-:1: "},
		{"configuration", "auto", configuration, ExitSuccess, "valid configuration"},
		{"route to an unknown service", "auto", strings.Replace(configuration, `"Service":"desk"`, `"Service":"studio"`, 1), ExitBadInput,
			`route/r1: service "studio" does not exist`},
		{"configuration without attempts", "configuration", strings.Replace(configuration, `,"MaxAttempts":2`, "", 1), ExitBadInput,
			`route "r1": 0 attempts`},
		{"truncated configuration", "configuration", configuration[:90], ExitBadInput, "-: unexpected end of JSON"},
		{"ticket of tenants", "auto", tenantTicket, ExitSuccess, "valid ticket"},
		{"ticket with a key in place of its hash", "auto", strings.Replace(tenantTicket, revision.HashKey("k1"), "sesame", 1), ExitBadInput,
			"-:1: tenant/north: keyHashes[0] is not a SHA-256 hash"},
		{"ticket with one key of two tenants", "auto", strings.Replace(tenantTicket, revision.HashKey("k2"), revision.HashKey("k1"), 1), ExitBadInput,
			`tenant/east: keyHashes[0] is already that of tenant "north"`},
		{"configuration with tenants", "auto", strings.Replace(configuration, `"Services"`, `"Tenants":[{"Name":"a","ApiKeys":["sesame"]}],"Services"`, 1), ExitSuccess,
			"valid configuration"},
		{"configuration with a repeated key", "auto", strings.Replace(configuration, `"Services"`, `"Tenants":[{"Name":"a","ApiKeys":["sesame","sesame"]}],"Services"`, 1), ExitBadInput,
			`tenant "a" (Tenants[0]): ApiKeys[1] is listed twice`},
		{"overdue", "auto", strings.Replace(goodTicket, "2030", "2020", 1), ExitBadInput, "-:6: moves[0].by: the deadline 2020-01-01T00:00:00Z has passed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := run(t, c.text, "check", "-kind", c.kind, "-")
			is.Equal(got.exit, c.exit)
			is.True(strings.Contains(got.stdout+got.stderr, c.want))
			is.True(!strings.Contains(got.stdout+got.stderr, "sesame")) // stands for an API key
		})
	}
}

// tenantTicket sets two tenants.
var tenantTicket = `{"number": 18, "tenants": [{"name": "north", "keyHashes": ["` + revision.HashKey("k1") + `"], "rate": 5, "burst": 10},
	{"name": "east", "keyHashes": ["` + revision.HashKey("k2") + `"]}]}`

// The hash must be the one by which daemons find the tenant, whatever line end an editor adds; a text that no
// request can carry must be rejected without being shown.
func TestHashKey(t *testing.T) {
	for input, wanted := range map[string]string{
		"sesame": "sesame", "sesame\n": "sesame", "sesame\r\n": "sesame",
		"": "", "\n": "", "sesame\n\n": "", " sesame": "", "sesame\nsesame\n": "", "s\u00e9same": "",
		strings.Repeat("s", revision.MaxKeyBytes) + "\r\n": strings.Repeat("s", revision.MaxKeyBytes),
		strings.Repeat("s", revision.MaxKeyBytes+1):        "",
	} {
		is := is.New(t)
		got := run(t, input, "ticket", "hash-key")
		is.True(!strings.Contains(got.stdout+got.stderr, "sesame"))
		if wanted == "" {
			is.Equal(got.exit, ExitBadInput)
			is.Equal(got.stdout, "")
			continue
		}
		is.Equal(got.exit, ExitSuccess)
		is.Equal(got.stdout, revision.HashKey(wanted)+"\n")
	}
}

func TestHelpGivesAnExample(t *testing.T) {
	for _, args := range [][]string{{"help", "status"}, {"help", "check"}, {"help", "ticket"}, {"ticket", "help", "submit"}, {"ticket", "help", "show"}, {"ticket", "help", "wait"}, {"ticket", "help", "list"}, {"ticket", "help", "hash-key"}} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			is := is.New(t)
			got := run(t, "", args...)
			is.Equal(got.exit, ExitSuccess)
			is.True(strings.Contains(got.stdout, "Example: sassafrasctl"))
		})
	}
}
