package integration

import (
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/integration/cluster"
)

var nestedCalls = regexp.MustCompile(`(?m)^sassafras_calls_nested_total(?:{[^}]*})? (\d+)`)

// nestedCalls returns the number of nested requests that the daemon's entry has recognized.
func (p *platformCluster) nestedCalls(d *cluster.Daemon) int {
	is := is.New(p.t)
	response, err := p.client.Get("http://" + d.Settings.Admin.Listen + "/metrics")
	is.NoErr(err)
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	is.NoErr(err)
	found := nestedCalls.FindSubmatch(page)
	if found == nil {
		return 0
	}
	count, err := strconv.Atoi(string(found[1]))
	is.NoErr(err)
	return count
}

// Guards against an origin that is lost on the way from the entry to the exit of real daemons: no nested
// request would be recognized. Requests on the safe route begin at the hosts of one service only, those
// on the unsafe route at all hosts.
func TestNestedRequestsAreRecognizedOnThePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatformCluster(t)
	studio, desk := p.Daemons[1], p.Daemons[0]
	is.Equal(studio.Settings.Service, "studio")
	is.Equal(desk.Settings.Service, "desk")
	p.eventually(applyWithin*10, "nested requests are recognized", func() error {
		for range 20 {
			is.True(p.send(studio, http.MethodGet, "/safe/1", "").complete())
			is.True(p.send(studio, http.MethodPost, "/unsafe/1", "swan").complete())
			is.True(p.send(desk, http.MethodPost, "/unsafe/1", "swan").complete())
		}
		if p.nestedCalls(studio) == 0 {
			return errors.New("none is")
		}
		return nil
	})
	is.Equal(p.nestedCalls(desk), 0)
}
