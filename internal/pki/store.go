package pki

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// checkInterval is the minimum interval between checks of the files for changes.
const checkInterval = 2 * time.Second

// Partner is a partner cluster that is identified by its certificate.
type Partner struct {
	Name string
	CA   string // file with the certificates of the authorities that sign the partner's certificates
	Pins string // file with the fingerprints of the accepted certificates; "": all that the authorities signed
}

// credentials is the content of one partner's files.
type credentials struct {
	authorities *x509.CertPool
	pins        map[string]bool // accepted fingerprints; nil: all certificates that the authorities signed
}

// Store holds this cluster's certificate and the credentials that its partners' certificates are
// verified against.
type Store struct {
	certFile, keyFile string
	partners          []Partner

	mu          sync.Mutex
	checkedAt   time.Time
	fileState   []byte // result of statFiles when the files were read
	own         *tls.Certificate
	credentials map[string]credentials // by partner
}

// Open returns a Store after reading all files, which the Store reads again when they change. If one
// of them cannot be read then, the previous content of all files stays in use.
func Open(certFile, keyFile string, partners []Partner) (*Store, error) {
	store := &Store{certFile: certFile, keyFile: keyFile, partners: partners}
	return store, store.load()
}

// files lists the paths of all files that the Store reads.
func (s *Store) files() []string {
	files := []string{s.certFile, s.keyFile}
	for _, partner := range s.partners {
		files = append(files, partner.CA)
		if partner.Pins != "" {
			files = append(files, partner.Pins)
		}
	}
	return files
}

// statFiles returns the sizes and modification times of all files as text. A different text
// means that a file has changed.
func (s *Store) statFiles() []byte {
	var state bytes.Buffer
	for _, file := range s.files() {
		info, err := os.Stat(file)
		if err != nil {
			state.WriteString("-;")
			continue
		}
		fmt.Fprintf(&state, "%d %d;", info.Size(), info.ModTime().UnixNano())
	}
	return state.Bytes()
}

// load reads all files. If one cannot be read, the previous content of all files stays in use.
func (s *Store) load() error {
	s.checkedAt = time.Now()
	fileState := s.statFiles()
	own, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return err
	}
	byPartner := map[string]credentials{}
	for _, partner := range s.partners {
		if byPartner[partner.Name], err = partner.load(); err != nil {
			return err
		}
	}
	s.own = &own
	s.credentials = byPartner
	s.fileState = fileState
	return nil
}

// load reads a partner's files.
func (p Partner) load() (credentials, error) {
	certificates, err := ReadCertificates(p.CA)
	if err != nil {
		return credentials{}, err
	}
	loaded := credentials{authorities: x509.NewCertPool()}
	for _, certificate := range certificates {
		loaded.authorities.AddCert(certificate)
	}
	if p.Pins == "" {
		return loaded, nil
	}
	pins, err := os.ReadFile(p.Pins)
	if err != nil {
		return credentials{}, err
	}
	loaded.pins = map[string]bool{}
	for _, fingerprint := range strings.Fields(string(pins)) {
		loaded.pins[strings.ToLower(fingerprint)] = true
	}
	return loaded, nil
}

// reloadIfChanged reads the files again if they have changed. The caller must hold mu.
func (s *Store) reloadIfChanged() {
	if time.Since(s.checkedAt) < checkInterval {
		return
	}
	s.checkedAt = time.Now()
	if bytes.Equal(s.statFiles(), s.fileState) {
		return
	}
	if err := s.load(); err != nil {
		slog.Error("pki: reloading certificates failed, the previous ones stay in use", "error", err)
		return
	}
	slog.Info("pki: certificates reloaded")
}

// Identify returns the name of the partner that a connection's certificates authenticate. It is
// called for every request, because a certificate may expire or be removed from the pins while a
// connection stays open. It returns ErrNoCertificate, ErrNotPartner, ErrNotPinned or an error of
// x509.Certificate.Verify.
func (s *Store) Identify(state *tls.ConnectionState) (string, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return "", ErrNoCertificate
	}
	leaf := state.PeerCertificates[0]
	for _, partner := range s.partners {
		if slices.Contains(leaf.DNSNames, partner.Name) {
			return partner.Name, s.verify(partner.Name, state)
		}
	}
	return "", fmt.Errorf("%q %w", leaf.Subject.CommonName, ErrNotPartner)
}

// verify checks that a connection's certificates authenticate the named partner.
func (s *Store) verify(name string, state *tls.ConnectionState) error {
	expected := s.credentialsOf(name)
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	options := x509.VerifyOptions{
		Roots:         expected.authorities,
		Intermediates: intermediates,
		DNSName:       name,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if _, err := leaf.Verify(options); err != nil {
		return err
	}
	if expected.pins != nil && !expected.pins[Fingerprint(leaf)] {
		return ErrNotPinned
	}
	return nil
}

// credentialsOf returns the credentials of a partner, after reloading changed files.
func (s *Store) credentialsOf(name string) credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reloadIfChanged()
	return s.credentials[name]
}

// ownCertificate returns this cluster's certificate, after reloading changed files.
func (s *Store) ownCertificate() *tls.Certificate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reloadIfChanged()
	return s.own
}

// ServerConfig returns the TLS configuration of the listener for partners.
func (s *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		NextProtos:             []string{"http/1.1"},
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.ownCertificate(), nil },
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := s.Identify(&state)
			return err
		},
	}
}

// ClientConfig returns the TLS configuration for requests to a partner.
func (s *Store) ClientConfig(partner string) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ServerName:             partner,
		SessionTicketsDisabled: true,
		// VerifyConnection verifies the partner's certificates instead. Unlike RootCAs, it uses the
		// current content of the files, which may have changed since this configuration was created.
		InsecureSkipVerify:   true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.ownCertificate(), nil },
		VerifyConnection:     func(state tls.ConnectionState) error { return s.verify(partner, &state) },
	}
}
