package pki

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// makeCertificates makes an authority, ca, with certificates for clusters, each in a folder
// of its own; it gives the way to a file.
func makeCertificates(t *testing.T, clusters ...string) func(string) string {
	t.Helper()
	dir := t.TempDir()
	at := func(s string) string { return filepath.Join(dir, s) }
	err := MakeCA(at("ca"), "ours", time.Hour)
	for _, c := range clusters {
		if err == nil {
			err = MakeCert(at(c), at("ca"), c, time.Hour)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// A listener of west that serves east; each caller says who it is, and what
// came of it is compared with the list.
func TestCallerIdentity(t *testing.T) {
	at := makeCertificates(t, "west", "east", "north")
	for _, err := range []error{MakeCA(at("other"), "other", time.Hour), MakeCert(at("fake"), at("other"), "east", time.Hour),
		MakeCert(at("old"), at("ca"), "east", -time.Second)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	ca := at("ca/" + CAFile)
	west, err := Open(at("west/"+CertFile), at("west/"+KeyFile), []Partner{{Name: "east", CA: ca, Pins: ""}})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := Listen(ln, west.ServerConfig(), 16)
	defer func() { _ = k.Close() }()
	go func() {
		for {
			c, err := k.Accept()
			if err != nil {
				return
			}
			who, err := west.Identify(ptr(c.(*tls.Conn).ConnectionState()))
			_, _ = fmt.Fprintf(c, "%s %v", who, err)
			_ = c.Close()
		}
	}()
	call := func(folder string) string {
		r, err := Open(at(folder+"/"+CertFile), at(folder+"/"+KeyFile), []Partner{{Name: "west", CA: ca}})
		if err != nil {
			return err.Error()
		}
		c, err := tls.DialWithDialer(&net.Dialer{Timeout: time.Second}, "tcp4", ln.Addr().String(), r.ClientConfig("west"))
		if err != nil {
			return err.Error()
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		b, err := io.ReadAll(c)
		if len(b) == 0 && err != nil {
			return "refused"
		}
		return string(b)
	}
	for _, c := range []struct{ folder, want string }{
		{"east", "east <nil>"}, {"north", "refused"}, {"fake", "refused"}, {"old", "refused"},
	} {
		if got := call(c.folder); got != c.want {
			t.Errorf("%s: %q, want %q", c.folder, got, c.want)
		}
	}
	// Plain text gets nothing, and soon.
	c, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\n\r\n")
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if b, _ := io.ReadAll(c); strings.Contains(string(b), "HTTP/1.1 2") {
		t.Errorf("plain text was answered %q", b)
	}
	_ = c.Close()
}

func ptr[T any](v T) *T { return &v }

// Files that change are taken at the next look; a certificate that is off the
// pins is not served any more, on open connections too.
func TestRenewalAndRevocation(t *testing.T) {
	at := makeCertificates(t, "west", "east")
	east, err := ReadCertificates(at("east/" + CertFile))
	if err != nil {
		t.Fatal(err)
	}
	pin := func(s string) {
		if err := os.WriteFile(at("pins"), []byte(s), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	pin(Fingerprint(east[0]) + "\n")
	r, err := Open(at("west/"+CertFile), at("west/"+KeyFile), []Partner{{Name: "east", CA: at("ca/" + CAFile), Pins: at("pins")}})
	if err != nil {
		t.Fatal(err)
	}
	state := &tls.ConnectionState{PeerCertificates: east}
	if who, err := r.Identify(state); who != "east" || err != nil {
		t.Fatalf("pinned: %q %v", who, err)
	}
	before := r.ownCertificate()
	if err := MakeCert(at("west"), at("ca"), "west", time.Hour); err != nil {
		t.Fatal(err)
	}
	pin("none of them, now\n")
	r.mu.Lock()
	r.checkedAt = time.Time{} // the next look is due
	r.mu.Unlock()
	if _, err := r.Identify(state); err == nil || !strings.Contains(err.Error(), "pins") {
		t.Errorf("off the pins: %v", err)
	}
	if string(r.ownCertificate().Certificate[0]) == string(before.Certificate[0]) {
		t.Error("the renewed certificate was not taken")
	}
	// A file that is broken leaves what was there.
	if err := os.WriteFile(at("west/"+CertFile), []byte("x"), 0o644); err != nil {
		t.Fatal(err)
	}
	r.mu.Lock()
	r.checkedAt = time.Time{}
	r.mu.Unlock()
	if r.ownCertificate() == nil {
		t.Error("a broken file took the certificate away")
	}
	if err := MakeCA(at("ca"), "again", time.Hour); err == nil {
		t.Error("an authority was replaced")
	}
}

// Callers that say nothing hold places for a moment only: one that proves who it
// is gets in soon.
func TestSilentCallersDoNotBlockOthers(t *testing.T) {
	at := makeCertificates(t, "west", "east")
	open := func(own, peer string) *Store {
		r, err := Open(at(own+"/"+CertFile), at(own+"/"+KeyFile), []Partner{{Name: peer, CA: at("ca/" + CAFile)}})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const places = 8
	k := Listen(ln, open("west", "east").ServerConfig(), places)
	defer func() { _ = k.Close() }()
	go func() {
		for {
			c, err := k.Accept()
			if err != nil {
				return
			}
			_, _ = fmt.Fprint(c, "hello")
			_ = c.Close()
		}
	}()
	for range 4 * places { // they say nothing, and stay
		c, err := net.Dial("tcp4", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	east := open("east", "west")
	end := time.Now().Add(4 * handshakeTimeout)
	for time.Now().Before(end) {
		c, err := tls.DialWithDialer(&net.Dialer{Timeout: time.Second}, "tcp4", ln.Addr().String(), east.ClientConfig("west"))
		if err != nil {
			time.Sleep(handshakeTimeout / 20)
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		b, _ := io.ReadAll(c)
		_ = c.Close()
		if string(b) == "hello" {
			return
		}
	}
	t.Error("silent callers kept a partner out")
}
