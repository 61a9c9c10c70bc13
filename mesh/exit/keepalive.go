package exit

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepPart is the part of a target's idle time for which a connection is used
// again. The rest covers the way of a request, so that it does not meet the close.
const idleTimeoutFraction = 0.7

// keepTime returns how long the connection of a response may stay idle.
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
