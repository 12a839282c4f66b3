package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// TLSFiles holds the paths of PEM files. After a change of one of them, the files
// are reloaded at the next handshake; open connections remain until the remote
// certificate expires.
type TLSFiles struct {
	// Certificate is the certificate of this host. Its DNS names include the host
	// and its organizational units, if it has any, include the role. Key is its
	// private key.
	Certificate string
	Key         string
	// Authority holds the certificates of the authorities trusted to sign peer
	// certificates.
	Authority string
}

// credentials is the loaded content of TLSFiles.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// certificates loads TLSFiles and reloads them after a change.
type certificates struct {
	files TLSFiles
	stats *stats

	mu      sync.Mutex
	stamps  [3]fileStamp
	current *credentials
}

// fileStamp is compared to detect a change of a file.
type fileStamp struct {
	modified time.Time
	size     int64
}

func newCertificates(files TLSFiles, s *stats) (*certificates, error) {
	c := &certificates{files: files, stats: s}
	stamps, err := c.stat()
	if err != nil {
		return nil, err
	}
	c.current, err = files.load()
	c.stamps = stamps
	return c, err
}

func (c *certificates) stat() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, eris.Wrap(err, "peer: tls file")
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (f TLSFiles) load() (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, eris.Wrap(err, "peer: tls certificate and key")
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, eris.Wrap(err, "peer: tls authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("peer: tls authority: no certificate in %s", f.Authority)
	}
	return &credentials{certificate: certificate, authority: pool}, nil
}

// latest returns the credentials in the files. While the files are replaced one by
// one they may not match; the previous credentials then stay in use and the next
// handshake tries to load the files again.
func (c *certificates) latest() *credentials {
	c.mu.Lock()
	defer c.mu.Unlock()
	stamps, err := c.stat()
	if err == nil && stamps == c.stamps {
		return c.current
	}
	var loaded *credentials
	if err == nil {
		loaded, err = c.files.load()
	}
	if err != nil {
		c.stats.reloadFails.Inc()
		return c.current
	}
	c.stats.reloads.Inc()
	c.current, c.stamps = loaded, stamps
	return c.current
}

func (c *certificates) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.latest().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, x509.ExtKeyUsageClientAuth)
		},
	}
}

// clientConfig disables the verification of crypto/tls, which requires the host
// name of an address before dialling. Instead, verify checks the chain and the
// hello exchange checks that the certificate names the host.
func (c *certificates) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		NextProtos:         []string{"http/1.1"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.latest().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, x509.ExtKeyUsageServerAuth)
		},
	}
}

// verify checks the certificate chain of the remote side.
func (c *certificates) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return &RefusedError{Reason: RefusedCertificate, Detail: "no certificate was shown"}
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         c.latest().authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return &RefusedError{Reason: RefusedCertificate, Detail: err.Error()}
	}
	return nil
}

// leaf returns the verified leaf certificate of a connection, nil without TLS.
func leaf(state *tls.ConnectionState) *x509.Certificate {
	if state == nil || len(state.PeerCertificates) == 0 {
		return nil
	}
	return state.PeerCertificates[0]
}
