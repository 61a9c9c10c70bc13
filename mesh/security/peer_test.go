package security_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"sassafrasnotch.example/mesh/peer"
	"sassafrasnotch.example/mesh/peer/peerpb"
	"sassafrasnotch.example/mesh/security"
	"sassafrasnotch.example/mesh/settings"
	"sassafrasnotch.example/mesh/steperr"
)

const exchangeTimeout = 10 * time.Second

// controlStub responds to every control request with an empty HeldReply.
type controlStub struct{}

func (controlStub) ServeControl(context.Context, peer.Identity, *peerpb.ControlRequest) *peerpb.ControlReply {
	return &peerpb.ControlReply{Body: &peerpb.ControlReply_Held{Held: &peerpb.HeldReply{}}}
}

// startServer starts the peer server of host h2 and returns its address. If keys is nil, the server
// does not use TLS.
func startServer(t *testing.T, keys *security.Credentials) string {
	t.Helper()
	server := peer.NewServer(peer.Identity{Host: "h2"}, settings.Default().Peer, controlStub{}, nil, zap.NewNop())
	if keys != nil {
		server.UseSecurity(keys)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return listener.Addr().String()
}

// exchange sends one control request to h2 as host h1. If keys is nil, it does not use TLS.
func exchange(t *testing.T, keys *security.Credentials, address string) error {
	t.Helper()
	pool := peer.NewPool(peer.Identity{Host: "h1"}, settings.Default().Peer, zap.NewNop())
	defer pool.Close()
	if keys != nil {
		pool.UseSecurity(keys)
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	_, err := pool.Control(ctx, "h2", address, &peerpb.ControlRequest{Body: &peerpb.ControlRequest_Held{Held: &peerpb.HeldQuery{}}})
	return err
}

func TestAuthenticationBetweenPeers(t *testing.T) {
	trusted, other := newAuthority(t, "trusted"), newAuthority(t, "other")
	untrusted := other.issue("h1", validity)
	untrusted.CA = trusted.pem // trusts the server, but is not trusted by it
	cases := []struct {
		name           string
		client, server *security.Credentials
		refused        bool
		wanted         string // substring of the error
	}{
		{"both without TLS", nil, nil, false, ""},
		{"same authority", load(t, trusted.issue("h1", validity)), load(t, trusted.issue("h2", validity)), false, ""},
		{"server of another authority", load(t, trusted.issue("h1", validity)), load(t, other.issue("h2", validity)), true, "unknown authority"},
		{"client of another authority", load(t, untrusted), load(t, trusted.issue("h2", validity)), true, "tls: "},
		{"server is another host", load(t, trusted.issue("h1", validity)), load(t, trusted.issue("h3", validity)), true, "not h2"},
		// The server closes the session and logs the cause.
		{"client is another host", load(t, trusted.issue("h3", validity)), load(t, trusted.issue("h2", validity)), true, ""},
		{"server without TLS", load(t, trusted.issue("h1", validity)), nil, true, "secure connection"},
		{"client without TLS", nil, load(t, trusted.issue("h2", validity)), true, "peer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := exchange(t, c.client, startServer(t, c.server))
			if !c.refused {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			if !strings.Contains(err.Error(), c.wanted) {
				t.Errorf("the error lacks %q: %v", c.wanted, err)
			}
			is.Equal(steperr.Peer(err), "h2")
			is.True(steperr.Step(err) != "")
		})
	}
}

// New connections with a certificate of an authority that is no longer trusted fail at once.
func TestRotationBetweenPeers(t *testing.T) {
	is := is.New(t)
	old, next := newAuthority(t, "old"), newAuthority(t, "next")
	server := load(t, old.issue("h2", validity))
	client := load(t, old.issue("h1", validity))
	address := startServer(t, server)
	is.NoErr(exchange(t, client, address))
	is.NoErr(server.Replace(next.issue("h2", validity)))
	is.True(exchange(t, client, address) != nil)
	is.NoErr(client.Replace(next.issue("h1", validity)))
	is.NoErr(exchange(t, client, address))
}

// A certificate that expires while its host uses it is rejected by the other end.
func TestExpiryBetweenPeers(t *testing.T) {
	is := is.New(t)
	trusted := newAuthority(t, "trusted")
	clock := func() time.Time { return time.Now().Add(2 * validity) }
	client, err := security.Load("peer", tlsSettings(trusted.issue("h1", 4*validity)), clock)
	is.NoErr(err)
	err = exchange(t, client, startServer(t, load(t, trusted.issue("h2", validity))))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "expired"))
	is.True(errors.Is(err, peer.ErrHandshake))
}
