package bench

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/plat"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes"
	"hornbeamcove.example/router"
)

const (
	// gossipTeams is the number of teams that change; each ticket changes one of them.
	gossipTeams    = 320
	inForceTimeout = 10 * time.Second
	sampleInterval = 20 * time.Millisecond

	warmupRounds     = 20
	warmupInterval   = 50 * time.Millisecond
	warmupSettleTime = 1500 * time.Millisecond // longer than the 1 s for which changes are sent again
)

// inForceTracker records, from the log lines of all routers, when each router put a
// ticket in force.
type inForceTracker struct {
	mu        sync.Mutex
	published map[wire.TicketNumber]time.Time
	inForce   map[wire.TicketNumber]map[int]time.Time
}

func newInForceTracker() *inForceTracker {
	return &inForceTracker{published: map[wire.TicketNumber]time.Time{}, inForce: map[wire.TicketNumber]map[int]time.Time{}}
}

// logger returns the logger for router i.
func (t *inForceTracker) logger(i int) *log.Logger {
	return log.NewWithOptions(&trackerWriter{t, i}, log.Options{Formatter: log.JSONFormatter, Level: log.InfoLevel})
}

// trackerWriter receives the log lines of one router.
type trackerWriter struct {
	tracker *inForceTracker
	router  int
}

// Write implements io.Writer. It takes one log line per call.
func (tw *trackerWriter) Write(line []byte) (int, error) {
	if n, ok := parseInForceTicket(line); ok {
		tw.tracker.recordInForce(tw.router, n)
	}
	return len(line), nil
}

// parseInForceTicket returns the ticket number in a log line about an object that is
// in force, and whether line is one.
func parseInForceTicket(line []byte) (wire.TicketNumber, bool) {
	if !bytes.Contains(line, []byte(`"object in force"`)) {
		return 0, false
	}
	_, rest, ok := bytes.Cut(line, []byte(`"ticket":`))
	if !ok {
		return 0, false
	}
	end := bytes.IndexAny(rest, ",}")
	n, err := strconv.Atoi(string(rest[:max(end, 0)]))
	return wire.TicketNumber(n), err == nil
}

// recordInForce records that ticket n is in force at router i. It ignores tickets that
// were not published since the last reset and keeps the earliest time.
func (t *inForceTracker) recordInForce(i int, n wire.TicketNumber) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.published[n].IsZero() || !t.inForce[n][i].IsZero() {
		return
	}
	t.inForce[n][i] = time.Now()
}

// recordPublished records that ticket n is about to be published.
func (t *inForceTracker) recordPublished(n wire.TicketNumber) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.published[n] = time.Now()
	t.inForce[n] = map[int]time.Time{}
}

// delays returns the times in ms from the publication of each ticket until it was in
// force at each router, sorted; complete reports whether all tickets are in force at
// all routers.
func (t *inForceTracker) delays(routers int) (out []float64, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, publishedAt := range t.published {
		for _, inForceAt := range t.inForce[n] {
			out = append(out, inForceAt.Sub(publishedAt).Seconds()*1e3)
		}
	}
	slices.Sort(out)
	return out, len(out) == routers*len(t.published)
}

// reset forgets all tickets.
func (t *inForceTracker) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.published)
	clear(t.inForce)
}

// quantile returns the q-quantile of sorted values, or 0 if there are none. q is from
// 0 to 1.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// platform is a router's client of two fakes, one for tickets and one for hosts. With
// ticketsUnreachable, reads of tickets fail.
type platform struct {
	*plat.Client
	hosts              *plat.Client
	ticketsUnreachable bool
}

// Hosts implements router.Platform.
func (p platform) Hosts(ctx context.Context) ([]plat.Host, int, error) { return p.hosts.Hosts(ctx) }

var errUnreachable = errors.New("platform not reachable")

// Tickets implements plat.Source.
func (p platform) Tickets(ctx context.Context, after uint64, wait time.Duration) (plat.Page, error) {
	if p.ticketsUnreachable {
		return plat.Page{}, errUnreachable
	}
	return p.Client.Tickets(ctx, after, wait)
}

// fleet is a testbed of routers with a fake platform and no agents.
type fleet struct {
	*testbed
	tracker    *inForceTracker
	config     *fakes.Config
	hosts      *fakes.Hosts
	routers    []*router.Router
	sockets    []*link.QUIC
	lastTicket wire.TicketNumber
}

// newFleet starts n routers at once and waits until they have converged and warmed up.
// With singleReader, only the first router can read tickets from the platform. The
// fleet must be closed even when the error is not nil, unless it is nil itself.
func (c *capacityRun) newFleet(ctx context.Context, n, teams int, singleReader bool) (f *fleet, err error) {
	tb, err := newTestbed(ctx)
	if err != nil {
		return nil, err
	}
	f = &fleet{testbed: tb, tracker: newInForceTracker(), config: fakes.NewConfig(), hosts: fakes.NewHosts(), lastTicket: 1}
	if err = errors.Join(f.config.Start(f.ctx, loopback), f.hosts.Start(f.ctx, loopback)); err != nil {
		return f, err
	}
	objs := configSpec{0, teams, targetPools}.objects(1)
	for len(objs) > 0 {
		k := min(len(objs), 1024) // larger tickets might not fit into one response of the platform
		if _, err = f.config.Publish(wire.Ticket{Number: 1, Objects: objs[:k]}); err != nil {
			return f, err
		}
		objs = objs[k:]
	}
	for i := range n {
		p := platform{plat.NewClient(f.config.URL()), plat.NewClient(f.hosts.URL()), singleReader && i > 0}
		rt, q, err := f.addRouter(i, p, nil, f.tracker.logger(i))
		if err != nil {
			return f, err
		}
		f.routers, f.sockets = append(f.routers, rt), append(f.sockets, q)
		f.hosts.Set(fakes.Host{Name: routerName(i), Role: wire.RoleRouter, Address: q.Addr(), Region: centreRegion(i), Centre: centreName(i)})
		f.wg.Go(func() {
			<-f.ctx.Done()
			p.Client.Close()
			p.hosts.Close()
		})
	}
	if err = f.awaitConvergence(ctx); err != nil {
		return f, err
	}
	return f, f.warmUp(ctx)
}

// peerCount returns the number of gossip peers of each of n routers: those at
// distances 1, 2, 4 and so on in the ring of names, at most 9.
func peerCount(n int) int { return min(bits.Len(uint(n-1)), 9) }

// warmUp publishes tickets until the routers have sessions to all of their peers and
// know the maximum datagram size. Both cost bytes only once and would distort the
// byte rates.
func (f *fleet) warmUp(ctx context.Context) error {
	for i := range warmupRounds {
		if err := f.publishChange(i); err != nil {
			return err
		}
		if err := sleep(ctx, warmupInterval); err != nil {
			return err
		}
	}
	return errors.Join(f.awaitConvergence(ctx), sleep(ctx, warmupSettleTime))
}

// close stops the routers and then the fake platform.
func (f *fleet) close() error {
	err := f.testbed.close()
	f.config.Close()
	f.hosts.Close()
	return err
}

// awaitConvergence waits until all routers hold the same configuration and have all
// of their gossip peers.
func (f *fleet) awaitConvergence(ctx context.Context) error {
	for _, rt := range f.routers {
		_, err := awaitDump(ctx, rt, func(d router.Dump) bool {
			return d.Objects > 0 && d.Root == f.routers[0].Dump().(router.Dump).Root && len(d.Peers) == peerCount(len(f.routers))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// fleetLoad is the load of a fleet, and the delay of its tickets, while they were
// published at one rate.
type fleetLoad struct {
	byteRate       float64 // bytes per second and router, sent and received
	cpuRate        float64 // processor time in µs per second and router, including the fakes
	ticketReadRate float64 // reads of tickets per second, including waiting watches
	hostReadRate   float64 // reads of the host list per second
	p50, p999      float64 // percentiles 50 and 99.9 of the time in ms until a ticket is in force
}

// measureRate publishes rate tickets per second for one window and measures the load
// of the fleet; at rate 0 the fleet is at rest. It returns an error when a ticket is
// not in force at all routers within inForceTimeout.
func (c *capacityRun) measureRate(ctx context.Context, f *fleet, rate int) (load fleetLoad, err error) {
	f.tracker.reset()
	bytesBefore, cpuBefore, start := f.trafficBytes(), processorTime(), time.Now()
	ticketCallsBefore, hostCallsBefore := f.config.Record().Calls, f.hosts.Record().Calls
	waitingSum, samples := 0, 0
	end := start.Add(c.size.gossipWindow)
	for published := 0; time.Now().Before(end); {
		if rate > 0 && time.Since(start) >= time.Duration(published)*time.Second/time.Duration(rate) {
			if err = f.publishChange(published); err != nil {
				return load, err
			}
			published++
			continue
		}
		waitingSum += f.config.Record().Waiting
		samples++
		if err = sleep(ctx, min(sampleInterval, time.Second/time.Duration(max(2*rate, 1)))); err != nil {
			return load, err
		}
	}
	elapsed, n := time.Since(start).Seconds(), float64(len(f.routers))
	load.byteRate = (f.trafficBytes() - bytesBefore) / elapsed / n
	load.cpuRate = float64((processorTime() - cpuBefore).Microseconds()) / elapsed / n
	load.ticketReadRate = float64(f.config.Record().Calls-ticketCallsBefore)/elapsed + float64(waitingSum)/float64(samples)
	load.hostReadRate = float64(f.hosts.Record().Calls-hostCallsBefore) / elapsed
	for deadline := time.Now().Add(inForceTimeout); ; {
		delays, complete := f.tracker.delays(len(f.routers))
		load.p50, load.p999 = quantile(delays, 0.5), quantile(delays, 0.999)
		if complete {
			return load, nil
		}
		if time.Now().After(deadline) {
			return load, fmt.Errorf("tickets not in force at all routers after %s: %d pairs of ticket and router seen", inForceTimeout, len(delays))
		}
		if err = sleep(ctx, sampleInterval); err != nil {
			return load, err
		}
	}
}

// publishChange publishes a ticket that changes team i modulo gossipTeams.
func (f *fleet) publishChange(i int) error {
	f.lastTicket++
	o := teamObject(fmt.Sprintf("team-%03d", i%gossipTeams), 1+int(f.lastTicket)%90)
	o.Number = f.lastTicket
	f.tracker.recordPublished(f.lastTicket)
	_, err := f.config.Publish(wire.Ticket{Number: f.lastTicket, Objects: []wire.Object{o}})
	return err
}

// trafficBytes returns the bytes that the routers have sent and received so far, with
// IP and UDP headers. Both directions carry the same, since routers talk only to each
// other.
func (f *fleet) trafficBytes() (n float64) {
	for _, q := range f.sockets {
		t := q.Traffic()
		n += float64(t.SentBytes+t.RecvBytes) + udpHeader*float64(t.SentMessages+t.RecvMessages)
	}
	return n
}

// measureGossip measures anti-entropy and reads from the platform (parts d and e).
func (c *capacityRun) measureGossip(ctx context.Context) error {
	var scenarios [2]gossipSeries
	for i, scenario := range []string{"platform up", "one router sees the platform"} {
		scenarios[i] = gossipSeries{
			lowRateBytes: c.addSeries("d", "bytes a second of a router at rest and at the lowest rate, "+scenario, "B/s", "log2 of routers", "tickets/s"),
			fleetCPU:     c.addSeries("d", fleetCPUSeriesPrefix+scenario, "µs/s", "routers", "routers x tickets/s"),
			byteRate:     c.addSeries("d", "bytes a second of a router, "+scenario, "B/s", "routers", "tickets/s"),
			cpuRate:      c.addSeries("d", "processor time of a router with the stand-ins, "+scenario, "µs/s", "routers", "tickets/s"),
			p50:          c.addSeries("d", "time until in force, p50, "+scenario, "ms", "log2 of routers", "tickets/s"),
			worstP999:    c.addSeries("d", "time until in force, p99.9, worst rate, "+scenario, "ms", "log2 of routers"),
			p999:         c.addSeries("d", "time until in force, p99.9, "+scenario, "ms", "log2 of routers", "tickets/s"),
		}
	}
	scenarios[0].ticketReads = map[int]*Series{}
	for _, rate := range append([]int{0}, c.size.ticketRates...) {
		scenarios[0].ticketReads[rate] = c.addSeries("e", ticketReadsSeries(rate), "reads/s", "routers")
	}
	scenarios[0].hostReads = c.addSeries("e", hostReadsSeries, "reads/s", "routers")
	scenarios[0].startReads = c.addSeries("e", startReadsSeries, "reads/s", "routers")
	scenarios[1].centreLoss = c.addSeries("d", "time until in force, p99.9, one router sees the platform, a data centre lost", "ms", "log2 of routers")
	for _, n := range c.size.fleetRouters {
		for i := range scenarios {
			if err := c.measureGossipFleet(ctx, scenarios[i], n, i == 1); err != nil {
				return fmt.Errorf("%d routers: %w", n, err)
			}
		}
	}
	return c.measureGossipObjects(ctx)
}

// gossipSeries holds the series of one scenario. Those that only one scenario measures
// are nil in the other.
type gossipSeries struct {
	lowRateBytes, fleetCPU, centreLoss, byteRate, cpuRate, p50, p999, worstP999, startReads, hostReads *Series
	ticketReads                                                                                        map[int]*Series // by tickets per second
}

// failDataCentre stops as many routers as one data centre has and keeps silent sockets
// open on their addresses, which restore closes. The routers are contiguous in name
// order, as those of a data centre are, and stay in the host list.
func (f *fleet) failDataCentre() (restore func(), err error) {
	n := max(1, len(f.routers)/targetCentres)
	var silent []net.PacketConn
	restore = func() {
		for _, c := range silent {
			_ = c.Close()
		}
	}
	for range n {
		last := len(f.routers) - 1
		addr := f.sockets[last].Addr()
		if err = f.sockets[last].Close(); err != nil {
			return restore, err
		}
		c, err := net.ListenPacket("udp", string(addr))
		if err != nil {
			return restore, err
		}
		silent = append(silent, c)
		f.routers, f.sockets = f.routers[:last], f.sockets[:last]
	}
	return restore, nil
}

// measureCentreLoss adds to s the 99.9th percentile of the time until a ticket is in
// force after a fleet of n routers has lost one data centre.
func (c *capacityRun) measureCentreLoss(ctx context.Context, f *fleet, s *Series, n int) error {
	restore, err := f.failDataCentre()
	defer restore()
	if err != nil {
		return err
	}
	load, err := c.measureRate(ctx, f, c.size.ticketRates[0])
	s.Add(load.p999, log2(n))
	return err
}

// measureGossipFleet measures a fleet of n routers at rest and at all ticket rates.
func (c *capacityRun) measureGossipFleet(ctx context.Context, series gossipSeries, n int, singleReader bool) (err error) {
	f, err := c.newFleet(ctx, n, gossipTeams, singleReader)
	if f != nil {
		defer func() { err = errors.Join(err, f.close()) }()
	}
	if err != nil {
		return err
	}
	if series.startReads != nil {
		if err = sleep(ctx, c.size.gossipWindow/3); err != nil {
			return err
		}
		series.startReads.Add(float64(f.config.Record().PeakCalls), float64(n))
	}
	var worstP999, maxHostReadRate float64
	for _, rate := range append([]int{0}, c.size.ticketRates...) {
		load, err := c.measureRate(ctx, f, rate)
		if err != nil {
			return fmt.Errorf("%d tickets a second: %w", rate, err)
		}
		x := []float64{float64(n), float64(rate)}
		series.byteRate.Add(load.byteRate, x...)
		series.cpuRate.Add(load.cpuRate, x...)
		if series.ticketReads != nil {
			series.ticketReads[rate].Add(load.ticketReadRate, x[0])
		}
		if rate > 0 {
			series.p50.Add(load.p50, log2(n), x[1])
			series.p999.Add(load.p999, log2(n), x[1])
			worstP999 = max(worstP999, load.p999)
			maxHostReadRate = max(maxHostReadRate, load.hostReadRate)
		}
		if rate <= c.size.ticketRates[0] {
			series.lowRateBytes.Add(load.byteRate, log2(n), x[1])
			series.fleetCPU.Add(load.cpuRate*x[0], x[0], x[0]*x[1])
		}
	}
	series.worstP999.Add(worstP999, log2(n))
	if series.hostReads != nil {
		series.hostReads.Add(maxHostReadRate, float64(n))
	}
	if series.centreLoss != nil {
		return c.measureCentreLoss(ctx, f, series.centreLoss, n)
	}
	return nil
}

// measureFullFleet measures gossip among as many routers as the target size has (part
// g). It takes about a minute and most of a machine's cores, so it does not run by
// default.
func (c *capacityRun) measureFullFleet(ctx context.Context) error {
	n := c.size.subsetRouters[len(c.size.subsetRouters)-1]
	for _, scenario := range []struct {
		name         string
		singleReader bool
	}{{"platform up", false}, {"one router sees the platform", true}} {
		name := fmt.Sprintf("%d routers, %s", n, scenario.name)
		p50 := c.addSeries("g", "time until in force, p50, "+name, "ms", "tickets/s")
		p999 := c.addSeries("g", "time until in force, p99.9, "+name, "ms", "tickets/s")
		reads := c.addSeries("g", "reads of tickets a second, "+name, "reads/s", "tickets/s")
		f, err := c.newFleet(ctx, n, gossipTeams, scenario.singleReader)
		if err == nil {
			c.addNote("Part g, %s: %d reads of tickets in the busiest second of the start.", name, f.config.Record().PeakCalls)
		}
		for _, rate := range c.size.fullFleetTicketRates {
			var load fleetLoad
			if err == nil {
				load, err = c.measureRate(ctx, f, rate)
			}
			p50.Add(load.p50, float64(rate))
			p999.Add(load.p999, float64(rate))
			reads.Add(load.ticketReadRate, float64(rate))
		}
		if err == nil && scenario.singleReader {
			centreLoss := &Series{}
			err = c.measureCentreLoss(ctx, f, centreLoss, n)
			c.addNote("Part g, %s, a data centre of %d routers lost and still listed: in force after %s ms, p99.9, at %d ticket a second.",
				name, n-len(f.routers), formatNumber(centreLoss.Points[0].Y), c.size.ticketRates[0])
		}
		if f != nil {
			err = errors.Join(err, f.close())
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// measureGossipObjects measures how the byte rate at 10 tickets per second grows with
// the number of objects in the configuration.
func (c *capacityRun) measureGossipObjects(ctx context.Context) error {
	s := c.addSeries("d", "bytes a second of a router at 10 tickets a second, one router sees the platform", "B/s", "objects")
	for _, teams := range c.size.configTeams {
		f, err := c.newFleet(ctx, c.size.fleetRouters[0], teams, true)
		if err == nil {
			var load fleetLoad
			load, err = c.measureRate(ctx, f, 10)
			s.Add(load.byteRate, float64(f.routers[0].Dump().(router.Dump).Objects))
		}
		if f != nil {
			err = errors.Join(err, f.close())
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func log2(n int) float64 { return math.Log2(float64(n)) }

// ticketReadsSeries returns the name of the series of ticket reads at a ticket rate.
func ticketReadsSeries(rate int) string {
	return fmt.Sprintf("reads of tickets a second at %d tickets/s, waiting watches included", rate)
}
