package cove

import (
	"context"
	"encoding/json"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const dumpHelp = `Prints the whole state of each process given by -router as one JSON object with
the processes' addresses as names. Agents can be asked too. A dump holds no
secrets and nothing of what callers sent or received.`

func (a *app) dumpCommand(usage io.Writer) *ffcli.Command {
	return a.command(a.flagSet("dump", usage), nil, runTimeout, "print the state of any process", dumpHelp, a.dump)
}

func (a *app) dump(ctx context.Context, _ []string) error {
	got, failed := queryAll(ctx, a, func(ctx context.Context, c *client) (v json.RawMessage, err error) {
		err = c.get(ctx, "/state", nil, &v)
		return v, err
	})
	out := make(map[string]json.RawMessage, len(got))
	for _, g := range got {
		out[g.Router] = g.Answer
	}
	if len(got) > 0 {
		if err := a.json(out); err != nil {
			return err
		}
	}
	return a.reportFailures(len(got), failed)
}
