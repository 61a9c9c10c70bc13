package adminserver

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"sassafrasnotch.example/mesh/admin"
)

const stepReplaceCertificate = "replace certificate"

// CertificateReplacer replaces the certificate of a purpose.
type CertificateReplacer interface {
	// ReplaceCertificate replaces the certificate in use and returns the time at which the new one
	// expires. The error states why the certificate was not replaced.
	ReplaceCertificate(purpose string, c admin.Certificate) (time.Time, error)
}

// SetCertificateReplacer allows authenticated clients to replace certificates. Without it such
// requests are refused with status 403, as on a port that does not authenticate its clients.
func (s *Server) SetCertificateReplacer(c CertificateReplacer) { s.certificates = c }

// replaceCertificate handles PUT of a certificate. Its response contains no part of the key.
func (s *Server) replaceCertificate(c *gin.Context) {
	if s.certificates == nil || c.Request.TLS == nil || len(c.Request.TLS.VerifiedChains) == 0 {
		c.JSON(http.StatusForbidden, admin.Error{
			Step: stepReplaceCertificate, Message: "replacing a certificate requires a verified client certificate on the admin port",
		})
		return
	}
	var certificate admin.Certificate
	if !decode(c, "decode certificate", &certificate) {
		return
	}
	expires, err := s.certificates.ReplaceCertificate(c.Param("purpose"), certificate)
	if err != nil {
		c.JSON(http.StatusBadRequest, admin.Error{Step: stepReplaceCertificate, Peer: c.Param("purpose"), Message: err.Error()})
		return
	}
	c.JSON(http.StatusOK, admin.CertificateResponse{Expires: expires})
}
