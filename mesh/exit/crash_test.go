package exit_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/exit"
	"sassafrasnotch.example/mesh/peer/peerpb"
)

// crashableTarget is a target that crashes like a process on a request for one path: its listener
// and all its connections close at once.
type crashableTarget struct {
	*httptest.Server
	executions atomic.Int64
}

func (fx *fixture) crashableTarget(crashPath string) *crashableTarget {
	c := &crashableTarget{}
	c.Server = fx.target(4, func(_ http.ResponseWriter, r *http.Request) {
		c.executions.Add(1)
		if r.URL.Path == crashPath {
			c.Listener.Close()
			c.CloseClientConnections()
		}
	})
	return c
}

// Guards against a request that crashes one target after another: after two crashes it is refused,
// while other requests are served.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	crashed := 0
	for range 10 {
		target := fx.crashableTarget("/poison")
		stream := fx.send(requestHead(http.MethodGet, "/poison", ""))
		frame := receive(t, stream)
		stream.Discard()
		if target.executions.Load() > 0 {
			crashed++
			is.True(frame.GetFailure().GetTargetCrashed())
			is.Equal(len(fx.exit.Targets()), 0)
			continue
		}
		is.Equal(frame.GetRefusal().GetReason(), peerpb.RefusalReason_REFUSAL_REASON_QUARANTINED)
		is.True(fx.roundTrip(requestHead(http.MethodGet, "/other", "")).GetAnswer() != nil)
	}
	is.Equal(crashed, 2)
	is.Equal(len(fx.exit.CrashFingerprints()), 2)
}

// Guards against the quarantine of a request that targets respond to between the crashes.
func TestAnsweredRequestIsNoLongerSuspect(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	for range 4 {
		fx.crashableTarget("/page")
		stream := fx.send(requestHead(http.MethodGet, "/page", ""))
		is.True(receive(t, stream).GetFailure() != nil)
		stream.Discard()
		fx.target(4, func(http.ResponseWriter, *http.Request) {})
		is.True(fx.roundTrip(requestHead(http.MethodGet, "/page", "")).GetAnswer() != nil)
	}
}

// Guards against a quarantine by a repeated report of the same crash.
func TestDuplicateCrashReportCountsOnce(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	fx.target(1, func(http.ResponseWriter, *http.Request) {})
	fp := exit.CrashFingerprint{Fingerprint: exit.Fingerprint(requestHead(http.MethodGet, "/", "")), Host: "h3", CrashNumber: 1}
	fx.exit.AddCrashFingerprint(fp)
	fx.exit.AddCrashFingerprint(fp)
	is.True(fx.roundTrip(requestHead(http.MethodGet, "/", "")).GetAnswer() != nil)
}

// Guards against the quarantine of a frequent request that is in flight while many targets crash at
// once for another reason.
func TestRecentlyAnsweredRequestIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	fx.target(1, func(http.ResponseWriter, *http.Request) {})
	is.True(fx.roundTrip(requestHead(http.MethodGet, "/", "")).GetAnswer() != nil)
	for crash := range uint64(5) {
		fx.exit.AddCrashFingerprint(exit.CrashFingerprint{
			Fingerprint: exit.Fingerprint(requestHead(http.MethodGet, "/", "")), Host: "h3", CrashNumber: crash,
		})
	}
	is.True(fx.roundTrip(requestHead(http.MethodGet, "/", "")).GetAnswer() != nil)
}
