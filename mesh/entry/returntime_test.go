package entry

import (
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

// Guards against one Retry-After for all refused callers, and against times that those with little
// time left do not wait for.
func TestRetryAfterIsSpreadAndBoundedByTheCallersTime(t *testing.T) {
	is := is.New(t)
	conventions := DefaultConventions
	conventions.FractionalRetryAfter = true
	f := newFixture(t, testSettings(), nil, map[string]hostHandler{"a0": refusesWith(peerpb.RefusalReason_REFUSAL_REASON_OVERLOADED)})
	f.entry.deps.Conventions = &conventions
	f.entry.SetMembers(nil) // refused at once, with no time known
	seen := make(map[string]bool)
	for range 20 {
		request := httptest.NewRequest("GET", "/catalog", nil)
		request.Header.Set(HeaderDeadline, "900")
		text := f.serveRecorded(request).Header().Get("Retry-After")
		after, err := strconv.ParseFloat(text, 64)
		is.NoErr(err)
		is.True(after <= 0.3)
		seen[text] = true
	}
	is.True(len(seen) > 5)
}
