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

// measureSessions measures idle sessions of a router and of an agent, and the size of
// reports (part c).
func (c *capacityRun) measureSessions(ctx context.Context) error {
	if err := c.measureReportSize(); err != nil {
		return err
	}
	return c.measureAgents(ctx, c.measureRouterSessions)
}

// measureRouterSessions measures a router's idle sessions with each number of agents.
func (c *capacityRun) measureRouterSessions(ctx context.Context) error {
	heap := c.addSeries("c", routerHeapSeries, "MB", "agents")
	stack := c.addSeries("c", routerStackSeries, "MB", "agents")
	openCPU := c.addSeries("c", "processor time of opening sessions, both ends", "ms", "agents")
	readyTime := c.addSeries("c", "time until a started router may use its agents", "ms", "agents")
	byteRate := c.addSeries("c", routerByteRateSeries, "B/s", "agents")
	datagramRate := c.addSeries("c", "datagrams a second of a router's idle sessions", "datagrams/s", "agents")
	cpuRate := c.addSeries("c", routerCPUSeries, "µs/s", "agents")
	agentsOnlyCPURate := c.addSeries("c", "processor time of agents without sessions", "µs/s", "agents")
	for _, n := range c.size.agents {
		cost, err := c.measureRouter(ctx, n)
		if err != nil {
			return fmt.Errorf("%d agents: %w", n, err)
		}
		x := float64(n)
		heap.Add(cost.heap/megabyte, x)
		stack.Add(cost.stack/megabyte, x)
		openCPU.Add(cost.openCPU, x)
		readyTime.Add(cost.readyTime, x)
		byteRate.Add(cost.byteRate, x)
		datagramRate.Add(cost.datagramRate, x)
		// Both ends of each session are in this process; one end has half of the time.
		cpuRate.Add((cost.cpuRate-cost.agentsOnlyCPURate)/2, x)
		agentsOnlyCPURate.Add(cost.agentsOnlyCPURate, x)
	}
	return nil
}

// measureReportSize measures how the size of an agent's report grows with the number
// of prefixes that its engine has cached.
func (c *capacityRun) measureReportSize() error {
	s := c.addSeries("c", "size of a report", "B", "prefixes")
	for _, n := range []int{0, 16, 64} {
		report := &wire.Report{
			Upstream: wire.UpstreamID(upstreamName(0)), Boot: "0b5f7f0e-6f0c-4b0e-9a55-1d5f6f0c4b0e", Warmth: wire.WarmthWarm,
			Incarnation: agent.NewIncarnation(), Limit: 16, Flight: 8, Ticket: targetTicketRate * secondsPerDay,
		}
		rng := rand.New(rand.NewPCG(c.seed, 2))
		for range n {
			report.Prefixes = append(report.Prefixes, wire.Fingerprint(strconv.FormatUint(rng.Uint64(), 16)))
		}
		var buf bytes.Buffer
		if err := wire.WriteFrame(&buf, &wire.Frame{Report: report}); err != nil {
			return err
		}
		s.Add(float64(buf.Len()), float64(n))
	}
	return nil
}

// idleCost is the cost of a router's idle sessions. heap and stack are bytes of one end
// of the sessions; openCPU, the processor time of both ends, and readyTime are in ms;
// byteRate and datagramRate are per second; cpuRate, with both ends, and
// agentsOnlyCPURate, before the router starts, are in µs per second.
type idleCost struct{ heap, stack, openCPU, readyTime, byteRate, datagramRate, cpuRate, agentsOnlyCPURate float64 }

// measureRouter measures the idle sessions of one router with n agents.
func (c *capacityRun) measureRouter(ctx context.Context, n int) (cost idleCost, err error) {
	tb, err := newTestbed(ctx)
	if err != nil {
		return cost, err
	}
	defer func() { err = errors.Join(err, tb.close()) }()
	spec := configSpec{n, c.size.teams[0], targetPools}
	objs := spec.objects(1)
	for i := range n {
		q, err := tb.addAgent(spec, i, idleUpstream{})
		if err != nil {
			return cost, err
		}
		objs[len(objs)-n+i].Upstream.Agent = q.Addr() // the upstreams are the last n objects
	}
	if cost.agentsOnlyCPURate, err = c.measureCPURate(ctx, c.size.idleWindow/10); err != nil {
		return cost, err
	}
	heapBefore, stackBefore := liveHeap(), stackMemory()
	cpuBefore, start := processorTime(), time.Now()
	p := newStubPlatform()
	p.publish(objs, 1)
	rt, q, err := tb.addRouter(0, p, nil, discardLogger())
	if err != nil {
		return cost, err
	}
	if _, err = awaitEligible(ctx, rt); err != nil {
		return cost, err
	}
	cost.openCPU = (processorTime() - cpuBefore).Seconds() * 1e3
	cost.readyTime = time.Since(start).Seconds() * 1e3
	// Each change of a data centre is forwarded to its agents, which warms up the
	// sessions.
	for round := range 3 * warmupRounds {
		p.publish(spec.objects(1)[:targetCentres], wire.TicketNumber(2+round))
		if err = sleep(ctx, warmupInterval); err != nil {
			return cost, err
		}
	}
	if err = sleep(ctx, c.size.idleWindow/15); err != nil {
		return cost, err
	}
	// Both ends of each session are in this process; one end has half of the memory.
	cost.heap, cost.stack = (liveHeap()-heapBefore)/2, (stackMemory()-stackBefore)/2
	before := q.Traffic()
	start = time.Now()
	cost.cpuRate, err = c.measureCPURate(ctx, c.size.idleWindow)
	cost.byteRate, cost.datagramRate = perSecond(before, q.Traffic(), time.Since(start))
	return cost, err
}

// udpHeader is the size of the IPv4 and UDP headers of a datagram in bytes.
const udpHeader = 28

// perSecond returns the bytes, with IP and UDP headers, and the datagrams per second in
// both directions between two readings.
func perSecond(before, after link.Traffic, elapsed time.Duration) (byteRate, datagramRate float64) {
	datagramRate = float64(after.SentMessages-before.SentMessages+after.RecvMessages-before.RecvMessages) / elapsed.Seconds()
	byteRate = float64(after.SentBytes-before.SentBytes+after.RecvBytes-before.RecvBytes) / elapsed.Seconds()
	return byteRate + udpHeader*datagramRate, datagramRate
}

// measureCPURate returns the processor time that this process uses during d, in µs per
// second.
func (c *capacityRun) measureCPURate(ctx context.Context, d time.Duration) (float64, error) {
	before, start := processorTime(), time.Now()
	err := sleep(ctx, d)
	return float64((processorTime() - before).Microseconds()) / time.Since(start).Seconds(), err
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // cannot happen with RUSAGE_SELF
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveMemory returns the bytes of live heap objects and of stacks.
func liveMemory() float64 { return liveHeap() + stackMemory() }

// stackMemory returns the bytes of stacks in use.
func stackMemory() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.StackInuse)
}

// measureAgents measures agents with several routers. Their upstream is a fake behind
// HTTP, whose processor time is included. Their bytes are counted during the call of
// during, which lasts several report intervals.
func (c *capacityRun) measureAgents(ctx context.Context, during func(context.Context) error) (err error) {
	memory := c.addSeries("c", agentMemorySeries, "MB", "routers")
	byteRate := c.addSeries("c", agentByteRateSeries, "B/s", "routers")
	cpuRate := c.addSeries("c", agentCPUSeries, "µs/s", "routers")
	tb, err := newTestbed(ctx)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, tb.close()) }()
	service := fakes.NewService(wire.KindRetrieve)
	if err = service.Start(ctx, loopback); err != nil {
		return err
	}
	defer service.Close()
	previousRate, err := c.measureCPURate(ctx, c.size.idleWindow/10)
	if err != nil {
		return err
	}
	var sockets []*link.QUIC
	for i, n := range c.size.agentRouters {
		before := liveMemory()
		q, err := tb.addAgentWithRouters(i, service.URL(), n)
		if err != nil {
			return err
		}
		sockets = append(sockets, q)
		if err = sleep(ctx, c.size.idleWindow/15); err != nil {
			return err
		}
		memory.Add((liveMemory()-before)/2/megabyte, float64(n))
		currentRate, err := c.measureCPURate(ctx, c.size.idleWindow/10)
		if err != nil {
			return err
		}
		cpuRate.Add(currentRate-previousRate, float64(n))
		previousRate = currentRate
	}
	before, start := make([]link.Traffic, len(sockets)), time.Now()
	for i, q := range sockets {
		before[i] = q.Traffic()
	}
	if err = during(ctx); err != nil {
		return err
	}
	for i, q := range sockets {
		bytesPerSecond, _ := perSecond(before[i], q.Traffic(), time.Since(start))
		byteRate.Add(bytesPerSecond, float64(c.size.agentRouters[i]))
	}
	return nil
}

// addAgentWithRouters runs agent i, whose upstream is at url, with n sessions from
// stub routers, which send empty sync frames as a warm-up and then only read reports.
func (tb *testbed) addAgentWithRouters(i int, url string, n int) (*link.QUIC, error) {
	upstream, err := agent.NewHTTP(wire.KindRetrieve, url)
	if err != nil {
		return nil, err
	}
	q, err := tb.addAgent(targetSpec, targetModels+i, upstream) // index of an upstream without a model
	if err != nil {
		return nil, err
	}
	for k := range n {
		// The names are distinct for up to 100 routers of an agent.
		routerSocket, hello, err := tb.listen(wire.RoleRouter, centreName(k), routerName(100*i+k))
		if err != nil {
			return nil, err
		}
		sess, err := routerSocket.Dial(tb.ctx, q.Addr(), hello)
		if err != nil {
			return nil, err
		}
		for range 3 * warmupRounds {
			if err = sess.Control().Send(&wire.Frame{Sync: &wire.Sync{}}); err != nil {
				return nil, err
			}
			time.Sleep(warmupInterval / 10)
		}
		tb.wg.Go(func() {
			defer func() { _ = routerSocket.Close() }()
			for {
				if _, err := sess.Control().Recv(tb.ctx); err != nil {
					return
				}
			}
		})
	}
	return q, nil
}
