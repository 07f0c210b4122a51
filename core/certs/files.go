package certs

import (
	"bytes"
	"context"
	"fmt"
	"time"
)

// Files names the TLS material of a process; each entry is PEM text or a path.
type Files struct {
	Cert, Key, Authority string
}

// reloadInterval is the time between looks at the files, so that a rotated
// certificate is in use well before the old one expires.
const reloadInterval = 30 * time.Second

// Open reads the material and compares its identity with the settings.
func Open(f Files, want Identity) (s *Source, err error) {
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

// Watch loads the files again when they have changed, until ctx is done. Each
// reload and each failure is passed to report, with a nil error for a reload;
// after a failure the old material stays in force.
func (s *Source) Watch(ctx context.Context, f Files, report func(error)) error {
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

func (m Material) equal(o Material) bool {
	return bytes.Equal(m.Cert, o.Cert) && bytes.Equal(m.Key, o.Key) && bytes.Equal(m.Authority, o.Authority)
}
