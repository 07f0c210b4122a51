package admin

import (
	"net/url"
	"strings"
	"time"

	"hornbeamcove.example/core/acct"
	"hornbeamcove.example/core/wire"
)

// Dimensions are the values that the entries of a row have in common. Fields that
// the rows are not grouped by are empty.
type Dimensions struct {
	Minute   time.Time       `json:"minute,omitzero"`
	Team     wire.TeamID     `json:"team,omitempty"`
	Pipeline wire.PipelineID `json:"pipeline,omitempty"`
	Stage    wire.StageID    `json:"stage,omitempty"`
	Reason   wire.Reason     `json:"reason,omitempty"`
	// Overflow marks the entries of a minute's overflow row, such as those beyond
	// its limit of distinct rows; their team, pipeline, stage and reason are not
	// known.
	Overflow bool `json:"overflow,omitempty"`
}

// Refused counts refused requests by how much of them was executed.
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

// Row is one row of the accounts. Useful counts the stage runs that gave a usable
// answer, Wasted those that gave none, for the reason of the row.
type Row struct {
	Dimensions
	Refused Refused `json:"refused,omitzero"`
	Useful  Usage   `json:"useful,omitzero"`
	Wasted  Usage   `json:"wasted,omitzero"`
}

// Accounts is the response of the routes for accounts.
type Accounts struct {
	ResponseInfo
	// Team is set if the request was made with a team's own key.
	Team wire.TeamID `json:"team,omitempty"`
	Rows []Row       `json:"rows"`
	Page
	// Minutes is the number of minutes of accounts that the process keeps.
	Minutes int `json:"minutes"`
}

// GroupBy selects the fields that rows are grouped by.
type GroupBy struct{ Minute, Team, Pipeline, Stage, Reason bool }

// AccountQuery selects, groups and paginates accounts.
type AccountQuery struct {
	Filter  acct.Filter
	GroupBy GroupBy
	Page    PageRequest
}

const allowedGroupBy = "some of minute, team, pipeline, stage and reason, separated by commas"

// ParseGroupBy parses a comma-separated list of fields; an empty list selects all
// fields.
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

// ParseAccountQuery parses the parameters since, until, team, pipeline, stage,
// reason, by, limit and after.
func ParseAccountQuery(param ParamFunc) (query AccountQuery, err error) {
	if query.Page, err = ParsePageRequest(param); err != nil {
		return query, err
	}
	if query.GroupBy, err = ParseGroupBy(param("by")); err != nil {
		return query, err
	}
	if query.Filter.Since, err = parseTime(param, "since"); err != nil {
		return query, err
	}
	if query.Filter.Until, err = parseTime(param, "until"); err != nil {
		return query, err
	}
	query.Filter.Team = wire.TeamID(param("team"))
	query.Filter.Pipeline = wire.PipelineID(param("pipeline"))
	query.Filter.Stage = wire.StageID(param("stage"))
	query.Filter.Reason = wire.Reason(param("reason"))
	return query, nil
}

func parseTime(param ParamFunc, name string) (t time.Time, err error) {
	s := param(name)
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

// AnyRow reports true for every row, so that NewAccounts keeps all.
func AnyRow(*Row) bool { return true }

// NewAccounts returns the response to query, from those rows of book b for which
// keep returns true.
func NewAccounts(info ResponseInfo, b *acct.Book, query *AccountQuery, keep func(*Row) bool) *Accounts {
	out := &Accounts{ResponseInfo: info, Minutes: acct.RetainedMinutes}
	out.Rows, out.Page = query.list(b, keep)
	return out
}

// list returns the page of summed rows that q selects.
func (q *AccountQuery) list(b *acct.Book, keep func(*Row) bool) ([]Row, Page) {
	rows := FromBook(b.Rows(q.Filter))
	kept := rows[:0]
	for i := range rows {
		if keep(&rows[i]) {
			kept = append(kept, rows[i])
		}
	}
	return Paginate(Sum(kept, q.GroupBy), q.Page, func(r *Row) string { return r.sortKey() })
}

// FromBook converts the rows of a book.
func FromBook(in []acct.Row) []Row {
	out := make([]Row, len(in))
	for i := range in {
		r := &in[i]
		o := &out[i]
		o.Dimensions = Dimensions{r.Minute, r.Team, r.Pipeline, r.Stage, r.Reason, r.Overflow}
		o.Refused = Refused{uint64(r.Refused.None), uint64(r.Refused.Some), uint64(r.Refused.Unknown)}
		usage := Usage{uint64(r.Runs), r.Cost}
		if r.Reason == "" {
			o.Useful = usage
		} else {
			o.Wasted = usage
		}
	}
	return out
}

// Sum adds up the rows that agree in the fields of by. The sums are in the order of
// the first row of each.
func Sum(rows []Row, by GroupBy) []Row {
	index := make(map[Dimensions]int, len(rows))
	var out []Row
	for i := range rows {
		dims := rows[i].project(by)
		j, ok := index[dims]
		if !ok {
			j = len(out)
			index[dims] = j
			out = append(out, Row{Dimensions: dims})
		}
		out[j].add(&rows[i])
	}
	return out
}

// project returns d with the fields that by doesn't select cleared.
func (d Dimensions) project(by GroupBy) Dimensions {
	if !by.Minute {
		d.Minute = time.Time{}
	}
	if !by.Team {
		d.Team = ""
	}
	if !by.Pipeline {
		d.Pipeline = ""
	}
	if !by.Stage {
		d.Stage = ""
	}
	if !by.Reason {
		d.Reason = ""
	}
	return d
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

// sortKey returns the key by which rows are sorted and paginated. Names are escaped,
// since a pipeline's name may be any text from a caller's URL.
func (d *Dimensions) sortKey() string {
	minute := "-"
	if !d.Minute.IsZero() {
		minute = d.Minute.UTC().Format(time.RFC3339)
	}
	overflow := "0"
	if d.Overflow {
		overflow = "1"
	}
	return strings.Join([]string{
		minute, url.PathEscape(string(d.Team)), url.PathEscape(string(d.Pipeline)),
		url.PathEscape(string(d.Stage)), url.PathEscape(string(d.Reason)), overflow,
	}, " ")
}
