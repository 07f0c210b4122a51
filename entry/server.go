package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/uber-go/tally/v4"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/budget"
	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/crash"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/framer"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/proc"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

const (
	// headerReadTimeout and maxHeaderBytes limit the read time and the size of the header
	// of a caller's request. The limits in the configuration are lower.
	headerReadTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// callerIdleTimeout is the idle time after which callers' connections are closed.
	// Callers stop reusing a connection earlier: after four fifths of the idle time in the
	// platform's configuration, which is below this timeout.
	callerIdleTimeout = 60 * time.Second
	// memoryLimitPercent is the Go runtime's soft memory limit, as a percentage of
	// Settings.Memory. gcPercent is the heap growth between garbage collections below
	// that limit.
	memoryLimitPercent = 60
	gcPercent          = 400
	// idleSweepInterval is how often expired idle connections to upstreams are closed.
	idleSweepInterval = time.Second
	// settingsPollInterval is how often the settings file is reread without a signal.
	settingsPollInterval = 2 * time.Second
	// sharedRetryRatio is the fraction of the allowed retries that is divided among the
	// running routers. The rest is reserved for routers that restart with a full budget.
	sharedRetryRatio = 0.6
	// maxInFlight limits the requests in flight; further ones are refused.
	maxInFlight = 2000
)

// Server is a router: it serves callers and peers, and forwards requests to upstreams.
// Create it with New.
type Server struct {
	cfg     Settings
	path    string // path of the settings file; empty in tests
	log     *log.Logger
	logOut  *lossyWriter
	metrics proc.Metrics

	clock          *clock.Service
	view           atomic.Pointer[View]
	updates        chan update     // reads of the store and of peers, for the control goroutine
	stateRequests  chan chan State // the control goroutine sends its state to each
	targets        *targets
	queues         *stageQueues
	peers          *peers
	strikes        crash.Strikes
	parts          crash.Parts
	limits         limit.Named
	heldBodies     *limit.Bytes // large bodies of requests
	heldAnswers    *limit.Bytes // large answers and events of upstreams
	notices        limit.Notices
	origins        origins
	latencies      routeLatencies
	durations      admit.Durations
	streamTimes    admit.StreamTimes
	unqueued       unqueuedPieces
	forecastErrors admit.ForecastErrors
	shedding       shedding
	lag            lagMonitor
	shares         *teamShares

	seedList atomic.Pointer[[]wire.Address] // seeds, as last reloaded
	loadsOn  atomic.Bool                    // Settings.Loads, as last reloaded
	paces    servicePaces
	lost     [2]atomic.Bool // by platform.Area: whether the area can't be read from the store
	draining atomic.Bool
	// drainBegan is the time at which a drain began. It is nil before.
	drainBegan atomic.Pointer[Instant]
	// drainEnd is the time by which the last requests must end. It is nil until the
	// deregistration delay of a drain has passed.
	drainEnd atomic.Pointer[Instant]
	// stopCtx is cancelled shortly before the end of a drain, so that requests without
	// a response are refused rather than cut off.
	stopCtx       context.Context
	cancelStopCtx context.CancelFunc
	inFlight      atomic.Int64
	lastArrival   atomic.Pointer[time.Time]
	background    conc.WaitGroup

	mu           sync.Mutex
	retryBudgets map[fleet.ServiceID]*serviceBudget

	callerConns                            *callerConns
	callerListener                         *callerListener
	openListener                           listenFunc
	callerServer, readyServer, adminServer *http.Server
	stopped                                chan struct{}
}

// serviceBudget is the retry budget of a service and the number of routers among which
// its burst was divided.
type serviceBudget struct {
	*budget.Retry
	routers int
}

// New returns a router that writes its log to out. path is the settings file, which
// Run rereads when it changes; an empty path disables that. The error is that of
// setting up the logger.
func New(cfg Settings, path string, out io.Writer) (s *Server, err error) {
	lossy := newLossyWriter(out)
	logger, err := proc.NewLogger(lossy, cfg.Level, "host", string(cfg.Name))
	if err != nil {
		return nil, err
	}
	s = &Server{
		cfg: cfg, path: path, log: logger, logOut: lossy, metrics: proc.NewMetrics(logger),
		clock:   clock.New(),
		updates: make(chan update), stateRequests: make(chan chan State),
		targets:      &targets{byID: map[wire.UpstreamID]*target{}},
		retryBudgets: map[fleet.ServiceID]*serviceBudget{},
		callerConns:  newCallerConns(),
		openListener: listenTCP,
		stopped:      make(chan struct{}),
	}
	memory := int64(cfg.Memory * (1 << 20))
	s.heldBodies, s.heldAnswers = limit.NewBytes(memory/bodyShare), limit.NewBytes(memory/answerShare)
	s.targets.heads = s.heldAnswers
	s.stopCtx, s.cancelStopCtx = context.WithCancel(context.Background())
	s.unqueued.byService = map[fleet.ServiceID]Load{}
	s.unqueued.byRank = map[fleet.ServiceID][fleet.RankLevels]int{}
	s.shedding.on.Store(cfg.Shed)
	s.latencies.byRoute = map[fleet.RouteID]time.Duration{}
	s.seedList.Store(&cfg.Seeds)
	s.loadsOn.Store(cfg.Loads)
	s.paces.probeClient = newProbeClient(s.heldAnswers)
	s.view.Store(&View{})
	s.lastArrival.Store(&processStart)
	s.queues = newStageQueues(s)
	s.peers = newPeers(s)
	s.shares = newTeamShares(s)
	s.origins.s = s
	s.callerServer = &http.Server{
		Handler: http.HandlerFunc(s.serveCaller), ReadHeaderTimeout: headerReadTimeout, IdleTimeout: callerIdleTimeout,
		// net/http would answer OPTIONS * with 200 by itself, which no upstream has signed.
		DisableGeneralOptionsHandler: true,
		MaxHeaderBytes:               maxHeaderBytes, ConnState: s.callerConns.setState, ErrorLog: logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	s.readyServer = &http.Server{Handler: http.HandlerFunc(s.serveReady), ReadHeaderTimeout: headerReadTimeout}
	s.adminServer = &http.Server{Handler: s.adminHandler(), ReadHeaderTimeout: headerReadTimeout}
	return s, nil
}

func (s *Server) seeds() []wire.Address { return *s.seedList.Load() }

// storeLost reports whether an area can't be read from the store.
func (s *Server) storeLost(a platform.Area) bool { return s.lost[a].Load() }

func (s *Server) scope() tally.Scope { return s.metrics.Scope() }

// incCounter increments a counter. labels alternates label names and values.
func (s *Server) incCounter(name string, labels ...string) { s.addCounter(name, 1, labels...) }

func (s *Server) addCounter(name string, n int64, labels ...string) {
	scope := s.scope()
	if len(labels) > 0 {
		tags := make(map[string]string, len(labels)/2)
		for i := 0; i+1 < len(labels); i += 2 {
			tags[labels[i]] = labels[i+1]
		}
		scope = scope.Tagged(tags)
	}
	scope.Counter(name).Inc(n)
}

// retryBudget returns the retry budget of a service. A new one is created when the
// number of routers that share it grows.
func (s *Server) retryBudget(id fleet.ServiceID) *budget.Retry {
	routers := s.peers.routerCount(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.retryBudgets[id]
	if b == nil || b.routers < routers {
		b = &serviceBudget{budget.NewRetry(sharedRetryRatio*s.cfg.Retries, int(sharedRetryRatio*s.cfg.Slack)/routers), routers}
		s.retryBudgets[id] = b
	}
	return b.Retry
}

// Run serves until a signal other than a reload arrives, and then drains. If ctx ends
// first, Run closes all connections without a drain. It returns an error if an address
// can't be listened on or the metrics can't be closed.
func (s *Server) Run(ctx context.Context, signals <-chan os.Signal, isReload func(os.Signal) bool) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("run router %s: %w", s.cfg.Name, err)
		}
	}()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(s.cfg.Memory * memoryLimitPercent / 100 * (1 << 20)))
	logCtx, endLog := context.WithCancel(context.Background())
	var logging conc.WaitGroup
	logging.Go(func() { s.logOut.run(logCtx) })
	defer func() { endLog(); logging.Wait() }()

	lns, err := s.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.log.Info("router started", "pid", os.Getpid(), "centre", s.cfg.Centre, "callers", s.cfg.Callers, "store", s.cfg.Store,
		"seeds", s.cfg.Seeds, "memory", s.cfg.Memory)
	s.start(ctx, lns)
	if reason := s.wait(ctx, signals, isReload); ctx.Err() == nil {
		s.drain(reason)
	} else {
		s.close()
	}
	cancel()
	s.log.Info("router stopped", "requests", s.inFlight.Load())
	return s.metrics.Close()
}

type listeners struct{ callers, ready, peers, admin net.Listener }

// listenFunc opens a listener at an address. It returns the errors of net.Listen.
type listenFunc func(wire.Address) (net.Listener, error)

func listenTCP(addr wire.Address) (net.Listener, error) { return net.Listen("tcp", string(addr)) }

func (s *Server) listen() (l listeners, err error) {
	for _, e := range []struct {
		ln   *net.Listener
		addr wire.Address
	}{{&l.callers, s.cfg.Callers}, {&l.ready, s.cfg.Ready}, {&l.peers, s.cfg.Peers}, {&l.admin, s.cfg.Admin}} {
		if *e.ln, err = s.openListener(e.addr); err != nil {
			return l, err
		}
	}
	return l, nil
}

// start starts all goroutines. They end with ctx or with their listener; failures are
// logged and counted.
func (s *Server) start(ctx context.Context, l listeners) {
	s.spawn("control", func() error { return newControl(s).run(ctx) })
	s.spawn("timers", func() error { return s.clock.Run(ctx) })
	store := platform.NewStore(s.cfg.Store)
	store.OnRead = s.recordRead
	for _, a := range platform.Areas {
		s.spawn("watch "+a.String(), func() error { return s.watch(ctx, store, a) })
	}
	s.spawn("peers", func() error { return s.peers.run(ctx) })
	s.spawn("team shares", func() error { return s.shares.run(ctx) })
	s.spawn("lag", func() error { return s.watchLag(ctx) })
	s.spawn("sweep", func() error { return s.sweepIdleConns(ctx) })
	s.spawn("peer listener", func() error { return s.servePeers(l.peers) })
	s.spawn("readiness", func() error { return s.readyServer.Serve(l.ready) })
	s.spawn("administration", func() error { return s.adminServer.Serve(l.admin) })
	s.callerListener = &callerListener{Listener: framer.Listener{Listener: l.callers, Rejected: s.recordAmbiguous, NewMeter: s.newRequestHead}, served: make(chan struct{})}
	s.spawn("callers", func() error {
		defer close(s.callerListener.served)
		return s.callerServer.Serve(s.callerListener.Listener)
	})
	go func() {
		<-ctx.Done()
		_ = l.peers.Close()
	}()
}

// spawn runs f in a goroutine. A panic or an error other than that of a normal stop is
// logged and counted.
func (s *Server) spawn(name string, f func() error) {
	go func() {
		var err error
		if r := panics.Try(func() { err = f() }); r != nil {
			err = r.AsError()
		}
		if err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error("goroutine failed", "goroutine", name, "err", err)
			s.incCounter("goroutine_failures")
		}
	}()
}

// sweepIdleConns periodically closes expired idle connections to upstreams.
func (s *Server) sweepIdleConns(ctx context.Context) error {
	tick := s.clock.Subscribe(idleSweepInterval, "sweep")
	defer tick.Close()
	for {
		select {
		case t := <-tick.C:
			s.targets.mu.Lock()
			all := make([]*target, 0, len(s.targets.byID))
			for _, t := range s.targets.byID {
				all = append(all, t)
			}
			s.targets.mu.Unlock()
			for _, tg := range all {
				tg.closeExpired(t.Now)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wait blocks until the router has to stop and returns the reason. Meanwhile it
// reloads the settings on a reload signal and at every settingsPollInterval.
func (s *Server) wait(ctx context.Context, signals <-chan os.Signal, isReload func(os.Signal) bool) string {
	tick := s.clock.Subscribe(settingsPollInterval, "settings")
	defer tick.Close()
	for {
		select {
		case sig := <-signals:
			if !isReload(sig) {
				return sig.String()
			}
			s.reload(sig.String())
		case <-tick.C:
			s.reload("")
		case <-ctx.Done():
			return "context ended"
		}
	}
}

// reload applies the settings that may change while the router runs: the seeds, and the switches
// for hard load.
// Invalid settings are logged and change nothing.
func (s *Server) reload(signal string) {
	if s.path == "" {
		return
	}
	next, err := LoadSettings(s.path)
	if err != nil {
		s.log.Error("settings not reloaded", "err", err)
		s.incCounter("reload_failed")
		return
	}
	changed := !slices.Equal(next.Seeds, s.seeds())
	if changed {
		s.seedList.Store(&next.Seeds)
	}
	if next.Shares != s.shares.on.Load() {
		s.shares.set(next.Shares)
		changed = true
	}
	changed = s.shedding.on.Swap(next.Shed) != next.Shed || changed
	changed = s.loadsOn.Swap(next.Loads) != next.Loads || changed
	if changed || signal != "" {
		s.log.Info("settings reloaded", "signal", signal, "changed", changed, "seeds", next.Seeds, "shed", next.Shed, "shares", next.Shares, "loads", next.Loads)
	}
}

const (
	// deregistrationDelay is how long the balancer may still send new connections after
	// the readiness check fails: two checks one second apart, plus a margin. It is at most
	// half of the grace period.
	deregistrationDelay = 3 * time.Second
	// killMargin is the time between the end of the drain and the kill of the process, at
	// most 1/killMarginDivisor of the grace period.
	killMargin        = 700 * time.Millisecond
	killMarginDivisor = 11
	// refuseMargin is the time before the end of the drain at which requests without a
	// response are refused, at most 1/refuseMarginDivisor of the grace period. It is twice as
	// long as a host that has used up its CPU quota is paused. killMargin and refuseMargin
	// together stay below a sixth of the grace period: requests that are cut off earlier
	// count as lost.
	refuseMargin        = 400 * time.Millisecond
	refuseMarginDivisor = 20
	// listenerCloseMargin is the time before those refusals at which the listener is closed
	// even if requests still arrive, at most 1/listenerCloseDivisor of the grace period.
	listenerCloseMargin  = 600 * time.Millisecond
	listenerCloseDivisor = 13
	// quietPeriod is how long no request must have arrived before the listener is
	// closed, because closing it resets connections that wait to be accepted. It is
	// longer than a host that has used up its CPU quota is paused.
	quietPeriod       = 300 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
)

// stopTimes are the steps of a drain, as times from the signal.
type stopTimes struct {
	deregistered  time.Duration // the balancer has noticed
	closeListener time.Duration // at the latest
	cut           time.Duration // requests without a response are refused
	closeConns    time.Duration // all connections are closed
}

// newStopTimes returns the steps of a drain for the time from SIGTERM to SIGKILL.
func newStopTimes(grace time.Duration) (st stopTimes) {
	st.deregistered = min(deregistrationDelay, grace/2)
	st.closeConns = grace - min(killMargin, grace/killMarginDivisor)
	st.cut = st.closeConns - min(refuseMargin, grace/refuseMarginDivisor)
	st.closeListener = st.cut - min(listenerCloseMargin, grace/listenerCloseDivisor)
	return st
}

// drain waits for the requests in flight. The readiness check fails at once, and new
// requests are served until the balancer has noticed. Requests still arrive after that
// while too few other routers are ready; those that might not end before the process
// is killed are refused. Connections of callers are closed after their next response.
func (s *Server) drain(reason string) {
	began, bootBegan := time.Now(), bootNow()
	st := newStopTimes(s.cfg.grace())
	s.drainBegan.Store(&bootBegan)
	s.draining.Store(true)
	s.log.Info("drain started", "signal", reason, "requests", s.inFlight.Load(), "grace", s.cfg.grace().String())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	refuseTimer := time.AfterFunc(time.Until(began.Add(st.cut)), func() {
		s.cancelStopCtx()
		// Counted from here, so that the answers are written even if the host was paused.
		time.AfterFunc(st.closeConns-st.cut, cancel)
	})
	defer refuseTimer.Stop()
	clock.Sleep(ctx, time.Until(began.Add(st.deregistered)))
	end := bootBegan.Add(st.cut)
	s.drainEnd.Store(&end)
	s.background.Go(s.origins.handOver)
	s.waitQuiet(began.Add(st.closeListener))
	_ = s.callerListener.Close()
	// http.Server.Shutdown closes connections whose request it has just read.
	if err := s.endCallerConns(ctx); err != nil {
		s.logCutOff(err)
	}
	s.close()
	s.log.Info("drain ended", "took", time.Since(began).String())
}

// waitQuiet waits until no request is in flight and none has arrived for quietPeriod,
// or until end.
func (s *Server) waitQuiet(end time.Time) {
	for now := time.Now(); now.Before(end); now = time.Now() {
		if s.inFlight.Load() == 0 && now.Sub(*s.lastArrival.Load()) >= quietPeriod {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// close closes all HTTP listeners and their connections.
func (s *Server) close() {
	for _, srv := range []*http.Server{s.callerServer, s.readyServer, s.adminServer} {
		_ = srv.Close()
	}
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if reason := s.unreadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unreadyReason returns why the router should get no new connections, or "" if it is
// ready.
func (s *Server) unreadyReason() string {
	v := s.view.Load()
	switch {
	case s.draining.Load():
		return "draining"
	case v.Config == nil:
		return "no configuration"
	case !v.Listed:
		return "no upstreams"
	}
	return ""
}

// routeLatencies tracks the latency of each route. It is safe for concurrent use.
type routeLatencies struct {
	mu sync.Mutex
	// byRoute holds the moving average of the time from sending a request to its first
	// event, or to the whole response if it is not a stream.
	byRoute map[fleet.RouteID]time.Duration
}

const (
	// defaultFirstEvent is the assumed time to a stream's first event until one is measured.
	defaultFirstEvent = 250 * time.Millisecond
	// defaultResponseTime is the assumed time to a response that is not a stream.
	defaultResponseTime = 30 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.1
	// maxRouteLatencies limits the routes whose latency is kept.
	maxRouteLatencies = 4096
	// defaultTargetLatency is the latency target of a route that has none.
	defaultTargetLatency = time.Second
	// maxLatencySample caps the samples that are added to an existing average.
	maxLatencySample = 10 * time.Second
)

// observe adds a sample to the moving average of a route. The first sample is taken as
// it is, later ones up to maxLatencySample.
func (l *routeLatencies) observe(id fleet.RouteID, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.byRoute[id]
	if !ok {
		if len(l.byRoute) >= maxRouteLatencies {
			clear(l.byRoute) // most belong to routes of replaced configurations
		}
		l.byRoute[id] = d
		return
	}
	l.byRoute[id] = old + time.Duration(latencyWeight*float64(min(d, maxLatencySample)-old))
}

// mean returns the moving average of a route, or false if there is no sample.
func (l *routeLatencies) mean(id fleet.RouteID) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.byRoute[id]
	return d, ok
}

// expectedFirstEvent returns the expected time from sending a request to its first
// event, or to the whole response if it is not a stream.
func (s *Server) expectedFirstEvent(r *fleet.Route) time.Duration {
	if d, ok := s.latencies.mean(r.ID); ok {
		return d
	}
	if r.Kind == fleet.Stream {
		return defaultFirstEvent
	}
	return defaultResponseTime
}

// randomFraction returns a random number in [0, 1).
func randomFraction() float64 { return rand.Float64() }
