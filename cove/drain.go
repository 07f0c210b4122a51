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
	drainTimeout      = 10 * time.Minute // default; -timeout overrides it
	drainPollInterval = 500 * time.Millisecond
	drainQueryTimeout = 3 * time.Second // limit of one round, so that an unresponsive router does not delay the output of the others
	// requiredDrainedRounds is the number of consecutive rounds in which all routers must
	// be drained: a stage that was placed just before the change may not be counted yet.
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

// drainState is the state of the data centre as one router last reported it, or the
// error of the query.
type drainState struct {
	Router      string `json:"router"`
	CentreState string `json:"state"`    // "in" or "out"
	Eligible    int    `json:"eligible"` // upstreams that may get new work from the router
	OwnInFlight int64  `json:"own"`      // calls of this router in flight
	InFlight    int64  `json:"flight"`   // calls of all routers in flight, as the agents last reported
	Drained     bool   `json:"quiet"`    // whether the data centre is out and has no calls of the router
	Error       string `json:"error,omitempty"`
}

// drainResult is the JSON output of the command.
type drainResult struct {
	Centre  string       `json:"centre"`
	Done    bool         `json:"done"`
	Millis  int64        `json:"millis"`
	Routers []drainState `json:"routers"`
}

// drain polls the routers until all are drained for requiredDrainedRounds or ctx ends.
func (a *app) drain(ctx context.Context, args []string) error {
	start := time.Now()
	out := drainResult{Centre: args[0]}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for drainedRounds := 0; ; {
		states, known := a.queryDrain(ctx, args[0])
		// The errors of a round that the end of ctx cut short do not replace the states
		// of the round before.
		if ctx.Err() == nil || out.Routers == nil {
			a.printDrainChanges(start, out.Routers, states)
			out.Routers = states
		}
		if !known {
			return exitErrorf(ExitError, "no router knows data centre %q", args[0])
		}
		if drainedRounds++; !allDrained(states) {
			drainedRounds = 0
		}
		out.Done = drainedRounds >= requiredDrainedRounds
		if !out.Done {
			select {
			case <-ticker.C:
				continue
			case <-ctx.Done():
			}
		}
		out.Millis = time.Since(start).Milliseconds()
		return a.finishDrain(&out)
	}
}

// queryDrain queries all routers once. known is false if every one of them answers
// that the data centre does not exist.
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

// printDrainChanges prints the state of each router that changed since the last round.
// JSON output has no such lines.
func (a *app) printDrainChanges(start time.Time, previous, current []drainState) {
	if a.output == "json" {
		return
	}
	last := make(map[string]drainState, len(previous))
	for _, s := range previous {
		last[s.Router] = s
	}
	for _, s := range current {
		if old, ok := last[s.Router]; ok && old == s {
			continue
		}
		elapsed := time.Since(start).Round(100 * time.Millisecond)
		switch {
		case s.Error != "":
			fmt.Fprintf(a.Out, "%-6s  %s  not asked: %s\n", elapsed, s.Router, s.Error)
		case s.Drained:
			fmt.Fprintf(a.Out, "%-6s  %s  out, no work (flight %d)\n", elapsed, s.Router, s.InFlight)
		default:
			fmt.Fprintf(a.Out, "%-6s  %s  %s, eligible %d, own %d, flight %d\n", elapsed, s.Router, s.CentreState, s.Eligible, s.OwnInFlight, s.InFlight)
		}
	}
}

// finishDrain prints the result and returns the error that sets the exit code.
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
	notDrained, failed := 0, 0
	for _, s := range out.Routers {
		switch {
		case s.Error != "":
			failed++
		case !s.Drained:
			notDrained++
		}
	}
	if notDrained == 0 && failed > 0 && failed < len(out.Routers) {
		return exitErrorf(ExitPartial, "%s has no work on %d routers; %d could not be asked", quoteUnprintable(out.Centre), len(out.Routers)-failed, failed)
	}
	return exitErrorf(ExitTimeout, "not done after %s: %d routers with work or not yet out, %d not asked", time.Duration(out.Millis)*time.Millisecond, notDrained, failed)
}
