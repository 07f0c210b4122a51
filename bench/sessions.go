package bench

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"hornbeamcove.example/agent"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes"
)

// measureSessions measures idle sessions of a router and of an agent.
func (c *capacityRun) measureSessions(ctx context.Context) error {
	if err := c.measureReportSize(); err != nil {
		return err
	}
	return c.measureAgents(ctx, c.measureRouterSessions)
}

func (c *capacityRun) measureRouterSessions(ctx context.Context) error {
	heap := c.addSeries("c", routerHeapSeries, "MB", "agents")
	stack := c.addSeries("c", routerStackSeries, "MB", "agents")
	open := c.addSeries("c", "processor time of opening sessions, both ends", "ms", "agents")
	ready := c.addSeries("c", "time until a started router may use its agents", "ms", "agents")
	rate := c.addSeries("c", routerByteRateSeries, "B/s", "agents")
	units := c.addSeries("c", "datagrams a second of a router's idle sessions", "datagrams/s", "agents")
	work := c.addSeries("c", routerCPUSeries, "µs/s", "agents")
	alone := c.addSeries("c", "processor time of agents without sessions", "µs/s", "agents")
	for _, n := range c.size.agents {
		s, err := c.measureRouter(ctx, n)
		if err != nil {
			return fmt.Errorf("%d agents: %w", n, err)
		}
		x := float64(n)
		heap.Add(s.heap/megabyte, x)
		stack.Add(s.stack/megabyte, x)
		open.Add(s.openCPU, x)
		ready.Add(s.readyTime, x)
		rate.Add(s.byteRate, x)
		units.Add(s.datagramRate, x)
		work.Add((s.cpuRate-s.agentsOnlyCPURate)/2, x)
		alone.Add(s.agentsOnlyCPURate, x)
	}
	return nil
}

// measureReportSize measures how the size of an agent's report grows with the prefixes
// that its engine has cached.
func (c *capacityRun) measureReportSize() error {
	s := c.addSeries("c", "size of a report", "B", "prefixes")
	for _, n := range []int{0, 16, 64} {
		r := &wire.Report{
			Upstream: wire.UpstreamID(upstreamName(0)), Boot: "0b5f7f0e-6f0c-4b0e-9a55-1d5f6f0c4b0e", Warmth: wire.WarmthWarm,
			Incarnation: agent.NewIncarnation(), Limit: 16, Flight: 8, Ticket: targetTicketRate * secondsPerDay,
		}
		rng := rand.New(rand.NewPCG(c.seed, 2))
		for range n {
			r.Prefixes = append(r.Prefixes, wire.Fingerprint(strconv.FormatUint(rng.Uint64(), 16)))
		}
		var b bytes.Buffer
		if err := wire.WriteFrame(&b, &wire.Frame{Report: r}); err != nil {
			return err
		}
		s.Add(float64(b.Len()), float64(n))
	}
	return nil
}

// idleCost is what idle sessions cost, bytes and µs in each second.
type idleCost struct{ heap, stack, openCPU, readyTime, byteRate, datagramRate, cpuRate, agentsOnlyCPURate float64 }

// measureRouter measures one router with n agents.
func (c *capacityRun) measureRouter(ctx context.Context, n int) (s idleCost, err error) {
	b, err := newTestbed(ctx)
	if err != nil {
		return s, err
	}
	defer func() { err = errors.Join(err, b.close()) }()
	r := configSpec{n, c.size.teams[0], targetPools}
	objs := r.objects(1)
	for i := range n {
		q, err := b.addAgent(r, i, idleUpstream{})
		if err != nil {
			return s, err
		}
		objs[len(objs)-n+i].Upstream.Agent = q.Addr()
	}
	if s.agentsOnlyCPURate, err = c.measureCPURate(ctx, c.size.idleWindow/10); err != nil {
		return s, err
	}
	heap, stack := liveHeap(), stackMemory()
	work, begun := processorTime(), time.Now()
	p := newStubPlatform()
	p.publish(objs, 1)
	rt, q, err := b.addRouter(0, p, nil, discardLogger())
	if err != nil {
		return s, err
	}
	if _, err = awaitEligible(ctx, rt); err != nil {
		return s, err
	}
	s.openCPU = (processorTime() - work).Seconds() * 1e3
	s.readyTime = time.Since(begun).Seconds() * 1e3
	// Each change of a data centre goes to its agents.
	for n := range 3 * warmupRounds {
		p.publish(r.objects(1)[:targetCentres], wire.TicketNumber(2+n))
		if err = sleep(ctx, warmupInterval); err != nil {
			return s, err
		}
	}
	if err = sleep(ctx, c.size.idleWindow/15); err != nil {
		return s, err
	}
	// Both ends of each session are in this process.
	s.heap, s.stack = (liveHeap()-heap)/2, (stackMemory()-stack)/2
	t := q.Traffic()
	begun = time.Now()
	s.cpuRate, err = c.measureCPURate(ctx, c.size.idleWindow)
	s.byteRate, s.datagramRate = perSecond(t, q.Traffic(), time.Since(begun))
	return s, err
}

// udpHeader is the size of the headers of IPv4 and UDP.
const udpHeader = 28

// perSecond returns bytes and datagrams a second in both directions, with headers.
func perSecond(a, b link.Traffic, d time.Duration) (bytes, units float64) {
	units = float64(b.SentMessages-a.SentMessages+b.RecvMessages-a.RecvMessages) / d.Seconds()
	bytes = float64(b.SentBytes-a.SentBytes+b.RecvBytes-a.RecvBytes) / d.Seconds()
	return bytes + udpHeader*units, units
}

// measureCPURate returns the processor time of this process in µs a second.
func (c *capacityRun) measureCPURate(ctx context.Context, d time.Duration) (float64, error) {
	before, begun := processorTime(), time.Now()
	err := sleep(ctx, d)
	return float64((processorTime() - before).Microseconds()) / time.Since(begun).Seconds(), err
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // cannot happen with RUSAGE_SELF
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveMemory returns the bytes of live objects and of stacks.
func liveMemory() float64 { return liveHeap() + stackMemory() }

func stackMemory() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.StackInuse)
}

// measureAgents measures agents with several routers. Their upstream is a
// stand-in behind HTTP, whose own time is counted too. Their bytes are counted
// while meanwhile runs, which lasts several periods of reports.
func (c *capacityRun) measureAgents(ctx context.Context, meanwhile func(context.Context) error) (err error) {
	memory := c.addSeries("c", agentMemorySeries, "MB", "routers")
	rate := c.addSeries("c", agentByteRateSeries, "B/s", "routers")
	work := c.addSeries("c", agentCPUSeries, "µs/s", "routers")
	b, err := newTestbed(ctx)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, b.close()) }()
	up := fakes.NewService(wire.KindRetrieve)
	if err = up.Start(ctx, loopback); err != nil {
		return err
	}
	defer up.Close()
	last, err := c.measureCPURate(ctx, c.size.idleWindow/10)
	if err != nil {
		return err
	}
	var socks []*link.QUIC
	for i, n := range c.size.agentRouters {
		before := liveMemory()
		q, err := b.addAgentWithRouters(i, up.URL(), n)
		if err != nil {
			return err
		}
		socks = append(socks, q)
		if err = sleep(ctx, c.size.idleWindow/15); err != nil {
			return err
		}
		memory.Add((liveMemory()-before)/2/megabyte, float64(n))
		now, err := c.measureCPURate(ctx, c.size.idleWindow/10)
		if err != nil {
			return err
		}
		work.Add(now-last, float64(n))
		last = now
	}
	before, begun := make([]link.Traffic, len(socks)), time.Now()
	for i, q := range socks {
		before[i] = q.Traffic()
	}
	if err = meanwhile(ctx); err != nil {
		return err
	}
	for i, q := range socks {
		bytes, _ := perSecond(before[i], q.Traffic(), time.Since(begun))
		rate.Add(bytes, float64(c.size.agentRouters[i]))
	}
	return nil
}

// addAgentWithRouters runs agent i with n sessions from routers that only read reports.
func (b *testbed) addAgentWithRouters(i int, url string, n int) (*link.QUIC, error) {
	up, err := agent.NewHTTP(wire.KindRetrieve, url)
	if err != nil {
		return nil, err
	}
	q, err := b.addAgent(targetSpec, targetModels+i, up) // an upstream without a model
	if err != nil {
		return nil, err
	}
	for k := range n {
		from, h, err := b.listen(wire.RoleRouter, centreName(k), routerName(100*i+k))
		if err != nil {
			return nil, err
		}
		sess, err := from.Dial(b.ctx, q.Addr(), h)
		if err != nil {
			return nil, err
		}
		for range 3 * warmupRounds {
			if err = sess.Control().Send(&wire.Frame{Sync: &wire.Sync{}}); err != nil {
				return nil, err
			}
			time.Sleep(warmupInterval / 10)
		}
		b.wg.Go(func() {
			defer func() { _ = from.Close() }()
			for {
				if _, err := sess.Control().Recv(b.ctx); err != nil {
					return
				}
			}
		})
	}
	return q, nil
}
