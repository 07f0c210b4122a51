// Package certs holds the identity that a process proves to another by mutual
// TLS 1.3, and the material for it. The identity of role, data centre and name
// stands in a URI of the certificate, since processes are addressed by IP number.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"hornbeamcove.example/core/wire"
)

const uriScheme = "hornbeamcove"

// Identity is what a certificate says of the process that holds it.
type Identity struct {
	Role   wire.Role
	Centre wire.DataCentreID
	Name   wire.HostID
}

// URL returns the form in which the identity stands in a certificate.
func (id Identity) URL() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(id.Role), Path: "/" + string(id.Centre) + "/" + string(id.Name)}
}

// String returns the identity as the text of its URL.
func (id Identity) String() string { return id.URL().String() }

// Errors that a handshake reports to the log of the side that refuses.
var (
	ErrNoIdentity = errors.New("certificate has no hornbeamcove identity")
	ErrWrongRole  = errors.New("certificate is for another role")
)

// ParseIdentity returns the identity in cert, or ErrNoIdentity.
func ParseIdentity(cert *x509.Certificate) (id Identity, err error) {
	for _, u := range cert.URIs {
		if u.Scheme != uriScheme {
			continue
		}
		parts := strings.Split(strings.TrimPrefix(u.Path, "/"), "/")
		if len(parts) != 2 || parts[0] == "" || parts[1] == "" {
			return id, fmt.Errorf("%w: %s", ErrNoIdentity, u)
		}
		return Identity{wire.Role(u.Host), wire.DataCentreID(parts[0]), wire.HostID(parts[1])}, nil
	}
	return id, ErrNoIdentity
}

// Material is a certificate, its key and the authorities to trust, each in PEM.
type Material struct {
	Cert      []byte
	Key       []byte
	Authority []byte
}

// ReadMaterial fills a Material from settings, each of which is PEM text or a file path.
func ReadMaterial(cert, key, authority string) (m Material, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read TLS material: %w", err)
		}
	}()
	if m.Cert, err = readPEM(cert); err != nil {
		return m, err
	}
	if m.Key, err = readPEM(key); err != nil {
		return m, err
	}
	m.Authority, err = readPEM(authority)
	return m, err
}

func readPEM(s string) ([]byte, error) {
	if strings.HasPrefix(strings.TrimSpace(s), "-----BEGIN") {
		return []byte(s), nil
	}
	return os.ReadFile(s)
}

type credentials struct {
	cert  tls.Certificate
	id    Identity
	roots *x509.CertPool
}

// Source serves the current material to TLS handshakes. Load replaces it for
// later handshakes; sessions that are open keep running. It is safe for
// concurrent use.
type Source struct {
	current  atomic.Pointer[credentials]
	onRefuse atomic.Pointer[func(error)]
	now      func() time.Time
}

// OnRefuse calls f with the reason of each peer that was refused; the peer itself
// is told no more than that its certificate is bad.
func (s *Source) OnRefuse(f func(error)) { s.onRefuse.Store(&f) }

// NewSource returns a Source with m loaded.
func NewSource(m Material) (s *Source, err error) {
	s = &Source{now: time.Now}
	return s, s.Load(m)
}

// Load checks m and puts it in force. On error the old material stays.
func (s *Source) Load(m Material) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load TLS material: %w", err)
		}
	}()
	cert, err := tls.X509KeyPair(m.Cert, m.Key)
	if err != nil {
		return err
	}
	id, err := ParseIdentity(cert.Leaf)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(m.Authority) {
		return errors.New("authority holds no PEM certificate")
	}
	s.current.Store(&credentials{cert, id, pool})
	return nil
}

// Identity returns the identity of the certificate in force.
func (s *Source) Identity() Identity { return s.current.Load().id }

// Expiry returns the end of validity of the certificate in force.
func (s *Source) Expiry() time.Time { return s.current.Load().cert.Leaf.NotAfter }

// ServerConfig returns the configuration of a listener that admits the given roles.
func (s *Source) ServerConfig(protocol string, roles ...wire.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().cert, nil
		},
		VerifyConnection: s.verifyPeer(x509.ExtKeyUsageClientAuth, roles),
	}
}

// ClientConfig returns the configuration of a dialler that admits the given roles.
func (s *Source) ClientConfig(protocol string, roles ...wire.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		// The library's check compares host names, which these certificates don't
		// hold; verify checks the chain and the identity instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().cert, nil
		},
		VerifyConnection: s.verifyPeer(x509.ExtKeyUsageServerAuth, roles),
	}
}

func (s *Source) verifyPeer(usage x509.ExtKeyUsage, roles []wire.Role) func(tls.ConnectionState) error {
	check := func(cs tls.ConnectionState) error {
		if len(cs.PeerCertificates) == 0 {
			return ErrNoIdentity
		}
		leaf := cs.PeerCertificates[0]
		inter := x509.NewCertPool()
		for _, c := range cs.PeerCertificates[1:] {
			inter.AddCert(c)
		}
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots:         s.current.Load().roots,
			Intermediates: inter,
			CurrentTime:   s.now(),
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return fmt.Errorf("peer certificate %s: %w", leaf.Subject.CommonName, err)
		}
		id, err := ParseIdentity(leaf)
		if err != nil {
			return err
		}
		for _, r := range roles {
			if id.Role == r {
				return nil
			}
		}
		return fmt.Errorf("peer certificate %s: %w %q", leaf.Subject.CommonName, ErrWrongRole, id.Role)
	}
	return func(cs tls.ConnectionState) error {
		err := check(cs)
		if f := s.onRefuse.Load(); err != nil && f != nil {
			(*f)(err)
		}
		return err
	}
}
