package admin

import (
	"net/url"
	"strings"
	"time"

	"hornbeamcove.example/core/acct"
	"hornbeamcove.example/core/wire"
)

// Group is what the entries of a row have in common; fields by which the rows
// were not divided are empty.
type Group struct {
	Minute   time.Time       `json:"minute,omitzero"`
	Team     wire.TeamID     `json:"team,omitempty"`
	Pipeline wire.PipelineID `json:"pipeline,omitempty"`
	Stage    wire.StageID    `json:"stage,omitempty"`
	Reason   wire.Reason     `json:"reason,omitempty"`
	// Overflow marks entries of a minute that had too many different rows; their
	// team, pipeline, stage and reason are not known.
	Overflow bool `json:"overflow,omitempty"`
}

// Refused counts refused requests by what was executed of them.
type Refused struct {
	None    uint64 `json:"none"`
	Some    uint64 `json:"some"`
	Unknown uint64 `json:"unknown"`
}

// Use counts stage runs and their cost.
type Use struct {
	Runs uint64    `json:"runs"`
	Cost wire.Cost `json:"cost"`
}

// Row is one account. Useful work had a usable answer; Wasted work had none, for
// the reason of the row.
type Row struct {
	Group
	Refused Refused `json:"refused,omitzero"`
	Useful  Use     `json:"useful,omitzero"`
	Wasted  Use     `json:"wasted,omitzero"`
}

// Accounts is the answer of the routes for accounts.
type Accounts struct {
	Head
	// Team is set in the answer to a team's own key.
	Team wire.TeamID `json:"team,omitempty"`
	Rows []Row       `json:"rows"`
	Page
	// Minutes is the number of minutes that the process keeps.
	Minutes int `json:"minutes"`
}

// By says by which fields rows are divided.
type By struct{ Minute, Team, Pipeline, Stage, Reason bool }

// Select is a query of accounts.
type Select struct {
	Filter acct.Filter
	By     By
	Range  Range
}

const byWant = "some of minute, team, pipeline, stage and reason, separated by commas"

// ParseBy reads a list of fields; an empty one stands for all.
func ParseBy(s string) (by By, err error) {
	if s == "" {
		return By{true, true, true, true, true}, nil
	}
	for _, f := range strings.Split(s, ",") {
		switch f {
		case "minute":
			by.Minute = true
		case "team":
			by.Team = true
		case "pipeline":
			by.Pipeline = true
		case "stage":
			by.Stage = true
		case "reason":
			by.Reason = true
		default:
			return by, &QueryError{"by", s, byWant}
		}
	}
	return by, nil
}

// ParseSelect reads the parameters since, until, team, pipeline, stage, reason,
// by, limit and after.
func ParseSelect(q Query) (s Select, err error) {
	if s.Range, err = ParseRange(q); err != nil {
		return s, err
	}
	if s.By, err = ParseBy(q("by")); err != nil {
		return s, err
	}
	if s.Filter.Since, err = parseTime(q, "since"); err != nil {
		return s, err
	}
	if s.Filter.Until, err = parseTime(q, "until"); err != nil {
		return s, err
	}
	s.Filter.Team = wire.TeamID(q("team"))
	s.Filter.Pipeline = wire.PipelineID(q("pipeline"))
	s.Filter.Stage = wire.StageID(q("stage"))
	s.Filter.Reason = wire.Reason(q("reason"))
	return s, nil
}

func parseTime(q Query, name string) (t time.Time, err error) {
	s := q(name)
	if s == "" {
		return t, nil
	}
	if t, err = time.Parse(time.RFC3339, s); err != nil {
		return t, &QueryError{name, s, "a time like 2026-01-31T23:59:00Z"}
	}
	return t, nil
}

// Refusals reports whether a row holds refusals.
func Refusals(r *Row) bool { return r.Refused != Refused{} }

// Costs reports whether a row holds stage runs.
func Costs(r *Row) bool { return r.Useful.Runs+r.Wasted.Runs > 0 }

// All takes every row.
func All(*Row) bool { return true }

// NewAccounts answers a query of a book.
func NewAccounts(h Head, b *acct.Book, s *Select, take func(*Row) bool) *Accounts {
	out := &Accounts{Head: h, Minutes: acct.RetainedMinutes}
	out.Rows, out.Page = s.list(b, take)
	return out
}

func (s *Select) list(b *acct.Book, take func(*Row) bool) ([]Row, Page) {
	rows := FromBook(b.Rows(s.Filter))
	kept := rows[:0]
	for i := range rows {
		if take(&rows[i]) {
			kept = append(kept, rows[i])
		}
	}
	return Cut(Sum(kept, s.By), s.Range, func(r *Row) string { return r.key() })
}

// FromBook converts the rows of a book.
func FromBook(in []acct.Row) []Row {
	out := make([]Row, len(in))
	for i := range in {
		r := &in[i]
		o := &out[i]
		o.Group = Group{r.Minute, r.Team, r.Pipeline, r.Stage, r.Reason, r.Overflow}
		o.Refused = Refused{uint64(r.Refused.None), uint64(r.Refused.Some), uint64(r.Refused.Unknown)}
		use := Use{uint64(r.Runs), r.Cost}
		if r.Reason == "" {
			o.Useful = use
		} else {
			o.Wasted = use
		}
	}
	return out
}

// Sum adds up rows that agree in the fields of by. The order is that of the
// first row of each sum.
func Sum(rows []Row, by By) []Row {
	at := make(map[Group]int, len(rows))
	var out []Row
	for i := range rows {
		g := rows[i].cut(by)
		j, ok := at[g]
		if !ok {
			j = len(out)
			at[g] = j
			out = append(out, Row{Group: g})
		}
		out[j].add(&rows[i])
	}
	return out
}

func (g Group) cut(by By) Group {
	if !by.Minute {
		g.Minute = time.Time{}
	}
	if !by.Team {
		g.Team = ""
	}
	if !by.Pipeline {
		g.Pipeline = ""
	}
	if !by.Stage {
		g.Stage = ""
	}
	if !by.Reason {
		g.Reason = ""
	}
	return g
}

func (r *Row) add(o *Row) {
	r.Refused.None += o.Refused.None
	r.Refused.Some += o.Refused.Some
	r.Refused.Unknown += o.Refused.Unknown
	r.Useful.add(o.Useful)
	r.Wasted.add(o.Wasted)
}

func (u *Use) add(o Use) {
	u.Runs += o.Runs
	u.Cost.Input += o.Cost.Input
	u.Cost.Cached += o.Cost.Cached
	u.Cost.Output += o.Cost.Output
	u.Cost.Calls += o.Cost.Calls
	u.Cost.Busy += o.Cost.Busy
}

// key orders rows. Names are escaped, since a pipeline's name may be any text
// from a caller's URL.
func (g *Group) key() string {
	minute := "-"
	if !g.Minute.IsZero() {
		minute = g.Minute.UTC().Format(time.RFC3339)
	}
	overflow := "0"
	if g.Overflow {
		overflow = "1"
	}
	return strings.Join([]string{
		minute, url.PathEscape(string(g.Team)), url.PathEscape(string(g.Pipeline)),
		url.PathEscape(string(g.Stage)), url.PathEscape(string(g.Reason)), overflow,
	}, " ")
}
