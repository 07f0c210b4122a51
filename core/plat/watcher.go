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

// State says what the last read told of the configuration service.
type State string

// The states of the configuration service.
const (
	// Down: no read has succeeded yet, or the last one failed.
	StateDown State = "down"
	// Stale: the service answers, but refuses the read because of its rate or has
	// a lower index than before.
	StateStale State = "stale"
	// Up: the service answers with the highest index seen.
	StateUp State = "up"
)

const (
	defaultWait   = 2 * time.Second
	maxReadJitter = 100 * time.Millisecond // keeps routers that one change woke from reading at once
	backoffBase   = 100 * time.Millisecond
	maxBackoff    = 5 * time.Second
)

// Entry is a ticket from the service; Bad is set instead of Ticket when the
// ticket is faulty.
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
	// Index is the highest index seen, After the one that the next read asks for.
	Index uint64 `json:"index"`
	After uint64 `json:"after"`
	// LastUp is the time of the last read in state up.
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
	Invalid          uint64 `json:"bad"`       // faulty tickets
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

// WithLogger sets where state changes, failed reads and faulty tickets are logged.
func WithLogger(l Logger) Option { return func(w *Watcher) { w.log = l } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option { return func(w *Watcher) { w.scope = s } }

// NewWatcher returns a watcher that passes the tickets of each answer to call,
// from the goroutine of Run. A ticket may come more than once and after newer
// ones.
func NewWatcher(src Source, call func([]Entry), opts ...Option) *Watcher {
	w := &Watcher{
		src: src, handle: call, wait: defaultWait,
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

type noopLogger struct{}

func (noopLogger) Info(any, ...any) {}
func (noopLogger) Warn(any, ...any) {}

// Status returns the watcher's present status.
func (w *Watcher) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.status
}

// Run reads until ctx ends and returns its error.
func (w *Watcher) Run(ctx context.Context) error {
	for failed := 0; ; {
		if err := sleep(ctx, time.Duration(w.rng.Int64N(int64(maxReadJitter)))); err != nil {
			return err
		}
		page, err := w.src.Tickets(ctx, w.Status().After, w.wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			failed = 0
			w.handlePage(page)
			continue
		}
		failed++
		if err = sleep(ctx, w.recordFailure(err, failed)); err != nil {
			return err
		}
	}
}

// handlePage passes on the tickets of an answer and moves the index. When the index
// went backwards the next read starts from the lower one: a service that was set
// back may give indexes at or under the highest one seen to new tickets.
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

func (w *Watcher) parse(raw RawTicket) Entry {
	t, err := ticket.Parse(raw.Ticket)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.countEvent("tickets", &w.status.Counters.Tickets)
		return Entry{Index: raw.Index, Ticket: t}
	}
	w.countEvent("bad", &w.status.Counters.Invalid)
	w.log.Warn("faulty ticket read", "index", raw.Index, "error", err)
	bad := new(ticket.InvalidError)
	if !errors.As(err, &bad) {
		bad = &ticket.InvalidError{Field: "document", Problem: err.Error()}
	}
	return Entry{Index: raw.Index, Invalid: bad}
}

// recordFailure records a failed read and returns the time until the next one.
func (w *Watcher) recordFailure(err error, failed int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.status.Error = err.Error()
	pause := w.backoff(failed)
	var status *StatusError
	if errors.As(err, &status) && status.IsRateLimited() {
		w.countEvent("limited", &w.status.Counters.RateLimited)
		pause += status.RetryAfter
		w.setState(StateStale)
	} else {
		w.countEvent("failures", &w.status.Counters.Failures)
		w.setState(StateDown)
	}
	w.log.Warn("platform read failed", "error", err, "failed", failed, "pause", pause)
	return pause
}

// backoff returns a random time of at most backoffBase, doubled with each failure.
func (w *Watcher) backoff(failed int) time.Duration {
	most := maxBackoff
	if shift := failed - 1; shift < 6 {
		most = min(most, backoffBase<<shift)
	}
	return time.Duration(w.rng.Int64N(int64(most))) + 1
}

// setState and count need w.mu.
func (w *Watcher) setState(s State) {
	if w.status.State == s {
		return
	}
	w.log.Info("platform state changed", "from", w.status.State, "to", s, "index", w.status.Index)
	w.scope.Tagged(map[string]string{"to": string(s)}).Counter("platform_state_changes").Inc(1)
	w.status.State = s
}

func (w *Watcher) countEvent(event string, n *uint64) {
	*n++
	w.scope.Tagged(map[string]string{"event": event}).Counter("platform_events").Inc(1)
}

func sleep(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
