package conf

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strings"
	"sync"

	"github.com/peterbourgon/ff/v3"

	"hornbeamcove.example/core/schema"
	"hornbeamcove.example/core/wire"
)

var (
	routerSchema = sync.OnceValue(func() *schema.Validator { return schema.MustCompile(schema.Conf, "Router") })
	agentSchema  = sync.OnceValue(func() *schema.Validator { return schema.MustCompile(schema.Conf, "Agent") })
)

// LoadRouter reads the router's settings from its arguments and from the file
// that they name. Usage is written to out; for -h the error is flag.ErrHelp.
func LoadRouter(args []string, out io.Writer) (r Router, err error) {
	defer wrapLoadError(&err)
	if err = load(&r, "hbrouter", "Router", routerSchema(), args, out); err != nil {
		return Router{}, err
	}
	if err = r.check(); err != nil {
		return Router{}, err
	}
	return r, nil
}

// LoadAgent reads the agent's settings like LoadRouter.
func LoadAgent(args []string, out io.Writer) (a Agent, err error) {
	defer wrapLoadError(&err)
	if err = load(&a, "hbagent", "Agent", agentSchema(), args, out); err != nil {
		return Agent{}, err
	}
	if err = a.check(); err != nil {
		return Agent{}, err
	}
	return a, nil
}

func wrapLoadError(err *error) {
	if *err != nil {
		*err = fmt.Errorf("load settings: %w", *err)
	}
}

func load(into any, command, def string, v *schema.Validator, args []string, out io.Writer) error {
	fs := flag.NewFlagSet(command, flag.ContinueOnError)
	fs.SetOutput(out)
	fs.String("config", "", "path of the TOML file with settings")
	settings := newSettings(v.Leaves(def))
	for _, s := range settings {
		fs.Var(s, s.leaf.Path, fmt.Sprintf("%s Allowed: %s.", s.leaf.Node["description"], describeAllowed(s.leaf)))
	}
	err := ff.Parse(fs, args, ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(settings.parse))
	if err != nil {
		return err
	}
	if fs.NArg() > 0 {
		return fmt.Errorf("got the argument %q, want flags only", fs.Arg(0))
	}
	value := settings.value()
	if fault := v.Check(value); fault != nil {
		return fault
	}
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}

func (r Router) check() error {
	if err := checkAddresses("callers", r.Callers, "admin", r.Admin, "peer", r.Peer); err != nil {
		return err
	}
	for i := range r.Peers {
		if _, _, err := r.PeerAt(i); err != nil {
			return err
		}
	}
	return checkURL("platform", r.Platform)
}

func (a Agent) check() error {
	if err := checkAddresses("listen", a.Listen, "admin", a.Admin); err != nil {
		return err
	}
	return checkURL("url", a.URL)
}

// PeerAt splits entry i of Peers into the name and address of a router.
func (r Router) PeerAt(i int) (name wire.HostID, addr wire.Address, err error) {
	n, a, _ := strings.Cut(r.Peers[i], "=")
	if err = checkAddresses(fmt.Sprintf("peers.%d", i), wire.Address(a)); err != nil {
		return "", "", err
	}
	return wire.HostID(n), wire.Address(a), nil
}

// checkAddresses checks pairs of a key and its address.
func checkAddresses(pairs ...any) error {
	for i := 0; i < len(pairs); i += 2 {
		addr := pairs[i+1].(wire.Address)
		if _, err := netip.ParseAddrPort(string(addr)); err != nil {
			return &wire.FieldError{Field: pairs[i].(string), Value: addr, Want: "an IP address and a port from 0 to 65535"}
		}
	}
	return nil
}

func checkURL(key, text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" {
		return &wire.FieldError{Field: key, Value: text, Want: "a URL of the form http://ADDRESS:PORT"}
	}
	return nil
}
