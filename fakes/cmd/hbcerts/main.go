// Command hbcerts writes certificates for trying the processes out on one
// machine. A platform issues real ones.
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
	dir := flag.String("dir", "certs", "folder to write to")
	life := flag.Duration("life", 24*time.Hour, "validity of the certificates")
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: hbcerts [-dir DIR] [-life DURATION] ROLE/CENTRE/NAME ...")
		flag.PrintDefaults()
	}
	flag.Parse()
	if err := run(*dir, *life, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "hbcerts:", err)
		os.Exit(1)
	}
}

func run(dir string, life time.Duration, args []string) (err error) {
	if len(args) == 0 {
		return errors.New("no identity: want ROLE/CENTRE/NAME, for instance router/palermo/r1")
	}
	a, err := certs.NewAuthority()
	if err != nil {
		return err
	}
	if err = os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	if err = os.WriteFile(filepath.Join(dir, "authority.pem"), a.PEM(), certFileMode); err != nil {
		return err
	}
	for _, arg := range args {
		if err = issue(a, dir, life, arg); err != nil {
			return err
		}
	}
	return nil
}

func issue(a *certs.Authority, dir string, life time.Duration, arg string) error {
	parts := strings.Split(arg, "/")
	if len(parts) != 3 || parts[0] != string(wire.RoleRouter) && parts[0] != string(wire.RoleAgent) {
		return fmt.Errorf("identity %q: want ROLE/CENTRE/NAME with role router or agent", arg)
	}
	id := certs.Identity{Role: wire.Role(parts[0]), Centre: wire.DataCentreID(parts[1]), Name: wire.HostID(parts[2])}
	m, err := a.Issue(id, time.Now().Add(life))
	if err != nil {
		return err
	}
	base := filepath.Join(dir, parts[2])
	if err = os.WriteFile(base+".pem", m.Cert, certFileMode); err != nil {
		return err
	}
	return os.WriteFile(base+"-key.pem", m.Key, keyFileMode)
}
