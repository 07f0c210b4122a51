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
	// Flight bounds the requests under way at once; 0 means 4,096.
	Flight int
	// Queue bounds the waiting stages of one pool; 0 means 1,024.
	Queue wire.Slots
}

const (
	defaultFlight = 4096
	defaultQueue  = 1024
	maxSuspects   = 1024
	maxQueries    = 2
	drainPoll     = 20 * time.Millisecond
)

// Router is one entry process.
type Router struct {
	cfg  Config
	inc  wire.Incarnation
	dial link.Dialer
	ln   link.Listener
	log  *log.Logger
	tick *clock.Service
	plat Platform
	book *acct.Book

	scope     tally.Scope
	crashes   *crash.Registry
	announced chan struct{}
	queries   chan struct{} // callers' queries of accounts under way
	snap      atomic.Pointer[snapshot]
	ctl       *control
	watcher   *plat.Watcher

	flight atomic.Int64
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
func WithPlatform(c Platform) Option { return func(r *Router) { r.plat = c } }

// WithTicks sets the timer service, which Run runs; without it the process has
// one on the system's clock.
func WithTicks(s *clock.Service) Option { return func(r *Router) { r.tick = s } }

// WithIncarnation sets the identity of this run, which the hello of the
// router's own listener carries too.
func WithIncarnation(i wire.Incarnation) Option { return func(r *Router) { r.inc = i } }

// WithAccounts sets the book of refusals and costs.
func WithAccounts(b *acct.Book) Option { return func(r *Router) { r.book = b } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option { return func(r *Router) { r.scope = s } }

// New returns a Router that reaches agents and other routers through dial and
// accepts other routers from ln, which may be nil.
func New(cfg Config, dial link.Dialer, ln link.Listener, opts ...Option) *Router {
	if cfg.Flight == 0 {
		cfg.Flight = defaultFlight
	}
	if cfg.Queue == 0 {
		cfg.Queue = defaultQueue
	}
	r := &Router{
		cfg:       cfg,
		inc:       wire.Incarnation(uuid.NewString()),
		dial:      dial,
		ln:        ln,
		log:       log.New(io.Discard),
		scope:     tally.NoopScope,
		tick:      clock.New(),
		crashes:   crash.NewRegistry(maxSuspects),
		announced: make(chan struct{}, 1),
		queries:   make(chan struct{}, maxQueries),
		newID:     func() wire.RequestID { return wire.RequestID(uuid.NewString()) },
	}
	for _, o := range opts {
		o(r)
	}
	if r.book == nil {
		r.book = acct.NewBook()
	}
	r.Export(r.scope)
	r.ctl = newControl(r)
	r.snap.Store(emptySnapshot())
	if r.plat != nil {
		r.watcher = plat.NewWatcher(r.plat, r.takeTickets, plat.WithLogger(r.log), plat.WithScope(r.scope))
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
	wg.Go(func() { _ = r.tick.Run(live) })
	wg.Go(func() { r.ctl.run(live) })
	wg.Go(func() { r.peerLoop(live) })
	if r.ln != nil {
		wg.Go(func() { r.acceptPeers(live) })
	}
	if r.plat != nil {
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
	r.log.Info("drain started", "flight", r.flight.Load())
	end := time.After(limit)
	sub := r.tick.Subscribe(drainPoll, "drain")
	defer sub.Close()
	for r.flight.Load()+r.collecting.Load() > 0 {
		select {
		case <-sub.C:
		case <-end:
			return fmt.Errorf("drain exceeded %s with %d requests under way", limit, r.flight.Load())
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
	case r.snap.Load().store.Len() == 0:
		return errors.New("no configuration yet")
	default:
		return nil
	}
}
