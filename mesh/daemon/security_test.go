package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasnotch.example/coord/revision"
	"sassafrasnotch.example/coord/ticket"
	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/security"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/standin/authority"
	"sassafrasnotch.example/mesh/standin/loopback"
	"sassafrasnotch.example/mesh/standin/platformserver"
	"sassafrasnotch.example/platform"
)

const (
	testLimit    = time.Minute
	testValidity = time.Hour
	testPoll     = 20 * time.Millisecond
)

// securedHosts are daemons with TLS everywhere, and an operator's client.
type securedHosts struct {
	is        *is.I
	authority *authority.Authority
	client    *http.Client
	settings  []settings.Settings
}

func (h *securedHosts) issue(name string, addresses ...string) security.PEM {
	pem, err := h.authority.Issue(name, testValidity, addresses...)
	h.is.NoErr(err)
	return pem
}

func asSettings(p security.PEM) settings.TLS {
	return settings.TLS{Enabled: true, Certificate: string(p.Certificate), Key: settings.Secret(p.Key), CA: string(p.CA)}
}

// startSecured starts a platform and daemons in one zone.
func startSecured(t *testing.T, names ...string) *securedHosts {
	is := is.New(t)
	a, err := authority.New("mesh")
	is.NoErr(err)
	h := &securedHosts{is: is, authority: a}
	block, err := loopback.Reserve()
	is.NoErr(err)
	t.Cleanup(block.Release)

	platformKeys, err := security.Load("platform", asSettings(h.issue("platform", "127.0.0.1")), time.Now)
	is.NoErr(err)
	server := httptest.NewUnstartedServer(platformserver.New().Handler())
	address := server.Listener.Addr().String()
	server.Listener = platformKeys.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)

	for i, name := range names {
		ip := block.IP(1, i+1)
		tls := asSettings(h.issue(name, ip))
		s := settings.Default()
		s.Host, s.Zone, s.Region = name, "a", "r"
		s.Entry.Listen, s.Admin.Listen = loopback.Endpoint(ip, 7002), loopback.Endpoint(ip, 7001)
		s.Peer.Listen, s.Gossip.Listen, s.Peer.Bind = loopback.Endpoint(ip, 7000), loopback.Endpoint(ip, 7000), ip
		s.Platform.URL = "https://" + address
		s.Peer.TLS, s.Admin.TLS, s.Platform.TLS = tls, tls, tls
		s.Log.Level = "error"
		is.NoErr(s.Validate())
		app := New(s, platform.Connect)
		is.NoErr(app.Start(t.Context()))
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), testLimit)
			defer cancel()
			_ = app.Stop(ctx)
		})
		h.settings = append(h.settings, s)
	}
	operator, err := security.Load("operator", asSettings(h.issue("operator")), time.Now)
	is.NoErr(err)
	h.client = &http.Client{Transport: &http.Transport{DialTLSContext: operator.Dialer(new(net.Dialer).DialContext)}}
	t.Cleanup(h.client.CloseIdleConnections)
	return h
}

// ask sends a request to an admin port and reads the answer.
func (h *securedHosts) ask(host int, method, path string, body, into any) error {
	data, err := json.Marshal(body)
	h.is.NoErr(err)
	request, err := http.NewRequest(method, "https://"+h.settings[host].Admin.Listen+path, bytes.NewReader(data))
	h.is.NoErr(err)
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= http.StatusBadRequest {
		err = fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(answer, into)
}

// await polls until every daemon has the revision.
func (h *securedHosts) await(number uint64) {
	for deadline := time.Now().Add(testLimit); ; time.Sleep(testPoll) {
		behind := 0
		for host := range h.settings {
			var status admin.Status
			if h.ask(host, http.MethodGet, admin.PathStatus, nil, &status) != nil || status.Applied < number {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		h.is.True(time.Now().Before(deadline)) // every daemon has the revision in time
	}
}

func (h *securedHosts) submit(number uint64, service string) uint64 {
	var status ticket.Status
	t := ticket.Ticket{Number: number, Services: []revision.Service{{Name: service}}}
	h.is.NoErr(h.ask(0, http.MethodPost, admin.PathTickets, t, &status))
	return status.Revision
}

func TestTicketsSpreadOverTLS(t *testing.T) {
	h := startSecured(t, "h1", "h2", "h3")
	h.await(h.submit(1, "orders"))

	response, err := http.Get("http://" + h.settings[0].Admin.Listen + admin.PathStatus)
	h.is.NoErr(err) // an answer of the TLS server to a plain request
	response.Body.Close()
	h.is.Equal(response.StatusCode, http.StatusBadRequest)

	for host, s := range h.settings {
		next := h.issue(s.Host, s.Peer.Bind)
		var reply admin.CertificateReply
		wanted := admin.Certificate{Certificate: string(next.Certificate), Key: string(next.Key)}
		for _, purpose := range []string{"peer", "admin", "platform"} {
			h.is.NoErr(h.ask(host, http.MethodPut, admin.PathCertificates+"/"+purpose, wanted, &reply))
		}
		err := h.ask(host, http.MethodPut, admin.PathCertificates+"/entry", wanted, &reply)
		h.is.True(err != nil) // nothing is secured there
	}
	h.await(h.submit(2, "studio"))
}
