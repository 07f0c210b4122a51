package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/plat"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/router"
)

// measureControl measures the router's control goroutine with stub sessions that are
// open but carry no traffic (part b).
func (c *capacityRun) measureControl(ctx context.Context) error {
	vars := []string{"upstreams", "routers"}
	rebuild := c.addSeries("b", "one rebuild of the control state", "µs", "sessions")
	subset := c.addSeries("b", "one choice of the subset", "µs", vars...)
	sessions := c.addSeries("b", "sessions of one router", "sessions", vars...)
	dump := c.addSeries("b", "state dump of a router", "kB", "sessions")
	for _, upstreams := range c.size.upstreams {
		for _, routers := range c.size.subsetRouters {
			stats, state, err := c.measureRouterControl(ctx, configSpec{upstreams, c.size.teams[0], targetPools}, routers)
			if err != nil {
				return fmt.Errorf("%d upstreams, %d routers: %w", upstreams, routers, err)
			}
			encoded, err := json.Marshal(state)
			if err != nil {
				return err
			}
			n := len(state.Members)
			dump.Add(float64(len(encoded))/1e3, float64(n))
			x := []float64{float64(upstreams), float64(routers)}
			rebuild.Add(stats.RebuildTime.Seconds()*1e6, float64(n))
			subset.Add(stats.SubsetTime.Seconds()*1e6, x...)
			sessions.Add(float64(n), x...)
		}
	}
	c.computeSubsets()
	return nil
}

// measureRouterControl runs a router with a configuration and a host list of the given
// number of routers. It returns the shortest rebuild and subset times over several
// tickets, and the router's last state dump.
func (c *capacityRun) measureRouterControl(ctx context.Context, spec configSpec, routers int) (best router.ControlStats, d router.Dump, err error) {
	ctx, cancel := context.WithCancel(ctx)
	p := newStubPlatform()
	rt := router.New(router.Config{Name: routerName(0), Centre: centreName(0), Region: centreRegion(0)}, stubDialer{}, nil, router.WithPlatform(p))
	p.publish(spec.objects(1), 1)
	for i := range routers {
		p.hosts = append(p.hosts, plat.Host{Name: routerName(i), Role: wire.RoleRouter, Address: "127.0.0.1:1", Region: centreRegion(i), Centre: centreName(i), State: plat.HostLive})
	}
	done := make(chan error, 1)
	go func() { done <- rt.Run(ctx, time.Second) }()
	defer func() {
		cancel()
		err = errors.Join(err, <-done)
	}()
	d, err = awaitEligible(ctx, rt)
	best = router.ControlStats{RebuildTime: awaitTimeout, SubsetTime: awaitTimeout}
	for n := 2; n < 2+(c.size.rounds+1)/2 && err == nil; n++ {
		before := d.Control
		o := spec.upstream(0, upstreamAddress(0))
		o.Upstream.Limit += n
		p.publish([]wire.Object{o}, wire.TicketNumber(n))
		d, err = awaitDump(ctx, rt, func(d router.Dump) bool {
			return d.Head >= wire.TicketNumber(n) && d.Control.SubsetRuns > before.SubsetRuns
		})
		best.RebuildTime, best.SubsetTime = min(best.RebuildTime, d.Control.RebuildTime), min(best.SubsetTime, d.Control.SubsetTime)
	}
	return best, d, err
}

// awaitEligible waits until a router has sessions and all of their upstreams are
// eligible.
func awaitEligible(ctx context.Context, rt *router.Router) (router.Dump, error) {
	return awaitDump(ctx, rt, func(d router.Dump) bool {
		for _, m := range d.Members {
			if !m.Eligible {
				return false
			}
		}
		return len(d.Members) > 0
	})
}

const (
	pollInterval = time.Millisecond
	awaitTimeout = 30 * time.Second
)

var errAwaitTimeout = errors.New("router did not reach the expected state within 30 s")

// awaitDump polls the state dump of a router until ok returns true. After awaitTimeout
// or the end of ctx it returns the last dump and errAwaitTimeout.
func awaitDump(ctx context.Context, rt *router.Router, ok func(router.Dump) bool) (d router.Dump, err error) {
	deadline := time.Now().Add(awaitTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if d = rt.Dump().(router.Dump); ok(d) {
			return d, nil
		}
		time.Sleep(pollInterval)
	}
	return d, errors.Join(errAwaitTimeout, ctx.Err())
}

func routerName(i int) wire.HostID { return wire.HostID(fmt.Sprintf("router-%03d", i)) }

// computeSubsets computes the subsets of all routers at the largest sizes, without
// running them, and records the most sessions of a router and of an agent.
func (c *capacityRun) computeSubsets() {
	upstreams, routerCount := c.size.upstreams[len(c.size.upstreams)-1], c.size.subsetRouters[len(c.size.subsetRouters)-1]
	routers := make([]route.Router, routerCount)
	for i := range routers {
		routers[i] = route.Router{Name: routerName(i), Region: centreRegion(i)}
	}
	pools := map[wire.PoolID][]route.Replica{}
	for i := range upstreams {
		o := targetSpec.upstream(i, "")
		pools[o.Upstream.Pool] = append(pools[o.Upstream.Pool], route.Replica{Upstream: wire.UpstreamID(o.Name), Region: centreRegion(i / targetPools)})
	}
	perAgent := map[wire.UpstreamID]int{}
	totalSessions := 0
	for _, r := range routers {
		sessions := 0
		for _, p := range pools {
			for _, upstream := range router.Subset(r.Name, routers, p, len(pools)) {
				perAgent[upstream]++
				sessions++
			}
		}
		c.maxRouterSessions = max(c.maxRouterSessions, sessions)
		totalSessions += sessions
	}
	for _, agentRouters := range perAgent {
		c.maxAgentRouters = max(c.maxAgentRouters, agentRouters)
	}
	c.addNote("Subsets computed for all %d routers and %s upstreams in %d equal pools: a router holds %d sessions on average and at most %d, an agent %.1f on average and at most %d; %d upstreams have none.",
		routerCount, formatNumber(float64(upstreams)), targetPools, totalSessions/routerCount, c.maxRouterSessions, float64(totalSessions)/float64(upstreams), c.maxAgentRouters, upstreams-len(perAgent))
}

// stubPlatform is an in-memory platform that serves published tickets and a fixed
// host list.
type stubPlatform struct {
	mu      sync.Mutex
	tickets []plat.RawTicket
	changed chan struct{}
	hosts   []plat.Host
}

func newStubPlatform() *stubPlatform { return &stubPlatform{changed: make(chan struct{})} }

// publish adds tickets with number n that carry objs. It splits them so that no ticket
// exceeds the size limit of a value in the platform.
func (p *stubPlatform) publish(objs []wire.Object, n wire.TicketNumber) {
	const maxObjects = 1024 // per ticket
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(objs) > 0 {
		k := min(maxObjects, len(objs))
		for i := range objs[:k] {
			objs[i].Number = n
		}
		encoded, err := json.Marshal(wire.Ticket{Number: n, Objects: objs[:k]})
		if err != nil { // cannot happen: objects hold only strings, numbers and string-keyed maps
			panic(err)
		}
		p.tickets = append(p.tickets, plat.RawTicket{Index: uint64(len(p.tickets) + 1), Ticket: encoded})
		objs = objs[k:]
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Tickets implements plat.Source.
func (p *stubPlatform) Tickets(ctx context.Context, after uint64, wait time.Duration) (plat.Page, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		p.mu.Lock()
		page := plat.Page{Index: uint64(len(p.tickets)), Tickets: p.tickets[min(after, uint64(len(p.tickets))):]}
		changed := p.changed
		p.mu.Unlock()
		if len(page.Tickets) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-t.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// Hosts implements router.Platform.
func (p *stubPlatform) Hosts(context.Context) ([]plat.Host, int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts, 0, nil
}

// stubDialer opens in-memory sessions to agents that send a single report.
type stubDialer struct{}

// Dial implements link.Dialer. It derives the upstream's name from the address, which
// upstreamAddress has made.
func (stubDialer) Dial(_ context.Context, addr wire.Address, _ wire.Hello) (link.Session, error) {
	var a, b, c int
	if _, err := fmt.Sscanf(string(addr), "10.%d.%d.%d:7000", &a, &b, &c); err != nil {
		return nil, err
	}
	s := &stubSession{name: upstreamName(a<<16 | b<<8 | c), done: make(chan struct{})}
	s.reports = make(chan *wire.Frame, 1)
	s.reports <- &wire.Frame{Report: &wire.Report{Upstream: wire.UpstreamID(s.name), Incarnation: "1", Limit: 16, Warmth: wire.WarmthWarm}}
	return s, nil
}

// stubSession is a session whose agent sends one report and opens no streams.
type stubSession struct {
	name    string
	reports chan *wire.Frame
	once    sync.Once
	done    chan struct{}
}

// Peer implements link.Session.
func (s *stubSession) Peer() wire.Hello {
	return wire.Hello{Role: wire.RoleAgent, Name: wire.HostID(s.name), Incarnation: "1"}
}

// Control implements link.Session.
func (s *stubSession) Control() link.Stream { return stubStream{s} }

// Open implements link.Session.
func (s *stubSession) Open(context.Context) (link.Stream, error) { return nil, link.ErrClosed }

// Accept implements link.Session.
func (s *stubSession) Accept(ctx context.Context) (link.Stream, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Done implements link.Session.
func (s *stubSession) Done() <-chan struct{} { return s.done }

// Close implements link.Session.
func (s *stubSession) Close(string) { s.once.Do(func() { close(s.done) }) }

// stubStream is the control stream of a stubSession. It discards what it is sent.
type stubStream struct{ s *stubSession }

// Send implements link.Stream.
func (stubStream) Send(*wire.Frame) error { return nil }

// Recv implements link.Stream.
func (st stubStream) Recv(ctx context.Context) (*wire.Frame, error) {
	select {
	case f := <-st.s.reports:
		return f, nil
	case <-st.s.done:
		return nil, io.EOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close implements link.Stream.
func (stubStream) Close() error { return nil }

// Reset implements link.Stream.
func (stubStream) Reset() {}
