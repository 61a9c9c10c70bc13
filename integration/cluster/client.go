package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
)

const (
	pollInterval   = 20 * time.Millisecond
	verdictTimeout = 2 * time.Minute
)

// Eventually polls the condition until it returns no error and returns the elapsed time. After the
// limit it fails the test with the last error. The text what describes the condition in the message.
func Eventually(t testing.TB, limit time.Duration, what string, condition func() error) time.Duration {
	t.Helper()
	begin := time.Now()
	for {
		err := condition()
		if err == nil {
			return time.Since(begin)
		}
		if time.Since(begin) > limit {
			t.Fatalf("condition not met within %v: %s: %v", limit, what, err)
		}
		time.Sleep(pollInterval)
	}
}

// AdminError is a response of an HTTP interface with a status of 400 or above.
type AdminError struct {
	Status int
	Body   admin.Error
}

// Error implements error.
func (e *AdminError) Error() string {
	return fmt.Sprintf("status %d: %s: %s %v", e.Status, e.Body.Step, e.Body.Message, e.Body.Reasons)
}

func (c *Cluster) get(url string, into any) error { return c.doJSON(http.MethodGet, url, nil, into) }

func (c *Cluster) put(url string, value any) error {
	return c.doJSON(http.MethodPut, url, value, nil)
}

func (c *Cluster) doJSON(method, url string, value, into any) error {
	return doJSON(c.client, method, url, value, into)
}

func doJSON(client *http.Client, method, url string, value, into any) error {
	var body io.Reader
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, url, body)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		failed := &AdminError{Status: response.StatusCode}
		_ = json.Unmarshal(data, &failed.Body)
		return failed
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}

// Status returns the status that the daemon reports on its admin port.
func (d *Daemon) Status() (admin.Status, error) {
	var status admin.Status
	err := d.cluster.get("http://"+d.Settings.Admin.Listen+admin.PathStatus, &status)
	return status, err
}

// Metrics returns the daemon's metrics page.
func (d *Daemon) Metrics() (string, error) {
	response, err := d.cluster.client.Get("http://" + d.Settings.Admin.Listen + admin.PathMetrics)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	return string(page), err
}

// Submit submits a ticket to the daemon and returns its status.
func (d *Daemon) Submit(t ticket.Ticket) (ticket.Status, error) {
	var status ticket.Status
	err := d.cluster.doJSON(http.MethodPost, "http://"+d.Settings.Admin.Listen+admin.PathTickets, t, &status)
	return status, err
}

// Ticket returns the status of a ticket as the daemon reports it.
func (d *Daemon) Ticket(number uint64) (ticket.Status, error) {
	var status ticket.Status
	err := d.cluster.get(fmt.Sprintf("http://%s%s/%d", d.Settings.Admin.Listen, admin.PathTickets, number), &status)
	return status, err
}

// MustSubmit submits a ticket to the daemon and fails the test if that returns an error.
func (d *Daemon) MustSubmit(t ticket.Ticket) ticket.Status {
	d.cluster.t.Helper()
	status, err := d.Submit(t)
	if err != nil {
		d.cluster.t.Fatalf("submit ticket %d to %s: %v", t.Number, d.Settings.Host, err)
	}
	return status
}

// WaitRevision waits until all daemons have the revision or a newer one in force, and returns the
// elapsed time. It fails the test after the limit.
func WaitRevision(t testing.TB, limit time.Duration, revision uint64, daemons ...*Daemon) time.Duration {
	t.Helper()
	begin := time.Now()
	for _, daemon := range daemons {
		Eventually(t, limit-time.Since(begin), fmt.Sprintf("%s has revision %d in force", daemon.Settings.Host, revision), func() error {
			status, err := daemon.Status()
			if err == nil && status.Applied < revision {
				err = fmt.Errorf("revision %d is in force", status.Applied)
			}
			return err
		})
	}
	return time.Since(begin)
}

// WaitVerdict waits for the verdict on the only rollout of a ticket and returns the rollout's status.
func (d *Daemon) WaitVerdict(number uint64) ticket.RolloutStatus {
	d.cluster.t.Helper()
	var rollout ticket.RolloutStatus
	Eventually(d.cluster.t, verdictTimeout, fmt.Sprintf("ticket %d has a verdict", number), func() error {
		status, err := d.Ticket(number)
		if err != nil {
			return err
		}
		rollout = status.Rollouts[0]
		if rollout.Verdict == ticket.Running {
			return fmt.Errorf("rollout is running: step %s, share %d", rollout.Step, rollout.Share)
		}
		return nil
	})
	return rollout
}

// WaitTargets waits until every daemon knows at least count targets of a version.
func (c *Cluster) WaitTargets(service, version string, count int) {
	c.t.Helper()
	for _, daemon := range c.Daemons {
		Eventually(c.t, startTimeout, fmt.Sprintf("%s knows at least %d targets of %s/%s", daemon.Settings.Host, count, service, version), func() error {
			status, err := daemon.Status()
			if err != nil {
				return err
			}
			known := 0
			for _, target := range status.Targets {
				if target.Service == service && target.Version == version {
					known++
				}
			}
			if known < count {
				return fmt.Errorf("it knows %d targets", known)
			}
			return nil
		})
	}
}
