// Package certs provides the TLS configurations with which processes authenticate
// each other by mutual TLS 1.3. The identity of a process consists of its role,
// data centre and host name. It is in a URI of the certificate, not in a DNS name,
// since processes are addressed by IP address.
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

// Identity identifies the process that holds a certificate.
type Identity struct {
	Role   wire.Role
	Centre wire.DataCentreID
	Name   wire.HostID
}

// URL returns the identity as the URI in a certificate, of the form
// hornbeamcove://role/centre/name.
func (id Identity) URL() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(id.Role), Path: "/" + string(id.Centre) + "/" + string(id.Name)}
}

// String returns the identity as the text of its URL.
func (id Identity) String() string { return id.URL().String() }

// Reasons to refuse a peer. The function set by OnRefuse may get them wrapped; for an
// invalid certificate chain it gets an error of crypto/x509.
var (
	ErrNoIdentity = errors.New("certificate has no hornbeamcove identity")
	ErrWrongRole  = errors.New("certificate is for another role")
)

// ParseIdentity returns the identity in cert. The error is ErrNoIdentity, possibly
// wrapped, if cert holds no valid one.
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

// Material holds a certificate with its private key, and the certificates of the
// trusted authorities, each as PEM text.
type Material struct {
	Cert      []byte
	Key       []byte
	Authority []byte
}

// ReadMaterial returns the material named by three settings, each of which is PEM
// text or a file path.
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

// readPEM returns s if it is PEM text, else the content of the file s.
func readPEM(s string) ([]byte, error) {
	if strings.HasPrefix(strings.TrimSpace(s), "-----BEGIN") {
		return []byte(s), nil
	}
	return os.ReadFile(s)
}

// credentials is parsed and checked Material.
type credentials struct {
	cert  tls.Certificate
	id    Identity
	roots *x509.CertPool
}

// Source supplies the current certificate and authorities to TLS handshakes. Load
// replaces them for later handshakes; open connections are not affected. It is
// safe for concurrent use.
type Source struct {
	current  atomic.Pointer[credentials]
	onRefuse atomic.Pointer[func(error)]
	now      func() time.Time // time at which certificates must be valid
}

// OnRefuse sets f to be called with the reason whenever a peer is refused. The peer
// itself learns only that its certificate is bad.
func (s *Source) OnRefuse(f func(error)) { s.onRefuse.Store(&f) }

// NewSource returns a Source that uses m.
func NewSource(m Material) (s *Source, err error) {
	s = &Source{now: time.Now}
	return s, s.Load(m)
}

// Load validates m and uses it for later handshakes. On error the previous material
// stays in use.
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
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(m.Authority) {
		return errors.New("authority holds no PEM certificate")
	}
	s.current.Store(&credentials{cert, id, roots})
	return nil
}

// Identity returns the identity in the current certificate.
func (s *Source) Identity() Identity { return s.current.Load().id }

// Expiry returns the time at which the current certificate expires.
func (s *Source) Expiry() time.Time { return s.current.Load().cert.Leaf.NotAfter }

// ServerConfig returns the TLS configuration of a listener that accepts peers with
// the given roles. The protocol is negotiated by ALPN.
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

// ClientConfig returns the TLS configuration of a client that accepts peers with the
// given roles. The protocol is negotiated by ALPN.
func (s *Source) ClientConfig(protocol string, roles ...wire.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		// The check of crypto/tls compares host names, which these certificates
		// don't contain. VerifyConnection checks the chain and the identity instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().cert, nil
		},
		VerifyConnection: s.verifyPeer(x509.ExtKeyUsageServerAuth, roles),
	}
}

// verifyPeer returns a function for tls.Config.VerifyConnection that checks the
// certificate chain, the key usage and the role of the peer.
func (s *Source) verifyPeer(usage x509.ExtKeyUsage, roles []wire.Role) func(tls.ConnectionState) error {
	check := func(cs tls.ConnectionState) error {
		if len(cs.PeerCertificates) == 0 {
			return ErrNoIdentity
		}
		leaf := cs.PeerCertificates[0]
		intermediates := x509.NewCertPool()
		for _, c := range cs.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots:         s.current.Load().roots,
			Intermediates: intermediates,
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
