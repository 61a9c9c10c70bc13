package targetserver

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
)

func TestEvaluate(t *testing.T) {
	const failure = http.StatusInternalServerError
	delay := revision.Duration(time.Second)
	cases := []struct {
		name      string
		behaviour Behaviour
		at        requestState
		want      effect
	}{
		{"none", Behaviour{}, requestState{}, effect{status: http.StatusOK}},
		{"unconditional failure", Behaviour{FailStatus: failure}, requestState{}, effect{status: failure}},
		{"before the delay has passed", Behaviour{After: delay, FailStatus: failure}, requestState{age: time.Second - 1}, effect{status: http.StatusOK}},
		{"after the delay has passed", Behaviour{After: delay, FailStatus: failure}, requestState{age: time.Second}, effect{status: failure}},
		{"at the bound of outstanding requests", Behaviour{AboveOutstanding: 3, AddedLatency: delay}, requestState{outstanding: 3}, effect{status: http.StatusOK}},
		{"above the bound of outstanding requests", Behaviour{AboveOutstanding: 3, AddedLatency: delay}, requestState{outstanding: 4}, effect{status: http.StatusOK, addedLatency: time.Second}},
		{"prefix does not match", Behaviour{Prefix: "/a", FailStatus: failure}, requestState{path: "/b/a"}, effect{status: http.StatusOK}},
		{"prefix matches", Behaviour{Prefix: "/a", FailStatus: failure}, requestState{path: "/a/b"}, effect{status: failure}},
		{"one of two conditions holds", Behaviour{Prefix: "/a", After: delay, FailStatus: failure}, requestState{path: "/a"}, effect{status: http.StatusOK}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(evaluate([]Behaviour{c.behaviour}, c.at), c.want)
		})
	}
}

func TestBehavioursAreCombined(t *testing.T) {
	is := is.New(t)
	delay := revision.Duration(time.Second)
	got := evaluate([]Behaviour{{AddedLatency: delay}, {FailStatus: http.StatusBadGateway}, {AddedLatency: delay, FailStatus: http.StatusNotFound}}, requestState{})
	is.Equal(got, effect{status: http.StatusBadGateway, addedLatency: 2 * time.Second})
}

func TestReportsAreSampledAndOverridden(t *testing.T) {
	start := time.Unix(1000, 0)
	idle, busy := LoadReport{Slots: 4}, LoadReport{Slots: 4, Outstanding: 3}
	cases := []struct {
		name    string
		config  ReportConfig
		after   time.Duration
		load    LoadReport
		healthy bool
	}{
		{"current", ReportConfig{}, 0, busy, false},
		{"within the sample interval", ReportConfig{SampleInterval: revision.Duration(time.Second)}, time.Second - 1, idle, true},
		{"after the sample interval", ReportConfig{SampleInterval: revision.Duration(time.Second)}, time.Second, busy, false},
		{"reports an idle target", ReportConfig{Override: OverrideIdle}, time.Second, idle, true},
		{"reports an unhealthy target", ReportConfig{Override: OverrideUnhealthy}, time.Second, LoadReport{Slots: 4, Outstanding: 4}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := reporter{config: c.config}
			r.sample(start, idle, true)
			load, healthy := r.sample(start.Add(c.after), busy, false)
			is.Equal(load, c.load)
			is.Equal(healthy, c.healthy)
		})
	}
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	valid := Config{Instance: "a", Service: "s", Version: "1"}
	cases := []struct {
		name   string
		change func(*Config)
	}{
		{"no instance", func(c *Config) { c.Instance = "" }},
		{"negative slots", func(c *Config) { c.Slots = -1 }},
		{"status out of range", func(c *Config) { c.Behaviours = []Behaviour{{FailStatus: 200}} }},
		{"negative latency", func(c *Config) { c.Behaviours = []Behaviour{{AddedLatency: -1}} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := valid
			c.change(&config)
			_, err := New(config)
			is.New(t).True(err != nil)
		})
	}
}
