package exit

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// coldCheckInterval is the time between two health checks of a target that is only assumed to be cold.
	coldCheckInterval = time.Second
	// warmCheckInterval is that of a warm target, which may turn cold at any moment: by its heartbeats alone, it would
	// get the requests of 1.5 s too many. It is just below the interval of Tick.
	warmCheckInterval = 200 * time.Millisecond
	// healthIdleTimeout bounds how long the connection of health checks is kept: longer than warmCheckInterval, so that
	// a warm target is asked on one connection.
	healthIdleTimeout = time.Second
	// maxHealthBody bounds the body of a health response that is read so that the connection can be reused.
	maxHealthBody = 4 << 10
)

// newHealthTransport returns the transport for the health checks of warm targets, which keeps a connection to each.
func (e *Exit) newHealthTransport() *http.Transport {
	dialer := net.Dialer{Timeout: targetDialTimeout}
	return &http.Transport{
		DialContext:            e.targetConns.Dialer(dialer.DialContext),
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        healthIdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// tickCold assumes silent targets to be cold, ends cold periods that are over, and asks the targets of which it is not
// known by their own word that they are cold. The caller holds e.mu.
func (e *Exit) tickCold(t *target, now time.Time) {
	if now.Sub(t.cold.heardAt) >= coldSilence {
		e.assumeCold(t, "no heartbeat", now)
	}
	e.updateCold(t, now)
	if !e.coldCheckDue(t, now) {
		return
	}
	path := e.healthPath(t.Service)
	if path == "" || e.conventions.HealthInstance == "" || e.conventions.ColdRemaining == "" {
		return
	}
	t.cold.checking, t.cold.checkedAt = true, now
	t.admission.CountProbe(now)
	go e.checkCold(t, path)
}

// coldCheckDue reports whether a target is to be asked whether it is cold. One that states that it is needs no question,
// which would take the place of a request. The caller holds e.mu.
func (e *Exit) coldCheckDue(t *target, now time.Time) bool {
	policy := e.coldPolicy(t.Service)
	switch {
	case policy.Rate == 0 || t.Leaving || e.evacuated || t.cold.checking:
		return false
	case t.cold.assumed:
		return now.Sub(t.cold.checkedAt) >= coldCheckInterval && t.admission.MayProbe(now)
	}
	return !now.Before(t.cold.until()) && now.Sub(t.cold.checkedAt) >= warmCheckInterval
}

// checkCold asks a target whether it is cold. If nothing listens at its address, it has ended, and the next process is
// cold.
func (e *Exit) checkCold(t *target, path string) {
	asked := time.Now()
	header, err := e.checkHealth(e.healthTransport, t.Instance, t.Address, path)
	remaining, stated := e.conventions.coldRemaining(header)
	now := time.Now()
	e.mu.Lock()
	t.cold.checking = false
	present := e.targets[t.Instance] == t
	switch {
	case present && err == nil && stated:
		if asked.After(t.cold.assumedAt) {
			t.cold.assumed, t.cold.heardAt = false, asked
		}
		e.observeCold(t, remaining, now)
	case present && isConnRefused(err):
		e.assumeCold(t, "nothing listens at its address", now)
	case present && err != nil && t.cold.assumed:
		e.log.Info("target stays assumed cold", zap.String("instance", t.Instance), zap.Error(err))
	}
	e.mu.Unlock()
	e.notifyChange()
}
