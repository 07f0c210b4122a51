// Package agent implements the agent, which runs beside one upstream and serves it to
// routers. All calls to that upstream pass through it, so it alone keeps the
// upstream's concurrency limit, cold state, drain state and record of non-repeatable
// calls.
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

// Config identifies an agent and its upstream.
type Config struct {
	Name     wire.HostID
	Upstream wire.UpstreamID
	Centre   wire.DataCentreID
	Kind     wire.Kind
	// Bounds are the limiter's bounds until a router sends the configuration of the
	// upstream.
	Bounds limit.Bounds
}

const (
	// maxHeldEntries and maxHeldBytes limit the table of calls under way and of
	// results that no router has acknowledged yet.
	maxHeldEntries = 1024
	maxHeldBytes   = 16 << 20
	// pollInterval keeps the upstream's load report younger than 500 ms, the age up
	// to which the limiter allows more calls than the cold bound.
	pollInterval = 200 * time.Millisecond
	pollTimeout  = 400 * time.Millisecond
	// reportInterval is the interval of reports on idle sessions. Changes of admission
	// are reported at once.
	reportInterval    = 60 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// cutMargin is the time before the end of the drain timeout at which the calls still
	// under way are cut off, so that routers learn how they ended. It is at most
	// 1/maxMarginShare of the drain timeout.
	cutMargin      = 500 * time.Millisecond
	maxMarginShare = 4
)

// Agent serves one upstream to routers.
type Agent struct {
	cfg         Config
	incarnation wire.Incarnation
	upstream    Upstream
	ln          link.Listener
	log         *log.Logger
	ticker      *clock.Service

	admitter      *admitter
	held          *hold.Table // chunks and results of calls, until they are acknowledged or expire
	callTokens    *once.Store // tokens of non-repeatable calls
	bootID        atomic.Pointer[wire.BootID]
	loadedModel   atomic.Pointer[Loaded]
	orderInFlight atomic.Bool // whether an order is under way
	state         atomic.Pointer[state]
	// lastTick is when watchPauses last ran. unconfirmedSince is the end of the last
	// pause of the process, or nil once a router has confirmed the configuration.
	lastTick, unconfirmedSince atomic.Pointer[time.Time]

	workCtx  context.Context // ends after the drain
	stopWork context.CancelFunc
	callCtx  context.Context // ends when the drain cuts off the calls under way
	cutCalls context.CancelFunc
	runWG    conc.WaitGroup // goroutines of runs
	orderWG  conc.WaitGroup // goroutines of orders

	mu       sync.Mutex
	runs     map[wire.Ref]*run
	sessions map[wire.Incarnation]*session
	stopping bool // whether a drain has begun, so that no run starts
	updates  chan stateUpdate
	meter.Counters
	accounts *acct.Book // may be nil
	onResult func(c *wire.Call, res *wire.Result, took time.Duration)
}

// Option configures an Agent in New.
type Option func(*Agent)

// WithLogger sets the logger. Without it nothing is logged.
func WithLogger(l *log.Logger) Option { return func(a *Agent) { a.log = l } }

// WithResults makes the agent call f after each call that was sent to the upstream,
// with the time that the upstream took.
func WithResults(f func(c *wire.Call, res *wire.Result, took time.Duration)) Option {
	return func(a *Agent) { a.onResult = f }
}

// WithTicks sets the timer service, which Run runs. Without it the agent uses one on
// the system clock.
func WithTicks(s *clock.Service) Option { return func(a *Agent) { a.ticker = s } }

// WithIncarnation sets the identity of this run of the agent. The listener's hello
// must carry the same one.
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
	a.callCtx, a.cutCalls = context.WithCancel(a.workCtx)
	// The first router that a new agent hears from may have an outdated configuration,
	// so no order is sent before a newer one has had time to arrive.
	a.state.Store(&state{nextOrderAt: time.Now().Add(ticketPropagationLimit)})
	for _, o := range opts {
		o(a)
	}
	a.callTokens = once.NewStore(cfg.Upstream, a.incarnation)
	return a
}

// NewIncarnation returns a random identity for one run of a process.
func NewIncarnation() wire.Incarnation { return wire.Incarnation(uuid.NewString()) }

// Run serves until ctx is done, then drains: it tells routers that it is leaving,
// refuses new calls, and returns when the calls under way have ended and their
// results were acknowledged by routers or have expired. If that takes longer than
// drainTimeout, it cuts off the calls, stops and returns an error.
func (a *Agent) Run(ctx context.Context, drainTimeout time.Duration) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("agent %s: %w", a.cfg.Name, err)
		}
	}()
	// Sessions and polling go on during the drain, after ctx is done.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	wg.Go(func() { _ = a.ticker.Run(serveCtx) })
	wg.Go(func() { a.watchPauses(serveCtx) })
	wg.Go(func() { a.poll(serveCtx) })
	wg.Go(func() { a.runControl(serveCtx) })
	if w, ok := a.upstream.(Watcher); ok {
		wg.Go(func() {
			w.Watch(serveCtx, func() {
				a.admitter.discardReport()
				a.pollOnce(serveCtx)
			})
		})
	}
	wg.Go(func() { a.acceptLoop(serveCtx) })
	<-ctx.Done()
	err = a.drain(drainTimeout)
	stop()
	a.stopWork()
	_ = a.ln.Close()
	a.closeSessions("agent stopped")
	wg.Wait()
	a.orderWG.Wait()
	return err
}

// drain refuses new calls, tells routers, and waits until the calls under way have
// ended and their results were acknowledged or have expired. It cuts off the calls that
// last too long and returns an error if there were any, or if a result is still held
// after timeout.
func (a *Agent) drain(timeout time.Duration) error {
	a.update(func(s *state) { s.leaving = true })
	a.broadcastReport()
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.log.Info("drain started")
	cut, expired := time.After(timeout-min(cutMargin, timeout/maxMarginShare)), time.After(timeout)
	sub := a.ticker.Subscribe(drainPollInterval, "drain")
	defer sub.Close()
	cutOff := 0
	for !a.drained() {
		select {
		case <-sub.C:
		case <-cut:
			if cutOff = a.callsUnderWay(); cutOff > 0 {
				a.logEvent(log.WarnLevel, "cut_off", wire.ReasonLeaving, "calls cut off by the stop", "calls", cutOff)
				a.cutCalls()
			}
		case <-expired:
			return fmt.Errorf("drain exceeded %s", timeout)
		}
	}
	if cutOff > 0 {
		return fmt.Errorf("drain exceeded %s, %d calls cut off", timeout, cutOff)
	}
	a.log.Info("drain complete")
	return nil
}

// callsUnderWay returns the number of calls under way.
func (a *Agent) callsUnderWay() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runs)
}

// drained reports whether no call is under way and no result is held.
func (a *Agent) drained() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	entries, _ := a.held.Size()
	return len(a.runs) == 0 && entries == 0
}

const (
	pauseCheckInterval = 200 * time.Millisecond
	// confirmTimeout limits the wait for a router's configuration after a pause, since
	// all routers may be gone. The agent then uses the configuration that it has.
	confirmTimeout = time.Second
)

// watchPauses detects pauses of the process. After a pause it closes all sessions,
// and no call is admitted until a router has sent the configuration over a new
// session or confirmTimeout has passed.
func (a *Agent) watchPauses(ctx context.Context) {
	sub := a.ticker.Subscribe(pauseCheckInterval, "watch")
	defer sub.Close()
	a.recordTick(time.Now())
	for {
		select {
		case t := <-sub.C:
			now := time.Now()
			if t.Paused() {
				// Data buffered in older sessions may be from before the pause.
				a.unconfirmedSince.Store(&now)
				a.closeSessions("agent was paused")
			}
			a.recordTick(now)
		case <-ctx.Done():
			return
		}
	}
}

// recordTick stores the time of the last tick.
func (a *Agent) recordTick(now time.Time) { a.lastTick.Store(&now) }

// configStale reports whether the configuration may be from before a pause: the
// process has just missed ticks, or no router has confirmed the configuration since
// the last pause.
func (a *Agent) configStale(now time.Time) bool {
	if t := a.lastTick.Load(); t != nil && now.Sub(*t) > clock.PauseThreshold+pauseCheckInterval {
		return true
	}
	since := a.unconfirmedSince.Load()
	return since != nil && now.Before(since.Add(confirmTimeout))
}

// poll fetches the upstream's load report at each tick and expires held results.
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

// pollOnce fetches one load report and acts on it. If the upstream does not answer,
// it does nothing, and the limiter's last report goes out of date.
func (a *Agent) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	requestedAt := time.Now()
	report, loaded, err := a.upstream.Load(ctx)
	if err != nil {
		return
	}
	a.observe(requestedAt, report)
	a.loadedModel.Store(&loaded)
	a.reconcile(loaded)
}

// observe passes a load report to the admitter, and logs and counts a restart of the
// upstream. The report was requested at requestedAt.
func (a *Agent) observe(requestedAt time.Time, report limit.LoadReport) {
	previous := a.bootID.Swap(&report.Boot)
	if previous != nil && *previous != report.Boot {
		a.log.Warn("upstream restarted", "upstream", a.cfg.Upstream, "boot", report.Boot)
		a.Inc("restarted", "")
	}
	a.admitter.observe(requestedAt, report)
}

// handlePause is called after a pause of the process. It treats the upstream as cold
// and the configuration as unconfirmed, since both may have changed meanwhile.
func (a *Agent) handlePause(late time.Duration) {
	a.log.Warn("process was paused", "late", late)
	a.Inc("paused", "")
	a.admitter.markCold()
	a.update(func(s *state) { s.confirmedAt = time.Time{} })
}

// notifyResult calls the callback for results, if there is one.
func (a *Agent) notifyResult(c *wire.Call, res *wire.Result, took time.Duration) {
	if a.onResult != nil {
		a.onResult(c, res, took)
	}
}

// retryAfter returns the time after which a router may try this agent again, in
// milliseconds. A full or cold agent may have a free slot soon.
func (a *Agent) retryAfter(reason wire.Reason) wire.Millis {
	switch reason {
	case wire.ReasonBusy, wire.ReasonSolo, wire.ReasonCold:
		return 50
	default:
		return 1000
	}
}
