package settings

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestTLSIsValidated(t *testing.T) {
	complete := TLS{Enabled: true, Certificate: "c", Key: "k", CA: "a"}
	cases := []struct {
		name   string
		change func(*Settings)
		wanted []string
	}{
		{"not enabled", func(s *Settings) { s.Peer.TLS = TLS{Certificate: "c"} }, nil},
		{"complete", func(s *Settings) { s.Peer.TLS = complete }, nil},
		{"peer without authorities", func(s *Settings) { s.Peer.TLS = complete; s.Peer.TLS.CA = "" }, []string{"peer.tls.ca: is required"}},
		{"admin without authorities", func(s *Settings) { s.Admin.TLS = complete; s.Admin.TLS.CA = "" }, nil},
		{"admin without any credentials", func(s *Settings) { s.Admin.TLS = TLS{Enabled: true} }, []string{"admin.tls.certificate: is required"}},
		{"no key", func(s *Settings) { s.Admin.TLS = complete; s.Admin.TLS.Key = "" }, []string{"admin.tls.key: is required"}},
		{"key as value and file", func(s *Settings) { s.Admin.TLS = complete; s.Admin.TLS.KeyFile = "f" }, []string{"admin.tls.key: must not be set together with"}},
		{"platform with an http URL", func(s *Settings) { s.Platform.TLS = TLS{Enabled: true} }, []string{"platform.url: must begin with https://"}},
		{"platform with an https URL", func(s *Settings) {
			s.Platform.TLS = TLS{Enabled: true}
			s.Platform.URL = "https://10.0.0.5"
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, err := Load("../../examples/kerbrat/settings.json")
			is.NoErr(err)
			c.change(&s)
			err = s.Validate()
			is.Equal(err == nil, len(c.wanted) == 0)
			for _, wanted := range c.wanted {
				is.True(strings.Contains(err.Error(), wanted))
			}
		})
	}
}

func TestSecretIsHidden(t *testing.T) {
	is := is.New(t)
	s := Settings{Peer: Peer{TLS: TLS{Key: "hush"}}}
	data, err := json.Marshal(s)
	is.NoErr(err)
	for _, text := range []string{string(data), fmt.Sprintf("%v", s), fmt.Sprintf("%+v", s), fmt.Sprintf("%#v", s)} {
		is.True(!strings.Contains(text, "hush"))
	}
}
