package certs

import (
	"bytes"
	"context"
	"fmt"
	"time"
)

// Settings holds the TLS settings of a process; each field is PEM text or a file path.
type Settings struct {
	Cert, Key, Authority string
}

// reloadInterval is the time between checks of the files for changes. It is short
// so that a rotated certificate is in use well before the old one expires.
const reloadInterval = 30 * time.Second

// Open reads the material and returns a Source that uses it. It is an error if the
// certificate is not for the identity want.
func Open(f Settings, want Identity) (s *Source, err error) {
	defer func() {
		if err != nil {
			s, err = nil, fmt.Errorf("open TLS material: %w", err)
		}
	}()
	m, err := ReadMaterial(f.Cert, f.Key, f.Authority)
	if err != nil {
		return nil, err
	}
	if s, err = NewSource(m); err != nil {
		return nil, err
	}
	if id := s.Identity(); id != want {
		return nil, fmt.Errorf("certificate is for %s, settings say %s", id, want)
	}
	return s, nil
}

// Watch reloads the files when they change, until ctx is done, and returns the
// error of ctx. It calls report with nil after each reload and with the error after
// each failed one; after a failure the previous material stays in use.
func (s *Source) Watch(ctx context.Context, f Settings, report func(error)) error {
	last, _ := ReadMaterial(f.Cert, f.Key, f.Authority)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		m, err := ReadMaterial(f.Cert, f.Key, f.Authority)
		if err == nil && m.equal(last) {
			continue
		}
		if err == nil {
			err = s.Load(m)
		}
		if err == nil {
			last = m
		}
		report(err)
	}
}

// equal reports whether m and other hold the same bytes.
func (m Material) equal(other Material) bool {
	return bytes.Equal(m.Cert, other.Cert) && bytes.Equal(m.Key, other.Key) && bytes.Equal(m.Authority, other.Authority)
}
