// Package router serves callers' requests. It runs the stages of a request's
// pipeline on upstreams through their agents. Each request gets a complete answer
// before its deadline or a refusal that says how much of it was executed.
package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"hornbeamcove.example/core/acct"
	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/crash"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/meter"
	"hornbeamcove.example/core/plat"
	"hornbeamcove.example/core/wire"
)

// Config holds the identity and the limits of a router.
type Config struct {
	Name   wire.HostID
	Centre wire.DataCentreID
	Region wire.RegionID
	// Peers are the addresses of other routers, in addition to those in the host
	// list.
	Peers []wire.Address
	// MaxInFlight is the maximum number of requests in flight; 0 means 4,096.
	MaxInFlight int
	// MaxQueued is the maximum number of stages queued per pool; 0 means 1,024.
	MaxQueued wire.Slots
	// Linger is the time for which a planned stop still accepts requests, so that the
	// load balancer can notice. The drain timeout includes it.
	Linger time.Duration
}

const (
	defaultMaxInFlight = 4096
	defaultMaxQueued   = 1024
	maxCrashMarks      = 1024
	maxAccountQueries  = 2 // callers' concurrent account queries
	drainPollInterval  = 20 * time.Millisecond
)

// Router admits callers' requests and runs their stages on upstreams. Create it with
// New and start it with Run.
type Router struct {
	cfg         Config
	incarnation wire.Incarnation
	dialer      link.Dialer
	ln          link.Listener
	log         *log.Logger
	ticker      *clock.Service
	platform    Platform
	accounts    *acct.Book

	scope           tally.Scope
	crashes         *crash.Registry
	gossipRequested chan struct{}
	accountQueries  chan struct{} // semaphore of callers' account queries
	snapshot        atomic.Pointer[snapshot]
	control         *control
	watcher         *plat.Watcher

	inFlight atomic.Int64
	// costCollections is the number of abandoned calls whose cost is being collected.
	costCollections atomic.Int64
	draining        atomic.Bool
	stop            atomic.Pointer[stopPlan] // set when a planned stop begins
	cutContext      context.Context          // ends when a stop cuts off the requests in flight
	cutRequests     context.CancelFunc
	meter.Counters
	newID func() wire.RequestID
}

// Option configures a Router in New.
type Option func(*Router)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l *log.Logger) Option { return func(r *Router) { r.log = l } }

// WithPlatform sets the source of tickets and of the host list. Without it the
// router learns its configuration from its peers only.
func WithPlatform(p Platform) Option { return func(r *Router) { r.platform = p } }

// WithTicks sets the timer service, which Run starts. The default one uses the
// system clock.
func WithTicks(s *clock.Service) Option { return func(r *Router) { r.ticker = s } }

// WithIncarnation sets the ID of this process run. It must equal the one in the
// hello of the router's listener. The default is a random UUID.
func WithIncarnation(i wire.Incarnation) Option { return func(r *Router) { r.incarnation = i } }

// WithAccounts sets the book in which refusals and costs are recorded.
func WithAccounts(b *acct.Book) Option { return func(r *Router) { r.accounts = b } }

// WithScope sets the metrics scope. By default no metrics are exported.
func WithScope(s tally.Scope) Option { return func(r *Router) { r.scope = s } }

// New returns a Router that connects to agents and other routers through dial and
// accepts sessions of other routers from ln, which may be nil.
func New(cfg Config, dial link.Dialer, ln link.Listener, opts ...Option) *Router {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = defaultMaxQueued
	}
	r := &Router{
		cfg:             cfg,
		incarnation:     wire.Incarnation(uuid.NewString()),
		dialer:          dial,
		ln:              ln,
		log:             log.New(io.Discard),
		scope:           tally.NoopScope,
		ticker:          clock.New(),
		crashes:         crash.NewRegistry(maxCrashMarks),
		gossipRequested: make(chan struct{}, 1),
		accountQueries:  make(chan struct{}, maxAccountQueries),
		newID:           func() wire.RequestID { return wire.RequestID(uuid.NewString()) },
	}
	r.cutContext, r.cutRequests = context.WithCancel(context.Background())
	for _, o := range opts {
		o(r)
	}
	if r.accounts == nil {
		r.accounts = acct.NewBook()
	}
	r.Export(r.scope)
	r.control = newControl(r)
	r.snapshot.Store(emptySnapshot())
	if r.platform != nil {
		r.watcher = plat.NewWatcher(r.platform, r.applyTickets, plat.WithLogger(r.log), plat.WithScope(r.scope))
	}
	return r
}

// Run serves until ctx is done and then drains: after Config.Linger it refuses new
// requests and waits for those in flight and for the costs of abandoned calls. All
// this takes at most drainTimeout; requests that last longer are cut off with a
// refusal, and Run returns an error.
func (r *Router) Run(ctx context.Context, drainTimeout time.Duration) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("router %s: %w", r.cfg.Name, err)
		}
	}()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	wg.Go(func() { _ = r.ticker.Run(runCtx) })
	wg.Go(func() { r.control.run(runCtx) })
	wg.Go(func() { r.gossipLoop(runCtx) })
	if r.ln != nil {
		wg.Go(func() { r.acceptPeers(runCtx) })
	}
	if r.platform != nil {
		wg.Go(func() { r.watchTickets(runCtx) })
		wg.Go(func() { r.watchHosts(runCtx) })
	}
	<-ctx.Done()
	err = r.drain(drainTimeout)
	cancel()
	if r.ln != nil {
		_ = r.ln.Close()
	}
	wg.Wait()
	return err
}

// Ready returns an error while the router must not receive new requests, because
// it is draining or has no configuration.
func (r *Router) Ready() error {
	switch {
	case r.draining.Load():
		return errors.New("draining")
	case r.snapshot.Load().store.Len() == 0:
		return errors.New("no configuration yet")
	default:
		return nil
	}
}
