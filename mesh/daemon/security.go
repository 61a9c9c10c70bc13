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

var securityModule = fx.Module("security", fx.Provide(newKeyring))

// keyring holds the keys of each purpose. A field is nil if TLS is off for its purpose.
type keyring struct {
	peer, admin, platform *security.Credentials
}

// newKeyring loads the keys that the settings name. The error joins those of all purposes.
func newKeyring(s settings.Settings) (*keyring, error) {
	peer, peerErr := security.Load("peer", s.Peer.TLS, time.Now)
	adminKeys, adminErr := security.Load("admin", s.Admin.TLS, time.Now)
	platform, platformErr := security.Load("platform", s.Platform.TLS, time.Now)
	return &keyring{peer: peer, admin: adminKeys, platform: platform}, errors.Join(peerErr, adminErr, platformErr)
}

// inUse returns the keys of the purposes that use TLS.
func (k *keyring) inUse() []*security.Credentials {
	var used []*security.Credentials
	for _, keys := range []*security.Credentials{k.peer, k.admin, k.platform} {
		if keys != nil {
			used = append(used, keys)
		}
	}
	return used
}

// secureAdmin returns a TLS listener for the admin port, or l itself if the admin port does not use TLS.
func (k *keyring) secureAdmin(l net.Listener) net.Listener {
	if k.admin == nil {
		return l
	}
	return k.admin.Listener(l)
}

// run reloads the keys regularly and warns of certificates near their expiry, until the context ends.
func (k *keyring) run(ctx context.Context, logger *zap.Logger) {
	var running sync.WaitGroup
	for _, keys := range k.inUse() {
		running.Go(func() { keys.Run(ctx, logger) })
	}
	running.Wait()
}

// ReplaceCertificate implements adminserver.CertificateReplacer. It returns an error for a purpose that
// does not use TLS.
func (k *keyring) ReplaceCertificate(purpose string, c admin.Certificate) (time.Time, error) {
	for _, keys := range k.inUse() {
		if keys.Purpose() == purpose {
			pem := security.PEM{Certificate: []byte(c.Certificate), Key: []byte(c.Key), CA: []byte(c.CA)}
			err := keys.Replace(pem)
			return keys.Expires(), err
		}
	}
	return time.Time{}, fmt.Errorf("TLS is not enabled for purpose %q", purpose)
}
