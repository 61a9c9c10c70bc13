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

// announcer tells the daemon of the host about the target until it leaves.
type announcer struct {
	cancel  context.CancelFunc
	stopped sync.WaitGroup
	client  http.Client
}

func (a *announcer) start(s *Server) {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	if s.config.Admin == "" {
		return
	}
	a.client.Transport = &http.Transport{}
	a.stopped.Go(func() { a.loop(ctx, s) })
}

// loop announces the target, save while it lies crashed.
func (a *announcer) loop(ctx context.Context, s *Server) {
	for {
		if s.current() != nil {
			// One that has begun is not cancelled: it could arrive behind the word
			// that the target leaves.
			_ = a.announce(context.WithoutCancel(ctx), s, false)
		}
		if !sleep.For(ctx, s.config.AnnounceInterval.Std()) {
			return
		}
	}
}

// stop ends the announcements without a word to the daemon.
func (a *announcer) stop() {
	if a.cancel == nil {
		return
	}
	a.cancel()
	a.stopped.Wait()
	a.client.CloseIdleConnections()
}

// leave ends the announcements and tells the daemon.
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
