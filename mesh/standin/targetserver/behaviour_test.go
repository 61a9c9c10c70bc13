package targetserver

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
)

func TestEvaluate(t *testing.T) {
	const bad = http.StatusInternalServerError
	slow := revision.Duration(time.Second)
	cases := []struct {
		name      string
		behaviour Behaviour
		at        situation
		want      effect
	}{
		{"none", Behaviour{}, situation{}, effect{status: http.StatusOK}},
		{"from the start", Behaviour{FailStatus: bad}, situation{}, effect{status: bad}},
		{"before the time", Behaviour{After: slow, FailStatus: bad}, situation{age: time.Second - 1}, effect{status: http.StatusOK}},
		{"after the time", Behaviour{After: slow, FailStatus: bad}, situation{age: time.Second}, effect{status: bad}},
		{"at the load", Behaviour{AboveOutstanding: 3, AddedLatency: slow}, situation{outstanding: 3}, effect{status: http.StatusOK}},
		{"above the load", Behaviour{AboveOutstanding: 3, AddedLatency: slow}, situation{outstanding: 4}, effect{status: http.StatusOK, slow: time.Second}},
		{"another route", Behaviour{Prefix: "/a", FailStatus: bad}, situation{path: "/b/a"}, effect{status: http.StatusOK}},
		{"the route", Behaviour{Prefix: "/a", FailStatus: bad}, situation{path: "/a/b"}, effect{status: bad}},
		{"one condition of two", Behaviour{Prefix: "/a", After: slow, FailStatus: bad}, situation{path: "/a"}, effect{status: http.StatusOK}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(evaluate([]Behaviour{c.behaviour}, c.at), c.want)
		})
	}
}

func TestBehavioursAddUp(t *testing.T) {
	is := is.New(t)
	slow := revision.Duration(time.Second)
	got := evaluate([]Behaviour{{AddedLatency: slow}, {FailStatus: http.StatusBadGateway}, {AddedLatency: slow, FailStatus: http.StatusNotFound}}, situation{})
	is.Equal(got, effect{status: http.StatusBadGateway, slow: 2 * time.Second})
}

func TestReports(t *testing.T) {
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
		{"still lagging", ReportConfig{SampleInterval: revision.Duration(time.Second)}, time.Second - 1, idle, true},
		{"no longer lagging", ReportConfig{SampleInterval: revision.Duration(time.Second)}, time.Second, busy, false},
		{"claims idleness", ReportConfig{Override: OverrideIdle}, time.Second, idle, true},
		{"claims sickness", ReportConfig{Override: OverrideUnhealthy}, time.Second, LoadReport{Slots: 4, Outstanding: 4}, false},
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

func TestNewRefusesBadConfig(t *testing.T) {
	good := Config{Instance: "a", Service: "s", Version: "1"}
	cases := []struct {
		name   string
		change func(*Config)
	}{
		{"no instance", func(c *Config) { c.Instance = "" }},
		{"negative slots", func(c *Config) { c.Slots = -1 }},
		{"status out of range", func(c *Config) { c.Behaviours = []Behaviour{{FailStatus: 200}} }},
		{"negative delay", func(c *Config) { c.Behaviours = []Behaviour{{AddedLatency: -1}} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := good
			c.change(&config)
			_, err := New(config)
			is.New(t).True(err != nil)
		})
	}
}
