// Package pki makes and reads the certificates by which clusters know each
// other: mutual TLS 1.3, a certificate names its cluster. Files are read again
// when they change, so renewed certificates are taken without a restart.
package pki

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"errors"
)

// Names of the files that MakeCA and MakeCert write.
const (
	// CAFile is the authority's certificate, which all partners have.
	CAFile = "ca.pem"
	// CAKeyFile is the authority's private key.
	CAKeyFile = "ca-key.pem"
	// CertFile is a cluster's certificate.
	CertFile = "cert.pem"
	// KeyFile is a cluster's private key.
	KeyFile = "key.pem"
)

// Why a file is not written or a caller is not identified.
var (
	// ErrExists: an authority's key would be replaced.
	ErrExists = errors.New("is there already")
	// ErrNoCertificate: a caller shows no certificate.
	ErrNoCertificate = errors.New("no certificate")
	// ErrNotPartner: a caller's certificate names no partner.
	ErrNotPartner = errors.New("is no partner")
	// ErrNotPinned: a partner's certificate is not one of those that are pinned.
	ErrNotPinned = errors.New("its certificate is not among the pins")
)

// Fingerprint is a certificate's SHA-256 in hexadecimal, as in a pins file.
func Fingerprint(certificate *x509.Certificate) string {
	sum := sha256.Sum256(certificate.Raw)
	return hex.EncodeToString(sum[:])
}
