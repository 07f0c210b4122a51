package cove

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hornbeamcove.example/core/admin"
)

const (
	drainTimeout      = 10 * time.Minute
	drainPollInterval = 500 * time.Millisecond
	drainQueryTimeout = 3 * time.Second // for one round, so that a silent router does not hide the others
	// requiredDrainedRounds is the number of rounds in a row in which no router may have
	// work: a stage that was placed just before the change may not be counted yet.
	requiredDrainedRounds = 2
)

const drainHelp = `Follows a data centre that a ticket has taken out, until it has no work and gets no
new work on any router given. It takes nothing out by itself: publish a ticket
with the centre's state "out" first. A router that still has the centre in counts
as not done.

OWN counts a router's calls under way there; FLIGHT those of all routers, as the
agents last reported, at most 15 s ago.

A line is printed for each change. Exits with 0 when all routers are done, with 3
when the time is over and the routers not done could not be reached, with 5 when
the time is over and work was still under way.`

func (a *app) drainCommand(usage io.Writer) *ffcli.Command {
	return a.command(a.flagSet("drain", usage), []string{"CENTRE"}, drainTimeout, "follow a data centre until no work is under way there", drainHelp, a.drain)
}

// drainState is what one router last said, or why it said nothing.
type drainState struct {
	Router      string `json:"router"`
	CentreState string `json:"state"` // in or out
	Eligible    int    `json:"eligible"`
	OwnInFlight int64  `json:"own"`
	InFlight    int64  `json:"flight"`
	Drained     bool   `json:"quiet"`
	Error       string `json:"error,omitempty"`
}

// drainResult is the output for scripts.
type drainResult struct {
	Centre  string       `json:"centre"`
	Done    bool         `json:"done"`
	Millis  int64        `json:"millis"`
	Routers []drainState `json:"routers"`
}

func (a *app) drain(ctx context.Context, args []string) error {
	begun := time.Now()
	out := drainResult{Centre: args[0]}
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for quiet := 0; ; {
		now, known := a.queryDrain(ctx, args[0])
		if ctx.Err() == nil || out.Routers == nil {
			a.printDrainChanges(begun, out.Routers, now)
			out.Routers = now
		}
		if !known {
			return exitErrorf(ExitError, "no router knows data centre %q", args[0])
		}
		if quiet++; !allDrained(now) {
			quiet = 0
		}
		out.Done = quiet >= requiredDrainedRounds
		if !out.Done {
			select {
			case <-tick.C:
				continue
			case <-ctx.Done():
			}
		}
		out.Millis = time.Since(begun).Milliseconds()
		return a.finishDrain(&out)
	}
}

// queryDrain asks all routers once. known is false when each of them says that
// there is no such data centre.
func (a *app) queryDrain(ctx context.Context, name string) (states []drainState, known bool) {
	ctx, cancel := context.WithTimeout(ctx, drainQueryTimeout)
	defer cancel()
	got, failed := queryAll(ctx, a, func(ctx context.Context, c *client) (v admin.Centre, err error) {
		err = c.get(ctx, "/v1/centres/"+url.PathEscape(name), url.Values{"limit": {"1"}}, &v)
		return v, err
	})
	known = len(got) > 0
	for _, g := range got {
		v := &g.Answer
		states = append(states, drainState{
			Router: g.Router, CentreState: string(v.State), Eligible: v.Eligible, OwnInFlight: v.OwnInFlight, InFlight: int64(v.InFlight), Drained: v.Drained(),
		})
	}
	for _, f := range failed {
		var se *statusError
		if !errors.As(f.err, &se) || se.status != http.StatusNotFound {
			known = true
		}
		states = append(states, drainState{Router: f.Router, Error: f.Error})
	}
	return states, known
}

func allDrained(states []drainState) bool {
	for i := range states {
		if !states[i].Drained {
			return false
		}
	}
	return true
}

// printDrainChanges prints the routers whose state changed since the last round.
func (a *app) printDrainChanges(begun time.Time, before, now []drainState) {
	if a.output == "json" {
		return
	}
	last := make(map[string]drainState, len(before))
	for _, s := range before {
		last[s.Router] = s
	}
	for _, s := range now {
		if old, ok := last[s.Router]; ok && old == s {
			continue
		}
		at := time.Since(begun).Round(100 * time.Millisecond)
		switch {
		case s.Error != "":
			fmt.Fprintf(a.Out, "%-6s  %s  not asked: %s\n", at, s.Router, s.Error)
		case s.Drained:
			fmt.Fprintf(a.Out, "%-6s  %s  out, no work (flight %d)\n", at, s.Router, s.InFlight)
		default:
			fmt.Fprintf(a.Out, "%-6s  %s  %s, eligible %d, own %d, flight %d\n", at, s.Router, s.CentreState, s.Eligible, s.OwnInFlight, s.InFlight)
		}
	}
}

func (a *app) finishDrain(out *drainResult) error {
	if a.output == "json" {
		if err := a.json(out); err != nil {
			return err
		}
	}
	if out.Done {
		if a.output != "json" {
			fmt.Fprintf(a.Out, "%s has no work on %d routers\n", quoteUnprintable(out.Centre), len(out.Routers))
		}
		return nil
	}
	busy, lost := 0, 0
	for _, s := range out.Routers {
		switch {
		case s.Error != "":
			lost++
		case !s.Drained:
			busy++
		}
	}
	if busy == 0 && lost > 0 && lost < len(out.Routers) {
		return exitErrorf(ExitPartial, "%s has no work on %d routers; %d could not be asked", quoteUnprintable(out.Centre), len(out.Routers)-lost, lost)
	}
	return exitErrorf(ExitTimeout, "not done after %s: %d routers with work or not yet out, %d not asked", time.Duration(out.Millis)*time.Millisecond, busy, lost)
}
