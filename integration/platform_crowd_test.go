package integration

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrasnotch.example/integration/cluster"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/standin/authority"
	"sassafrasnotch.example/mesh/standin/workerserver"
	"sassafrasnotch.example/platform/wire"
)

// The limits of the daemons in these tests. The settings state that the limit of the runtime is half of
// the memory that a process may use, which gives crowdMemory.
const (
	crowdMemory      = 96 << 20 // bytes, the bound of VmHWM
	crowdDescriptors = 1024
	// crowdMaxDescriptors bounds the open descriptors: a part of the reserve of coord/descriptors (64) stays free.
	crowdMaxDescriptors = crowdDescriptors - 32
	crowdBodyBytes      = 1 << 20
	crowdHeadBytes      = 60 << 10 // below the default of entry.maxHeaderBytes
	crowdConnections    = 600      // about what the budget of descriptors grants to callers
	// crowdStays is how long the crowd keeps its connections. It is no bound: a check holds at any time.
	crowdStays = 1500 * time.Millisecond
)

// crowdKind is a kind of client outside the limits. Send plays one on a connection until the context ends.
type crowdKind struct {
	name string
	send func(ctx context.Context, conn net.Conn, path string)
}

// sendParts writes texts one after the other until the connection ends.
func sendParts(ctx context.Context, conn net.Conn, texts ...string) {
	for _, text := range texts {
		if _, err := io.WriteString(conn, text); err != nil || ctx.Err() != nil {
			return
		}
	}
	<-ctx.Done()
}

func crowdHead(method, path, fields string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + platformHost + "\r\n" + wire.HeaderDeadline + ": 60000\r\n" + fields + "\r\n"
}

// shortFields returns header or trailer fields of that size together, each of a few bytes.
func shortFields(size int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < size; i++ {
		fmt.Fprintf(&fields, "%s:\r\n", strconv.FormatInt(int64(i)+46656, 36)) // four characters
	}
	return fields.String()
}

const slowReaders = "slow readers"

const chunkedField = "Transfer-Encoding: chunked\r\n"

// crowdBody is a body of which one byte is missing.
var crowdBody = strings.Repeat("x", crowdBodyBytes-1)

func lengthField(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// bodyKinds are bodies inside and beyond the limit that stop before their end.
func bodyKinds() []crowdKind {
	chunks := strings.Repeat("1\r\nx\r\n", 20000)
	return []crowdKind{
		{"bodies that stop before their end", func(ctx context.Context, conn net.Conn, path string) {
			sendParts(ctx, conn, crowdHead("POST", path, lengthField(crowdBodyBytes)), crowdBody)
		}},
		{"bodies in small pieces", func(ctx context.Context, conn net.Conn, path string) {
			pieces := []string{crowdHead("POST", path, lengthField(crowdBodyBytes))}
			for range 500 {
				pieces = append(pieces, crowdBody[:100])
			}
			sendParts(ctx, conn, pieces...)
		}},
		{"bodies in many chunks", func(ctx context.Context, conn net.Conn, path string) {
			sendParts(ctx, conn, crowdHead("POST", path, chunkedField), chunks)
		}},
		{"bodies over the limit", func(ctx context.Context, conn net.Conn, path string) {
			sendParts(ctx, conn, crowdHead("POST", path, lengthField(64*crowdBodyBytes)), crowdBody, crowdBody, crowdBody)
		}},
	}
}

// fieldKinds are requests of many short fields, query parameters and trailers.
func fieldKinds() []crowdKind {
	many := shortFields(crowdHeadBytes)
	var query strings.Builder
	for i := 0; query.Len() < crowdHeadBytes; i++ {
		fmt.Fprintf(&query, "&%s", strconv.FormatInt(int64(i), 36))
	}
	return []crowdKind{
		{"many short fields", func(ctx context.Context, conn net.Conn, path string) {
			sendParts(ctx, conn, crowdHead("POST", path, lengthField(crowdBodyBytes/8)+many), crowdBody[:crowdBodyBytes/16])
		}},
		{"many query parameters", func(ctx context.Context, conn net.Conn, path string) {
			sendParts(ctx, conn, crowdHead("POST", path+"?"+query.String(), lengthField(crowdBodyBytes/8)), crowdBody[:crowdBodyBytes/16])
		}},
		{"many trailers", func(ctx context.Context, conn net.Conn, path string) {
			sendParts(ctx, conn, crowdHead("POST", path, chunkedField+"Trailer: a\r\n"), "1\r\nx\r\n0\r\n", many, many)
		}},
	}
}

// unfinishedHeadKinds are requests whose head stops short of its end.
func unfinishedHeadKinds() []crowdKind {
	many := shortFields(crowdHeadBytes)
	return []crowdKind{
		{"heads that stop half-way", func(ctx context.Context, conn net.Conn, path string) {
			sendParts(ctx, conn, strings.TrimSuffix(crowdHead("GET", path, many), "\r\n"))
		}},
	}
}

// slowKinds are clients that send or read slowly, or read nothing.
func slowKinds() []crowdKind {
	many := shortFields(crowdHeadBytes)
	return []crowdKind{
		{"many requests ahead", func(ctx context.Context, conn net.Conn, path string) {
			sendParts(ctx, conn, strings.Repeat(crowdHead("GET", path, ""), 2000))
		}},
		{"slow heads", func(ctx context.Context, conn net.Conn, path string) {
			for _, b := range []byte(crowdHead("GET", path, many)) {
				if _, err := conn.Write([]byte{b}); err != nil || ctx.Err() != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}},
		{slowReaders, func(ctx context.Context, conn net.Conn, path string) {
			if strings.HasPrefix(path, "/safe/") {
				path = "/safe/" + workerserver.ResponseEndlessBody
			}
			_, _ = io.WriteString(conn, crowdHead("GET", path, wire.HeaderRequestID+": slow\r\n"))
			for one := make([]byte, 1); ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
				if _, err := conn.Read(one); err != nil {
					return
				}
			}
		}},
	}
}

// peakMemory returns the largest resident memory of a child process since its start, in bytes.
func peakMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has ended", pid)
}

// startCrowdCluster starts two daemons with lowered limits, each with a worker of the service desk. The
// functions change the settings of each daemon.
func startCrowdCluster(t *testing.T, adjust ...func(*settings.Settings)) *platformCluster {
	t.Helper()
	p := &platformCluster{t: t, workers: make(map[string]*workerserver.Worker), client: &http.Client{Timeout: crowdRecovery, Transport: &http.Transport{DisableKeepAlives: true}}}
	p.Cluster = cluster.Start(t, cluster.Options{Zones: 1, HostsPerZone: 2, Direct: true, Descriptors: crowdDescriptors, Adjust: func(s *settings.Settings) {
		cluster.PlatformSettings(func(string) string { return "desk" })(s)
		s.Runtime.GCPercent, s.Runtime.MemoryLimit = 100, crowdMemory/2
		s.Entry.MaxBodyBytes = crowdBodyBytes
		for _, change := range adjust {
			change(s)
		}
	}})
	for _, d := range p.Daemons {
		p.workers[d.Settings.Host] = d.StartWorker("i-"+d.Settings.Host, "v1", nil)
	}
	p.WriteOperatorRow(wire.KeyConfig, testConfig(3))
	p.WaitTargets("desk", "v1", 2)
	for _, d := range p.Daemons {
		p.eventually(crowdRecovery, "the daemon serves", func() error { return p.servesOrdinary(d) })
	}
	return p
}

// crowdRecovery bounds the wait for an ordinary answer, so that a daemon that hangs fails the test.
const crowdRecovery = 20 * time.Second

func (p *platformCluster) servesOrdinary(d *cluster.Daemon) error {
	a := p.send(d, http.MethodGet, "/safe/ordinary", "")
	if a.err == nil && !a.complete() {
		return fmt.Errorf("status %d", a.status)
	}
	return a.err
}

// playCrowd plays a kind of client on many connections at once, and returns the most descriptors that were open.
func (p *platformCluster) playCrowd(d *cluster.Daemon, kind crowdKind, address, path string) (mostDescriptors int) {
	ctx, cancel := context.WithTimeout(p.t.Context(), crowdStays)
	defer cancel()
	var crowd sync.WaitGroup
	for range crowdConnections {
		crowd.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return // refused
			}
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
			kind.send(ctx, conn, path)
		})
	}
	for ctx.Err() == nil {
		if open, err := d.Descriptors(); err == nil {
			mostDescriptors = max(mostDescriptors, open)
		}
		time.Sleep(sampleInterval)
	}
	crowd.Wait()
	return mostDescriptors
}

// checkCrowd plays a kind of client against the first daemon, and checks every process and an ordinary request.
func (p *platformCluster) checkCrowd(t *testing.T, kind crowdKind, address, path string) {
	crowded := p.Daemons[0]
	open := p.playCrowd(crowded, kind, address, path)
	for _, d := range p.Daemons {
		peak, err := peakMemory(d.Pid())
		t.Logf("%s: VmHWM %.1f MB, descriptors %d, alive %v", d.Settings.Host, float64(peak)/(1<<20), open, d.Running())
		if err != nil || !d.Running() {
			t.Errorf("%s has ended: %v", d.Settings.Host, err)
		}
		if peak > crowdMemory {
			t.Errorf("%s used %d MB of %d", d.Settings.Host, peak>>20, crowdMemory>>20)
		}
	}
	if open > crowdMaxDescriptors {
		t.Errorf("%d descriptors open, more than %d", open, crowdMaxDescriptors)
	}
	cluster.Eventually(t, crowdRecovery, "an ordinary request is answered", func() error { return p.servesOrdinary(crowded) })
}

// testCrowds plays kinds of clients at a route, at a path without one and at the readiness path, each against a
// process that was started for it.
func testCrowds(t *testing.T, kinds []crowdKind) {
	p := startCrowdCluster(t)
	crowded := p.Daemons[0]
	for _, kind := range kinds {
		for _, place := range []struct{ name, address, path string }{
			{"route", crowded.Settings.Entry.Listen, "/unsafe/crowd"},
			{"no route", crowded.Settings.Entry.Listen, "/nowhere/crowd"},
			{"readiness", crowded.Settings.Admin.Ready, wire.PathReady},
		} {
			if place.name == "route" && kind.name == slowReaders {
				place.path = "/safe/crowd"
			}
			t.Run(kind.name+", "+place.name, func(t *testing.T) {
				crowded.Restart()
				p.eventually(crowdRecovery, "the daemon serves again", func() error { return p.servesOrdinary(crowded) })
				p.checkCrowd(t, kind, place.address, place.path)
			})
		}
	}
}

// The tests below guard against a process that crowds of clients outside the limits end or drive over the memory
// of its machine. They are not parallel, since the crowds use all cores.

func TestCrowdsOfBodiesEndNoProcess(t *testing.T) { testCrowds(t, bodyKinds()) }

func TestCrowdsOfFieldsEndNoProcess(t *testing.T) { testCrowds(t, fieldKinds()) }

func TestCrowdsOfUnfinishedHeadsEndNoProcess(t *testing.T) { testCrowds(t, unfinishedHeadKinds()) }

func TestCrowdsOfSlowClientsEndNoProcess(t *testing.T) { testCrowds(t, slowKinds()) }

// Guards against a process that TLS handshakes that stop end, or keep from serving.
func TestCrowdOfHandshakesEndsNoProcess(t *testing.T) {
	issuer, err := authority.New("mesh")
	if err != nil {
		t.Fatal(err)
	}
	p := startCrowdCluster(t, func(s *settings.Settings) {
		pem, err := issuer.Issue(s.Host, time.Hour, s.Peer.Bind)
		if err != nil {
			t.Fatal(err)
		}
		dir := t.TempDir()
		file := func(name string, data []byte) string {
			path := filepath.Join(dir, name)
			if err := os.WriteFile(path, data, 0o600); err != nil {
				t.Fatal(err)
			}
			return path
		}
		s.Peer.TLS = settings.TLS{Enabled: true, CertificateFile: file("certificate", pem.Certificate), KeyFile: file("key", pem.Key), CAFile: file("ca", pem.CA)}
	})
	p.checkCrowd(t, crowdKind{"handshakes that stop", func(ctx context.Context, conn net.Conn, _ string) {
		sendParts(ctx, conn, "\x16\x03\x01\x40\x00\x01\x00\x3f\xfc\x03\x03", strings.Repeat("x", 8<<10))
	}}, p.Daemons[0].Settings.Peer.Listen, "")
}
