package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/admin"
	"sassafrasnotch.example/mesh/security"
	"sassafrasnotch.example/mesh/settings"
)

var securityModule = fx.Module("security", fx.Provide(newTLSCredentials))

// tlsCredentials holds the TLS credentials of each purpose. A field is nil if TLS is off for its
// purpose.
type tlsCredentials struct {
	peer, admin, platform *security.Credentials
}

// newTLSCredentials loads the credentials that the settings name. The error joins those of all
// purposes.
func newTLSCredentials(s settings.Settings) (*tlsCredentials, error) {
	peer, peerErr := security.Load("peer", s.Peer.TLS, time.Now)
	adminCredentials, adminErr := security.Load("admin", s.Admin.TLS, time.Now)
	platform, platformErr := security.Load("platform", s.Platform.TLS, time.Now)
	return &tlsCredentials{peer: peer, admin: adminCredentials, platform: platform}, errors.Join(peerErr, adminErr, platformErr)
}

// inUse returns the credentials of the purposes that use TLS.
func (t *tlsCredentials) inUse() []*security.Credentials {
	var used []*security.Credentials
	for _, credentials := range []*security.Credentials{t.peer, t.admin, t.platform} {
		if credentials != nil {
			used = append(used, credentials)
		}
	}
	return used
}

// secureAdmin returns a TLS listener for the admin port, or l itself if the admin port does not use
// TLS.
func (t *tlsCredentials) secureAdmin(l net.Listener) net.Listener {
	if t.admin == nil {
		return l
	}
	return t.admin.Listener(l)
}

// run reloads the credentials regularly and warns of certificates near their expiry, until the
// context ends.
func (t *tlsCredentials) run(ctx context.Context, logger *zap.Logger) {
	var running sync.WaitGroup
	for _, credentials := range t.inUse() {
		running.Go(func() { credentials.Run(ctx, logger) })
	}
	running.Wait()
}

// ReplaceCertificate implements adminserver.CertificateReplacer. It returns an error for a purpose
// that does not use TLS.
func (t *tlsCredentials) ReplaceCertificate(purpose string, c admin.Certificate) (time.Time, error) {
	for _, credentials := range t.inUse() {
		if credentials.Purpose() == purpose {
			pem := security.PEM{Certificate: []byte(c.Certificate), Key: []byte(c.Key), CA: []byte(c.CA)}
			err := credentials.Replace(pem)
			return credentials.Expires(), err
		}
	}
	return time.Time{}, fmt.Errorf("TLS is not enabled for purpose %q", purpose)
}
