package admin

import (
	"net/url"
	"strings"
	"time"

	"hornbeamcove.example/core/acct"
	"hornbeamcove.example/core/wire"
)

// Dimensions is what the entries of a row have in common; fields by which the rows
// were not divided are empty.
type Dimensions struct {
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

// Usage counts stage runs and their cost.
type Usage struct {
	Runs uint64    `json:"runs"`
	Cost wire.Cost `json:"cost"`
}

// Row is one account. Useful work had a usable answer; Wasted work had none, for
// the reason of the row.
type Row struct {
	Dimensions
	Refused Refused `json:"refused,omitzero"`
	Useful  Usage   `json:"useful,omitzero"`
	Wasted  Usage   `json:"wasted,omitzero"`
}

// Accounts is the answer of the routes for accounts.
type Accounts struct {
	ResponseInfo
	// Team is set in the answer to a team's own key.
	Team wire.TeamID `json:"team,omitempty"`
	Rows []Row       `json:"rows"`
	Page
	// Minutes is the number of minutes that the process keeps.
	Minutes int `json:"minutes"`
}

// GroupBy says by which fields rows are divided.
type GroupBy struct{ Minute, Team, Pipeline, Stage, Reason bool }

// AccountQuery is a query of accounts.
type AccountQuery struct {
	Filter  acct.Filter
	GroupBy GroupBy
	Page    PageRequest
}

const allowedGroupBy = "some of minute, team, pipeline, stage and reason, separated by commas"

// ParseGroupBy reads a list of fields; an empty one stands for all.
func ParseGroupBy(s string) (by GroupBy, err error) {
	if s == "" {
		return GroupBy{true, true, true, true, true}, nil
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
			return by, &ParamError{"by", s, allowedGroupBy}
		}
	}
	return by, nil
}

// ParseAccountQuery reads the parameters since, until, team, pipeline, stage, reason,
// by, limit and after.
func ParseAccountQuery(q ParamFunc) (s AccountQuery, err error) {
	if s.Page, err = ParsePageRequest(q); err != nil {
		return s, err
	}
	if s.GroupBy, err = ParseGroupBy(q("by")); err != nil {
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

func parseTime(q ParamFunc, name string) (t time.Time, err error) {
	s := q(name)
	if s == "" {
		return t, nil
	}
	if t, err = time.Parse(time.RFC3339, s); err != nil {
		return t, &ParamError{name, s, "a time like 2026-01-31T23:59:00Z"}
	}
	return t, nil
}

// HasRefusals reports whether a row holds refusals.
func HasRefusals(r *Row) bool { return r.Refused != Refused{} }

// HasRuns reports whether a row holds stage runs.
func HasRuns(r *Row) bool { return r.Useful.Runs+r.Wasted.Runs > 0 }

// AnyRow takes every row.
func AnyRow(*Row) bool { return true }

// NewAccounts answers a query of a book.
func NewAccounts(h ResponseInfo, b *acct.Book, s *AccountQuery, take func(*Row) bool) *Accounts {
	out := &Accounts{ResponseInfo: h, Minutes: acct.RetainedMinutes}
	out.Rows, out.Page = s.list(b, take)
	return out
}

func (s *AccountQuery) list(b *acct.Book, take func(*Row) bool) ([]Row, Page) {
	rows := FromBook(b.Rows(s.Filter))
	kept := rows[:0]
	for i := range rows {
		if take(&rows[i]) {
			kept = append(kept, rows[i])
		}
	}
	return Paginate(Sum(kept, s.GroupBy), s.Page, func(r *Row) string { return r.sortKey() })
}

// FromBook converts the rows of a book.
func FromBook(in []acct.Row) []Row {
	out := make([]Row, len(in))
	for i := range in {
		r := &in[i]
		o := &out[i]
		o.Dimensions = Dimensions{r.Minute, r.Team, r.Pipeline, r.Stage, r.Reason, r.Overflow}
		o.Refused = Refused{uint64(r.Refused.None), uint64(r.Refused.Some), uint64(r.Refused.Unknown)}
		use := Usage{uint64(r.Runs), r.Cost}
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
func Sum(rows []Row, by GroupBy) []Row {
	at := make(map[Dimensions]int, len(rows))
	var out []Row
	for i := range rows {
		g := rows[i].project(by)
		j, ok := at[g]
		if !ok {
			j = len(out)
			at[g] = j
			out = append(out, Row{Dimensions: g})
		}
		out[j].add(&rows[i])
	}
	return out
}

func (g Dimensions) project(by GroupBy) Dimensions {
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

func (u *Usage) add(o Usage) {
	u.Runs += o.Runs
	u.Cost.Input += o.Cost.Input
	u.Cost.Cached += o.Cost.Cached
	u.Cost.Output += o.Cost.Output
	u.Cost.Calls += o.Cost.Calls
	u.Cost.Busy += o.Cost.Busy
}

// sortKey orders rows. Names are escaped, since a pipeline's name may be any text
// from a caller's URL.
func (g *Dimensions) sortKey() string {
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
