package jsonc

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
)

type inner struct {
	Count uint8             `json:"count"`
	Wait  revision.Duration `json:"wait,omitempty"`
}

type sample struct {
	Name  string           `json:"name"`
	On    bool             `json:"on"`
	Ratio float64          `json:"ratio"`
	Inner inner            `json:"inner"`
	Items []inner          `json:"items"`
	Table map[string]inner `json:"table"`
	Maybe *inner           `json:"maybe"`
	By    time.Time        `json:"by"`
	Data  []byte           `json:"data"`
	Skip  string           `json:"-"`
}

func TestDecode(t *testing.T) {
	is := is.New(t)
	got := sample{Name: "kept", Inner: inner{Count: 7}}
	is.NoErr(Decode([]byte(`{
		// a comment
		"on": true, "ratio": 0.5,
		"inner": {"wait": "250ms"}, /* another */
		"items": [{"count": 1}, {"count": 2},],
		"table": {"a": {"count": 3}},
		"maybe": {"count": 4},
		"by": "2026-12-04T05:00:00Z",
		"data": "AQI=",
	}`), &got))
	is.Equal(got, sample{
		Name:  "kept",
		On:    true,
		Ratio: 0.5,
		Inner: inner{Count: 7, Wait: revision.Duration(250 * time.Millisecond)},
		Items: []inner{{Count: 1}, {Count: 2}},
		Table: map[string]inner{"a": {Count: 3}},
		Maybe: &inner{Count: 4},
		By:    time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC),
		Data:  []byte{1, 2},
	})
}

func TestProblems(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"syntax error", "{\n\"name\": }", []string{`line 2: column 9: invalid character '}' at start of value`}},
		{"trailing data", "{}\n{}", []string{`line 2: column 1: invalid character '{' after top-level value`}},
		{"not an object", "[]", []string{"line 1: must be an object"}},
		{"unknown field", "{\n\n\"nam\": 1}", []string{"line 3: nam: unknown field; allowed: name, on, ratio, inner, items, table, maybe, by, data"}},
		{"name in another case", `{"Name": "a"}`, []string{"line 1: Name: unknown field; allowed: name, on, ratio, inner, items, table, maybe, by, data"}},
		{"repeated field", "{\"name\": \"a\",\n\"name\": \"b\"}", []string{"line 2: name: repeated field; it is first set on line 1"}},
		{"wrong types", "{\"name\": 1,\n\"on\": \"yes\",\n\"ratio\": \"1\"}", []string{
			"line 1: name: must be a string",
			"line 2: on: must be true or false",
			"line 3: ratio: must be a number"}},
		{"number out of range", `{"inner": {"count": 256}}`, []string{"line 1: inner.count: must be a whole number, not negative, that fits 8 bits"}},
		{"field of a list element", "{\"items\": [\n{\"count\": 1},\n{\"wait\": 5}]}", []string{
			`line 3: items[1].wait: a duration is a string such as "250ms"`}},
		{"field of a map value", `{"table": {"a": {"x": 1}}}`, []string{"line 1: table.a.x: unknown field; allowed: count, wait"}},
		{"null", `{"items": null, "maybe": null}`, []string{"line 1: items: must not be null"}},
		{"object instead of a list", `{"items": {}}`, []string{"line 1: items: must be a list"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var into sample
			err := Decode([]byte(c.text), &into)
			var invalid *Error
			is.True(errors.As(err, &invalid))
			var got []string
			for _, p := range invalid.Problems {
				got = append(got, p.String())
			}
			is.Equal(got, c.want)
		})
	}
}

func TestFieldsWithoutAProblemAreStored(t *testing.T) {
	is := is.New(t)
	var into sample
	is.True(Decode([]byte(`{"on": 1, "name": "a"}`), &into) != nil)
	is.Equal(into.Name, "a")
}

func TestLine(t *testing.T) {
	is := is.New(t)
	document, err := Parse([]byte("{\n\"inner\": {\n\"count\": 1},\n\"items\": [\n{}]}"))
	is.NoErr(err)
	is.NoErr(document.Decode(new(sample)))
	for path, want := range map[string]int{"inner": 2, "inner.count": 3, "inner.wait": 2, "items[0].count": 5, "items[0]": 5, "by": 1} {
		is.Equal(document.Line(path), want)
	}
}

func TestErrorNamesTheFile(t *testing.T) {
	err := &Error{File: "a.json", Problems: []Problem{{Line: 3, Path: "x", Message: "bad"}, {Line: 4, Message: "worse"}}}
	is.New(t).Equal(err.Error(), "a.json:3: x: bad\na.json:4: worse")
}

func TestHasField(t *testing.T) {
	is := is.New(t)
	document, err := Parse([]byte(`{"items": [{}], "inner": {"count": 1}}`))
	is.NoErr(err)
	for path, want := range map[string]bool{"items[0]": true, "inner.count": true, "inner.wait": false, "items[1]": false, "": false} {
		is.Equal(document.HasField(path), want)
	}
}
