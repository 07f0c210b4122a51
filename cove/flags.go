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
	maxRouters        = 512
	maxCredentialSize = 4 << 10 // bytes
	credentialEnv     = "COVE_CREDENTIAL"
)

// options are the flags that all commands share; they may stand before or after
// the command's name.
type options struct {
	routers        []string
	credentialFile string
	output         string
	timeout        time.Duration // 0 for the command's own
}

// listFlag is a flag that may be repeated and holds comma-separated values. The
// first value of one flag set replaces those of another.
type listFlag struct {
	values *[]string
	set    bool
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
			return errors.New("an address is empty")
		}
		*l.values = append(*l.values, v)
	}
	if len(*l.values) > maxRouters {
		return fmt.Errorf("more than %d addresses", maxRouters)
	}
	return nil
}

// choiceFlag is a flag with a fixed set of values.
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

func (o *options) register(fs *flag.FlagSet) {
	fs.Var(&listFlag{values: &o.routers}, "router", "`address` of an administration listener, HOST:PORT or a URL; may be repeated")
	fs.StringVar(&o.credentialFile, "credential-file", o.credentialFile, "`file` with the operator's credential; without it "+credentialEnv+" holds the credential")
	fs.Var(&choiceFlag{&o.output, []string{"text", "json"}}, "o", "output `form`, text or json")
	fs.DurationVar(&o.timeout, "timeout", o.timeout, "longest `time` that the command takes; 0 for its own, 30s or 10m for drain")
}

// credential reads the operator's credential. It is no flag, since arguments of a
// process are visible to others on its host.
func (o *options) credential() (s string, err error) {
	if o.credentialFile == "" {
		s = os.Getenv(credentialEnv)
	} else if s, err = readCredential(o.credentialFile); err != nil {
		return "", exitErrorf(ExitUsage, "credential: %w", err)
	}
	if s = strings.TrimSpace(s); s == "" {
		return "", exitErrorf(ExitUsage, "no credential: set -credential-file or %s", credentialEnv)
	}
	return s, nil
}

func readCredential(name string) (string, error) {
	f, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxCredentialSize))
	return string(data), err
}
