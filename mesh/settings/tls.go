package settings

import (
	"strings"

	"sassafrasnotch.example/coord/revision"
)

// TLS configures the security of one port, or of the connections to one service. Each PEM text is
// either a value of the settings or the content of a file.
type TLS struct {
	// Enabled turns TLS on; without it the other fields have no effect.
	Enabled bool `json:"enabled"`
	// Certificate is the certificate chain that is presented to the other end, Key its private key.
	Certificate string `json:"certificate"`
	Key         Secret `json:"key"`
	// CA contains the certificates of the authorities that are trusted to issue the other end's
	// certificate.
	CA string `json:"ca"`
	// CertificateFile, KeyFile and CAFile name files with the same content as Certificate, Key and
	// CA. The files are read again after each Reload interval; 0 turns that off.
	CertificateFile string            `json:"certificateFile"`
	KeyFile         string            `json:"keyFile"`
	CAFile          string            `json:"caFile"`
	Reload          revision.Duration `json:"reload" validate:"min=0"`
	// ServerName is the name for which the other end's certificate must be valid; if empty, it is
	// the name or address of the connection.
	ServerName string `json:"serverName"`
}

// Secret is a text that is never printed: its formatted and encoded forms are replaced by a
// placeholder.
type Secret string

// redacted is the placeholder for a Secret.
const redacted = "(hidden)"

// String implements fmt.Stringer.
func (s Secret) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (s Secret) GoString() string { return redacted }

// MarshalText implements encoding.TextMarshaler. An empty Secret stays empty.
func (s Secret) MarshalText() ([]byte, error) {
	if s == "" {
		return nil, nil
	}
	return []byte(redacted), nil
}

// HasCertificate reports whether a certificate is set, as a value or a file.
func (t *TLS) HasCertificate() bool { return t.Certificate != "" || t.CertificateFile != "" }

// HasCA reports whether authorities are set, as a value or a file.
func (t *TLS) HasCA() bool { return t.CA != "" || t.CAFile != "" }

// hasKey reports whether a private key is set, as a value or a file.
func (t *TLS) hasKey() bool { return t.Key != "" || t.KeyFile != "" }

// tlsViolations returns the contradictory and missing values in the TLS settings.
func tlsViolations(s *Settings) []violation {
	result := s.Peer.TLS.violations("peer.tls", true, true)
	result = append(result, s.Admin.TLS.violations("admin.tls", true, false)...)
	result = append(result, s.Platform.TLS.violations("platform.tls", false, false)...)
	if s.Platform.TLS.Enabled && !strings.HasPrefix(s.Platform.URL, "https://") {
		result = append(result, violation{"platform.url", "must begin with https:// when platform.tls is enabled"})
	}
	return result
}

// violations returns the contradictory and missing values at a path; settings that are not enabled
// are not checked.
func (t *TLS) violations(path string, requireCertificate, requireCA bool) []violation {
	if !t.Enabled {
		return nil
	}
	var result []violation
	add := func(invalid bool, field, message string) {
		if invalid {
			result = append(result, violation{path + "." + field, message})
		}
	}
	add(t.Certificate != "" && t.CertificateFile != "", "certificate", "must not be set together with certificateFile")
	add(t.Key != "" && t.KeyFile != "", "key", "must not be set together with keyFile")
	add(t.CA != "" && t.CAFile != "", "ca", "must not be set together with caFile")
	add(requireCertificate && !t.HasCertificate(), "certificate", "is required unless certificateFile is set")
	add(t.HasCertificate() && !t.hasKey(), "key", "is required with a certificate, unless keyFile is set")
	add(!t.HasCertificate() && t.hasKey(), "certificate", "is required with a key, unless certificateFile is set")
	add(requireCA && !t.HasCA(), "ca", "is required unless caFile is set")
	return result
}
