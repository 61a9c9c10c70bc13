package adminserver

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"sassafrasnotch.example/mesh/admin"
)

const stepCertificate = "replace certificate"

// CertificateReplacer replaces the certificate of a purpose.
type CertificateReplacer interface {
	// ReplaceCertificate returns when the new certificate expires.
	ReplaceCertificate(purpose string, c admin.Certificate) (time.Time, error)
}

// SetCertificateReplacer lets clients replace certificates. Without it they are
// refused, as on a port that does not know its clients.
func (s *Server) SetCertificateReplacer(c CertificateReplacer) { s.certificates = c }

// replaceCertificate answers without any part of the key.
func (s *Server) replaceCertificate(c *gin.Context) {
	if s.certificates == nil || c.Request.TLS == nil || len(c.Request.TLS.VerifiedChains) == 0 {
		c.JSON(http.StatusForbidden, admin.Error{
			Step: stepCertificate, Message: "the admin port takes certificates only from clients that showed one",
		})
		return
	}
	var wanted admin.Certificate
	if !decode(c, "decode certificate", &wanted) {
		return
	}
	expires, err := s.certificates.ReplaceCertificate(c.Param("purpose"), wanted)
	if err != nil {
		c.JSON(http.StatusBadRequest, admin.Error{Step: stepCertificate, Peer: c.Param("purpose"), Message: err.Error()})
		return
	}
	c.JSON(http.StatusOK, admin.CertificateResponse{Expires: expires})
}
