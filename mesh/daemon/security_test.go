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
	testTimeout         = time.Minute
	certificateValidity = time.Hour
	pollInterval        = 20 * time.Millisecond
)

// securedHosts are daemons with TLS on the peer, admin and platform connections, and an operator's
// client.
type securedHosts struct {
	is        *is.I
	authority *authority.Authority
	client    *http.Client
	settings  []settings.Settings
}

// issue issues a certificate for a name and IP addresses.
func (h *securedHosts) issue(name string, addresses ...string) security.PEM {
	pem, err := h.authority.Issue(name, certificateValidity, addresses...)
	h.is.NoErr(err)
	return pem
}

// tlsSettings returns settings with the certificate inline.
func tlsSettings(p security.PEM) settings.TLS {
	return settings.TLS{Enabled: true, Certificate: string(p.Certificate), Key: settings.Secret(p.Key), CA: string(p.CA)}
}

// startSecured starts a stand-in for the store and daemons in one zone, all with TLS.
func startSecured(t *testing.T, names ...string) *securedHosts {
	is := is.New(t)
	a, err := authority.New("mesh")
	is.NoErr(err)
	h := &securedHosts{is: is, authority: a}
	block, err := loopback.Reserve()
	is.NoErr(err)
	t.Cleanup(block.Release)

	platformCredentials, err := security.Load("platform", tlsSettings(h.issue("platform", "127.0.0.1")), time.Now)
	is.NoErr(err)
	server := httptest.NewUnstartedServer(platformserver.New().Handler())
	address := server.Listener.Addr().String()
	server.Listener = platformCredentials.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)

	for i, name := range names {
		ip := block.IP(1, i+1)
		tls := tlsSettings(h.issue(name, ip))
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
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			_ = app.Stop(ctx)
		})
		h.settings = append(h.settings, s)
	}
	operator, err := security.Load("operator", tlsSettings(h.issue("operator")), time.Now)
	is.NoErr(err)
	h.client = &http.Client{Transport: &http.Transport{DialTLSContext: operator.Dialer(new(net.Dialer).DialContext)}}
	t.Cleanup(h.client.CloseIdleConnections)
	return h
}

// do sends a request to an admin port and decodes the response. A status of 400 or above is an
// error.
func (h *securedHosts) do(host int, method, path string, body, into any) error {
	data, err := json.Marshal(body)
	h.is.NoErr(err)
	request, err := http.NewRequest(method, "https://"+h.settings[host].Admin.Listen+path, bytes.NewReader(data))
	h.is.NoErr(err)
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= http.StatusBadRequest {
		err = fmt.Errorf("status %d: %s", response.StatusCode, content)
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(content, into)
}

// awaitRevision polls until every daemon has applied the revision. It fails after testTimeout.
func (h *securedHosts) awaitRevision(number uint64) {
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(pollInterval) {
		behind := 0
		for host := range h.settings {
			var status admin.Status
			if h.do(host, http.MethodGet, admin.PathStatus, nil, &status) != nil || status.Applied < number {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		h.is.True(time.Now().Before(deadline)) // every daemon applies the revision in time
	}
}

// submit submits a ticket with one service and returns its revision.
func (h *securedHosts) submit(number uint64, service string) uint64 {
	var status ticket.Status
	t := ticket.Ticket{Number: number, Services: []revision.Service{{Name: service}}}
	h.is.NoErr(h.do(0, http.MethodPost, admin.PathTickets, t, &status))
	return status.Revision
}

// Tickets must reach every daemon over TLS, also after all certificates were replaced while the
// daemons run. The admin port must reject plain HTTP and certificates for a purpose without TLS.
func TestTicketsSpreadOverTLS(t *testing.T) {
	h := startSecured(t, "h1", "h2", "h3")
	h.awaitRevision(h.submit(1, "orders"))

	response, err := http.Get("http://" + h.settings[0].Admin.Listen + admin.PathStatus)
	h.is.NoErr(err) // the TLS server responds to plain HTTP with status 400
	response.Body.Close()
	h.is.Equal(response.StatusCode, http.StatusBadRequest)

	for host, s := range h.settings {
		next := h.issue(s.Host, s.Peer.Bind)
		var replaced admin.CertificateResponse
		replacement := admin.Certificate{Certificate: string(next.Certificate), Key: string(next.Key)}
		for _, purpose := range []string{"peer", "admin", "platform"} {
			h.is.NoErr(h.do(host, http.MethodPut, admin.PathCertificates+"/"+purpose, replacement, &replaced))
		}
		err := h.do(host, http.MethodPut, admin.PathCertificates+"/entry", replacement, &replaced)
		h.is.True(err != nil) // the entry does not use TLS
	}
	h.awaitRevision(h.submit(2, "studio"))
}
