package pki

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
)

// Modes of the files and folders that this package writes.
const (
	dirMode         os.FileMode = 0o755
	publicFileMode  os.FileMode = 0o644
	privateFileMode os.FileMode = 0o600
)

// Types of PEM blocks.
const (
	certificateBlock = "CERTIFICATE"
	privateKeyBlock  = "PRIVATE KEY"
)

// keyPairFiles holds the paths of the files of a certificate and its private key.
type keyPairFiles struct{ certificate, key string }

// exists reports whether there is a file for the private key.
func (f keyPairFiles) exists() bool {
	_, err := os.Stat(f.key)
	return err == nil
}

// errExists returns ErrExists with the path of the private key.
func (f keyPairFiles) errExists() error { return fmt.Errorf("%s %w", f.key, ErrExists) }

// write writes both files, the key first. A Store that reads the files between the two writes finds
// that they do not match, and keeps its previous certificate and key until its next check.
func (f keyPairFiles) write(certificate []byte, key *ecdsa.PrivateKey) error {
	if err := os.MkdirAll(filepath.Dir(f.key), dirMode); err != nil {
		return err
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := replaceFile(f.key, &pem.Block{Type: privateKeyBlock, Bytes: encodedKey}, privateFileMode); err != nil {
		return err
	}
	return replaceFile(f.certificate, &pem.Block{Type: certificateBlock, Bytes: certificate}, publicFileMode)
}

// replaceFile replaces a file atomically: readers see either the old or the new content.
func replaceFile(name string, block *pem.Block, mode os.FileMode) error {
	temporary := name + ".new"
	if err := os.WriteFile(temporary, pem.EncodeToMemory(block), mode); err != nil {
		return err
	}
	return os.Rename(temporary, name)
}

// ReadCertificates returns the certificates in a PEM file. It returns an error if the file contains
// none.
func ReadCertificates(name string) ([]*x509.Certificate, error) {
	rest, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var certificates []*x509.Certificate
	for {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			break
		}
		if block.Type != certificateBlock {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		certificates = append(certificates, certificate)
	}
	if len(certificates) == 0 {
		return nil, fmt.Errorf("%s: no certificate in it", name)
	}
	return certificates, nil
}
