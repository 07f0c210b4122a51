package cove

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"slices"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hornbeamcove.example/core/admin"
)

// accountReport describes one of the two account commands, refusals and costs.
type accountReport struct {
	name, path, short, long string
	// sortKey returns the number by which rows are sorted, in descending order.
	sortKey func(*admin.Row) uint64
	header  []string
	cells   func(*admin.Row) []any
}

var refusals = accountReport{
	name: "refusals", path: "/v1/accounts/refusals", short: "sum up refused requests over routers",
	long: `Sums up the refusals of all routers given, the most frequent ones first. NONE,
SOME and UNKNOWN say how much of the refused requests ran. Routers keep the last
60 minutes.

` + accountsHelp,
	sortKey: func(r *admin.Row) uint64 { return r.Refused.None + r.Refused.Some + r.Refused.Unknown },
	header:  []string{"NONE", "SOME", "UNKNOWN"},
	cells: func(r *admin.Row) []any {
		return []any{r.Refused.None, r.Refused.Some, r.Refused.Unknown}
	},
}

var costs = accountReport{
	name: "costs", path: "/v1/accounts/costs", short: "sum up the cost of stages over routers",
	long: `Sums up the stage runs of all routers given, the most expensive ones first. INPUT,
CACHED and OUTPUT count tokens; BUSY is the time at the upstream. A run without a
usable answer is counted under WASTED; its REASON says why, and is empty for
useful runs. Routers keep the last 60 minutes.

` + accountsHelp,
	sortKey: func(r *admin.Row) uint64 { return uint64(max(0, r.Useful.Cost.Busy) + max(0, r.Wasted.Cost.Busy)) },
	header:  []string{"RUNS", "INPUT", "CACHED", "OUTPUT", "CALLS", "BUSY", "WASTED", "BUSY-WASTED"},
	cells: func(r *admin.Row) []any {
		u, w := r.Useful, r.Wasted
		return []any{
			u.Runs, u.Cost.Input, u.Cost.Cached, u.Cost.Output, u.Cost.Calls,
			time.Duration(u.Cost.Busy) * time.Microsecond, w.Runs, time.Duration(w.Cost.Busy) * time.Microsecond,
		}
	},
}

const accountsHelp = `-by divides the sums, for instance -by team,reason or -by minute,team. The other
flags select what is summed. Processes that could not be asked are named on
standard error, and the exit code is then 3.`

// accountFlags holds the flags of an account command.
type accountFlags struct {
	by, team, pipeline, stage, reason string
	since, until                      string
}

// register adds the flags to fs; by is the default of -by.
func (q *accountFlags) register(fs *flag.FlagSet, by string) {
	fs.StringVar(&q.by, "by", by, "`fields` that divide the sums: minute, team, pipeline, stage, reason")
	fs.StringVar(&q.since, "since", "", "first minute, a `time` like 2026-01-31T23:00:00Z or a duration before now like 15m")
	fs.StringVar(&q.until, "until", "", "end of the minutes, excluded, a `time` or a duration before now")
	fs.StringVar(&q.team, "team", "", "only this `team`")
	fs.StringVar(&q.pipeline, "pipeline", "", "only this `pipeline`")
	fs.StringVar(&q.stage, "stage", "", "only this `stage`")
	fs.StringVar(&q.reason, "reason", "", "only this `reason`")
}

// values returns the parameters of the HTTP request. Times relative to now become
// absolute.
func (q *accountFlags) values(now time.Time) (url.Values, error) {
	v := url.Values{}
	for name, s := range map[string]string{"by": q.by, "team": q.team, "pipeline": q.pipeline, "stage": q.stage, "reason": q.reason} {
		if s != "" {
			v.Set(name, s)
		}
	}
	for name, s := range map[string]string{"since": q.since, "until": q.until} {
		if s == "" {
			continue
		}
		t, err := parseTime(s, now)
		if err != nil {
			return nil, exitErrorf(ExitUsage, "-%s: %w", name, err)
		}
		v.Set(name, t.UTC().Format(time.RFC3339))
	}
	return v, nil
}

// parseTime parses an RFC 3339 time, or a duration before now, which is rounded down to
// the full minute, so that the whole minute counts.
func parseTime(s string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(s); err == nil && d >= 0 {
		return now.Add(-d).Truncate(time.Minute), nil
	}
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return t, fmt.Errorf("got %q, want a time like 2026-01-31T23:00:00Z or a duration like 15m", s)
	}
	return t, nil
}

func (a *app) accountsCommand(usage io.Writer, report accountReport) *ffcli.Command {
	fs := a.flagSet(report.name, usage)
	var q accountFlags
	q.register(fs, "team,pipeline,stage,reason")
	return a.command(fs, nil, runTimeout, report.short, report.long, func(ctx context.Context, _ []string) error {
		return a.accounts(ctx, &report, &q)
	})
}

// accountRows holds the rows of one process.
type accountRows struct {
	rows      []admin.Row
	truncated bool
}

// accountSums is the JSON output of an account command.
type accountSums struct {
	Routers   []string    `json:"routers"`
	Rows      []admin.Row `json:"rows"`
	Truncated []string    `json:"cut,omitempty"`
	Failed    []failure   `json:"failed,omitempty"`
}

// accounts queries all processes, sums their rows by the fields of -by and prints them.
func (a *app) accounts(ctx context.Context, report *accountReport, q *accountFlags) error {
	by, err := admin.ParseGroupBy(q.by)
	if err != nil {
		return exitErrorf(ExitUsage, "-by: %w", err)
	}
	base, err := q.values(time.Now())
	if err != nil {
		return err
	}
	got, failed := queryAll(ctx, a, func(ctx context.Context, c *client) (p accountRows, err error) {
		params := url.Values{}
		for k, s := range base {
			params[k] = s
		}
		_, p.rows, p.truncated, err = readPages(ctx, c, report.path, params, func(a *admin.Accounts) ([]admin.Row, admin.Page) { return a.Rows, a.Page })
		return p, err
	})
	out := accountSums{Routers: []string{}, Rows: []admin.Row{}, Failed: failed}
	var all []admin.Row
	for _, g := range got {
		out.Routers = append(out.Routers, g.Router)
		all = append(all, g.Answer.rows...)
		if g.Answer.truncated {
			out.Truncated = append(out.Truncated, g.Router)
		}
	}
	out.Rows = append(out.Rows, admin.Sum(all, by)...)
	slices.SortStableFunc(out.Rows, func(x, y admin.Row) int {
		return cmp.Or(x.Minute.Compare(y.Minute), cmp.Compare(report.sortKey(&y), report.sortKey(&x)))
	})
	if err = a.writeSums(report, by, &out); err != nil {
		return err
	}
	return a.reportFailures(len(got), failed)
}

func (a *app) writeSums(report *accountReport, by admin.GroupBy, out *accountSums) error {
	if a.output == "json" {
		return a.json(out)
	}
	if len(out.Routers) == 0 {
		return nil
	}
	t := table{}
	for _, f := range groupFields {
		if f.selected(by) {
			t.header = append(t.header, f.header)
		}
	}
	t.header = append(t.header, report.header...)
	for i := range out.Rows {
		r := &out.Rows[i]
		var cells []any
		for _, f := range groupFields {
			if f.selected(by) {
				cells = append(cells, f.cell(r))
			}
		}
		t.add(append(cells, report.cells(r)...)...)
	}
	for _, addr := range out.Truncated {
		fmt.Fprintf(a.Err, "cove: the accounts of %s are truncated; select less or divide by fewer fields\n", addr)
	}
	if err := t.write(a.Out); err != nil {
		return err
	}
	_, err := fmt.Fprintf(a.Out, "%d rows from %d routers\n", len(out.Rows), len(out.Routers))
	return err
}

// groupFields lists the fields that can divide the sums, in the order of the columns.
var groupFields = []struct {
	header   string
	selected func(admin.GroupBy) bool
	cell     func(*admin.Row) any
}{
	{"MINUTE", func(b admin.GroupBy) bool { return b.Minute }, func(r *admin.Row) any { return r.Minute.Format("15:04") }},
	{"TEAM", func(b admin.GroupBy) bool { return b.Team }, func(r *admin.Row) any {
		if r.Overflow {
			return "(overflow)"
		}
		return r.Team
	}},
	{"PIPELINE", func(b admin.GroupBy) bool { return b.Pipeline }, func(r *admin.Row) any { return r.Pipeline }},
	{"STAGE", func(b admin.GroupBy) bool { return b.Stage }, func(r *admin.Row) any { return r.Stage }},
	{"REASON", func(b admin.GroupBy) bool { return b.Reason }, func(r *admin.Row) any { return r.Reason }},
}
