// Package router takes requests from callers, runs the stages of their pipelines
// on upstreams through agents, and answers each whole and on time or refuses it
// truthfully.
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

// Config is what a router must know of itself.
type Config struct {
	Name   wire.HostID
	Centre wire.DataCentreID
	Region wire.RegionID
	// Peers are addresses of other routers, beside those in the host list.
	Peers []wire.Address
	// MaxInFlight bounds the requests under way at once; 0 means 4,096.
	MaxInFlight int
	// MaxQueued bounds the waiting stages of one pool; 0 means 1,024.
	MaxQueued wire.Slots
}

const (
	defaultMaxInFlight = 4096
	defaultMaxQueued   = 1024
	maxCrashMarks      = 1024
	maxAccountQueries  = 2
	drainPollInterval  = 20 * time.Millisecond
)

// Router is one entry process.
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
	accountQueries  chan struct{} // callers' queries of accounts under way
	snapshot        atomic.Pointer[snapshot]
	control         *control
	watcher         *plat.Watcher

	inFlight atomic.Int64
	// collecting counts abandoned calls whose cost is awaited.
	collecting atomic.Int64
	draining   atomic.Bool
	meter.Counters
	newID func() wire.RequestID
}

// Option changes a Router before it runs.
type Option func(*Router)

// WithLogger sets the log; without it nothing is logged.
func WithLogger(l *log.Logger) Option { return func(r *Router) { r.log = l } }

// WithPlatform sets the source of tickets and of the host list.
func WithPlatform(c Platform) Option { return func(r *Router) { r.platform = c } }

// WithTicks sets the timer service, which Run runs; without it the process has
// one on the system's clock.
func WithTicks(s *clock.Service) Option { return func(r *Router) { r.ticker = s } }

// WithIncarnation sets the identity of this run, which the hello of the
// router's own listener carries too.
func WithIncarnation(i wire.Incarnation) Option { return func(r *Router) { r.incarnation = i } }

// WithAccounts sets the book of refusals and costs.
func WithAccounts(b *acct.Book) Option { return func(r *Router) { r.accounts = b } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option { return func(r *Router) { r.scope = s } }

// New returns a Router that reaches agents and other routers through dial and
// accepts other routers from ln, which may be nil.
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

// Run serves until ctx is done, then drains: new requests are refused, those
// under way finish, and Run returns when they have or drain has passed.
func (r *Router) Run(ctx context.Context, drain time.Duration) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("router %s: %w", r.cfg.Name, err)
		}
	}()
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	wg.Go(func() { _ = r.ticker.Run(live) })
	wg.Go(func() { r.control.run(live) })
	wg.Go(func() { r.gossipLoop(live) })
	if r.ln != nil {
		wg.Go(func() { r.acceptPeers(live) })
	}
	if r.platform != nil {
		wg.Go(func() { r.watchTickets(live) })
		wg.Go(func() { r.watchHosts(live) })
	}
	<-ctx.Done()
	err = r.drain(drain)
	stop()
	if r.ln != nil {
		_ = r.ln.Close()
	}
	wg.Wait()
	return err
}

// drain refuses new requests and waits until those under way have ended.
func (r *Router) drain(limit time.Duration) error {
	r.draining.Store(true)
	r.log.Info("drain started", "flight", r.inFlight.Load())
	end := time.After(limit)
	sub := r.ticker.Subscribe(drainPollInterval, "drain")
	defer sub.Close()
	for r.inFlight.Load()+r.collecting.Load() > 0 {
		select {
		case <-sub.C:
		case <-end:
			return fmt.Errorf("drain exceeded %s with %d requests under way", limit, r.inFlight.Load())
		}
	}
	r.log.Info("drain complete")
	return nil
}

// Ready returns an error while callers should not be sent here.
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
