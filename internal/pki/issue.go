package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Certificates are backdated, so that a partner whose clock is behind also considers them valid.
// Certificates are usually backdated by backdating. Cluster certificates with a lifetime below
// shortLifetime, which are for trials, are backdated by shortBackdating.
const (
	backdating      = time.Hour
	shortBackdating = time.Minute
	shortLifetime   = time.Hour
)

// serialNumberBits is the length of the random serial numbers.
const serialNumberBits = 120

// MakeCA creates a certificate authority and writes its files into dir. It returns ErrExists if dir
// contains an authority's private key.
func MakeCA(dir, name string, lifetime time.Duration) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          newSerialNumber(),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-backdating),
		NotAfter:              now.Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	authority := keyPairFiles{certificate: filepath.Join(dir, CAFile), key: filepath.Join(dir, CAKeyFile)}
	if authority.exists() {
		return authority.errExists()
	}
	return authority.write(certificate, key)
}

// MakeCert creates a cluster's private key and certificate, signed by the authority in caDir, and
// writes them and a copy of the authority's certificate into dir. It replaces earlier files there.
func MakeCert(dir, caDir, cluster string, lifetime time.Duration) error {
	authority, err := tls.LoadX509KeyPair(filepath.Join(caDir, CAFile), filepath.Join(caDir, CAKeyFile))
	if err != nil {
		return err
	}
	parent, err := x509.ParseCertificate(authority.Certificate[0])
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := clusterTemplate(cluster, lifetime)
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, authority.PrivateKey)
	if err != nil {
		return err
	}
	if dir != caDir {
		if err := copyAuthority(dir, caDir); err != nil {
			return err
		}
	}
	files := keyPairFiles{certificate: filepath.Join(dir, CertFile), key: filepath.Join(dir, KeyFile)}
	return files.write(certificate, key)
}

// clusterTemplate returns the template of a cluster's certificate. The cluster can use the
// certificate both as a TLS server and as a TLS client.
func clusterTemplate(cluster string, lifetime time.Duration) *x509.Certificate {
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: newSerialNumber(),
		Subject:      pkix.Name{CommonName: cluster},
		DNSNames:     []string{cluster},
		NotBefore:    now.Add(-backdating),
		NotAfter:     now.Add(lifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if lifetime < shortLifetime {
		template.NotBefore = now.Add(-shortBackdating)
	}
	return template
}

// copyAuthority copies the authority's certificate from caDir into dir.
func copyAuthority(dir, caDir string) error {
	certificate, err := os.ReadFile(filepath.Join(caDir, CAFile))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, CAFile), certificate, publicFileMode)
}

// newSerialNumber returns a random serial number. It panics if the random source fails, since no
// secure certificate can be created without random numbers.
func newSerialNumber() *big.Int {
	limit := new(big.Int).Lsh(big.NewInt(1), serialNumberBits)
	number, err := rand.Int(rand.Reader, limit)
	if err != nil {
		panic(err)
	}
	return number
}
