package targetserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/standin/internal/sleep"
)

const announceTimeout = 2 * time.Second

// announcer announces the target to the daemon of the host, periodically until the target
// leaves.
type announcer struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	client  http.Client
}

func (a *announcer) start(s *Server) {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	if s.config.Admin == "" {
		return
	}
	a.client.Transport = &http.Transport{}
	a.running.Go(func() { a.announcePeriodically(ctx, s) })
}

// announcePeriodically announces the target at each interval, except between a crash and the restart.
func (a *announcer) announcePeriodically(ctx context.Context, s *Server) {
	for {
		if s.currentIncarnation() != nil {
			// The request is not cancelled once it has begun: it could otherwise reach the
			// daemon after the leave notice.
			_ = a.announce(context.WithoutCancel(ctx), s, false)
		}
		if !sleep.For(ctx, s.config.AnnounceInterval.Std()) {
			return
		}
	}
}

// stop ends the announcements without a leave notice to the daemon.
func (a *announcer) stop() {
	if a.cancel == nil {
		return
	}
	a.cancel()
	a.running.Wait()
	a.client.CloseIdleConnections()
}

// leave ends the announcements and sends the leave notice: it withdraws the target or, if that
// fails, announces it as leaving.
func (a *announcer) leave(ctx context.Context, s *Server) {
	a.stop()
	if s.config.Admin == "" {
		return
	}
	if err := a.withdraw(ctx, s); err != nil {
		_ = a.announce(ctx, s, true)
	}
}

func (a *announcer) announce(ctx context.Context, s *Server, leaving bool) error {
	body, err := json.Marshal(s.config.announcement(s.address, leaving))
	if err != nil {
		return err
	}
	return a.send(ctx, http.MethodPost, s.config.Admin, admin.PathTargets, body)
}

func (a *announcer) withdraw(ctx context.Context, s *Server) error {
	path := admin.PathTargets + "/" + url.PathEscape(s.config.Instance)
	return a.send(ctx, http.MethodDelete, s.config.Admin, path, nil)
}

func (a *announcer) send(ctx context.Context, method, host, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("targetserver: %s %s: status %d", method, path, resp.StatusCode)
	}
	return nil
}
