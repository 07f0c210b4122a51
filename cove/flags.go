package cove

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

const (
	maxRouters        = 512     // addresses in all -router flags
	maxCredentialSize = 4 << 10 // bytes
	credentialEnv     = "COVE_CREDENTIAL"
)

// options holds the flags that all commands share. They may stand before or after
// the command's name.
type options struct {
	routers        []string
	credentialFile string
	output         string        // "text" or "json"
	timeout        time.Duration // 0 selects the command's default
}

// listFlag is a repeatable flag with comma-separated values. Its first use in a flag
// set replaces the values from other flag sets, for example those before the
// command's name.
type listFlag struct {
	values *[]string
	set    bool // whether this flag set has replaced the values
}

func (l *listFlag) String() string {
	if l.values == nil {
		return ""
	}
	return strings.Join(*l.values, ",")
}

// Set implements flag.Value.
func (l *listFlag) Set(s string) error {
	if !l.set {
		*l.values, l.set = nil, true
	}
	for _, v := range strings.Split(s, ",") {
		if v = strings.TrimSpace(v); v == "" {
			return errors.New("empty address")
		}
		*l.values = append(*l.values, v)
	}
	if len(*l.values) > maxRouters {
		return fmt.Errorf("more than %d addresses", maxRouters)
	}
	return nil
}

// choiceFlag is a flag that accepts a fixed set of values.
type choiceFlag struct {
	value   *string
	allowed []string
}

func (c *choiceFlag) String() string {
	if c.value == nil {
		return ""
	}
	return *c.value
}

// Set implements flag.Value.
func (c *choiceFlag) Set(s string) error {
	for _, v := range c.allowed {
		if s == v {
			*c.value = s
			return nil
		}
	}
	return fmt.Errorf("want %s", strings.Join(c.allowed, " or "))
}

// register adds the shared flags to fs, with the current values as defaults.
func (o *options) register(fs *flag.FlagSet) {
	fs.Var(&listFlag{values: &o.routers}, "router", "`address` of an administration listener, HOST:PORT or a URL; may be repeated")
	fs.StringVar(&o.credentialFile, "credential-file", o.credentialFile, "`file` with the operator's credential; without it "+credentialEnv+" holds the credential")
	fs.Var(&choiceFlag{&o.output, []string{"text", "json"}}, "o", "output `form`, text or json")
	fs.DurationVar(&o.timeout, "timeout", o.timeout, "longest `time` that the command takes; 0 for its own, 30s or 10m for drain")
}

// credential returns the operator's credential, from a file or the environment. No
// flag takes it, since other users of the host can see a process's arguments.
func (o *options) credential() (s string, err error) {
	if s, err = readSecret(o.credentialFile, credentialEnv); err != nil {
		return "", exitErrorf(ExitUsage, "read credential: %w", err)
	}
	if s == "" {
		return "", exitErrorf(ExitUsage, "no credential: set -credential-file or %s", credentialEnv)
	}
	return s, nil
}

// readSecret returns the first maxCredentialSize bytes of a file without the space around them, or
// the value of an environment variable if name is empty.
func readSecret(name, env string) (s string, err error) {
	if name == "" {
		return strings.TrimSpace(os.Getenv(env)), nil
	}
	f, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxCredentialSize))
	return strings.TrimSpace(string(data)), err
}
