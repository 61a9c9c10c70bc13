package page

import (
	"bytes"
	"encoding/base64"
	"html"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/burn"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/report"
)

var (
	testStart = time.Unix(1700000000, 0).UTC()
	objective = revision.Objective{Success: 9900, Window: revision.Duration(24 * time.Hour)}
)

func service(is *is.I, name string, series []burn.Point, counts burn.Spans) report.ServiceBurn {
	evaluated, ok := burn.Evaluate(objective, counts)
	is.True(ok)
	return report.ServiceBurn{Service: name, Objective: objective, Burn: evaluated, Series: series}
}

func point(i int) burn.Point {
	return burn.Point{
		At:       testStart.Add(time.Duration(i) * burn.SeriesInterval),
		Count:    burn.Count{Requests: 10, Failures: 1},
		Versions: map[string]uint64{"v1": 5, "v2": 5},
	}
}

func TestWrite(t *testing.T) {
	is := is.New(t)
	counts := burn.Spans{{Span: objective.Window, Count: burn.Count{Requests: 40, Failures: 4}}}
	system := report.SystemReport{
		At:      testStart.Add(time.Minute),
		Missing: []string{"h9"},
		Zones:   []report.ZoneCoverage{{Zone: "zone-b", Missing: []string{"h9"}}},
		Services: []report.ServiceBurn{
			service(is, "orders", []burn.Point{point(0), point(1), point(4)}, counts),
			service(is, "studio", nil, nil),
		},
		Tickets: []ticket.Status{{Number: 7, At: testStart, Rollouts: []ticket.RolloutStatus{{
			Service: "orders", From: "v1", To: "v2", Verdict: ticket.RolledBack, Reason: "worse than v1 <b>", At: testStart.Add(30 * time.Second),
		}}}},
	}
	var out bytes.Buffer
	is.NoErr(Write(&out, system))
	page := out.String()
	for _, wanted := range []string{"zone-b", "h9", "worse than v1 &lt;b&gt;", "No series: no calls in the last hour.", "no calls"} {
		if !strings.Contains(page, wanted) {
			t.Errorf("the page lacks %q", wanted)
		}
	}
	is.True(!regexp.MustCompile(`<script|<link|src="[^d]`).MatchString(page)) // no external resources
	image := regexp.MustCompile(`data:image/svg\+xml;base64,([A-Za-z0-9+/=]+)`).FindAllStringSubmatch(html.UnescapeString(page), -1)
	is.Equal(len(image), 1)
	drawing, err := base64.StdEncoding.DecodeString(image[0][1])
	is.NoErr(err)
	is.True(bytes.Contains(drawing, []byte("ticket 7: v1 to v2, taken-back")))
}

func TestSegmentsBreakAtMissingIntervals(t *testing.T) {
	is := is.New(t)
	split := segments([]burn.Point{point(0), point(1), point(4), point(6), point(7)})
	is.Equal(len(split), 3)
	is.Equal(len(split[0]), 2)
	is.Equal(len(split[1]), 1)
	is.Equal(len(segments(nil)), 0)
}

func TestRateWithoutRequests(t *testing.T) {
	is := is.New(t)
	zero := 0.0
	is.Equal(formatRate(nil), missing)
	is.Equal(formatRate(&zero), "0.00")
}
