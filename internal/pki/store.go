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

// checkInterval is how often files are looked at for changes.
const checkInterval = 2 * time.Second

// Partner is a partner cluster that may be known by its certificate.
type Partner struct {
	Name string
	CA   string // file with the authorities that sign its certificates
	Pins string // file with the fingerprints of its only valid certificates; "": all are valid
}

// credentials are what the files say of one partner.
type credentials struct {
	authorities *x509.CertPool
	pins        map[string]bool // fingerprints; nil: all certificates are valid
}

// Store holds this cluster's certificate and what proves its partners'.
type Store struct {
	certFile, keyFile string
	partners          []Partner

	mu          sync.Mutex
	checkedAt   time.Time
	fileState   []byte // sizes and times of all files when they were read
	own         *tls.Certificate
	credentials map[string]credentials // by partner
}

// Open reads all files; later a file that cannot be read leaves what was read
// of it before.
func Open(certFile, keyFile string, partners []Partner) (*Store, error) {
	store := &Store{certFile: certFile, keyFile: keyFile, partners: partners}
	return store, store.load()
}

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

// statFiles is a text that differs when a file has changed.
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

// load reads all files. If one cannot be read it changes nothing.
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

// reloadIfChanged reads the files again if they changed; mu must be held.
func (s *Store) reloadIfChanged() {
	if time.Since(s.checkedAt) < checkInterval {
		return
	}
	s.checkedAt = time.Now()
	if bytes.Equal(s.statFiles(), s.fileState) {
		return
	}
	if err := s.load(); err != nil {
		slog.Error("pki: certificates not reloaded, the earlier ones stay", "error", err)
		return
	}
	slog.Info("pki: certificates reloaded")
}

// Identify returns the partner that a connection's certificates prove. It is called for
// every request: a certificate may expire, or be taken off the pins, while a connection
// stays open. Errors are ErrNoCertificate, ErrNotPartner, ErrNotPinned and those of
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

// verify checks that a connection's certificates prove a partner.
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

// credentialsOf returns what the files say of a partner now.
func (s *Store) credentialsOf(name string) credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reloadIfChanged()
	return s.credentials[name]
}

// ownCertificate returns this cluster's certificate as the files have it now.
func (s *Store) ownCertificate() *tls.Certificate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reloadIfChanged()
	return s.own
}

// ServerConfig is the configuration of the partners' listener.
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

// ClientConfig is the configuration for calls to a partner.
func (s *Store) ClientConfig(partner string) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ServerName:             partner,
		SessionTicketsDisabled: true,
		// Verified below, by files that may have changed since.
		InsecureSkipVerify:   true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.ownCertificate(), nil },
		VerifyConnection:     func(state tls.ConnectionState) error { return s.verify(partner, &state) },
	}
}
