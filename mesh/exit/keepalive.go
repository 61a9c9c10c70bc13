package exit

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleTimeoutFraction is the fraction of the idle timeout stated by a target for which a
// connection is reused. The remainder covers the transit time of a request, so that it does not
// arrive when the target closes the connection.
const idleTimeoutFraction = 0.7

// connIdleTimeout returns how long the connection of a response may stay idle: the fraction
// idleTimeoutFraction of the timeout parameter of its Keep-Alive field, at most targetIdleTimeout,
// or else DefaultIdleTimeout, which targetIdleTimeout does not bound. It returns 0 if the parameter
// is invalid.
func (c *Conventions) connIdleTimeout(response *http.Response) time.Duration {
	for parameter := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(strings.Trim(value, `"`), 10, 31)
		if err != nil {
			return 0
		}
		return min(time.Duration(float64(seconds)*idleTimeoutFraction*float64(time.Second)), targetIdleTimeout)
	}
	return c.DefaultIdleTimeout
}
