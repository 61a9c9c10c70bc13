package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
)

func withTenants(t *testing.T, f *fixture) {
	f.configuration.Store(applyChange(t, f.configuration.Load(),
		revision.Resource{Tenant: &revision.Tenant{Name: "flood", KeyHashes: []string{revision.HashKey("key-a")}}},
		revision.Resource{Tenant: &revision.Tenant{Name: "other", KeyHashes: []string{revision.HashKey("key-b")}}}))
}

// Guards against a tenant that takes all connections of a daemon: those beyond its part are refused and closed,
// and another tenant is served.
func TestOneTenantLeavesConnectionsToOthers(t *testing.T) {
	const limit = 30
	is := is.New(t)
	host := newPathHost()
	limits := testSettings()
	limits.MaxConnections = limit
	f := newFixture(t, limits, nil, map[string]hostHandler{"a0": host.serve})
	withTenants(t, f)
	open := func(key, path string) net.Conn {
		conn := dial(t, f)
		_, err := io.WriteString(conn, strings.Replace(get(path), "\r\n\r\n", "\r\nAuthorization: Bearer "+key+"\r\n\r\n", 1))
		is.NoErr(err)
		return conn
	}
	type result struct {
		status int
		closes bool
	}
	receive := func(conn net.Conn) <-chan result {
		received := make(chan result, 1)
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				received <- result{}
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			received <- result{response.StatusCode, response.Close}
		}()
		return received
	}
	var held []net.Conn
	var results []<-chan result
	refused := result{}
	for refused.status == 0 {
		conn := open("key-a", "/catalog/slow")
		received := receive(conn)
		waitFor(t, func() bool {
			select {
			case refused = <-received:
				return true
			default:
				return f.hosts.dispatched() > len(held)
			}
		})
		held, results = append(held, conn), append(results, received)
		is.True(len(held) < limit)
	}
	is.Equal(refused, result{http.StatusTooManyRequests, true})
	served := len(held) - 1
	is.Equal(served, 2*limit/3)
	is.Equal((<-receive(open("key-b", "/catalog/fast"))).status, http.StatusOK)
	host.release("/catalog/slow")
	for i, received := range results[:served] {
		is.Equal((<-received).status, http.StatusOK)
		_ = held[i].Close()
	}
	waitFor(t, func() bool {
		f.entry.tenantShares.mu.Lock()
		defer f.entry.tenantShares.mu.Unlock()
		return f.entry.tenantShares.connections.Held("flood") == 0
	})
}

// Guards against a tenant whose pipelined requests take all early starts, and against a bound where the
// configuration has no tenants.
func TestOneTenantLeavesEarlyStartsToOthers(t *testing.T) {
	for _, tenants := range []bool{true, false} {
		is := is.New(t)
		f := newFixture(t, testSettings(), nil, twoHosts(respondsWith(200, "done"), nil))
		if tenants {
			withTenants(t, f)
		}
		request := func(key string) *http.Request {
			r := httptest.NewRequest("GET", "/catalog", nil)
			r.Header.Set("Authorization", "Bearer "+key)
			return r
		}
		var releases []func()
		for release := f.entry.acquirePrefetch(request("key-a")); release != nil; release = f.entry.acquirePrefetch(request("key-a")) {
			releases = append(releases, release)
		}
		if tenants {
			is.True(len(releases) <= 2*maxTotalPrefetches/3+1)
			release := f.entry.acquirePrefetch(request("key-b"))
			is.True(release != nil)
			release()
		} else {
			is.Equal(len(releases), maxTotalPrefetches)
		}
		for _, release := range releases {
			release()
			release()
		}
		is.Equal(f.entry.prefetches.Load(), int64(0))
		is.Equal(f.entry.tenantShares.prefetches.Held("flood"), 0)
	}
}
