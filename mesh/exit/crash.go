package exit

import (
	"net"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/peer/peerpb"
)

const (
	// quarantineThreshold is the number of crashes with a request in flight from which on that
	// request is refused.
	quarantineThreshold = 2
	// quarantineDuration is the time after the latest such crash for which the request is refused.
	quarantineDuration = time.Minute
	// suspectRetention is the time for which a suspect request is kept after the latest crash.
	suspectRetention = 10 * time.Minute
	// maxSuspects bounds the number of suspect requests.
	maxSuspects = 4096
	// crashCheckTimeout bounds each of the two steps of the check whether a target still runs:
	// connecting and reading.
	crashCheckTimeout = 50 * time.Millisecond
)

// CrashFingerprint records that a request was in flight when a target crashed.
type CrashFingerprint struct {
	// Fingerprint identifies the request across its repetitions: by service and idempotency key,
	// or by service, method, path, length and the first part of the body.
	Fingerprint uint64
	// Host and CrashNumber identify the crash.
	Host        string
	CrashNumber uint64
}

type crashEvent struct {
	host   string
	number uint64
}

// crashTracker records the requests that were in flight at crashes of targets on all hosts.
type crashTracker struct {
	host       string
	lastNumber uint64
	suspects   map[uint64]*suspect
	responded  respondedSet
}

// suspect is a request that was in flight at a crash and to which no target of this host has
// responded since.
type suspect struct {
	events map[crashEvent]time.Time
	latest time.Time
}

func newCrashTracker(host string) crashTracker {
	return crashTracker{
		host:       host,
		lastNumber: uint64(time.Now().UnixNano()), // numbers stay unique after a restart
		suspects:   make(map[uint64]*suspect),
		responded:  newRespondedSet(),
	}
}

func (c *crashTracker) nextNumber() uint64 {
	c.lastNumber++
	return c.lastNumber
}

// add records that a request was in flight at a crash, unless a target responded to it recently:
// many targets may crash at once with a frequent request in flight.
func (c *crashTracker) add(fingerprint uint64, event crashEvent, now time.Time) {
	if c.responded.isRecent(fingerprint, now) {
		return
	}
	s := c.suspects[fingerprint]
	if s == nil {
		if len(c.suspects) >= maxSuspects {
			return
		}
		s = &suspect{events: make(map[crashEvent]time.Time)}
		c.suspects[fingerprint] = s
	}
	if _, known := s.events[event]; known {
		return
	}
	s.events[event] = now
	s.latest = now
}

// hosts returns the hosts of the crashes at which a request was in flight, one entry for each
// crash.
func (c *crashTracker) hosts(fingerprint uint64) []string {
	s := c.suspects[fingerprint]
	if s == nil {
		return nil
	}
	hosts := make([]string, 0, len(s.events))
	for event := range s.events {
		hosts = append(hosts, event.host)
	}
	return hosts
}

func (c *crashTracker) isQuarantined(fingerprint uint64, now time.Time) bool {
	s := c.suspects[fingerprint]
	if s == nil || len(s.events) < quarantineThreshold || c.responded.isRecent(fingerprint, now) {
		return false
	}
	return now.Sub(s.latest) < quarantineDuration
}

// markResponded records that a target responded to the request, which clears it of suspicion.
func (c *crashTracker) markResponded(fingerprint uint64, now time.Time) {
	if fingerprint == 0 {
		return
	}
	delete(c.suspects, fingerprint)
	c.responded.add(fingerprint, now)
}

func (c *crashTracker) expire(now time.Time) {
	for fingerprint, s := range c.suspects {
		if now.Sub(s.latest) > suspectRetention {
			delete(c.suspects, fingerprint)
		}
	}
}

// CrashFingerprints returns the suspect requests of crashes on this host, to be reported to other
// hosts.
func (e *Exit) CrashFingerprints() []CrashFingerprint {
	e.mu.Lock()
	defer e.mu.Unlock()
	var local []CrashFingerprint
	for fingerprint, s := range e.crashes.suspects {
		for event := range s.events {
			if event.host == e.self.Host {
				local = append(local, CrashFingerprint{Fingerprint: fingerprint, Host: event.host, CrashNumber: event.number})
			}
		}
	}
	return local
}

// AddCrashFingerprint records a crash that another host reported. Repeated reports of the same
// crash count once.
func (e *Exit) AddCrashFingerprint(fp CrashFingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes.add(fp.Fingerprint, crashEvent{fp.Host, fp.CrashNumber}, time.Now())
}

// requestFingerprint returns the fingerprint of a request, which identifies it across its
// repetitions: by service and idempotency key, or by service, method, path, length and the part of
// the body in the first frame. It returns 0 for a streamed body of which that frame holds nothing.
func requestFingerprint(head *peerpb.CallHead) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(head.Service)
	if key := headerValue(head.Headers, headerIdempotencyKey); key != "" {
		digest.WriteString("\x00key\x00")
		digest.WriteString(key)
		return digest.Sum64()
	}
	if !head.Complete && len(head.InlineBody) == 0 {
		return 0
	}
	digest.WriteString("\x00")
	digest.WriteString(head.Method)
	digest.WriteString("\x00")
	digest.WriteString(head.Path)
	digest.WriteString("\x00")
	digest.WriteString(strconv.FormatInt(head.ContentLength, 10))
	digest.WriteString("\x00")
	digest.Write(head.InlineBody)
	return digest.Sum64()
}

// OnCrash sets the function that receives the report of a suspect request. It is called before the
// caller of the request receives the failure and can send the request again.
func (e *Exit) OnCrash(f func(CrashReport)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onCrash = f
}

// CrashReport is a crash on this host with a suspect request in flight.
type CrashReport struct {
	CrashFingerprint
	Service string
	// CrashHosts are the hosts of all known crashes with the request in flight, one entry for
	// each crash.
	CrashHosts []string
}

// checkCrash reports whether the target whose exchange failed has crashed. If so, it removes
// the target, and adds the request to the suspects and reports it.
func (e *Exit) checkCrash(c *callerRequest) bool {
	if isListening(c.target.Address) {
		return false
	}
	e.removeAndNotify(c.target)
	e.mu.Lock()
	crashHosts := e.addCrash(c)
	report := CrashReport{
		CrashFingerprint: CrashFingerprint{Fingerprint: c.fingerprint, Host: e.self.Host, CrashNumber: c.target.crashNumber},
		Service:          c.head.Service,
		CrashHosts:       crashHosts,
	}
	onCrash := e.onCrash
	e.mu.Unlock()
	if len(crashHosts) > 0 {
		onCrash(report)
	}
	return true
}

// addCrash adds the crash of the request's target to those of the request and returns the hosts of
// all crashes at which the request was in flight. The caller holds e.mu.
func (e *Exit) addCrash(c *callerRequest) []string {
	if c.target.crashNumber == 0 {
		c.target.crashNumber = e.crashes.nextNumber()
		e.log.Warn("target crashed", zap.String("instance", c.target.Instance))
	}
	if c.fingerprint == 0 {
		return nil
	}
	e.crashes.add(c.fingerprint, crashEvent{e.self.Host, c.target.crashNumber}, time.Now())
	return e.crashes.hosts(c.fingerprint)
}

// removeAndNotify removes a target until it is announced again. It does nothing if the target was
// removed or replaced before.
func (e *Exit) removeAndNotify(t *target) {
	e.mu.Lock()
	if e.targets[t.Instance] == t {
		e.doubted[t.Instance] = time.Now()
		e.removeTarget(t)
	}
	e.mu.Unlock()
	e.notifyChange()
}

// isListening reports whether a process accepts connections at the address and keeps them open. It
// is also true if this can't be determined, because connecting fails other than by a refusal.
// Reading is necessary because a listener that is about to close still accepts for a moment.
func isListening(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashCheckTimeout)
	if err != nil {
		return !isConnRefused(err)
	}
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(crashCheckTimeout))
	_, err = conn.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err == nil || ok && timeout.Timeout()
}
