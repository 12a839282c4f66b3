package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	der         []byte
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key := newTestKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{certificate: certificate, der: der, key: key}
}

func newTestKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// issue writes the TLS files of a host to folder.
func (a *authority) issue(t *testing.T, folder, host string, roles ...string) TLSFiles {
	key := newTestKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{OrganizationalUnit: roles},
		DNSNames:     []string{host},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := TLSFiles{
		Certificate: filepath.Join(folder, "host.crt"),
		Key:         filepath.Join(folder, "host.key"),
		Authority:   filepath.Join(folder, "authority.crt"),
	}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.Authority, "CERTIFICATE", a.der)
	return files
}

func writePEM(t *testing.T, name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// serveTLS starts a server with certificates on loopback.
func serveTLS(t *testing.T, files TLSFiles) (*Transport, string) {
	options := Options{Cluster: testCluster, Self: self("b", 1), TLS: &files}
	b, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(methodEcho, port.PeerHandlerFunc(echo))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = b.Serve(listener) }()
	t.Cleanup(func() { _ = b.Close(within(time.Second)) })
	return b, listener.Addr().String()
}

func callTLS(t *testing.T, address string, files *TLSFiles) error {
	options := Options{Cluster: testCluster, Self: self("a", 1), TLS: files}
	if files == nil {
		options.Key = testKey
	}
	a, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Close(within(time.Second)) }()
	_, err = a.Call(within(20*time.Second), address, methodEcho, nil)
	return err
}

// Hosts with certificates of the deployment connect. A host with a certificate of
// another authority, of another host or of another role, and a host without TLS,
// are refused; the caller can distinguish the error from that of a host that is down.
func TestMutualCertificates(t *testing.T) {
	good := newAuthority(t)
	_, address := serveTLS(t, good.issue(t, t.TempDir(), "b"))
	own := good.issue(t, t.TempDir(), "a")
	foreign := newAuthority(t).issue(t, t.TempDir(), "a")
	mixed := foreign
	mixed.Authority = own.Authority
	borrowed := good.issue(t, t.TempDir(), "c")
	entry := good.issue(t, t.TempDir(), "a", "entry")
	control := good.issue(t, t.TempDir(), "a", "control")
	cases := map[string]struct {
		files  *TLSFiles
		reason RefusalReason
	}{
		"own":               {files: &own},
		"foreign server":    {files: &foreign, reason: RefusedCertificate},
		"foreign client":    {files: &mixed, reason: RefusedCertificate},
		"another host's":    {files: &borrowed, reason: RefusedCertificate},
		"own role":          {files: &control},
		"another role":      {files: &entry, reason: RefusedCertificate},
		"no TLS on our end": {files: nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			err := callTLS(t, address, test.files)
			if test.files != nil && test.reason == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if !errors.Is(err, port.ErrPeerNotSent) {
				t.Fatalf("got %v", err)
			}
			var refused *RefusedError
			if test.reason != "" && (!errors.As(err, &refused) || refused.Reason != test.reason) {
				t.Fatalf("got %v, want %s", err, test.reason)
			}
		})
	}
}

// An operator moves the deployment to a new authority by replacing files. The
// processes must use them from the next handshake on without a restart, and a
// half-replaced set of files must not stop the listener.
func TestCertificatesAreReloaded(t *testing.T) {
	folder := t.TempDir()
	old := newAuthority(t)
	b, address := serveTLS(t, old.issue(t, folder, "b"))
	oldClient := old.issue(t, t.TempDir(), "a")
	if err := callTLS(t, address, &oldClient); err != nil {
		t.Fatal(err)
	}
	broken := filepath.Join(folder, "host.crt")
	kept, err := os.ReadFile(broken)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(broken, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := callTLS(t, address, &oldClient); err != nil {
		t.Fatalf("a half-written file stopped the listener: %v", err)
	}
	if b.stats.reloadFails.Get() == 0 {
		t.Fatal("the failed reload is not counted")
	}
	if err := os.WriteFile(broken, kept, 0o600); err != nil {
		t.Fatal(err)
	}
	next := newAuthority(t)
	next.issue(t, folder, "b")
	for _, name := range []string{"host.crt", "host.key", "authority.crt"} {
		later := time.Now().Add(time.Minute)
		if err := os.Chtimes(filepath.Join(folder, name), later, later); err != nil {
			t.Fatal(err)
		}
	}
	newClient := next.issue(t, t.TempDir(), "a")
	if err := callTLS(t, address, &newClient); err != nil {
		t.Fatalf("the new certificate is not in use: %v", err)
	}
	if err := callTLS(t, address, &oldClient); !errors.Is(err, port.ErrPeerRefused) {
		t.Fatalf("the old authority is still trusted: %v", err)
	}
}
