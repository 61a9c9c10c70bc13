package targetserver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/mesh/admin"
)

const testTimeout = 30 * time.Second

func start(t *testing.T, config Config) *Server {
	is := is.New(t)
	config.Service, config.Version, config.Host = "desk", "v1", "h1"
	config.Instance = "desk-1"
	s, err := New(config)
	is.NoErr(err)
	is.NoErr(s.Start())
	t.Cleanup(s.Close)
	return s
}

// send sends one request on a new connection.
func send(s *Server, path string, header http.Header) (*http.Response, []byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Addr()+path, bytes.NewReader([]byte("body")))
	if err != nil {
		return nil, nil, err
	}
	req.Header = header
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func header(pairs ...string) http.Header {
	h := http.Header{}
	for i := 0; i < len(pairs); i += 2 {
		h.Set(pairs[i], pairs[i+1])
	}
	return h
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("timed out waiting for " + what)
}

func TestResponseAndExecutionRecord(t *testing.T) {
	is := is.New(t)
	s := start(t, Config{})
	resp, body, err := send(s, "/orders/1", header(HeaderRequestID, "r1", HeaderIdempotencyKey, "k1"))
	is.NoErr(err)
	var content ResponseBody
	is.NoErr(json.Unmarshal(body, &content))
	is.Equal(content, ResponseBody{RequestID: "r1", Service: "desk", Version: "v1", Host: "h1", Instance: "desk-1", Path: "/orders/1", BodyBytes: 4})
	is.Equal(resp.Header.Get(HeaderRequestID), "r1")
	is.Equal(resp.Header.Get(HeaderVersion), "v1")

	control, err := http.Get("http://" + s.ControlAddr() + PathExecutionRecords)
	is.NoErr(err)
	defer control.Body.Close()
	var records []ExecutionRecord
	is.NoErr(json.NewDecoder(control.Body).Decode(&records))
	is.Equal(len(records), 1)
	is.Equal(records[0].IdempotencyKey, "k1")
	is.True(records[0].Completed)
}

func TestBrokenAnswers(t *testing.T) {
	s := start(t, Config{})
	for _, kind := range []string{ResponseTruncated, ResponseTruncatedChunked} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			_, body, err := send(s, "/", header(HeaderResponseFault, kind))
			is.True(err != nil)    // the body is incomplete
			is.True(len(body) > 0) // but its start was sent
			is.Equal(s.Outstanding(), 0)
		})
	}
}

func TestRepeatedResponseIsSentOnTheSameConnection(t *testing.T) {
	is := is.New(t)
	s := start(t, Config{})
	conn, err := net.Dial("tcp", s.Addr())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Standin-Answer: repeated\r\n\r\n"))
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	for range 2 {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.True(bytes.Contains(body, []byte(`"requestId":"r1"`)))
	}
}

func TestSlotsBoundTheRunningRequests(t *testing.T) {
	is := is.New(t)
	const slots, requests = 2, 5
	s := start(t, Config{Slots: slots, WorkDuration: revision.Duration(20 * time.Millisecond)})
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() { _, _, _ = send(s, "/", header()) })
	}
	wg.Wait()
	records := s.ExecutionRecords()
	is.Equal(len(records), requests)
	for _, r := range records {
		running := 0
		for _, other := range records {
			if !other.StartedAt.After(r.StartedAt) && other.EndedAt.After(r.StartedAt) {
				running++
			}
		}
		is.True(running <= slots)
	}
}

func TestBacklogIsBounded(t *testing.T) {
	is := is.New(t)
	s := start(t, Config{Slots: 1, Backlog: 1, WorkDuration: revision.Duration(testTimeout)})
	for range 2 {
		go func() { _, _, _ = send(s, "/", header()) }()
	}
	waitFor(t, "two requests outstanding", func() bool { return s.Outstanding() == 2 })
	resp, _, err := send(s, "/", header())
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(len(s.ExecutionRecords()), 1) // only the first one ran
}

func TestCrashInterruptsRequestsAndRestarts(t *testing.T) {
	is := is.New(t)
	s := start(t, Config{WorkDuration: revision.Duration(testTimeout), Crash: Crash{RestartAfter: revision.Duration(time.Millisecond)}})
	interrupted := make(chan error, 1)
	go func() {
		_, _, err := send(s, "/", header(HeaderRequestID, "running"))
		interrupted <- err
	}()
	waitFor(t, "the first request running", func() bool { return len(s.ExecutionRecords()) == 1 })
	_, _, err := send(s, "/", header(HeaderCrash, "1", HeaderRequestID, "crashing"))
	is.True(err != nil)
	is.True(<-interrupted != nil)
	waitFor(t, "the target listening again", func() bool {
		resp, err := http.Get("http://" + s.Addr() + PathHealth)
		return err == nil && resp.Body.Close() == nil
	})
	for _, r := range s.ExecutionRecords() {
		is.True(!r.Completed)
	}
}

func TestColdStart(t *testing.T) {
	is := is.New(t)
	addedLatency := 30 * time.Millisecond
	s := start(t, Config{ColdStart: ColdStart{Requests: 1, AddedLatency: revision.Duration(addedLatency)}})
	for range 2 {
		_, _, err := send(s, "/", header())
		is.NoErr(err)
	}
	records := s.ExecutionRecords()
	is.True(records[0].EndedAt.Sub(records[0].StartedAt) >= addedLatency)
}

func TestSetBehavioursOverHTTP(t *testing.T) {
	is := is.New(t)
	s := start(t, Config{})
	req, err := http.NewRequest(http.MethodPut, "http://"+s.ControlAddr()+PathBehaviours, bytes.NewReader([]byte(`[{"prefix":"/a","failStatus":500}]`)))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusNoContent)
	for path, want := range map[string]int{"/a": http.StatusInternalServerError, "/b": http.StatusOK} {
		resp, _, err := send(s, path, header())
		is.NoErr(err)
		is.Equal(resp.StatusCode, want)
	}
}

// daemon records the announcements and withdrawals that a target sends.
type daemon struct {
	mu               sync.Mutex
	announced        []admin.Announcement
	withdrawn        []string
	rejectWithdrawal bool
	// announceDelay is the time until an announcement of a target that is not leaving is
	// recorded; arriving receives a value when one has arrived.
	announceDelay time.Duration
	arriving      chan struct{}
}

func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a admin.Announcement
	if r.Method == http.MethodPost {
		_ = json.NewDecoder(r.Body).Decode(&a)
	}
	if d.announceDelay > 0 && r.Method == http.MethodPost && !a.Leaving {
		d.arriving <- struct{}{}
		time.Sleep(d.announceDelay)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Method == http.MethodDelete {
		d.withdrawn = append(d.withdrawn, r.URL.Path)
		if d.rejectWithdrawal {
			w.WriteHeader(http.StatusInternalServerError)
		}
		return
	}
	d.announced = append(d.announced, a)
}

func (d *daemon) announcements() []admin.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]admin.Announcement{}, d.announced...)
}

func TestAnnounceAndDrain(t *testing.T) {
	for _, rejectWithdrawal := range []bool{false, true} {
		is := is.New(t)
		d := &daemon{rejectWithdrawal: rejectWithdrawal}
		server := httptest.NewServer(d)
		defer server.Close()
		s := start(t, Config{
			Admin:            server.Listener.Addr().String(),
			AnnounceInterval: revision.Duration(time.Millisecond),
			Linger:           revision.Duration(time.Millisecond),
			Slots:            3,
			WorkDuration:     revision.Duration(20 * time.Millisecond),
		})
		waitFor(t, "a renewed announcement", func() bool { return len(d.announcements()) > 1 })
		is.Equal(d.announcements()[0], admin.Announcement{Instance: "desk-1", Service: "desk", Version: "v1", Address: s.Addr(), Slots: 3})

		result := make(chan error, 1)
		go func() {
			_, _, err := send(s, "/", header())
			result <- err
		}()
		waitFor(t, "a request in flight", func() bool { return len(s.ExecutionRecords()) == 1 })
		is.NoErr(s.Drain(t.Context()))
		is.NoErr(<-result) // draining does not interrupt a request in flight
		is.Equal(d.withdrawn, []string{admin.PathTargets + "/desk-1"})
		announced := d.announcements()
		is.Equal(announced[len(announced)-1].Leaving, rejectWithdrawal)
	}
}

// Guards against a leave notice that is followed by an older announcement: if an announcement
// in flight is cancelled when the drain begins, it can still reach the daemon after the leave
// notice, and the daemon would take it for a new start.
func TestNoAnnouncementOvertakesTheLeave(t *testing.T) {
	is := is.New(t)
	d := &daemon{rejectWithdrawal: true, announceDelay: 50 * time.Millisecond, arriving: make(chan struct{}, 1000)}
	server := httptest.NewServer(d)
	defer server.Close()
	s := start(t, Config{
		Admin:            server.Listener.Addr().String(),
		AnnounceInterval: revision.Duration(time.Millisecond),
		Linger:           revision.Duration(time.Millisecond),
	})
	<-d.arriving
	is.NoErr(s.Drain(t.Context()))
	time.Sleep(2 * d.announceDelay) // so that a cancelled announcement would have arrived
	announced := d.announcements()
	is.True(announced[len(announced)-1].Leaving)
}
