package plat

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
)

// State is the availability of the configuration service as of the last read.
type State string

// The states of the configuration service.
const (
	// StateDown means that no read has succeeded yet, or the last one failed.
	StateDown State = "down"
	// StateStale means that the service answers, but refuses the read because of
	// its rate or has a lower index than before.
	StateStale State = "stale"
	// StateUp means that the service answers with the highest index seen.
	StateUp State = "up"
)

const (
	defaultWait   = 2 * time.Second
	maxReadJitter = 100 * time.Millisecond // keeps routers from reading all at once after the same change
	backoffBase   = 100 * time.Millisecond
	maxBackoff    = 5 * time.Second
)

// Entry is a ticket from the service; Invalid is set instead of Ticket when the
// ticket is invalid.
type Entry struct {
	Index   uint64
	Ticket  wire.Ticket
	Invalid *ticket.InvalidError
}

// Source reads tickets; Client is one.
type Source interface {
	Tickets(ctx context.Context, after uint64, wait time.Duration) (Page, error)
}

// Logger writes log lines; *log.Logger of charmbracelet/log is one.
type Logger interface {
	Info(msg any, keyvals ...any)
	Warn(msg any, keyvals ...any)
}

// Status describes a watcher.
type Status struct {
	State State `json:"state"`
	// Index is the highest index seen; the next read asks for the tickets after
	// the index After.
	Index uint64 `json:"index"`
	After uint64 `json:"after"`
	// LastUp is the time of the last read that returned an index no lower than
	// any before.
	LastUp time.Time `json:"fresh"`
	// Error is the last failure, or empty when the last read succeeded.
	Error    string   `json:"error"`
	Counters Counters `json:"counters"`
}

// Counters counts events since the start.
type Counters struct {
	Reads            uint64 `json:"reads"`     // reads that succeeded
	Failures         uint64 `json:"failures"`  // reads that failed, refused ones not included
	RateLimited      uint64 `json:"limited"`   // reads that the service refused because of its rate
	IndexRegressions uint64 `json:"backwards"` // answers with a lower index than before
	Tickets          uint64 `json:"tickets"`   // valid tickets
	Invalid          uint64 `json:"bad"`       // invalid tickets
}

// Watcher follows the tickets of the configuration service.
type Watcher struct {
	src    Source
	handle func([]Entry)
	wait   time.Duration
	rng    *rand.Rand
	log    Logger
	scope  tally.Scope

	mu     sync.Mutex
	status Status
}

// Option changes a setting of a watcher.
type Option func(*Watcher)

// WithWait sets how long the service holds a read while there is nothing new.
func WithWait(d time.Duration) Option { return func(w *Watcher) { w.wait = d } }

// WithRand sets the random source of the jitter.
func WithRand(rng *rand.Rand) Option { return func(w *Watcher) { w.rng = rng } }

// WithLogger sets where state changes, failed reads and invalid tickets are logged.
func WithLogger(l Logger) Option { return func(w *Watcher) { w.log = l } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option { return func(w *Watcher) { w.scope = s } }

// NewWatcher returns a watcher that passes the tickets of each response to
// handle, from the goroutine of Run. A ticket may come more than once and after
// newer ones.
func NewWatcher(src Source, handle func([]Entry), opts ...Option) *Watcher {
	w := &Watcher{
		src: src, handle: handle, wait: defaultWait,
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		log:    noopLogger{},
		scope:  tally.NoopScope,
		status: Status{State: StateDown},
	}
	for _, o := range opts {
		o(w)
	}
	return w
}

// noopLogger discards log lines.
type noopLogger struct{}

func (noopLogger) Info(any, ...any) {}
func (noopLogger) Warn(any, ...any) {}

// Status returns the watcher's current status.
func (w *Watcher) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.status
}

// Run reads until ctx ends and returns its error.
func (w *Watcher) Run(ctx context.Context) error {
	for failures := 0; ; {
		if err := sleep(ctx, time.Duration(w.rng.Int64N(int64(maxReadJitter)))); err != nil {
			return err
		}
		page, err := w.src.Tickets(ctx, w.Status().After, w.wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			failures = 0
			w.handlePage(page)
			continue
		}
		failures++
		if err = sleep(ctx, w.recordFailure(err, failures)); err != nil {
			return err
		}
	}
}

// handlePage passes on the tickets of a page. The next read starts after the highest
// index of these tickets, since a page may be incomplete, or after the service's
// index if there are none. This also holds when the index has gone backwards: a
// service that was restored to an older state may give new tickets indexes that
// were already seen.
func (w *Watcher) handlePage(p Page) {
	entries := make([]Entry, 0, len(p.Tickets))
	after := p.Index
	for i, raw := range p.Tickets {
		entries = append(entries, w.parse(raw))
		if i == 0 || raw.Index > after {
			after = raw.Index
		}
	}
	if len(entries) > 0 {
		w.handle(entries)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.countEvent("reads", &w.status.Counters.Reads)
	w.status.After, w.status.Error = after, ""
	if p.Index < w.status.Index {
		w.countEvent("backwards", &w.status.Counters.IndexRegressions)
		w.setState(StateStale)
		return
	}
	w.status.Index, w.status.LastUp = p.Index, time.Now()
	w.setState(StateUp)
}

// parse parses a ticket, and counts it as valid or invalid.
func (w *Watcher) parse(raw RawTicket) Entry {
	t, err := ticket.Parse(raw.Ticket)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.countEvent("tickets", &w.status.Counters.Tickets)
		return Entry{Index: raw.Index, Ticket: t}
	}
	w.countEvent("bad", &w.status.Counters.Invalid)
	w.log.Warn("invalid ticket read", "index", raw.Index, "error", err)
	invalidErr := new(ticket.InvalidError)
	if !errors.As(err, &invalidErr) {
		invalidErr = &ticket.InvalidError{Field: "document", Problem: err.Error()}
	}
	return Entry{Index: raw.Index, Invalid: invalidErr}
}

// recordFailure records a failed read and returns the delay before the next one.
// failures counts the failed reads in a row.
func (w *Watcher) recordFailure(err error, failures int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.status.Error = err.Error()
	pause := w.backoff(failures)
	var status *StatusError
	if errors.As(err, &status) && status.IsRateLimited() {
		w.countEvent("limited", &w.status.Counters.RateLimited)
		pause += status.RetryAfter
		w.setState(StateStale)
	} else {
		w.countEvent("failures", &w.status.Counters.Failures)
		w.setState(StateDown)
	}
	w.log.Warn("platform read failed", "error", err, "failed", failures, "pause", pause)
	return pause
}

// backoff returns a random delay of at most backoffBase, doubled with each further
// failure up to maxBackoff.
func (w *Watcher) backoff(failures int) time.Duration {
	limit := maxBackoff
	if shift := failures - 1; shift < 6 {
		limit = min(limit, backoffBase<<shift)
	}
	return time.Duration(w.rng.Int64N(int64(limit))) + 1
}

// setState changes the state, and logs and counts the change. The caller must hold
// w.mu.
func (w *Watcher) setState(s State) {
	if w.status.State == s {
		return
	}
	w.log.Info("platform state changed", "from", w.status.State, "to", s, "index", w.status.Index)
	w.scope.Tagged(map[string]string{"to": string(s)}).Counter("platform_state_changes").Inc(1)
	w.status.State = s
}

// countEvent increments n and the metric of the event. The caller must hold w.mu.
func (w *Watcher) countEvent(event string, n *uint64) {
	*n++
	w.scope.Tagged(map[string]string{"event": event}).Counter("platform_events").Inc(1)
}

// sleep waits for d and returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
