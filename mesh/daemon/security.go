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

// keyring holds the keys of each purpose; a nil one means that security is off.
type keyring struct {
	peer, admin, platform *security.Credentials
}

func newKeyring(s settings.Settings) (*keyring, error) {
	peer, peerErr := security.Load("peer", s.Peer.TLS, time.Now)
	adminKeys, adminErr := security.Load("admin", s.Admin.TLS, time.Now)
	platform, platformErr := security.Load("platform", s.Platform.TLS, time.Now)
	return &keyring{peer: peer, admin: adminKeys, platform: platform}, errors.Join(peerErr, adminErr, platformErr)
}

// each returns the keys that are in use.
func (k *keyring) each() []*security.Credentials {
	var used []*security.Credentials
	for _, keys := range []*security.Credentials{k.peer, k.admin, k.platform} {
		if keys != nil {
			used = append(used, keys)
		}
	}
	return used
}

// secureAdmin secures the admin port, if it is to be.
func (k *keyring) secureAdmin(l net.Listener) net.Listener {
	if k.admin == nil {
		return l
	}
	return k.admin.Listener(l)
}

// run keeps the keys up to date until the context ends.
func (k *keyring) run(ctx context.Context, logger *zap.Logger) {
	var running sync.WaitGroup
	for _, keys := range k.each() {
		running.Go(func() { keys.Run(ctx, logger) })
	}
	running.Wait()
}

// ReplaceCertificate implements adminserver.Certificates.
func (k *keyring) ReplaceCertificate(purpose string, c admin.Certificate) (time.Time, error) {
	for _, keys := range k.each() {
		if keys.Purpose() == purpose {
			pem := security.PEM{Certificate: []byte(c.Certificate), Key: []byte(c.Key), CA: []byte(c.CA)}
			err := keys.Replace(pem)
			return keys.Expires(), err
		}
	}
	return time.Time{}, fmt.Errorf("nothing is secured for purpose %q", purpose)
}
