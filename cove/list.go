package cove

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hornbeamcove.example/core/admin"
	"hornbeamcove.example/core/wire"
)

const listHelp = `Lists one kind of thing as each router sees it. Configuration is the same on all
routers a few seconds after a ticket; upstreams, tickets and quarantines are
each router's own view.

  teams        weight, share of all weights, bound of a queue, waiting, cost served
  pipelines    deadline in ms, rank, stages and teams
  upstreams    state (warm, warming, cold, leaving, out, silent) and the reason
  centres      region and state
  models       version and adapters
  tickets      refused tickets with the field at fault; pending ones are tried again
  quarantines  fingerprints of requests that crashed upstreams`

// listing is one kind of list as one router returned it.
type listing struct {
	Process   wire.HostID `json:"process"`
	Rows      any         `json:"rows"`
	Truncated bool        `json:"cut"`
	cells     [][]any     // text output, by row
}

// lister reads one kind of list and names the columns of its text output.
type lister struct {
	header []string
	read   func(context.Context, *client) (listing, error)
}

func newListing[R any](info admin.ResponseInfo, rows []R, truncated bool, cells func(*R) []any) listing {
	l := listing{Process: info.Process, Rows: rows, Truncated: truncated}
	if rows == nil {
		l.Rows = []R{}
	}
	for i := range rows {
		l.cells = append(l.cells, cells(&rows[i]))
	}
	return l
}

// pagedLister returns a lister for an API path that is read page by page. split
// returns the parts of a response; cells returns the text cells of a row.
func pagedLister[A, R any](path string, q url.Values, split func(*A) (admin.ResponseInfo, []R, admin.Page), cells func(*R) []any, header ...string) lister {
	return lister{header, func(ctx context.Context, c *client) (listing, error) {
		last, all, truncated, err := readPages(ctx, c, path, maps.Clone(q), func(a *A) ([]R, admin.Page) {
			_, items, page := split(a)
			return items, page
		})
		info, _, _ := split(&last)
		return newListing(info, all, truncated, cells), err
	}}
}

// objectLister returns a lister for the configuration objects of one kind.
func objectLister(kind wire.ObjectKind, cells func(*admin.Object) []any, header ...string) lister {
	return pagedLister("/v1/objects", url.Values{"kind": {string(kind)}}, func(a *admin.Objects) (admin.ResponseInfo, []admin.Object, admin.Page) {
		return a.ResponseInfo, a.Objects, a.Page
	}, cells, header...)
}

// listers maps the argument of the list command to its lister.
var listers = map[string]lister{
	"teams": pagedLister("/v1/teams", nil, func(a *admin.Teams) (admin.ResponseInfo, []admin.Team, admin.Page) {
		return a.ResponseInfo, a.Teams, a.Page
	},
		func(t *admin.Team) []any {
			return []any{t.Team, t.Number, t.Weight, fmt.Sprintf("%.1f%%", 100*t.Share), t.Queue, t.Queued, t.Served}
		}, "TEAM", "TICKET", "WEIGHT", "SHARE", "QUEUE", "WAITING", "SERVED"),
	"pipelines": objectLister(wire.ObjectKindPipeline, func(o *admin.Object) []any {
		return []any{o.Name, o.Number, o.Pipeline.Deadline, o.Pipeline.Rank, formatStages(o.Pipeline), join(o.Pipeline.Teams)}
	}, "PIPELINE", "TICKET", "DEADLINE", "RANK", "STAGES", "TEAMS"),
	"upstreams": pagedLister("/v1/upstreams", nil, func(a *admin.Upstreams) (admin.ResponseInfo, []admin.Upstream, admin.Page) {
		return a.ResponseInfo, a.Upstreams, a.Page
	}, func(u *admin.Upstream) []any {
		return []any{u.Upstream, u.Pool, u.Centre, u.State, u.Reason, u.OwnInFlight, u.InFlight, u.Queued, u.Limit}
	}, "UPSTREAM", "POOL", "CENTRE", "STATE", "REASON", "OWN", "FLIGHT", "QUEUED", "LIMIT"),
	"centres": objectLister(wire.ObjectKindCentre, func(o *admin.Object) []any {
		return []any{o.Name, o.Number, o.Centre.Region, o.Centre.State}
	}, "CENTRE", "TICKET", "REGION", "STATE"),
	"models": objectLister(wire.ObjectKindModel, func(o *admin.Object) []any {
		return []any{o.Name, o.Number, o.Model.Version, join(o.Model.Adapters)}
	}, "MODEL", "TICKET", "VERSION", "ADAPTERS"),
	"tickets": {[]string{"TICKET", "FIELD", "PROBLEM", "PENDING", "AT"}, readTickets},
	"quarantines": pagedLister("/v1/quarantines", nil, func(a *admin.Quarantines) (admin.ResponseInfo, []wire.Mark, admin.Page) {
		return a.ResponseInfo, a.Marks, a.Page
	}, func(m *wire.Mark) []any {
		return []any{m.Print, m.State, m.Team, m.Pipeline, time.Duration(m.Left) * time.Millisecond}
	}, "FINGERPRINT", "STATE", "TEAM", "PIPELINE", "LEFT"),
}

// readTickets reads the refused tickets, which the API returns without paging.
func readTickets(ctx context.Context, c *client) (l listing, err error) {
	var ts admin.Tickets
	if err = c.get(ctx, "/v1/tickets", nil, &ts); err != nil {
		return l, err
	}
	return newListing(ts.ResponseInfo, ts.Tickets, ts.Truncated, func(r *admin.Rejection) []any {
		return []any{r.Number, r.Field, r.Problem, r.Pending, r.At.Format(time.RFC3339)}
	}), nil
}

func join[T ~string](xs []T) string {
	out := make([]string, len(xs))
	for i, x := range xs {
		out[i] = string(x)
	}
	return strings.Join(out, ",")
}

// formatStages returns the stage names of a pipeline in order; "(once)" marks stages
// that must not be repeated.
func formatStages(p *wire.Pipeline) string {
	out := make([]string, len(p.Stages))
	for i, s := range p.Stages {
		out[i] = string(s.Name)
		if s.Once {
			out[i] += "(once)"
		}
	}
	return strings.Join(out, ">")
}

func (a *app) listCommand(usage io.Writer) *ffcli.Command {
	kinds := strings.Join(slices.Sorted(maps.Keys(listers)), "|")
	return a.command(a.flagSet("list", usage), []string{kinds}, runTimeout, "list "+kinds, listHelp, a.list)
}

func (a *app) list(ctx context.Context, args []string) error {
	l, ok := listers[args[0]]
	if !ok {
		return exitErrorf(ExitUsage, "list %q: want one of %s", args[0], strings.Join(slices.Sorted(maps.Keys(listers)), ", "))
	}
	got, failed := queryAll(ctx, a, l.read)
	if err := a.writeList(&l, got, failed); err != nil {
		return err
	}
	return a.reportFailures(len(got), failed)
}

func (a *app) writeList(l *lister, got []answer[listing], failed []failure) error {
	if a.output == "json" {
		return a.json(struct {
			Answers []answer[listing] `json:"answers"`
			Failed  []failure         `json:"failed,omitempty"`
		}{got, failed})
	}
	if len(got) == 0 {
		return nil
	}
	t := table{header: append([]string{"ROUTER"}, l.header...)}
	for _, g := range got {
		for _, cells := range g.Answer.cells {
			t.add(append([]any{g.Answer.Process}, cells...)...)
		}
		if g.Answer.Truncated {
			fmt.Fprintf(a.Err, "cove: the list of %s is truncated\n", g.Router)
		}
	}
	return t.write(a.Out)
}
