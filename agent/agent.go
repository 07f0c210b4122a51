// Package agent runs beside one upstream. All work for that upstream passes
// through it, so it alone keeps the upstream's concurrency limit, its cold
// state, its drain and its record of non-repeatable calls.
package agent

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"hornbeamcove.example/core/acct"
	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/hold"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/meter"
	"hornbeamcove.example/core/once"
	"hornbeamcove.example/core/wire"
)

// Config is what an agent must know of itself.
type Config struct {
	Name     wire.HostID
	Upstream wire.UpstreamID
	Centre   wire.DataCentreID
	Kind     wire.Kind
	// Bounds hold until a router sends the upstream's object.
	Bounds limit.Bounds
}

const (
	maxHeldEntries = 1024
	maxHeldBytes   = 16 << 20
	// pollInterval keeps the upstream's report younger than the 500 ms that the
	// limiter needs above the cold bound.
	pollInterval = 200 * time.Millisecond
	pollTimeout  = 400 * time.Millisecond
	// reportInterval is the refresh of idle sessions; changes are sent at once.
	reportInterval    = 60 * time.Second
	drainPollInterval = 20 * time.Millisecond
)

// Agent serves one upstream to routers.
type Agent struct {
	cfg         Config
	incarnation wire.Incarnation
	upstream    Upstream
	ln          link.Listener
	log         *log.Logger
	ticker      *clock.Service

	admitter    *admitter
	held        *hold.Table
	callTokens  *once.Store
	bootID      atomic.Pointer[wire.BootID]
	loadedModel atomic.Pointer[Loaded]
	ordering    atomic.Bool // an order is under way
	state       atomic.Pointer[state]
	// lastTick is the time of the last tick seen, doubt the end of a pause after
	// which no router has confirmed the configuration.
	lastTick, unconfirmedSince atomic.Pointer[time.Time]

	workCtx  context.Context // ends after the drain
	stopWork context.CancelFunc
	runWG    conc.WaitGroup // runs
	orderWG  conc.WaitGroup

	mu       sync.Mutex
	runs     map[wire.Ref]*run
	sessions map[wire.Incarnation]*session
	stopping bool
	updates  chan stateUpdate
	meter.Counters
	accounts *acct.Book // may be nil
	onResult func(c *wire.Call, res *wire.Result, took time.Duration)
}

// Option changes an Agent before it runs.
type Option func(*Agent)

// WithLogger sets the log; without it nothing is logged.
func WithLogger(l *log.Logger) Option { return func(a *Agent) { a.log = l } }

// WithResults calls f for each call that the upstream was given, after it ended,
// with the time that it took there.
func WithResults(f func(c *wire.Call, res *wire.Result, took time.Duration)) Option {
	return func(a *Agent) { a.onResult = f }
}

// WithTicks sets the timer service, which Run runs; without it the process has
// one on the system's clock.
func WithTicks(s *clock.Service) Option { return func(a *Agent) { a.ticker = s } }

// WithIncarnation sets the identity of this run, which the hello of the agent's
// listener carries too.
func WithIncarnation(i wire.Incarnation) Option { return func(a *Agent) { a.incarnation = i } }

// New returns an Agent for up that accepts sessions from ln.
func New(cfg Config, up Upstream, ln link.Listener, opts ...Option) *Agent {
	a := &Agent{
		cfg:         cfg,
		incarnation: NewIncarnation(),
		upstream:    up,
		ln:          ln,
		log:         log.New(io.Discard),
		ticker:      clock.New(),
		admitter:    newAdmitter(cfg.Bounds),
		held:        hold.NewTable(maxHeldEntries, maxHeldBytes),
		runs:        map[wire.Ref]*run{},
		sessions:    map[wire.Incarnation]*session{},
		updates:     make(chan stateUpdate),
	}
	a.workCtx, a.stopWork = context.WithCancel(context.Background())
	// A fresh agent may hear from a router with old objects first.
	a.state.Store(&state{nextOrderAt: time.Now().Add(ticketPropagationLimit)})
	for _, o := range opts {
		o(a)
	}
	a.callTokens = once.NewStore(cfg.Upstream, a.incarnation)
	return a
}

// NewIncarnation returns a random identity for one run of a process.
func NewIncarnation() wire.Incarnation { return wire.Incarnation(uuid.NewString()) }

// Run serves until ctx is done, then drains: it says goodbye to routers, refuses
// new work, and returns when the work under way has ended or drain has passed.
func (a *Agent) Run(ctx context.Context, drain time.Duration) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("agent %s: %w", a.cfg.Name, err)
		}
	}()
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	wg.Go(func() { _ = a.ticker.Run(live) })
	wg.Go(func() { a.watchPauses(live) })
	wg.Go(func() { a.poll(live) })
	wg.Go(func() { a.runControl(live) })
	if w, ok := a.upstream.(Watcher); ok {
		wg.Go(func() {
			w.Watch(live, func() {
				a.admitter.discardReport()
				a.pollOnce(live)
			})
		})
	}
	wg.Go(func() { a.acceptLoop(live) })
	<-ctx.Done()
	err = a.drain(drain)
	stop()
	a.stopWork()
	_ = a.ln.Close()
	a.closeSessions("agent stopped")
	wg.Wait()
	a.orderWG.Wait()
	return err
}

// drain refuses new work, tells routers, and waits until the work under way has
// ended and its results were taken over.
func (a *Agent) drain(limit time.Duration) error {
	a.update(func(s *state) { s.leaving = true })
	a.broadcastReport()
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.log.Info("drain started")
	end := time.After(limit)
	sub := a.ticker.Subscribe(drainPollInterval, "drain")
	defer sub.Close()
	for !a.drained() {
		select {
		case <-sub.C:
		case <-end:
			return fmt.Errorf("drain exceeded %s", limit)
		}
	}
	a.log.Info("drain complete")
	return nil
}

func (a *Agent) drained() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	entries, _ := a.held.Size()
	return len(a.runs) == 0 && entries == 0
}

const (
	pauseCheckInterval = 200 * time.Millisecond
	// confirmTimeout bounds the wait for a router's configuration after a pause, since
	// all routers may be gone; the agent then serves with what it has.
	confirmTimeout = time.Second
)

// watchPauses notices pauses of the process. After one it closes its sessions, and
// admits nothing until a router has sent the configuration on a new one.
func (a *Agent) watchPauses(ctx context.Context) {
	sub := a.ticker.Subscribe(pauseCheckInterval, "watch")
	defer sub.Close()
	a.recordTick(time.Now())
	for {
		select {
		case t := <-sub.C:
			now := time.Now()
			if t.Paused() {
				// What older sessions still hold may be from before the pause.
				a.unconfirmedSince.Store(&now)
				a.closeSessions("agent was paused")
			}
			a.recordTick(now)
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) recordTick(now time.Time) { a.lastTick.Store(&now) }

// configStale reports whether the configuration may be that from before a pause: the
// process has missed ticks, or no router has confirmed it since.
func (a *Agent) configStale(now time.Time) bool {
	if t := a.lastTick.Load(); t != nil && now.Sub(*t) > clock.PauseThreshold+pauseCheckInterval {
		return true
	}
	since := a.unconfirmedSince.Load()
	return since != nil && now.Before(since.Add(confirmTimeout))
}

// poll asks the upstream for its report on each tick.
func (a *Agent) poll(ctx context.Context) {
	sub := a.ticker.Subscribe(pollInterval, "poll")
	defer sub.Close()
	for {
		select {
		case t := <-sub.C:
			if t.Paused() {
				a.handlePause(t.Late)
			}
			a.pollOnce(ctx)
			if n := a.held.Expire(time.Now()); n > 0 {
				a.logEvent(log.InfoLevel, "discarded", wire.ReasonDeadline, "held results expired", "results", n)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	asked := time.Now()
	ev, loaded, err := a.upstream.Load(ctx)
	if err != nil {
		return
	}
	a.observe(asked, ev)
	a.loadedModel.Store(&loaded)
	a.reconcile(loaded)
}

// observe takes in the upstream's report, which was asked for at asked, and logs
// a restart.
func (a *Agent) observe(asked time.Time, ev limit.LoadReport) {
	before := a.bootID.Swap(&ev.Boot)
	if before != nil && *before != ev.Boot {
		a.log.Warn("upstream restarted", "upstream", a.cfg.Upstream, "boot", ev.Boot)
		a.Inc("restarted", "")
	}
	a.admitter.observe(asked, ev)
}

// handlePause handles the end of a pause: what was known of the upstream and of the
// configuration may be out of date.
func (a *Agent) handlePause(late time.Duration) {
	a.log.Warn("process was paused", "late", late)
	a.Inc("paused", "")
	a.admitter.markCold()
	a.update(func(s *state) { s.confirmedAt = time.Time{} })
}

func (a *Agent) notifyResult(c *wire.Call, res *wire.Result, took time.Duration) {
	if a.onResult != nil {
		a.onResult(c, res, took)
	}
}

// retryAfter is the time in milliseconds after which a router may try here again.
func (a *Agent) retryAfter(reason wire.Reason) wire.Millis {
	switch reason {
	case wire.ReasonBusy, wire.ReasonSolo, wire.ReasonCold:
		return 50
	default:
		return 1000
	}
}
