package entry

import (
	"net/http"
	"strings"
	"sync"

	"sassafrasnotch.example/coord/admission"
	"sassafrasnotch.example/coord/revision"
)

// tenantShares bounds what one tenant takes of this daemon's connections and of the requests that are started
// early, while the configuration has tenants. A connection belongs to the tenant of its latest request.
type tenantShares struct {
	// freeConnections returns the number of connections below the limit; nil means no limit.
	freeConnections func() int

	mu          sync.Mutex
	connections admission.Share
	prefetches  admission.Share
}

// tenantOf returns the name of the tenant whose key the request carries. It is empty for all others, which
// share one part. hasTenants is false if the configuration has no tenants.
func tenantOf(snapshot *revision.Snapshot, request *http.Request) (name string, hasTenants bool) {
	if len(snapshot.Tenants()) == 0 {
		return "", false
	}
	values := request.Header["Authorization"]
	if len(values) != 1 {
		return "", true
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return "", true
	}
	if tenant, ok := snapshot.TenantByKey(strings.TrimSpace(key)); ok {
		return tenant.Name, true
	}
	return "", true
}

// connectionShare is the part of a connection in the share of a tenant; tenantShares.mu guards it.
type connectionShare struct {
	tenant  string
	counted bool
	closed  bool
}

// admitShare refuses a request on a further connection of a tenant that holds too many, which is closed.
func (c *callerRequest) admitShare() *failure {
	shares := &c.entry.tenantShares
	name, ok := tenantOf(c.snapshot, c.httpRequest)
	if !ok || c.conn == nil || shares.freeConnections == nil || shares.hold(c.conn, name) {
		return nil
	}
	return refused(ReasonLimit, stepAdmit, "the tenant holds too many connections to this daemon").withPeer(c.entry.self.Host)
}

// hold counts a connection for a tenant, and no longer for the one before.
func (s *tenantShares) hold(conn *countedConn, tenant string) bool {
	free := s.freeConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	share := &conn.share
	if share.counted && share.tenant == tenant || share.closed {
		return true
	}
	s.release(share)
	share.tenant, share.counted = tenant, s.connections.Acquire(tenant, free)
	return share.counted
}

// forget ends the count of a connection that is closed.
func (s *tenantShares) forget(conn *countedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(&conn.share)
	conn.share.closed = true
}

func (s *tenantShares) release(share *connectionShare) {
	if share.counted {
		s.connections.Release(share.tenant)
		share.counted = false
	}
}

// acquirePrefetch counts one more request that is started early, until the returned function is called. It
// returns nil if there are maxTotalPrefetches, or if the request's tenant holds its part of them.
func (e *Entry) acquirePrefetch(request *http.Request) (release func()) {
	count := e.prefetches.Add(1)
	if count > maxTotalPrefetches {
		e.prefetches.Add(-1)
		return nil
	}
	snapshot := e.deps.Configuration.Snapshot()
	if snapshot == nil {
		return sync.OnceFunc(func() { e.prefetches.Add(-1) })
	}
	name, ok := tenantOf(snapshot, request)
	if !ok {
		return sync.OnceFunc(func() { e.prefetches.Add(-1) })
	}
	shares := &e.tenantShares
	shares.mu.Lock()
	defer shares.mu.Unlock()
	if !shares.prefetches.Acquire(name, int(maxTotalPrefetches-count)) {
		e.prefetches.Add(-1)
		return nil
	}
	return sync.OnceFunc(func() {
		shares.mu.Lock()
		shares.prefetches.Release(name)
		shares.mu.Unlock()
		e.prefetches.Add(-1)
	})
}
