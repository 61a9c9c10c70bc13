package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"

	"sassafrasnotch.example/coord/balance"
	"sassafrasnotch.example/coord/gossip"
	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/settings"
)

var errDown = errors.New("connection refused")

// pipeStream is a Stream over an in-memory connection.
type pipeStream struct {
	net.Conn
	reader    *bufio.Reader
	released  atomic.Bool
	discarded atomic.Bool
	confirms  bool // see Stream.ConfirmsDispatch
}

func newPipeStream(conn net.Conn) *pipeStream {
	return &pipeStream{Conn: conn, reader: bufio.NewReader(conn)}
}

func (s *pipeStream) Send(frame *peerpb.CallFrame) error {
	_, err := protodelim.MarshalTo(s.Conn, frame)
	return err
}

func (s *pipeStream) Receive(frame *peerpb.CallFrame) error {
	return protodelim.UnmarshalFrom(s.reader, frame)
}

func (s *pipeStream) KeepThroughSilence(func()) {}

func (s *pipeStream) ConfirmsDispatch() bool { return s.confirms }

func (s *pipeStream) Release() {
	s.released.Store(true)
	_ = s.Close()
}

func (s *pipeStream) Discard() {
	s.discarded.Store(true)
	_ = s.Close()
}

// hostHandler is how a fake host handles a request; head comes from the first frame.
type hostHandler func(stream *pipeStream, head *peerpb.CallHead, attempt uint64)

// fakeHosts is a Dialer whose hosts run in the test process.
type fakeHosts struct {
	mutex   sync.Mutex
	hosts   map[string]hostHandler // nil for an unreachable host
	confirm bool                   // the hosts honour CallHead.Confirm
	heads   []*peerpb.CallHead
	streams []*pipeStream
	running sync.WaitGroup
}

func (f *fakeHosts) OpenStream(_ context.Context, host, _ string) (Stream, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	serve := f.hosts[host]
	if serve == nil {
		return nil, errDown
	}
	near, far := net.Pipe()
	stream := newPipeStream(near)
	stream.confirms = f.confirm
	f.streams = append(f.streams, stream)
	f.running.Go(func() { f.serve(newPipeStream(far), serve) })
	return stream, nil
}

func (f *fakeHosts) serve(stream *pipeStream, serve hostHandler) {
	defer func() { _ = stream.Close() }()
	frame := new(peerpb.CallFrame)
	if stream.Receive(frame) != nil {
		return
	}
	f.mutex.Lock()
	f.heads = append(f.heads, frame.GetHead())
	f.mutex.Unlock()
	serve(stream, frame.GetHead(), frame.GetAttempt())
}

// dispatched returns the number of requests that reached a host.
func (f *fakeHosts) dispatched() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.heads)
}

// allDiscarded reports whether the entry has discarded every stream that it opened.
func (f *fakeHosts) allDiscarded() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, stream := range f.streams {
		if !stream.discarded.Load() {
			return false
		}
	}
	return true
}

func (f *fakeHosts) set(host string, serve hostHandler) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.hosts[host] = serve
}

func responseFrame(attempt uint64, head *peerpb.AnswerHead) *peerpb.CallFrame {
	return &peerpb.CallFrame{Attempt: attempt, Body: &peerpb.CallFrame_Answer{Answer: head}}
}

func dataFrame(attempt uint64, data string) *peerpb.CallFrame {
	return &peerpb.CallFrame{Attempt: attempt, Body: &peerpb.CallFrame_Data{Data: []byte(data)}}
}

func endFrame(attempt uint64) *peerpb.CallFrame {
	return &peerpb.CallFrame{Attempt: attempt, Body: &peerpb.CallFrame_End{End: &peerpb.CallEnd{}}}
}

// respondsWith returns a host that sends a complete response at once.
func respondsWith(status int32, body string) hostHandler {
	return func(stream *pipeStream, _ *peerpb.CallHead, attempt uint64) {
		_ = stream.Send(responseFrame(attempt, &peerpb.AnswerHead{
			Status:        status,
			Headers:       []*peerpb.Header{{Name: "Content-Type", Value: "text/plain"}},
			ContentLength: int64(len(body)),
			InlineBody:    []byte(body),
			Complete:      true,
		}))
	}
}

// refusesWith returns a host that refuses each request with the reason.
func refusesWith(reason peerpb.RefusalReason) hostHandler {
	return func(stream *pipeStream, _ *peerpb.CallHead, attempt uint64) {
		_ = stream.Send(&peerpb.CallFrame{Attempt: attempt, Body: &peerpb.CallFrame_Refusal{
			Refusal: &peerpb.Refusal{Reason: reason, Detail: "no", RetryAfterMillis: 2500},
		}})
	}
}

// fails returns a host whose target accepted the request and sent no response.
func fails(crashed bool) hostHandler {
	return func(stream *pipeStream, _ *peerpb.CallHead, attempt uint64) {
		_ = stream.Send(&peerpb.CallFrame{Attempt: attempt, Body: &peerpb.CallFrame_Failure{
			Failure: &peerpb.Failure{Step: "dispatch", Detail: "reset", TargetCrashed: crashed},
		}})
	}
}

// sendsFrames returns a host that sends the frames and then closes the stream.
func sendsFrames(frames func(attempt uint64) []*peerpb.CallFrame) hostHandler {
	return func(stream *pipeStream, _ *peerpb.CallHead, attempt uint64) {
		for _, frame := range frames(attempt) {
			_ = stream.Send(frame)
		}
	}
}

// neverResponds reads the request and sends nothing until the stream is closed.
func neverResponds(stream *pipeStream, _ *peerpb.CallHead, _ uint64) {
	_, _ = io.Copy(io.Discard, stream.Conn)
}

// closesStream reads the request and closes the stream.
func closesStream(*pipeStream, *peerpb.CallHead, uint64) {}

// echoesBody streams the request's body back.
func echoesBody(stream *pipeStream, head *peerpb.CallHead, attempt uint64) {
	_ = stream.Send(responseFrame(attempt, &peerpb.AnswerHead{Status: 200, ContentLength: -1, InlineBody: head.GetInlineBody()}))
	frame := new(peerpb.CallFrame)
	for !head.GetComplete() {
		if stream.Receive(frame) != nil {
			return
		}
		if frame.GetData() == nil {
			break
		}
		_ = stream.Send(frame)
	}
	_ = stream.Send(endFrame(attempt))
}

// fixedConfiguration is a Configuration with a snapshot that the test sets.
type fixedConfiguration struct {
	atomic.Pointer[revision.Snapshot]
}

func (f *fixedConfiguration) Snapshot() *revision.Snapshot { return f.Load() }

// applyChange returns the snapshot after a change that puts the resources.
func applyChange(t testing.TB, base *revision.Snapshot, resources ...revision.Resource) *revision.Snapshot {
	t.Helper()
	next, err := base.Preview(&revision.Change{Revision: base.Revision() + 1, Put: resources})
	is.New(t).NoErr(err)
	return next
}

// newOrdersSnapshot returns a snapshot with the service orders, its versions v1 and v2, all
// of its share at v1, and one route for each kind of repeat.
func newOrdersSnapshot(t testing.TB) *revision.Snapshot {
	route := func(name string, repeat revision.Repeat) revision.Resource {
		return revision.Resource{Route: &revision.Route{Name: name, Service: "orders", Prefix: "/" + name, Repeat: repeat}}
	}
	return applyChange(t, revision.Empty(),
		revision.Resource{Service: &revision.Service{Name: "orders"}},
		revision.Resource{Version: &revision.Version{Service: "orders", Name: "v1"}},
		revision.Resource{Version: &revision.Version{Service: "orders", Name: "v2"}},
		revision.Resource{Split: &revision.Split{Service: "orders", Shares: []revision.Share{{Version: "v1", Weight: revision.FullShare}}}},
		route("catalog", revision.RepeatIdempotent),
		route("order", revision.RepeatNever),
		route("keyed", revision.RepeatKeyed))
}

// hostMember returns a member with a ready target of each version.
func hostMember(host, zone string, versions ...string) gossip.Member {
	record := gossip.Record{Host: host, Zone: zone, Region: "west", PeerAddress: host + ":1"}
	for _, version := range versions {
		record.Targets = append(record.Targets, gossip.Target{Service: "orders", Version: version, Slots: 4, State: gossip.TargetReady})
	}
	return gossip.Member{Record: record}
}

// fixture is an entry with fake hosts, served on loopback.
type fixture struct {
	entry         *Entry
	server        *Server
	hosts         *fakeHosts
	configuration *fixedConfiguration
	attempts      *attemptLog
	url           string
	client        *http.Client
}

// attemptLog records the observed attempts.
type attemptLog struct {
	mutex sync.Mutex
	all   []Attempt
}

func (l *attemptLog) ObserveAttempt(attempt Attempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.all = append(l.all, attempt)
}

// testSettings returns settings with small limits.
func testSettings() settings.Entry {
	return settings.Entry{
		Retry:          settings.Default().Entry.Retry,
		DefaultTimeout: revision.Duration(20 * time.Second),
		MaxHeaderBytes: 4096,
		MaxBodyBytes:   1 << 20,
		MaxConnections: 100,
	}
}

// newFixture serves an entry at host a0 whose members are the hosts; a nil handler makes a
// host unreachable.
func newFixture(t testing.TB, limits settings.Entry, claims Claims, hosts map[string]hostHandler) *fixture {
	f := &fixture{
		hosts:         &fakeHosts{hosts: hosts},
		configuration: &fixedConfiguration{},
		attempts:      &attemptLog{},
	}
	f.configuration.Store(newOrdersSnapshot(t))
	f.entry = New(limits, balance.Locality{Host: "a0", Zone: "a", Region: "west"}, Deps{
		Configuration:   f.configuration,
		Dialer:          f.hosts,
		Claims:          claims,
		AttemptObserver: f.attempts,
	})
	var members []gossip.Member
	for host := range hosts {
		members = append(members, hostMember(host, host[:1], "v1"))
	}
	f.entry.SetMembers(members)
	f.serve(t, limits)
	return f
}

func (f *fixture) serve(t testing.TB, limits settings.Entry) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	f.server = NewServer(limits, f.entry, zap.NewNop())
	served := make(chan error, 1)
	go func() { served <- f.server.Serve(listener) }()
	f.url = "http://" + listener.Addr().String()
	f.client = &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		f.stop(t)
		is.New(t).NoErr(<-served)
	})
}

// stop shuts the server down after the requests in flight.
func (f *fixture) stop(t testing.TB) {
	f.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	is.New(t).NoErr(f.server.Shutdown(ctx))
	f.hosts.running.Wait()
}

// serveRecorded passes a request to the entry without a connection.
func (f *fixture) serveRecorded(request *http.Request) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	f.entry.ServeHTTP(recorder, request)
	return recorder
}

// reportsWholeBody returns a host that reads a body and reports whether its end arrived.
func reportsWholeBody(whole chan<- bool) hostHandler {
	return func(stream *pipeStream, _ *peerpb.CallHead, _ uint64) {
		frame := new(peerpb.CallFrame)
		for stream.Receive(frame) == nil {
			if frame.GetEnd() != nil {
				whole <- true
				return
			}
		}
		whole <- false
	}
}

// waitFor waits until the condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not hold within 20 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// twoHosts returns two hosts, of which the nearer one, a0, is tried first.
func twoHosts(first, second hostHandler) map[string]hostHandler {
	return map[string]hostHandler{"a0": first, "b0": second}
}
