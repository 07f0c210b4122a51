package cove

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Streams holds the standard streams of the command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// app holds the state of one run of the command.
type app struct {
	Streams
	options
	clients []*client
}

// runTimeout is the default timeout of all commands but drain; -timeout overrides it.
const runTimeout = 30 * time.Second

const longHelp = `cove asks the administration listeners of routers (and, for dump, agents) and
prints what they say. It changes nothing: a fleet is changed by publishing a
ticket, which "cove check" shows the effect of beforehand.

Start here:

  export COVE_ROUTER=10.0.0.1:7012,10.0.0.2:7012   # one or more routers
  export COVE_CREDENTIAL_FILE=~/.cove-credential   # or COVE_CREDENTIAL
  cove list upstreams          # what can each router use, and why not
  cove refusals -since 15m     # who was refused what
  cove check change.json       # what would this ticket change
  cove drain palermo           # wait until a data centre has no work
  cove explain request.txt     # where would hbentry send this request now

Each flag below can be set by an environment variable too: COVE_ROUTER,
COVE_CREDENTIAL_FILE, COVE_O and COVE_TIMEOUT.

EXIT CODES
  0  done
  1  error; no router answered
  2  wrong usage
  3  partial: some routers were not reached, which ones is on standard error
  4  the ticket has errors
  5  the time was over before the end`

// Run runs the command with args, which don't include the program's name, and returns
// one of the Exit codes. It prints errors to s.Err.
func Run(ctx context.Context, args []string, s Streams) int {
	a := &app{Streams: s, options: options{output: "text"}}
	var usage bytes.Buffer
	root := a.commands(&usage)
	err := root.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		_, _ = s.Out.Write(usage.Bytes())
		return ExitOK
	case err != nil:
		fmt.Fprintf(s.Err, "cove: %v\nRun cove --help for help.\n", err)
		return ExitUsage
	}
	err = root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		_, _ = s.Out.Write(usage.Bytes())
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(s.Err, "cove:", err)
	}
	return exitCode(err)
}

// commands builds the command tree. The flag packages print help and errors to usage.
func (a *app) commands(usage io.Writer) *ffcli.Command {
	root := &ffcli.Command{
		Name: "cove", ShortUsage: "cove [flags] COMMAND [flags] [NAME|FILE]", ShortHelp: "Show what a fleet's routers and agents do.",
		LongHelp: longHelp, FlagSet: a.flagSet("cove", usage), Options: []ff.Option{ff.WithEnvVarPrefix("COVE")},
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return exitErrorf(ExitUsage, "no command given; run cove --help for help")
			}
			return exitErrorf(ExitUsage, "unknown command %q; run cove --help for help", args[0])
		},
	}
	root.Subcommands = []*ffcli.Command{
		a.checkCommand(usage), a.listCommand(usage), a.dumpCommand(usage),
		a.accountsCommand(usage, refusals), a.accountsCommand(usage, costs), a.drainCommand(usage), a.explainCommand(usage),
	}
	return root
}

// flagSet returns a flag set with the flags that all commands share.
func (a *app) flagSet(name string, usage io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(usage)
	a.register(fs)
	return fs
}

// command returns a subcommand that takes the positional arguments in argNames, of which those in
// brackets may be left out. It creates the clients with the operator's credential and calls exec
// with a timeout, which -timeout overrides.
func (a *app) command(fs *flag.FlagSet, argNames []string, timeout time.Duration, short, long string, exec func(context.Context, []string) error) *ffcli.Command {
	return a.commandWith(a.credential, fs, argNames, timeout, short, long, exec)
}

// commandWith is command for processes that want the credential that the given function returns.
func (a *app) commandWith(credential func() (string, error), fs *flag.FlagSet, argNames []string, timeout time.Duration, short, long string, exec func(context.Context, []string) error) *ffcli.Command {
	required := slices.IndexFunc(argNames, func(n string) bool { return strings.HasPrefix(n, "[") })
	if required < 0 {
		required = len(argNames)
	}
	usageLine := strings.TrimSpace(fmt.Sprintf("cove %s [flags] %s", fs.Name(), strings.Join(argNames, " ")))
	return &ffcli.Command{
		Name: fs.Name(), ShortUsage: usageLine, ShortHelp: short, LongHelp: long, FlagSet: fs,
		Exec: func(ctx context.Context, got []string) error {
			got, err := parseInterleaved(fs, got)
			if err != nil {
				return err
			}
			if len(got) < required || len(got) > len(argNames) {
				return exitErrorf(ExitUsage, "got %d arguments, want %d: %s", len(got), len(argNames), usageLine)
			}
			if err = a.createClients(credential); err != nil {
				return err
			}
			if a.timeout > 0 {
				timeout = a.timeout
			}
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			err = exec(ctx, got)
			if err != nil && exitCode(err) == ExitError && ctx.Err() == context.DeadlineExceeded {
				return exitErrorf(ExitTimeout, "timed out after %s: %w", timeout, err)
			}
			return err
		},
	}
}

// parseInterleaved parses flags that stand between or after positional arguments and
// returns the positional ones. A lone "-" is positional.
func parseInterleaved(fs *flag.FlagSet, args []string) (positional []string, err error) {
	for len(args) > 0 {
		if len(args[0]) < 2 || args[0][0] != '-' {
			positional, args = append(positional, args[0]), args[1:]
			continue
		}
		err = fs.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		if err != nil {
			return nil, exitErrorf(ExitUsage, "%w", err)
		}
		args = fs.Args()
	}
	return positional, nil
}

// createClients creates a client for each router address; no connection is opened yet.
func (a *app) createClients(credentialOf func() (string, error)) error {
	if len(a.routers) == 0 {
		return exitErrorf(ExitUsage, "no router: set -router or COVE_ROUTER")
	}
	credential, err := credentialOf()
	if err != nil {
		return err
	}
	for _, addr := range a.routers {
		a.clients = append(a.clients, newClient(addr, credential))
	}
	return nil
}
