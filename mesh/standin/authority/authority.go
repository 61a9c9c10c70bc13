// Package authority is a stand-in for a certificate authority in tests and trials.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"time"

	"sassafrasnotch.example/mesh/security"
)

const (
	authorityValidity = 24 * time.Hour // validity of the authority's certificate
	backdating        = 2 * time.Hour  // time by which every certificate's NotBefore precedes its issue
)

// Authority signs certificates with a key that is kept in memory.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

// New returns an authority with a new key and a self-signed certificate.
func New(name string) (*Authority, error) {
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	template := newTemplate(name, authorityValidity)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key, pem: encodePEM("CERTIFICATE", der)}, nil
}

// PEM returns the authority's certificate.
func (a *Authority) PEM() []byte { return a.pem }

// Issue returns a new key and a certificate for a DNS name and IP addresses that expires after
// the given validity; the CA of the result is the authority's certificate. A negative validity
// returns a certificate that has expired.
func (a *Authority) Issue(name string, validity time.Duration, addresses ...string) (security.PEM, error) {
	key, err := newKey()
	if err != nil {
		return security.PEM{}, err
	}
	template := newTemplate(name, validity)
	template.DNSNames = []string{name}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.ParseIP(address))
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return security.PEM{}, fmt.Errorf("authority: %w", err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return security.PEM{}, fmt.Errorf("authority: %w", err)
	}
	return security.PEM{Certificate: encodePEM("CERTIFICATE", der), Key: encodePEM("PRIVATE KEY", private), CA: a.pem}, nil
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	return key, nil
}

func newTemplate(name string, validity time.Duration) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdating),
		NotAfter:     now.Add(validity),
	}
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
