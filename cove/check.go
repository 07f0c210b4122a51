package cove

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hornbeamcove.example/core/admin"
)

const maxTicketSize = 1 << 20 // bytes

const checkHelp = `Sends a ticket to the first router that answers, which compares it with what is in
force there. Nothing is applied. The output names each object with what happens
to it and the fields that differ: "+" added, "~" changed, "-" deleted, "="
unchanged but for the ticket number, "!" no effect, since a ticket with the same
or a higher number has set it. Hashes of keys are compared and not shown.

FILE is the JSON text of the ticket; "-" reads standard input.
Exits with 4 when the ticket has errors.`

func (a *app) checkCommand(usage io.Writer) *ffcli.Command {
	return a.command(a.flagSet("check", usage), []string{"FILE"}, runTimeout, "show what a ticket would change", checkHelp, a.check)
}

func (a *app) check(ctx context.Context, args []string) error {
	text, err := a.readTicket(args[0])
	if err != nil {
		return err
	}
	var failed []failure
	for _, c := range a.clients {
		var out admin.Check
		err = c.do(ctx, http.MethodPost, "/v1/check", bytes.NewReader(text), &out)
		if err == nil {
			return a.printCheck(c.addr, &out)
		}
		failed = append(failed, failure{c.addr, err.Error(), err})
	}
	return a.reportFailures(0, failed)
}

func (a *app) readTicket(name string) (text []byte, err error) {
	in := a.In
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	text, err = io.ReadAll(io.LimitReader(in, maxTicketSize+1))
	if err == nil && len(text) > maxTicketSize {
		err = fmt.Errorf("%s: over %d bytes", name, maxTicketSize)
	}
	if err == nil && len(bytes.TrimSpace(text)) == 0 {
		err = errors.New("the ticket is empty")
	}
	return text, err
}

func (a *app) printCheck(router string, c *admin.Check) (err error) {
	if a.output == "json" {
		err = a.json(answer[*admin.Check]{router, c})
	} else {
		a.writeCheck(router, c)
	}
	if err == nil && !c.Valid {
		err = exitErrorf(ExitTicket, "ticket %d has errors", c.Number)
	}
	return err
}

var actionSigns = map[string]string{"add": "+", "change": "~", "delete": "-", "renumber": "="}

func (a *app) writeCheck(router string, c *admin.Check) {
	fmt.Fprintf(a.Out, "ticket %d against router %s at %s\n", c.Number, quoteUnprintable(string(c.Process)), router)
	for _, f := range c.Faults {
		note := ""
		if f.Pending {
			note = " (valid after a ticket that brings it)"
		}
		fmt.Fprintf(a.Out, "error: %s: %s%s\n", quoteUnprintable(f.Field), quoteUnprintable(f.Problem), note)
	}
	if c.Truncated {
		fmt.Fprintln(a.Out, "error: further errors are not shown")
	}
	for i := range c.Changes {
		a.writeChange(&c.Changes[i])
	}
	for _, s := range c.Skipped {
		fmt.Fprintf(a.Out, "! %s %s: no effect, ticket %d is in force\n", s.Kind, s.Name, s.Number)
	}
	if c.Valid {
		fmt.Fprintf(a.Out, "%d objects would change, %d have no effect\n", len(c.Changes), len(c.Skipped))
	}
}

func (a *app) writeChange(ch *admin.Change) {
	was := ""
	if ch.Old != nil {
		was = fmt.Sprintf(" (set by ticket %d)", ch.Old.Number)
	}
	fmt.Fprintf(a.Out, "%s %s %s%s\n", actionSigns[ch.Action], ch.Kind, ch.Name, was)
	before, after := objectFields(ch.Old), objectFields(ch.New)
	for _, f := range ch.Fields {
		fmt.Fprintf(a.Out, "    %s: %s -> %s\n", f, formatField(ch, before, f), formatField(ch, after, f))
	}
}

// formatField shows one field; the hash of a key is not in the answer.
func formatField(ch *admin.Change, fields map[string]json.RawMessage, name string) string {
	v, ok := fields[name]
	switch {
	case ok:
		return string(v)
	case fields != nil && ch.Kind == "key":
		return "(hidden)"
	default:
		return "none"
	}
}

// objectFields returns the fields of an object's own part.
func objectFields(o *admin.Object) (fields map[string]json.RawMessage) {
	if o == nil || o.Deleted {
		return nil
	}
	text, err := json.Marshal(o)
	if err != nil {
		return nil
	}
	var doc map[string]json.RawMessage
	if json.Unmarshal(text, &doc) != nil {
		return nil
	}
	_ = json.Unmarshal(doc[strings.ToLower(string(o.Kind))], &fields)
	return fields
}
