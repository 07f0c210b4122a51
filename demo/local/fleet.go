// Package local runs whole fleets in one process on the loopback interface: routers,
// agents and simulated upstreams on real sockets, for the demo, benchmarks and tests.
package local

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"hornbeamcove.example/agent"
	"hornbeamcove.example/core/acct"
	"hornbeamcove.example/core/certs"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/plat"
	"hornbeamcove.example/core/proc"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes"
	"hornbeamcove.example/router"
)

const (
	loopback     = "127.0.0.1:0"
	certLifetime = 24 * time.Hour
	drainTimeout = 10 * time.Second // limit for a router or an agent
)

// Centre is a data centre with its distances to others in microseconds.
type Centre struct {
	Name      wire.DataCentreID
	Region    wire.RegionID
	Distances map[string]int
}

// Pool describes upstreams of one kind that every data centre has.
type Pool struct {
	Name      wire.PoolID
	Kind      wire.Kind
	PerCentre int // upstreams in each data centre
	Limit     int // concurrent calls of an upstream
	Cold      int // concurrent calls during a cold start
	Model     wire.ModelID
	Opts      []fakes.Option // options of the simulated upstreams
}

// Team is a team with its API key in plain text, which processes other than callers
// know only as a hash.
type Team struct {
	Name   wire.TeamID
	Weight int
	Key    string
}

// Spec describes a fleet.
type Spec struct {
	Centres   []Centre
	Pools     []Pool
	Teams     []Team
	Models    map[wire.ModelID]wire.Model
	Pipelines map[wire.PipelineID]wire.Pipeline
	Routers   int         // spread over the data centres in turn
	Log       *log.Logger // nil discards the log
	Admin     *Admin      // nil for no administration listeners
}

// Upstream is a simulated upstream with its agent.
type Upstream struct {
	ID     wire.UpstreamID
	Object wire.Upstream  // configuration that Start publishes
	Engine *fakes.Engine  // nil unless the kind is generate
	Plain  *fakes.Service // nil if the kind is generate
	Agent  *agent.Agent
	Admin  wire.Address // administration listener of the agent, or ""
	cancel context.CancelFunc
	link   *link.QUIC
}

// Record returns what the simulated upstream executed, whatever its callers saw.
func (u *Upstream) Record() fakes.Record {
	if u.Engine != nil {
		return u.Engine.Record()
	}
	return u.Plain.Record()
}

// URL returns the base URL of the simulated upstream.
func (u *Upstream) URL() string {
	if u.Engine != nil {
		return u.Engine.URL()
	}
	return u.Plain.URL()
}

// Router is a router with its listeners.
type Router struct {
	*router.Router
	Book   *acct.Book
	URL    string       // base URL for callers
	Admin  wire.Address // administration listener, or ""
	Name   wire.HostID
	app    *fiber.App
	cancel context.CancelFunc
	done   chan struct{} // closed when the router has drained
}

// Fleet is a running fleet. Close stops it.
type Fleet struct {
	Spec      Spec
	Config    *fakes.Config
	Hosts     *fakes.Hosts
	Routers   []*Router
	Upstreams []*Upstream

	authority  *certs.Authority
	ctx        context.Context
	stop       context.CancelFunc
	wg         conc.WaitGroup
	mu         sync.Mutex // guards lastTicket and errs
	lastTicket wire.TicketNumber
	errs       []error // errors of processes, which Close returns
}

// Start starts all processes of a fleet, publishes its configuration and waits until it
// is ready. If it fails, it also returns the part of the fleet that was started,
// so that the caller can close it.
func Start(ctx context.Context, spec Spec) (f *Fleet, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start fleet: %w", err)
		}
	}()
	if spec.Log == nil {
		spec.Log = log.New(io.Discard)
	}
	f = &Fleet{Spec: spec, Config: fakes.NewConfig(), Hosts: fakes.NewHosts()}
	f.ctx, f.stop = context.WithCancel(ctx)
	if f.authority, err = certs.NewAuthority(); err != nil {
		return f, err
	}
	if err = f.Config.Start(f.ctx, loopback); err != nil {
		return f, err
	}
	if err = f.Hosts.Start(f.ctx, loopback); err != nil {
		return f, err
	}
	for _, c := range spec.Centres {
		for i := range spec.Pools {
			if err = f.addPool(c, &spec.Pools[i]); err != nil {
				return f, err
			}
		}
	}
	if _, err = f.Publish(f.objects()...); err != nil {
		return f, err
	}
	for i := range spec.Routers {
		if err = f.addRouter(i); err != nil {
			return f, err
		}
	}
	return f, f.AwaitReady(ctx)
}

// addPool starts the upstreams of a pool in one data centre.
func (f *Fleet) addPool(c Centre, pool *Pool) error {
	for i := range pool.PerCentre {
		u := &Upstream{ID: wire.UpstreamID(fmt.Sprintf("%s-%s-%d", c.Name, pool.Name, i+1))}
		u.Object = wire.Upstream{
			Pool: pool.Name, Kind: pool.Kind, Centre: c.Name, Host: wire.HostID(u.ID), Limit: pool.Limit, Cold: pool.Cold,
			State: wire.UpstreamStateServe, Model: pool.Model, Fencing: true,
		}
		if err := f.startUpstream(u, pool.Opts); err != nil {
			return err
		}
		f.Upstreams = append(f.Upstreams, u)
	}
	return nil
}

// startUpstream starts a simulated upstream and its agent.
func (f *Fleet) startUpstream(u *Upstream, opts []fakes.Option) (err error) {
	if u.Object.Kind == wire.KindGenerate {
		u.Engine = fakes.NewEngine(opts...)
		err = u.Engine.Start(f.ctx, loopback)
	} else {
		u.Plain = fakes.NewService(u.Object.Kind, opts...)
		err = u.Plain.Start(f.ctx, loopback)
	}
	if err != nil {
		return err
	}
	return f.StartAgent(u, loopback)
}

// certSource issues a certificate for a process.
func (f *Fleet) certSource(role wire.Role, centre wire.DataCentreID, name wire.HostID) (*certs.Source, error) {
	m, err := f.authority.Issue(certs.Identity{Role: role, Centre: centre, Name: name}, time.Now().Add(certLifetime))
	if err != nil {
		return nil, err
	}
	return certs.NewSource(m)
}

// StartAgent starts a new agent for an upstream. The agent listens at addr and has a new
// incarnation.
func (f *Fleet) StartAgent(u *Upstream, addr wire.Address) (err error) {
	name := wire.HostID(u.ID)
	src, err := f.certSource(wire.RoleAgent, u.Object.Centre, name)
	if err != nil {
		return err
	}
	up, err := agent.NewHTTP(u.Object.Kind, u.URL())
	if err != nil {
		return err
	}
	incarnation := agent.NewIncarnation()
	hello := wire.Hello{Role: wire.RoleAgent, Name: name, Centre: u.Object.Centre, Incarnation: incarnation, Version: link.Version}
	if u.link, err = link.Listen(addr, src, hello, wire.RoleRouter); err != nil {
		return err
	}
	u.Object.Agent = u.link.Addr()
	logger := f.Spec.Log.With("process", name)
	book := acct.NewBook(acct.WithLogger(logger))
	u.Agent = agent.New(agent.Config{
		Name: name, Upstream: u.ID, Centre: u.Object.Centre, Kind: u.Object.Kind,
		Bounds: limit.Bounds{Warm: wire.Slots(u.Object.Limit), Cold: wire.Slots(u.Object.Cold)},
	}, up, u.link, agent.WithLogger(logger), agent.WithIncarnation(incarnation), agent.WithAccounts(book))
	ctx, cancel := context.WithCancel(f.ctx)
	u.cancel = cancel
	u.Admin, err = f.serveAdmin(ctx, name, wire.RoleAgent, u.Agent, func(p *proc.Process, app fiber.Router) {
		p.AddDumper("accounts", book)
		u.Agent.Export(p.Scope())
		u.Agent.Routes(app)
	})
	if err != nil {
		return err
	}
	f.runBook(book.Run)
	f.wg.Go(func() { f.recordError(u.Agent.Run(ctx, drainTimeout)) })
	return nil
}

// StopAgent starts the drain of the upstream's agent and does not wait for it.
func (u *Upstream) StopAgent() { u.cancel() }

// KillAgent closes the agent's connections without a drain, like a crash of its process.
func (u *Upstream) KillAgent() {
	_ = u.link.Close()
	u.cancel()
}

// recordError keeps an error that Close returns; nil is ignored.
func (f *Fleet) recordError(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errs = append(f.errs, err)
}

// platform reads tickets from one simulated service and hosts from another.
type platform struct {
	*plat.Client
	hosts *plat.Client
}

func (p platform) Hosts(ctx context.Context) ([]plat.Host, int, error) { return p.hosts.Hosts(ctx) }

// addRouter starts the i-th router and registers it as a host.
func (f *Fleet) addRouter(i int) (err error) {
	c := f.Spec.Centres[i%len(f.Spec.Centres)]
	name := wire.HostID(fmt.Sprintf("%s-router-%d", c.Name, i+1))
	src, err := f.certSource(wire.RoleRouter, c.Name, name)
	if err != nil {
		return err
	}
	incarnation := agent.NewIncarnation()
	hello := wire.Hello{Role: wire.RoleRouter, Name: name, Centre: c.Name, Incarnation: incarnation, Version: link.Version}
	q, err := link.Listen(loopback, src, hello, wire.RoleRouter)
	if err != nil {
		return err
	}
	p := platform{plat.NewClient(f.Config.URL()), plat.NewClient(f.Hosts.URL())}
	logger := f.Spec.Log.With("process", name)
	book := acct.NewBook(acct.WithLogger(logger))
	rt := &Router{Name: name, Book: book, done: make(chan struct{}), Router: router.New(
		router.Config{Name: name, Centre: c.Name, Region: c.Region}, q, q,
		router.WithIncarnation(incarnation), router.WithPlatform(p), router.WithLogger(logger), router.WithAccounts(book))}
	rt.app = rt.App()
	ctx, cancel := context.WithCancel(f.ctx)
	rt.cancel = cancel
	rt.Admin, err = f.serveAdmin(ctx, name, wire.RoleRouter, rt.Router, func(p *proc.Process, app fiber.Router) {
		p.AddDumper("accounts", book)
		rt.Export(p.Scope())
		rt.Routes(app)
	})
	if err != nil {
		return err
	}
	f.runBook(book.Run)
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	rt.URL = "http://" + ln.Addr().String()
	f.wg.Go(func() { f.recordError(rt.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})) })
	f.wg.Go(func() {
		defer close(rt.done)
		f.recordError(rt.Run(ctx, drainTimeout))
		f.recordError(rt.app.ShutdownWithTimeout(drainTimeout))
		p.Client.Close()
		p.hosts.Close()
	})
	f.Hosts.Set(fakes.Host{Name: name, Role: wire.RoleRouter, Address: q.Addr(), Region: c.Region, Centre: c.Name})
	f.Routers = append(f.Routers, rt)
	return nil
}

// Stop drains the router and waits until it has ended.
func (r *Router) Stop() {
	r.cancel()
	<-r.done
}

// objects returns the configuration of the whole fleet.
func (f *Fleet) objects() (out []wire.Object) {
	for _, t := range f.Spec.Teams {
		sum := sha256.Sum256([]byte(t.Key))
		out = append(out,
			wire.Object{Kind: wire.ObjectKindTeam, Name: string(t.Name), Team: &wire.Team{Weight: t.Weight, Queue: 64}},
			wire.Object{Kind: wire.ObjectKindKey, Name: string(t.Name) + "-1", Key: &wire.Key{Team: t.Name, Hash: wire.KeyHash(hex.EncodeToString(sum[:]))}})
	}
	for id, m := range f.Spec.Models {
		out = append(out, wire.Object{Kind: wire.ObjectKindModel, Name: string(id), Model: &m})
	}
	for _, c := range f.Spec.Centres {
		out = append(out, f.CentreObject(c.Name, wire.CentreStateIn))
	}
	for _, u := range f.Upstreams {
		obj := u.Object
		out = append(out, wire.Object{Kind: wire.ObjectKindUpstream, Name: string(u.ID), Upstream: &obj})
	}
	for id, p := range f.Spec.Pipelines {
		out = append(out, wire.Object{Kind: wire.ObjectKindPipeline, Name: string(id), Pipeline: &p})
	}
	return out
}

// CentreObject returns the configuration object of a data centre in the given state. It
// panics if the fleet has no such data centre.
func (f *Fleet) CentreObject(name wire.DataCentreID, state wire.CentreState) wire.Object {
	for _, c := range f.Spec.Centres {
		if c.Name == name {
			return wire.Object{Kind: wire.ObjectKindCentre, Name: string(name), Centre: &wire.Centre{Region: c.Region, State: state, Distances: c.Distances}}
		}
	}
	panic("unknown data centre " + string(name))
}

// Publish publishes objs in the next ticket and returns the ticket's number. It does not
// wait until routers have applied it.
func (f *Fleet) Publish(objs ...wire.Object) (n wire.TicketNumber, err error) {
	f.mu.Lock()
	f.lastTicket++
	n = f.lastTicket
	f.mu.Unlock()
	for i := range objs {
		objs[i].Number = n
	}
	_, err = f.Config.Publish(wire.Ticket{Number: n, Objects: objs})
	return n, err
}

// pollInterval is the time between two checks of Await.
const pollInterval = 20 * time.Millisecond

// AwaitReady waits until every router has upstreams and all of them are eligible.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	return f.Await(ctx, func() error {
		for _, r := range f.Routers {
			ms := r.Members()
			if len(ms) == 0 {
				return fmt.Errorf("router %s has no upstreams", r.Name)
			}
			for _, m := range ms {
				if !m.Eligible {
					return fmt.Errorf("router %s: upstream %s is %s", r.Name, m.Upstream, m.Reason)
				}
			}
		}
		return nil
	})
}

const awaitTimeout = 20 * time.Second

// Await polls check until it returns nil, for at most awaitTimeout. On a timeout, its
// error wraps the last one of check.
func (f *Fleet) Await(ctx context.Context, check func() error) (err error) {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for {
		if err = check(); err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("condition not met within %s: %w", awaitTimeout, err)
		}
	}
}

// Close drains all processes, stops the simulated services and returns all errors of the
// processes.
func (f *Fleet) Close() error {
	for _, r := range f.Routers {
		r.Stop()
	}
	for _, u := range f.Upstreams {
		u.cancel()
	}
	f.stop()
	f.wg.Wait()
	for _, u := range f.Upstreams {
		if u.Engine != nil {
			u.Engine.Close()
		} else {
			u.Plain.Close()
		}
	}
	f.Config.Close()
	f.Hosts.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.errs...)
}

// CheckIneligible returns an error if an upstream in the data centre is eligible at some
// router.
func (f *Fleet) CheckIneligible(c wire.DataCentreID) error {
	for _, r := range f.Routers {
		for _, m := range r.Members() {
			if m.Centre == c && m.Eligible {
				return fmt.Errorf("router %s: upstream %s is eligible", r.Name, m.Upstream)
			}
		}
	}
	return nil
}

// CallsBegun returns the number of calls that upstreams in the data centre have begun.
func (f *Fleet) CallsBegun(c wire.DataCentreID) (n int) {
	for _, u := range f.Upstreams {
		if u.Object.Centre == c {
			n += u.Record().Begun
		}
	}
	return n
}
