package ctl

import (
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasnotch.example/mesh/admin"
)

func TestAdminPortWithTLS(t *testing.T) {
	d := &daemon{responses: map[string][]response{"GET " + admin.PathStatus: {{http.StatusOK, admin.Status{Host: "h1", Zone: "za"}}}}}
	server := httptest.NewTLSServer(d)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	ca := filepath.Join(t.TempDir(), "ca.pem")
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	is.New(t).NoErr(os.WriteFile(ca, text, 0o600))

	t.Run("trusted", func(t *testing.T) {
		is := is.New(t)
		got := run(t, "", "status", "-admin", address, "-tls-ca", ca)
		is.Equal(got.exit, ExitSuccess)
		is.True(strings.Contains(got.stdout, "h1"))
	})
	t.Run("wrong server name", func(t *testing.T) {
		is := is.New(t)
		got := run(t, "", "status", "-admin", address, "-tls-ca", ca, "-tls-name", "elsewhere")
		is.Equal(got.exit, ExitUnreachable)
		is.True(strings.Contains(got.stderr, "not elsewhere"))
	})
	t.Run("absent file", func(t *testing.T) {
		is := is.New(t)
		got := run(t, "", "status", "-admin", address, "-tls-ca", ca+"x")
		is.Equal(got.exit, ExitBadInput)
		is.True(strings.Contains(got.stderr, "no such file"))
	})
}
