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

// measureControl measures the router's control goroutine with sessions that are
// open but carry nothing.
func (c *capacityRun) measureControl(ctx context.Context) error {
	vars := []string{"upstreams", "routers"}
	rebuild := c.addSeries("b", "one rebuild of the control state", "µs", "sessions")
	choice := c.addSeries("b", "one choice of the subset", "µs", vars...)
	links := c.addSeries("b", "sessions of one router", "sessions", vars...)
	dump := c.addSeries("b", "state dump of a router", "kB", "sessions")
	for _, ups := range c.size.upstreams {
		for _, routers := range c.size.subsetRouters {
			w, d, err := c.measureRouterControl(ctx, configSpec{ups, c.size.teams[0], targetPools}, routers)
			if err != nil {
				return fmt.Errorf("%d upstreams, %d routers: %w", ups, routers, err)
			}
			text, err := json.Marshal(d)
			if err != nil {
				return err
			}
			n := len(d.Members)
			dump.Add(float64(len(text))/1e3, float64(n))
			x := []float64{float64(ups), float64(routers)}
			rebuild.Add(w.RebuildTime.Seconds()*1e6, float64(n))
			choice.Add(w.SubsetTime.Seconds()*1e6, x...)
			links.Add(float64(n), x...)
		}
	}
	c.computeSubsets()
	return nil
}

// measureRouterControl runs a router with a configuration and returns the shortest times
// over several tickets, and its state dump.
func (c *capacityRun) measureRouterControl(ctx context.Context, r configSpec, routers int) (best router.ControlStats, d router.Dump, err error) {
	ctx, cancel := context.WithCancel(ctx)
	p := newStubPlatform()
	rt := router.New(router.Config{Name: routerName(0), Centre: centreName(0), Region: centreRegion(0)}, stubDialer{}, nil, router.WithPlatform(p))
	p.publish(r.objects(1), 1)
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
		o := r.upstream(0, upstreamAddress(0))
		o.Upstream.Limit += n
		p.publish([]wire.Object{o}, wire.TicketNumber(n))
		d, err = awaitDump(ctx, rt, func(d router.Dump) bool {
			return d.Head >= wire.TicketNumber(n) && d.Control.SubsetRuns > before.SubsetRuns
		})
		best.RebuildTime, best.SubsetTime = min(best.RebuildTime, d.Control.RebuildTime), min(best.SubsetTime, d.Control.SubsetTime)
	}
	return best, d, err
}

// awaitEligible waits until all sessions of a router are open.
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

var errAwaitTimeout = errors.New("state not reached in 30 s")

func awaitDump(ctx context.Context, rt *router.Router, ok func(router.Dump) bool) (d router.Dump, err error) {
	end := time.Now().Add(awaitTimeout)
	for time.Now().Before(end) && ctx.Err() == nil {
		if d = rt.Dump().(router.Dump); ok(d) {
			return d, nil
		}
		time.Sleep(pollInterval)
	}
	return d, errors.Join(errAwaitTimeout, ctx.Err())
}

func routerName(i int) wire.HostID { return wire.HostID(fmt.Sprintf("router-%03d", i)) }

// computeSubsets computes the sessions of all routers and agents at the largest sizes.
func (c *capacityRun) computeSubsets() {
	ups, n := c.size.upstreams[len(c.size.upstreams)-1], c.size.subsetRouters[len(c.size.subsetRouters)-1]
	routers := make([]route.Router, n)
	for i := range routers {
		routers[i] = route.Router{Name: routerName(i), Region: centreRegion(i)}
	}
	pools := map[wire.PoolID][]route.Replica{}
	for i := range ups {
		o := targetSpec.upstream(i, "")
		pools[o.Upstream.Pool] = append(pools[o.Upstream.Pool], route.Replica{Upstream: wire.UpstreamID(o.Name), Region: centreRegion(i / targetPools)})
	}
	perAgent := map[wire.UpstreamID]int{}
	total := 0
	for _, r := range routers {
		n := 0
		for _, p := range pools {
			for _, up := range router.Subset(r.Name, routers, p, len(pools)) {
				perAgent[up]++
				n++
			}
		}
		c.maxRouterSessions = max(c.maxRouterSessions, n)
		total += n
	}
	for _, n := range perAgent {
		c.maxAgentRouters = max(c.maxAgentRouters, n)
	}
	c.addNote("Subsets computed for all %d routers and %s upstreams in %d equal pools: a router holds %d sessions on average and at most %d, an agent %.1f on average and at most %d; %d upstreams have none.",
		n, formatNumber(float64(ups)), targetPools, total/n, c.maxRouterSessions, float64(total)/float64(ups), c.maxAgentRouters, ups-len(perAgent))
}

// stubPlatform publishes tickets without sockets.
type stubPlatform struct {
	mu      sync.Mutex
	tickets []plat.RawTicket
	changed chan struct{}
	hosts   []plat.Host
}

func newStubPlatform() *stubPlatform { return &stubPlatform{changed: make(chan struct{})} }

// publish adds tickets with some objects; each stays within the size of a value.
func (p *stubPlatform) publish(objs []wire.Object, n wire.TicketNumber) {
	const most = 1024 // objects in a ticket
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(objs) > 0 {
		k := min(most, len(objs))
		for i := range objs[:k] {
			objs[i].Number = n
		}
		text, err := json.Marshal(wire.Ticket{Number: n, Objects: objs[:k]})
		if err != nil { // objects consist of strings, numbers and maps by string
			panic(err)
		}
		p.tickets = append(p.tickets, plat.RawTicket{Index: uint64(len(p.tickets) + 1), Ticket: text})
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

// stubDialer opens sessions to agents that only send one report.
type stubDialer struct{}

// Dial implements link.Dialer. The address tells the upstream.
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

// stubStream is the control stream of a session that sends nothing but its
// first report.
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
