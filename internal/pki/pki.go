// Package pki makes and reads the certificates by which clusters know each
// other: mutual TLS 1.3, a certificate names its cluster. Files are read again
// when they change, so renewed certificates are taken without a restart.
package pki

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"log/slog"
	"math/big"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Names of the files that Make writes.
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

// MakeCA writes a new authority into dir; an existing one is not replaced.
func MakeCA(dir, name string, life time.Duration) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	now := time.Now()
	t := &x509.Certificate{SerialNumber: newSerialNumber(), Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(life),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return err
	}
	return writeKeyPair(dir, CAFile, CAKeyFile, der, key, false)
}

// MakeCert writes a certificate of a cluster, signed by the authority in
// caDir, into dir; an earlier one there is replaced.
func MakeCert(dir, caDir, cluster string, life time.Duration) error {
	ca, err := tls.LoadX509KeyPair(filepath.Join(caDir, CAFile), filepath.Join(caDir, CAKeyFile))
	if err != nil {
		return err
	}
	parent, err := x509.ParseCertificate(ca.Certificate[0])
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	now := time.Now()
	t := &x509.Certificate{SerialNumber: newSerialNumber(), Subject: pkix.Name{CommonName: cluster}, DNSNames: []string{cluster},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(life), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	if life < time.Hour { // for trials
		t.NotBefore = now.Add(-time.Minute)
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, ca.PrivateKey)
	if err != nil {
		return err
	}
	if dir != caDir {
		b, err := os.ReadFile(filepath.Join(caDir, CAFile))
		if err == nil {
			if err = os.MkdirAll(dir, 0o755); err == nil {
				err = os.WriteFile(filepath.Join(dir, CAFile), b, 0o644)
			}
		}
		if err != nil {
			return err
		}
	}
	return writeKeyPair(dir, CertFile, KeyFile, der, key, true)
}

func newSerialNumber() *big.Int {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // no randomness: nothing safe can be made
	}
	return n
}

func writeKeyPair(dir, certName, keyName string, der []byte, key *ecdsa.PrivateKey, replace bool) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	k, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	cert, private := filepath.Join(dir, certName), filepath.Join(dir, keyName)
	if _, err := os.Stat(private); err == nil && !replace {
		return fmt.Errorf("%s is there already", private)
	}
	// A reader that comes between finds a pair that does not fit, and keeps
	// the one that it has until the next look.
	if err := replaceFile(private, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: k}), 0o600); err != nil {
		return err
	}
	return replaceFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o644)
}

func replaceFile(name string, b []byte, mode os.FileMode) error {
	if err := os.WriteFile(name+".new", b, mode); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// Fingerprint of a certificate, as in a pins file.
func Fingerprint(c *x509.Certificate) string {
	s := sha256.Sum256(c.Raw)
	return hex.EncodeToString(s[:])
}

// ReadCertificates gives the certificates in a PEM file.
func ReadCertificates(name string) ([]*x509.Certificate, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var out []*x509.Certificate
	for {
		var block *pem.Block
		if block, b = pem.Decode(b); block == nil {
			break
		}
		if block.Type == "CERTIFICATE" {
			c, err := x509.ParseCertificate(block.Bytes)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: no certificate in it", name)
	}
	return out, nil
}

// Partner is a partner that may be known by its certificate.
type Partner struct {
	Name string
	CA   string // file; who signs its certificates
	Pins string // file with fingerprints of the only ones served; "": all
}

// checkInterval is how often files are looked at.
const checkInterval = 2 * time.Second

// Store holds this cluster's certificate and what proves its partners'.
type Store struct {
	certFile, keyFile string
	partners          []Partner
	mu                sync.Mutex
	checkedAt         time.Time
	state             []byte // sizes and times of all files
	own               *tls.Certificate
	pools             map[string]*x509.CertPool
	pins              map[string]map[string]bool
}

// Open reads all files; later a file that cannot be read leaves what was read
// of it before.
func Open(cert, key string, peers []Partner) (*Store, error) {
	r := &Store{certFile: cert, keyFile: key, partners: peers, pools: map[string]*x509.CertPool{}, pins: map[string]map[string]bool{}}
	return r, r.load()
}

func (s *Store) files() []string {
	f := []string{s.certFile, s.keyFile}
	for _, p := range s.partners {
		f = append(f, p.CA)
		if p.Pins != "" {
			f = append(f, p.Pins)
		}
	}
	return f
}

func (s *Store) fingerprintFiles() []byte {
	var b bytes.Buffer
	for _, f := range s.files() {
		if st, err := os.Stat(f); err == nil {
			fmt.Fprintf(&b, "%d %d;", st.Size(), st.ModTime().UnixNano())
		} else {
			b.WriteString("-;")
		}
	}
	return b.Bytes()
}

func (s *Store) load() error {
	s.checkedAt = time.Now()
	state := s.fingerprintFiles()
	own, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return err
	}
	pools, pins := map[string]*x509.CertPool{}, map[string]map[string]bool{}
	for _, p := range s.partners {
		list, err := ReadCertificates(p.CA)
		if err != nil {
			return err
		}
		pool := x509.NewCertPool()
		for _, c := range list {
			pool.AddCert(c)
		}
		pools[p.Name] = pool
		if p.Pins != "" {
			b, err := os.ReadFile(p.Pins)
			if err != nil {
				return err
			}
			pins[p.Name] = map[string]bool{}
			for _, f := range strings.Fields(string(b)) {
				pins[p.Name][strings.ToLower(f)] = true
			}
		}
	}
	s.own, s.pools, s.pins, s.state = &own, pools, pins, state
	return nil
}

// reloadIfChanged reads the files again if they changed; to be called with mu held.
func (s *Store) reloadIfChanged() {
	if time.Since(s.checkedAt) < checkInterval {
		return
	}
	s.checkedAt = time.Now()
	if bytes.Equal(s.fingerprintFiles(), s.state) {
		return
	}
	if err := s.load(); err != nil {
		slog.Error("keys: certificates not read anew, the earlier ones stay", "err", err)
		return
	}
	slog.Info("keys: certificates read anew")
}

// Identify tells which partner a connection's certificates prove. It is asked for
// every request: a certificate may expire, or be taken off the pins, while a
// connection stays open.
func (s *Store) Identify(state *tls.ConnectionState) (string, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return "", errors.New("no certificate")
	}
	leaf := state.PeerCertificates[0]
	for _, p := range s.partners {
		if slices.Contains(leaf.DNSNames, p.Name) {
			return p.Name, s.verify(p.Name, state)
		}
	}
	return "", fmt.Errorf("%q is no partner", leaf.Subject.CommonName)
}

func (s *Store) verify(name string, state *tls.ConnectionState) error {
	s.mu.Lock()
	s.reloadIfChanged()
	pool, pins := s.pools[name], s.pins[name]
	s.mu.Unlock()
	if len(state.PeerCertificates) == 0 {
		return errors.New("no certificate")
	}
	leaf := state.PeerCertificates[0]
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: pool, Intermediates: between, DNSName: name,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}); err != nil {
		return err
	}
	if pins != nil && !pins[Fingerprint(leaf)] {
		return errors.New("its certificate is not among the pins")
	}
	return nil
}

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
