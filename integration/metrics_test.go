package integration

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/integration/cluster"
)

var metricName = regexp.MustCompile("(?m)^\\| `(sassafras_[a-z_]+)`")

// checkMetrics checks that the daemon serves every metric that docs/METRICS.md lists, and no other
// metric with the prefix sassafras_.
func checkMetrics(t *testing.T, daemon *cluster.Daemon) {
	t.Helper()
	is := is.New(t)
	page, err := daemon.Metrics()
	is.NoErr(err)
	docs, err := os.ReadFile("../docs/METRICS.md")
	is.NoErr(err)
	listed := make(map[string]bool)
	for _, match := range metricName.FindAllStringSubmatch(string(docs), -1) {
		listed[match[1]] = true
		if !strings.Contains(page, "# TYPE "+match[1]+" ") {
			t.Errorf("metric %s is listed in docs/METRICS.md and not served", match[1])
		}
	}
	for _, line := range strings.Split(page, "\n") {
		name, found := strings.CutPrefix(line, "# TYPE sassafras_")
		if found && !listed["sassafras_"+strings.Fields(name)[0]] {
			t.Errorf("metric sassafras_%s is served and not listed in docs/METRICS.md", name)
		}
	}
}
