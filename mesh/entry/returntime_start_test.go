package entry

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// Guards against callers who use up their returns while a daemon starts: one without a configuration must not
// ask them back before it can have one.
func TestRefusalOfAStartingDaemonAsksCallersBackLater(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, ""), nil))
	fractional := DefaultConventions
	fractional.FractionalRetryAfter = true
	f.entry.deps.Conventions = &fractional
	f.configuration.Store(nil)
	response, err := f.client.Get(f.url + "/order")
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after >= minStartingRetryAfter.Seconds()/2)
	is.True(after <= minStartingRetryAfter.Seconds()*3/2)
}
