package acct

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
	"unique"

	"github.com/uber-go/tally/v4"

	"hornbeamcove.example/core/wire"
)

const (
	// RetainedMinutes is the number of minutes kept.
	RetainedMinutes = 60
	// MaxRows bounds the rows of one minute, its overflow row aside.
	MaxRows = 4096

	maxNameBytes = 64 // bytes; a pipeline's name may come from a caller's URL
	maxReasons   = 64 // distinct reasons in the totals and metrics
)

// overflowReason stands for reasons over maxReasons, which only a peer with an
// unknown set of reasons can send.
const overflowReason wire.Reason = "other"

type key struct {
	team     wire.TeamID
	pipeline wire.PipelineID
	stage    wire.StageID
	reason   wire.Reason
}

// keyHandle is a key that all minutes share; it holds copies of the strings, so that
// a row keeps no request's buffer in memory.
type keyHandle = unique.Handle[key]

// account is kept small, since a book can hold 245,760 of them. Rows that count
// only refusals have no cost.
type account struct {
	refused Refused
	runs    uint32
	cost    *wire.Cost
}

// minute holds the rows of one minute since the epoch.
type minute struct {
	number      int64
	rows        map[keyHandle]account
	overflow    account
	hasOverflow bool // the overflow row
}

// Book keeps accounts. It is safe for concurrent use.
type Book struct {
	logQueue *logQueue
	scope    tally.Scope

	mu      sync.Mutex
	minutes [RetainedMinutes]minute
	totals  Totals
}

// Option changes a setting of a book.
type Option func(*Book)

// WithLogger sets where entries are logged; Run must run for lines to be written.
func WithLogger(l Logger) Option { return func(b *Book) { b.logQueue = newLogQueue(l) } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option { return func(b *Book) { b.scope = s } }

// NewBook returns an empty book.
func NewBook(opts ...Option) *Book {
	b := &Book{scope: tally.NoopScope}
	b.totals.Reasons = make(map[wire.Reason]Sum)
	for _, o := range opts {
		o(b)
	}
	return b
}

// RecordRefusal records a refused request.
func (b *Book) RecordRefusal(now time.Time, r Refusal) {
	if r.Reason == "" {
		r.Reason = wire.ReasonUnknown
	}
	b.logQueue.enqueueRefusal(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	reason := b.boundedReason(r.Reason)
	b.updateAccount(now, key{r.Team, r.Pipeline, r.Stage, reason}, func(a *account) { a.refused.add(r.Executed) })
	sum := b.totals.Reasons[reason]
	sum.Refused.add(r.Executed)
	b.totals.Reasons[reason] = sum
	b.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refusals").Inc(1)
}

// RecordStageRun records a stage that an upstream ran. Wasted runs are kept apart by
// their cause.
func (b *Book) RecordStageRun(now time.Time, r StageRun) {
	if !r.Wasted {
		r.Cause = ""
	} else if r.Cause == "" {
		r.Cause = wire.ReasonUnknown
	}
	b.logQueue.enqueueStageRun(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	cause := r.Cause
	if r.Wasted {
		cause = b.boundedReason(cause)
	}
	b.updateAccount(now, key{r.Team, r.Pipeline, r.Ref.Stage, cause}, func(a *account) {
		if a.cost == nil {
			a.cost = new(wire.Cost)
		}
		a.runs++
		addCost(a.cost, r.Cost)
	})
	b.addRunToTotals(r.Wasted, cause, r.Cost)
}

func (b *Book) addRunToTotals(wasted bool, cause wire.Reason, c wire.Cost) {
	if !wasted {
		b.totals.Useful.Runs++
		addCost(&b.totals.Useful.Cost, c)
		b.scope.Counter("stage_runs").Inc(1)
		return
	}
	sum := b.totals.Reasons[cause]
	sum.Runs++
	addCost(&sum.Cost, c)
	b.totals.Reasons[cause] = sum
	b.scope.Tagged(map[string]string{"cause": string(cause)}).Counter("wasted_runs").Inc(1)
}

// boundedReason returns r, or overflowReason when the totals hold too many already.
func (b *Book) boundedReason(r wire.Reason) wire.Reason {
	if _, known := b.totals.Reasons[r]; !known && (len(b.totals.Reasons) >= maxReasons || len(r) > maxNameBytes) {
		return overflowReason
	}
	return r
}

// updateAccount applies f to the account of k in the minute of now, or to its overflow
// row. An entry older than the minutes kept goes to the overflow row of the
// minute that took its place.
func (b *Book) updateAccount(now time.Time, k key, f func(*account)) {
	number := now.Unix() / 60
	m := &b.minutes[minuteIndex(number)]
	if m.rows == nil || m.number < number {
		*m = minute{number: number, rows: make(map[keyHandle]account)}
	}
	h := unique.Make(k.truncated())
	a, known := m.rows[h]
	if m.number == number && (known || len(m.rows) < MaxRows) {
		f(&a)
		m.rows[h] = a
		return
	}
	m.hasOverflow = true
	f(&m.overflow)
	b.totals.Overflow++
	b.scope.Counter("account_overflow").Inc(1)
}

func minuteIndex(number int64) int {
	return int((number%RetainedMinutes + RetainedMinutes) % RetainedMinutes)
}

// truncated shortens names that come from callers.
func (k key) truncated() key {
	k.team = k.team[:min(len(k.team), maxNameBytes)]
	k.pipeline = k.pipeline[:min(len(k.pipeline), maxNameBytes)]
	k.stage = k.stage[:min(len(k.stage), maxNameBytes)]
	return k
}

// Filter selects rows; zero fields select all.
type Filter struct {
	// Since and Until bound the start of the minute, Until excluded.
	Since, Until time.Time
	Team         wire.TeamID
	Pipeline     wire.PipelineID
	Stage        wire.StageID
	Reason       wire.Reason
}

func (f Filter) matches(r *Row) bool {
	return (f.Since.IsZero() || !r.Minute.Before(f.Since)) &&
		(f.Until.IsZero() || r.Minute.Before(f.Until)) &&
		(f.Team == "" || f.Team == r.Team) &&
		(f.Pipeline == "" || f.Pipeline == r.Pipeline) &&
		(f.Stage == "" || f.Stage == r.Stage) &&
		(f.Reason == "" || f.Reason == r.Reason)
}

// Rows returns copies of the rows of the last 60 minutes before the newest entry
// that the filter takes, by minute, team, pipeline, stage and reason.
func (b *Book) Rows(f Filter) []Row {
	newest := b.newestMinute()
	var rows []Row
	for i := range b.minutes {
		rows = append(rows, b.minuteRows(i, newest, f)...)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			a.Minute.Compare(b.Minute),
			cmp.Compare(a.Team, b.Team),
			cmp.Compare(a.Pipeline, b.Pipeline),
			cmp.Compare(a.Stage, b.Stage),
			cmp.Compare(a.Reason, b.Reason),
		)
	})
	return rows
}

func (b *Book) newestMinute() (n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.minutes {
		n = max(n, b.minutes[i].number)
	}
	return n
}

// minuteRows locks the book for one minute only, since the data path waits for
// the lock and a full book holds 245,760 rows.
func (b *Book) minuteRows(i int, newest int64, f Filter) []Row {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := &b.minutes[i]
	if m.rows == nil || m.number <= newest-RetainedMinutes || m.number > newest {
		return nil
	}
	return m.rowsMatching(f)
}

func (m *minute) rowsMatching(f Filter) (rows []Row) {
	start := time.Unix(m.number*60, 0).UTC()
	add := func(k key, a account, overflow bool) {
		r := Row{
			Minute: start, Team: k.team, Pipeline: k.pipeline, Stage: k.stage, Reason: k.reason,
			Refused: a.refused, Runs: a.runs, Overflow: overflow,
		}
		if a.cost != nil {
			r.Cost = *a.cost
		}
		if f.matches(&r) {
			rows = append(rows, r)
		}
	}
	for h, a := range m.rows {
		add(h.Value(), a, false)
	}
	if m.hasOverflow {
		add(key{}, m.overflow, true)
	}
	return rows
}

// Totals returns a copy of the sums since the start.
func (b *Book) Totals() Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.totals
	t.Reasons = maps.Clone(t.Reasons)
	t.Dropped = b.logQueue.droppedCount()
	return t
}

// Dump describes the book for the state dump.
func (b *Book) Dump() any { return b.Totals() }
