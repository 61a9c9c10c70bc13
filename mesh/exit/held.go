package exit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/fieldname"
)

const (
	// healthCheckDelay is the time for which a target is held before it is asked whether it stays: the
	// store mostly tells that sooner, without a request to the target.
	healthCheckDelay = 500 * time.Millisecond
	// healthCheckInterval is the time between two health checks of a target that is held.
	healthCheckInterval = time.Second
	healthCheckTimeout  = 2 * time.Second
)

var (
	errUnhealthy   = errors.New("the health check was not answered with status 200")
	errOtherTarget = errors.New("another target responded to the health check")
)

// heldTarget is an announced target that is not opened, because an earlier process may have acknowledged
// its departure.
type heldTarget struct {
	announcement admin.Announcement
	since        time.Time
	expires      time.Time
	checked      time.Time // when the last health check began
}

// WithHealthCheck sets the function that returns the path under which the targets of a service respond
// with status 200 for as long as they stay, or "" if there is none. Conventions.HealthInstance names the
// field of that response.
func WithHealthCheck(path func(service string) string) Option {
	return func(e *Exit) { e.healthPath = path }
}

// hold keeps the announcement of a target that may not be opened yet. The caller holds e.mu.
func (e *Exit) hold(a admin.Announcement, now time.Time) {
	held := e.held[a.Instance]
	if held == nil || held.announcement.Incarnation != a.Incarnation {
		held = &heldTarget{since: now}
		e.held[a.Instance] = held
		e.log.Info("target held until its departures are known", zap.String("instance", a.Instance), zap.Uint64("lifetime", a.Incarnation))
	}
	held.announcement = a
	held.expires = now.Add(e.settings.AnnounceTTL.Std())
}

// openHeld opens a target that was held, unless it has left. The caller holds e.mu.
func (e *Exit) openHeld(instance string, now time.Time) {
	held := e.held[instance]
	delete(e.held, instance)
	if held == nil || now.After(held.expires) || e.isStale(held.announcement) {
		return
	}
	e.open(held.announcement, now)
}

// tickHeld forgets the targets whose announcement has expired, and checks the health of the others. The
// caller holds e.mu.
func (e *Exit) tickHeld(now time.Time) {
	for instance, held := range e.held {
		if now.After(held.expires) {
			delete(e.held, instance)
			continue
		}
		if now.Sub(held.since) < healthCheckDelay || now.Sub(held.checked) < healthCheckInterval {
			continue
		}
		if path := e.healthPath(held.announcement.Service); path != "" && e.conventions.HealthInstance != "" {
			held.checked = now
			go e.checkHeld(held, path)
		}
	}
}

// checkHeld opens a target that is held if it states that it stays.
func (e *Exit) checkHeld(held *heldTarget, path string) {
	e.mu.Lock()
	instance, address := held.announcement.Instance, held.announcement.Address
	e.mu.Unlock()
	transport := e.newHealthTransport()
	transport.DisableKeepAlives = true
	_, err := e.checkHealth(transport, instance, address, path)
	if err != nil {
		e.log.Info("target stays held", zap.String("instance", instance), zap.Error(err))
		return
	}
	e.mu.Lock()
	if e.held[instance] == held {
		e.log.Info("target states that it stays", zap.String("instance", instance))
		e.openHeld(instance, time.Now())
	}
	e.mu.Unlock()
	e.notifyChange()
}

// checkHealth returns the header of the response to a health check if the target responds with status 200 and
// names itself.
func (e *Exit) checkHealth(transport *http.Transport, instance, address, path string) (http.Header, error) {
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := fieldname.RoundTrip(transport, request)
	if err != nil {
		return nil, err
	}
	_, _ = io.CopyN(io.Discard, response.Body, maxHealthBody)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errUnhealthy
	}
	if response.Header.Get(e.conventions.HealthInstance) != instance {
		return nil, errOtherTarget
	}
	return response.Header, nil
}
