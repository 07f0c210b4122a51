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
	// gossipTeams is the number of teams of which tickets change one each.
	gossipTeams = 320
	forceLimit  = 10 * time.Second
	sampleStep  = 20 * time.Millisecond

	warmRounds = 20
	warmStep   = 50 * time.Millisecond
	warmRest   = 1500 * time.Millisecond // changes are sent again for 1 s
)

// tracker takes the log lines of all routers and notes when each put a ticket in
// force.
type tracker struct {
	mu    sync.Mutex
	sent  map[wire.TicketNumber]time.Time
	force map[wire.TicketNumber]map[int]time.Time
}

func newTracker() *tracker {
	return &tracker{sent: map[wire.TicketNumber]time.Time{}, force: map[wire.TicketNumber]map[int]time.Time{}}
}

// logger returns the log of router i.
func (t *tracker) logger(i int) *log.Logger {
	return log.NewWithOptions(&trackerLog{t, i}, log.Options{Formatter: log.JSONFormatter, Level: log.InfoLevel})
}

type trackerLog struct {
	t *tracker
	i int
}

// Write implements io.Writer for one line.
func (l *trackerLog) Write(line []byte) (int, error) {
	if n, ok := ticketOf(line); ok {
		l.t.applied(l.i, n)
	}
	return len(line), nil
}

// ticketOf returns the ticket in the log line of an object that came in force.
func ticketOf(line []byte) (wire.TicketNumber, bool) {
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

func (t *tracker) applied(i int, n wire.TicketNumber) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent[n].IsZero() || !t.force[n][i].IsZero() {
		return
	}
	t.force[n][i] = time.Now()
}

func (t *tracker) publish(n wire.TicketNumber) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[n] = time.Now()
	t.force[n] = map[int]time.Time{}
}

// delays returns the times in ms from publication until a ticket was in force at
// each router, sorted, and whether all routers have all tickets.
func (t *tracker) delays(routers int) (out []float64, all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, at := range t.sent {
		for _, f := range t.force[n] {
			out = append(out, f.Sub(at).Seconds()*1e3)
		}
	}
	slices.Sort(out)
	return out, len(out) == routers*len(t.sent)
}

func (t *tracker) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.sent)
	clear(t.force)
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
	hosts *plat.Client
	blind bool
}

// Hosts implements router.Platform.
func (p platform) Hosts(ctx context.Context) ([]plat.Host, int, error) { return p.hosts.Hosts(ctx) }

var errBlind = errors.New("platform not reachable")

// Tickets implements plat.Source.
func (p platform) Tickets(ctx context.Context, after uint64, wait time.Duration) (plat.Page, error) {
	if p.blind {
		return plat.Page{}, errBlind
	}
	return p.Client.Tickets(ctx, after, wait)
}

// fleet is a number of routers with the platform's stand-ins and no agents.
type fleet struct {
	*bed
	track   *tracker
	config  *fakes.Config
	hosts   *fakes.Hosts
	routers []*router.Router
	socks   []*link.QUIC
	number  wire.TicketNumber
}

// newFleet starts n routers at once; when alone is set, only one of them sees the
// platform's tickets.
func (c *capacity) newFleet(ctx context.Context, n, teams int, alone bool) (f *fleet, err error) {
	b, err := newBed(ctx)
	if err != nil {
		return nil, err
	}
	f = &fleet{bed: b, track: newTracker(), config: fakes.NewConfig(), hosts: fakes.NewHosts(), number: 1}
	if err = errors.Join(f.config.Start(f.ctx, loopback), f.hosts.Start(f.ctx, loopback)); err != nil {
		return f, err
	}
	objs := roster{0, teams, targetPools}.objects(1)
	for len(objs) > 0 {
		k := min(len(objs), 1024)
		if _, err = f.config.Publish(wire.Ticket{Number: 1, Objects: objs[:k]}); err != nil {
			return f, err
		}
		objs = objs[k:]
	}
	for i := range n {
		p := platform{plat.NewClient(f.config.URL()), plat.NewClient(f.hosts.URL()), alone && i > 0}
		rt, q, err := f.addRouter(i, p, nil, f.track.logger(i))
		if err != nil {
			return f, err
		}
		f.routers, f.socks = append(f.routers, rt), append(f.socks, q)
		f.hosts.Set(fakes.Host{Name: routerName(i), Role: wire.RoleRouter, Address: q.Addr(), Region: centreRegion(i), Centre: centre(i)})
		f.wg.Go(func() {
			<-f.ctx.Done()
			p.Client.Close()
			p.hosts.Close()
		})
	}
	if err = f.agree(ctx); err != nil {
		return f, err
	}
	return f, f.warm(ctx)
}

// peersOf returns the number of peers of a router among n: those at distances 1,
// 2, 4 and so on, at most 9.
func peersOf(n int) int { return min(bits.Len(uint(n-1)), 9) }

// warm publishes some tickets, so that routers have sessions to all of their
// peers and know the greatest size of datagrams: both take bytes only once.
func (f *fleet) warm(ctx context.Context) error {
	for i := range warmRounds {
		if err := f.change(i); err != nil {
			return err
		}
		if err := sleep(ctx, warmStep); err != nil {
			return err
		}
	}
	return errors.Join(f.agree(ctx), sleep(ctx, warmRest))
}

func (f *fleet) close() error {
	err := f.bed.close()
	f.config.Close()
	f.hosts.Close()
	return err
}

// agree waits until all routers hold the same configuration and know each other.
func (f *fleet) agree(ctx context.Context) error {
	for _, rt := range f.routers {
		_, err := awaitDump(ctx, rt, func(d router.Dump) bool {
			return d.Objects > 0 && d.Root == f.routers[0].Dump().(router.Dump).Root && len(d.Peers) == peersOf(len(f.routers))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// fleetLoad is what a fleet did while tickets were published.
type fleetLoad struct {
	bytes    float64 // a second and router
	work     float64 // µs a second and router, with the stand-ins
	reads    float64 // of tickets a second, waiting watches included
	hosts    float64 // reads of the host list a second
	p50, p99 float64 // ms until in force; the second is the 99.9th percentile
}

// drive publishes tickets at a rate and measures the fleet; rate 0 is rest.
func (c *capacity) drive(ctx context.Context, f *fleet, rate int) (l fleetLoad, err error) {
	f.track.reset()
	bytes, work, begun := f.bytes(), processorTime(), time.Now()
	calls, hosts := f.config.Record().Calls, f.hosts.Record().Calls
	waiting, samples := 0, 0
	end := begun.Add(c.size.gossip)
	for sent := 0; time.Now().Before(end); {
		if rate > 0 && time.Since(begun) >= time.Duration(sent)*time.Second/time.Duration(rate) {
			if err = f.change(sent); err != nil {
				return l, err
			}
			sent++
			continue
		}
		waiting += f.config.Record().Waiting
		samples++
		if err = sleep(ctx, min(sampleStep, time.Second/time.Duration(max(2*rate, 1)))); err != nil {
			return l, err
		}
	}
	took, n := time.Since(begun).Seconds(), float64(len(f.routers))
	l.bytes = (f.bytes() - bytes) / took / n
	l.work = float64((processorTime() - work).Microseconds()) / took / n
	l.reads = float64(f.config.Record().Calls-calls)/took + float64(waiting)/float64(samples)
	l.hosts = float64(f.hosts.Record().Calls-hosts) / took
	for wait := time.Now().Add(forceLimit); ; {
		delays, all := f.track.delays(len(f.routers))
		l.p50, l.p99 = quantile(delays, 0.5), quantile(delays, 0.999)
		if all {
			return l, nil
		}
		if time.Now().After(wait) {
			return l, fmt.Errorf("tickets not in force everywhere after %s: %d cases", forceLimit, len(delays))
		}
		if err = sleep(ctx, sampleStep); err != nil {
			return l, err
		}
	}
}

// change publishes a ticket that changes one team.
func (f *fleet) change(i int) error {
	f.number++
	o := teamObject(fmt.Sprintf("team-%03d", i%gossipTeams), 1+int(f.number)%90)
	o.Number = f.number
	f.track.publish(f.number)
	_, err := f.config.Publish(wire.Ticket{Number: f.number, Objects: []wire.Object{o}})
	return err
}

// bytes returns what the routers sent so far, with headers. What they received is
// the same, since they talk only to each other.
func (f *fleet) bytes() (n float64) {
	for _, q := range f.socks {
		t := q.Traffic()
		n += float64(t.SentBytes+t.RecvBytes) + udpHeader*float64(t.SentMessages+t.RecvMessages)
	}
	return n
}

// gossipPart measures anti-entropy and platform reads, the parts d and e.
func (c *capacity) gossipPart(ctx context.Context) error {
	var m [2]gossipSeries
	for i, how := range []string{"platform up", "one router sees the platform"} {
		m[i] = gossipSeries{
			low:   c.series("d", "bytes a second of a router at rest and at the lowest rate, "+how, "B/s", "log2 of routers", "tickets/s"),
			spent: c.series("d", allWork+how, "µs/s", "routers", "routers x tickets/s"),
			bytes: c.series("d", "bytes a second of a router, "+how, "B/s", "routers", "tickets/s"),
			work:  c.series("d", "processor time of a router with the stand-ins, "+how, "µs/s", "routers", "tickets/s"),
			p50:   c.series("d", "time until in force, p50, "+how, "ms", "log2 of routers", "tickets/s"),
			worst: c.series("d", "time until in force, p99.9, worst rate, "+how, "ms", "log2 of routers"),
			p99:   c.series("d", "time until in force, p99.9, "+how, "ms", "log2 of routers", "tickets/s"),
		}
	}
	m[0].reads = map[int]*Series{}
	for _, rate := range append([]int{0}, c.size.tickets...) {
		m[0].reads[rate] = c.series("e", ticketReads(rate), "reads/s", "routers")
	}
	m[0].hosts = c.series("e", hostReads, "reads/s", "routers")
	m[0].start = c.series("e", startReads, "reads/s", "routers")
	m[1].loss = c.series("d", "time until in force, p99.9, one router sees the platform, a data centre lost", "ms", "log2 of routers")
	for _, n := range c.size.fleet {
		for i := range m {
			if err := c.gossipFleet(ctx, m[i], n, i == 1); err != nil {
				return fmt.Errorf("%d routers: %w", n, err)
			}
		}
	}
	return c.gossipObjects(ctx)
}

type gossipSeries struct {
	low, spent, loss, bytes, work, p50, p99, worst, start, hosts *Series
	reads                                                        map[int]*Series // by tickets a second
}

// lose ends the routers of one data centre, contiguous in name order as a data
// centre's names are, and leaves their sockets open and silent. The host list
// still has them.
func (f *fleet) lose() (restore func(), err error) {
	n := max(1, len(f.routers)/targetCentres)
	var mute []net.PacketConn
	restore = func() {
		for _, c := range mute {
			_ = c.Close()
		}
	}
	for range n {
		last := len(f.routers) - 1
		addr := f.socks[last].Addr()
		if err = f.socks[last].Close(); err != nil {
			return restore, err
		}
		c, err := net.ListenPacket("udp", string(addr))
		if err != nil {
			return restore, err
		}
		mute = append(mute, c)
		f.routers, f.socks = f.routers[:last], f.socks[:last]
	}
	return restore, nil
}

func (c *capacity) lossOf(ctx context.Context, f *fleet, s *Series, n int) error {
	restore, err := f.lose()
	defer restore()
	if err != nil {
		return err
	}
	l, err := c.drive(ctx, f, c.size.tickets[0])
	s.Add(l.p99, log2(n))
	return err
}

func (c *capacity) gossipFleet(ctx context.Context, m gossipSeries, n int, alone bool) (err error) {
	f, err := c.newFleet(ctx, n, gossipTeams, alone)
	if f != nil {
		defer func() { err = errors.Join(err, f.close()) }()
	}
	if err != nil {
		return err
	}
	if m.start != nil {
		if err = sleep(ctx, c.size.gossip/3); err != nil {
			return err
		}
		m.start.Add(float64(f.config.Record().PeakCalls), float64(n))
	}
	var worst, hosts float64
	for _, rate := range append([]int{0}, c.size.tickets...) {
		l, err := c.drive(ctx, f, rate)
		if err != nil {
			return fmt.Errorf("%d tickets a second: %w", rate, err)
		}
		x := []float64{float64(n), float64(rate)}
		m.bytes.Add(l.bytes, x...)
		m.work.Add(l.work, x...)
		if m.reads != nil {
			m.reads[rate].Add(l.reads, x[0])
		}
		if rate > 0 {
			m.p50.Add(l.p50, log2(n), x[1])
			m.p99.Add(l.p99, log2(n), x[1])
			worst = max(worst, l.p99)
			hosts = max(hosts, l.hosts)
		}
		if rate <= c.size.tickets[0] {
			m.low.Add(l.bytes, log2(n), x[1])
			m.spent.Add(l.work*x[0], x[0], x[0]*x[1])
		}
	}
	m.worst.Add(worst, log2(n))
	if m.hosts != nil {
		m.hosts.Add(hosts, float64(n))
	}
	if m.loss != nil {
		return c.lossOf(ctx, f, m.loss, n)
	}
	return nil
}

// wholePart measures as many routers as the target size has. It takes about a
// minute and most of a machine's cores, so it is not among the usual parts.
func (c *capacity) wholePart(ctx context.Context) error {
	n := c.size.routers[len(c.size.routers)-1]
	for _, how := range []struct {
		name  string
		alone bool
	}{{"platform up", false}, {"one router sees the platform", true}} {
		name := fmt.Sprintf("%d routers, %s", n, how.name)
		p50 := c.series("g", "time until in force, p50, "+name, "ms", "tickets/s")
		p99 := c.series("g", "time until in force, p99.9, "+name, "ms", "tickets/s")
		reads := c.series("g", "reads of tickets a second, "+name, "reads/s", "tickets/s")
		f, err := c.newFleet(ctx, n, gossipTeams, how.alone)
		if err == nil {
			c.note("Part g, %s: %d reads of tickets in the busiest second of the start.", name, f.config.Record().PeakCalls)
		}
		for _, rate := range c.size.whole {
			var l fleetLoad
			if err == nil {
				l, err = c.drive(ctx, f, rate)
			}
			p50.Add(l.p50, float64(rate))
			p99.Add(l.p99, float64(rate))
			reads.Add(l.reads, float64(rate))
		}
		if err == nil && how.alone {
			lost := &Series{}
			err = c.lossOf(ctx, f, lost, n)
			c.note("Part g, %s, a data centre of %d routers lost and still listed: in force after %s ms, p99.9, at %d ticket a second.",
				name, n-len(f.routers), number(lost.Points[0].Y), c.size.tickets[0])
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

// gossipObjects measures how the bytes of a ticket grow with the configuration.
func (c *capacity) gossipObjects(ctx context.Context) error {
	s := c.series("d", "bytes a second of a router at 10 tickets a second, one router sees the platform", "B/s", "objects")
	for _, teams := range c.size.gossipTeams {
		f, err := c.newFleet(ctx, c.size.fleet[0], teams, true)
		if err == nil {
			var l fleetLoad
			l, err = c.drive(ctx, f, 10)
			s.Add(l.bytes, float64(f.routers[0].Dump().(router.Dump).Objects))
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

func ticketReads(rate int) string {
	return fmt.Sprintf("reads of tickets a second at %d tickets/s, waiting watches included", rate)
}
