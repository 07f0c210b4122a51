// Command hbcerts issues certificates for running the processes on one machine during
// development. In production the platform issues them.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"hornbeamcove.example/core/certs"
	"hornbeamcove.example/core/wire"
)

const (
	keyFileMode  = 0o600
	certFileMode = 0o644
	dirMode      = 0o755
)

func main() {
	dir := flag.String("dir", "certs", "directory to write to")
	validity := flag.Duration("life", 24*time.Hour, "validity period of the certificates")
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: hbcerts [-dir DIR] [-life DURATION] ROLE/CENTRE/NAME ...")
		flag.PrintDefaults()
	}
	flag.Parse()
	if err := run(*dir, *validity, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "hbcerts:", err)
		os.Exit(1)
	}
}

// run creates a new authority and writes its certificate, and a certificate and key for
// each identity in args, to dir.
func run(dir string, validity time.Duration, args []string) (err error) {
	if len(args) == 0 {
		return errors.New("no identity given: want ROLE/CENTRE/NAME, for example router/palermo/r1")
	}
	authority, err := certs.NewAuthority()
	if err != nil {
		return err
	}
	if err = os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	if err = os.WriteFile(filepath.Join(dir, "authority.pem"), authority.PEM(), certFileMode); err != nil {
		return err
	}
	for _, arg := range args {
		if err = issue(authority, dir, validity, arg); err != nil {
			return err
		}
	}
	return nil
}

// issue writes the certificate and key for one identity of the form ROLE/CENTRE/NAME.
func issue(authority *certs.Authority, dir string, validity time.Duration, arg string) error {
	parts := strings.Split(arg, "/")
	if len(parts) != 3 || parts[0] != string(wire.RoleRouter) && parts[0] != string(wire.RoleAgent) {
		return fmt.Errorf("identity %q: want ROLE/CENTRE/NAME with role router or agent", arg)
	}
	id := certs.Identity{Role: wire.Role(parts[0]), Centre: wire.DataCentreID(parts[1]), Name: wire.HostID(parts[2])}
	m, err := authority.Issue(id, time.Now().Add(validity))
	if err != nil {
		return err
	}
	base := filepath.Join(dir, parts[2])
	if err = os.WriteFile(base+".pem", m.Cert, certFileMode); err != nil {
		return err
	}
	return os.WriteFile(base+"-key.pem", m.Key, keyFileMode)
}
