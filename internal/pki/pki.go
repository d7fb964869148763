// Package pki creates and reads the certificates with which clusters authenticate each other by
// mutual TLS 1.3. Each certificate contains the name of its cluster. A Store reads its files again
// when they change, so that renewed certificates take effect without a restart.
package pki

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"errors"
)

// Names of the files that MakeCA and MakeCert write.
const (
	// CAFile holds the authority's certificate. Every partner has a copy of it.
	CAFile = "ca.pem"
	// CAKeyFile holds the authority's private key.
	CAKeyFile = "ca-key.pem"
	// CertFile holds a cluster's certificate.
	CertFile = "cert.pem"
	// KeyFile holds a cluster's private key.
	KeyFile = "key.pem"
)

// Reasons why a file is not written or a caller is not identified.
var (
	// ErrExists means that a new authority would replace the private key of an existing one.
	ErrExists = errors.New("is there already")
	// ErrNoCertificate means that a caller presents no certificate.
	ErrNoCertificate = errors.New("no certificate")
	// ErrNotPartner means that a caller's certificate names no partner.
	ErrNotPartner = errors.New("is no partner")
	// ErrNotPinned means that only pinned certificates of a partner are accepted, and the caller's
	// certificate is not among them.
	ErrNotPinned = errors.New("its certificate is not among the pins")
)

// Fingerprint returns the SHA-256 hash of a certificate in hexadecimal, as pins files list it.
func Fingerprint(certificate *x509.Certificate) string {
	sum := sha256.Sum256(certificate.Raw)
	return hex.EncodeToString(sum[:])
}
