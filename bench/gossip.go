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
	// configTeams is the number of teams of which tickets change one each.
	gossipTeams    = 320
	inForceTimeout = 10 * time.Second
	sampleInterval = 20 * time.Millisecond

	warmupRounds     = 20
	warmupInterval   = 50 * time.Millisecond
	warmupSettleTime = 1500 * time.Millisecond // changes are sent again for 1 s
)

// inForceTracker takes the log lines of all routers and notes when each put a ticket in
// force.
type inForceTracker struct {
	mu        sync.Mutex
	published map[wire.TicketNumber]time.Time
	inForce   map[wire.TicketNumber]map[int]time.Time
}

func newInForceTracker() *inForceTracker {
	return &inForceTracker{published: map[wire.TicketNumber]time.Time{}, inForce: map[wire.TicketNumber]map[int]time.Time{}}
}

// logger returns the log of router i.
func (t *inForceTracker) logger(i int) *log.Logger {
	return log.NewWithOptions(&trackerWriter{t, i}, log.Options{Formatter: log.JSONFormatter, Level: log.InfoLevel})
}

type trackerWriter struct {
	tracker *inForceTracker
	router  int
}

// Write implements io.Writer for one line.
func (l *trackerWriter) Write(line []byte) (int, error) {
	if n, ok := parseInForceTicket(line); ok {
		l.tracker.recordInForce(l.router, n)
	}
	return len(line), nil
}

// parseInForceTicket returns the ticket in the log line of an object that came in force.
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

func (t *inForceTracker) recordInForce(i int, n wire.TicketNumber) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.published[n].IsZero() || !t.inForce[n][i].IsZero() {
		return
	}
	t.inForce[n][i] = time.Now()
}

func (t *inForceTracker) recordPublished(n wire.TicketNumber) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.published[n] = time.Now()
	t.inForce[n] = map[int]time.Time{}
}

// delays returns the times in ms from publication until a ticket was in force at
// each router, sorted, and whether all routers have all tickets.
func (t *inForceTracker) delays(routers int) (out []float64, all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, at := range t.published {
		for _, f := range t.inForce[n] {
			out = append(out, f.Sub(at).Seconds()*1e3)
		}
	}
	slices.Sort(out)
	return out, len(out) == routers*len(t.published)
}

func (t *inForceTracker) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.published)
	clear(t.inForce)
}

// quantile returns the value below which the share q of sorted values lies.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// platform reads tickets and hosts from two stand-ins. A blind one sees no
// tickets.
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

// fleet is a number of routers with the platform's stand-ins and no agents.
type fleet struct {
	*testbed
	tracker    *inForceTracker
	config     *fakes.Config
	hosts      *fakes.Hosts
	routers    []*router.Router
	sockets    []*link.QUIC
	lastTicket wire.TicketNumber
}

// newFleet starts n routers at once; when alone is set, only one of them sees the
// platform's tickets.
func (c *capacityRun) newFleet(ctx context.Context, n, teams int, alone bool) (f *fleet, err error) {
	b, err := newTestbed(ctx)
	if err != nil {
		return nil, err
	}
	f = &fleet{testbed: b, tracker: newInForceTracker(), config: fakes.NewConfig(), hosts: fakes.NewHosts(), lastTicket: 1}
	if err = errors.Join(f.config.Start(f.ctx, loopback), f.hosts.Start(f.ctx, loopback)); err != nil {
		return f, err
	}
	objs := configSpec{0, teams, targetPools}.objects(1)
	for len(objs) > 0 {
		k := min(len(objs), 1024)
		if _, err = f.config.Publish(wire.Ticket{Number: 1, Objects: objs[:k]}); err != nil {
			return f, err
		}
		objs = objs[k:]
	}
	for i := range n {
		p := platform{plat.NewClient(f.config.URL()), plat.NewClient(f.hosts.URL()), alone && i > 0}
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

// peerCount returns the number of peers of a router among n: those at distances 1,
// 2, 4 and so on, at most 9.
func peerCount(n int) int { return min(bits.Len(uint(n-1)), 9) }

// warmUp publishes some tickets, so that routers have sessions to all of their
// peers and know the greatest size of datagrams: both take bytes only once.
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

func (f *fleet) close() error {
	err := f.testbed.close()
	f.config.Close()
	f.hosts.Close()
	return err
}

// awaitConvergence waits until all routers hold the same configuration and know each other.
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

// fleetLoad is what a fleet did while tickets were published.
type fleetLoad struct {
	byteRate       float64 // a second and router
	cpuRate        float64 // µs a second and router, with the stand-ins
	ticketReadRate float64 // of tickets a second, waiting watches included
	hostReadRate   float64 // reads of the host list a second
	p50, p999      float64 // ms until in force; the second is the 99.9th percentile
}

// measureRate publishes tickets at a rate and measures the fleet; rate 0 is rest.
func (c *capacityRun) measureRate(ctx context.Context, f *fleet, rate int) (l fleetLoad, err error) {
	f.tracker.reset()
	bytes, work, begun := f.trafficBytes(), processorTime(), time.Now()
	calls, hosts := f.config.Record().Calls, f.hosts.Record().Calls
	waiting, samples := 0, 0
	end := begun.Add(c.size.gossipWindow)
	for sent := 0; time.Now().Before(end); {
		if rate > 0 && time.Since(begun) >= time.Duration(sent)*time.Second/time.Duration(rate) {
			if err = f.publishChange(sent); err != nil {
				return l, err
			}
			sent++
			continue
		}
		waiting += f.config.Record().Waiting
		samples++
		if err = sleep(ctx, min(sampleInterval, time.Second/time.Duration(max(2*rate, 1)))); err != nil {
			return l, err
		}
	}
	took, n := time.Since(begun).Seconds(), float64(len(f.routers))
	l.byteRate = (f.trafficBytes() - bytes) / took / n
	l.cpuRate = float64((processorTime() - work).Microseconds()) / took / n
	l.ticketReadRate = float64(f.config.Record().Calls-calls)/took + float64(waiting)/float64(samples)
	l.hostReadRate = float64(f.hosts.Record().Calls-hosts) / took
	for wait := time.Now().Add(inForceTimeout); ; {
		delays, all := f.tracker.delays(len(f.routers))
		l.p50, l.p999 = quantile(delays, 0.5), quantile(delays, 0.999)
		if all {
			return l, nil
		}
		if time.Now().After(wait) {
			return l, fmt.Errorf("tickets not in force everywhere after %s: %d cases", inForceTimeout, len(delays))
		}
		if err = sleep(ctx, sampleInterval); err != nil {
			return l, err
		}
	}
}

// publishChange publishes a ticket that changes one team.
func (f *fleet) publishChange(i int) error {
	f.lastTicket++
	o := teamObject(fmt.Sprintf("team-%03d", i%gossipTeams), 1+int(f.lastTicket)%90)
	o.Number = f.lastTicket
	f.tracker.recordPublished(f.lastTicket)
	_, err := f.config.Publish(wire.Ticket{Number: f.lastTicket, Objects: []wire.Object{o}})
	return err
}

// trafficBytes returns what the routers sent so far, with headers. What they received is
// the same, since they talk only to each other.
func (f *fleet) trafficBytes() (n float64) {
	for _, q := range f.sockets {
		t := q.Traffic()
		n += float64(t.SentBytes+t.RecvBytes) + udpHeader*float64(t.SentMessages+t.RecvMessages)
	}
	return n
}

// measureGossip measures anti-entropy and platform reads, the parts d and e.
func (c *capacityRun) measureGossip(ctx context.Context) error {
	var m [2]gossipSeries
	for i, how := range []string{"platform up", "one router sees the platform"} {
		m[i] = gossipSeries{
			lowRateBytes: c.addSeries("d", "bytes a second of a router at rest and at the lowest rate, "+how, "B/s", "log2 of routers", "tickets/s"),
			fleetCPU:     c.addSeries("d", fleetCPUSeriesPrefix+how, "µs/s", "routers", "routers x tickets/s"),
			byteRate:     c.addSeries("d", "bytes a second of a router, "+how, "B/s", "routers", "tickets/s"),
			cpuRate:      c.addSeries("d", "processor time of a router with the stand-ins, "+how, "µs/s", "routers", "tickets/s"),
			p50:          c.addSeries("d", "time until in force, p50, "+how, "ms", "log2 of routers", "tickets/s"),
			worstP999:    c.addSeries("d", "time until in force, p99.9, worst rate, "+how, "ms", "log2 of routers"),
			p999:         c.addSeries("d", "time until in force, p99.9, "+how, "ms", "log2 of routers", "tickets/s"),
		}
	}
	m[0].ticketReads = map[int]*Series{}
	for _, rate := range append([]int{0}, c.size.ticketRates...) {
		m[0].ticketReads[rate] = c.addSeries("e", ticketReadsSeries(rate), "reads/s", "routers")
	}
	m[0].hostReads = c.addSeries("e", hostReadsSeries, "reads/s", "routers")
	m[0].startReads = c.addSeries("e", startReadsSeries, "reads/s", "routers")
	m[1].centreLoss = c.addSeries("d", "time until in force, p99.9, one router sees the platform, a data centre lost", "ms", "log2 of routers")
	for _, n := range c.size.fleetRouters {
		for i := range m {
			if err := c.measureGossipFleet(ctx, m[i], n, i == 1); err != nil {
				return fmt.Errorf("%d routers: %w", n, err)
			}
		}
	}
	return c.measureGossipObjects(ctx)
}

type gossipSeries struct {
	lowRateBytes, fleetCPU, centreLoss, byteRate, cpuRate, p50, p999, worstP999, startReads, hostReads *Series
	ticketReads                                                                                        map[int]*Series // by tickets a second
}

// failDataCentre ends the routers of one data centre, contiguous in name order as a data
// centre's names are, and leaves their sockets open and silent. The host list
// still has them.
func (f *fleet) failDataCentre() (restore func(), err error) {
	n := max(1, len(f.routers)/targetCentres)
	var mute []net.PacketConn
	restore = func() {
		for _, c := range mute {
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
		mute = append(mute, c)
		f.routers, f.sockets = f.routers[:last], f.sockets[:last]
	}
	return restore, nil
}

func (c *capacityRun) measureCentreLoss(ctx context.Context, f *fleet, s *Series, n int) error {
	restore, err := f.failDataCentre()
	defer restore()
	if err != nil {
		return err
	}
	l, err := c.measureRate(ctx, f, c.size.ticketRates[0])
	s.Add(l.p999, log2(n))
	return err
}

func (c *capacityRun) measureGossipFleet(ctx context.Context, m gossipSeries, n int, alone bool) (err error) {
	f, err := c.newFleet(ctx, n, gossipTeams, alone)
	if f != nil {
		defer func() { err = errors.Join(err, f.close()) }()
	}
	if err != nil {
		return err
	}
	if m.startReads != nil {
		if err = sleep(ctx, c.size.gossipWindow/3); err != nil {
			return err
		}
		m.startReads.Add(float64(f.config.Record().PeakCalls), float64(n))
	}
	var worst, hosts float64
	for _, rate := range append([]int{0}, c.size.ticketRates...) {
		l, err := c.measureRate(ctx, f, rate)
		if err != nil {
			return fmt.Errorf("%d tickets a second: %w", rate, err)
		}
		x := []float64{float64(n), float64(rate)}
		m.byteRate.Add(l.byteRate, x...)
		m.cpuRate.Add(l.cpuRate, x...)
		if m.ticketReads != nil {
			m.ticketReads[rate].Add(l.ticketReadRate, x[0])
		}
		if rate > 0 {
			m.p50.Add(l.p50, log2(n), x[1])
			m.p999.Add(l.p999, log2(n), x[1])
			worst = max(worst, l.p999)
			hosts = max(hosts, l.hostReadRate)
		}
		if rate <= c.size.ticketRates[0] {
			m.lowRateBytes.Add(l.byteRate, log2(n), x[1])
			m.fleetCPU.Add(l.cpuRate*x[0], x[0], x[0]*x[1])
		}
	}
	m.worstP999.Add(worst, log2(n))
	if m.hostReads != nil {
		m.hostReads.Add(hosts, float64(n))
	}
	if m.centreLoss != nil {
		return c.measureCentreLoss(ctx, f, m.centreLoss, n)
	}
	return nil
}

// measureFullFleet measures as many routers as the target size has. It takes about a
// minute and most of a machine's cores, so it is not among the usual parts.
func (c *capacityRun) measureFullFleet(ctx context.Context) error {
	n := c.size.subsetRouters[len(c.size.subsetRouters)-1]
	for _, how := range []struct {
		name  string
		alone bool
	}{{"platform up", false}, {"one router sees the platform", true}} {
		name := fmt.Sprintf("%d routers, %s", n, how.name)
		p50 := c.addSeries("g", "time until in force, p50, "+name, "ms", "tickets/s")
		p99 := c.addSeries("g", "time until in force, p99.9, "+name, "ms", "tickets/s")
		reads := c.addSeries("g", "reads of tickets a second, "+name, "reads/s", "tickets/s")
		f, err := c.newFleet(ctx, n, gossipTeams, how.alone)
		if err == nil {
			c.addNote("Part g, %s: %d reads of tickets in the busiest second of the start.", name, f.config.Record().PeakCalls)
		}
		for _, rate := range c.size.fullFleetTicketRates {
			var l fleetLoad
			if err == nil {
				l, err = c.measureRate(ctx, f, rate)
			}
			p50.Add(l.p50, float64(rate))
			p99.Add(l.p999, float64(rate))
			reads.Add(l.ticketReadRate, float64(rate))
		}
		if err == nil && how.alone {
			lost := &Series{}
			err = c.measureCentreLoss(ctx, f, lost, n)
			c.addNote("Part g, %s, a data centre of %d routers lost and still listed: in force after %s ms, p99.9, at %d ticket a second.",
				name, n-len(f.routers), formatNumber(lost.Points[0].Y), c.size.ticketRates[0])
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

// measureGossipObjects measures how the bytes of a ticket grow with the configuration.
func (c *capacityRun) measureGossipObjects(ctx context.Context) error {
	s := c.addSeries("d", "bytes a second of a router at 10 tickets a second, one router sees the platform", "B/s", "objects")
	for _, teams := range c.size.configTeams {
		f, err := c.newFleet(ctx, c.size.fleetRouters[0], teams, true)
		if err == nil {
			var l fleetLoad
			l, err = c.measureRate(ctx, f, 10)
			s.Add(l.byteRate, float64(f.routers[0].Dump().(router.Dump).Objects))
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

func ticketReadsSeries(rate int) string {
	return fmt.Sprintf("reads of tickets a second at %d tickets/s, waiting watches included", rate)
}
