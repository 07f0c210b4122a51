package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"hornbeamcove.example/agent"
	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/router"
)

const (
	region     wire.RegionID = "isle"
	drainLimit               = 20 * time.Second
	linkDelay                = 500 * time.Microsecond
	restart                  = time.Second
	// forceLimit is the time in which a ticket is in force, a data centre that is
	// out gets no new work, and neither does a leaving upstream.
	forceLimit = 4 * time.Second
	deadline   = 6 * time.Second
)

// entry is what callers see of a router or of the naive version.
type entry interface {
	Do(ctx context.Context, req *router.Request) (*router.Answer, *router.Refusal)
	Reserve(ctx context.Context, team wire.TeamID, pipeline wire.PipelineID) (wire.Token, *router.Refusal)
	Ready() error
	Run(ctx context.Context, drain time.Duration) error
}

// host is a place for one process after another.
type host struct {
	name    wire.HostID
	role    wire.Role
	addr    wire.Address
	centre  wire.DataCentreID
	up      *upstream // of an agent
	current *process  // guarded by w.mu
	entry   entry     // of the current router; guarded by w.mu
}

// where names the processes that an observed step concerns.
type where struct {
	router, agent wire.HostID
	up            *upstream
	frame         bool // seen as a frame on the network
}

// world is one cell's fleet with its record.
type world struct {
	net   *link.Net
	naive bool
	wg    sync.WaitGroup
	start time.Time
	rng   *rand.Rand // of the load; used by one goroutine
	hosts []*host
	ups   map[wire.UpstreamID]*upstream
	plat  *platform
	wire  wiring
	// closing is set at the end of the cell; no process starts after it.
	closing atomic.Bool
	// trace takes the frames and the logs of all processes when MATRIX_TRACE is
	// set; a cell that fails prints them.
	trace *traceLog

	mu       sync.Mutex
	step     string // that fires the fault
	armed    bool
	fired    chan where
	procs    []*process
	routerOf map[wire.RequestID]wire.HostID
	calls    []*callRecord
	effects  map[wire.Token]int
	requests []*request
	probes   []probe
	breaks   []disturbance
	number   wire.TicketNumber
	turn     int
}

// disturbance is a time in which a fault may legitimately cost a request its
// answer, for the processes named; no name means all.
type disturbance struct {
	span
	names []wire.HostID
}

var pipelines = map[wire.PipelineID][]wire.Stage{
	"fold": {
		{Name: "look", Pool: "desk", Kind: wire.KindPlain, Expect: 20},
		{Name: "write", Pool: "pens", Kind: wire.KindGenerate, Expect: 120, Model: "sail"},
	},
	"book": {
		{Name: "draft", Pool: "pens", Kind: wire.KindGenerate, Expect: 120, Model: "sail"},
		{Name: "keep", Pool: "desk", Kind: wire.KindPlain, Expect: 100, Once: true},
	},
}

// traceLog is safe for concurrent use.
type traceLog struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *traceLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(p)
}

func newWorld(seed uint64, naive bool) *world {
	w := &world{
		net: link.NewNet(), naive: naive, start: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)),
		ups: map[wire.UpstreamID]*upstream{}, fired: make(chan where, 1),
		routerOf: map[wire.RequestID]wire.HostID{}, effects: map[wire.Token]int{},
	}
	w.wire.w = w
	if os.Getenv("MATRIX_TRACE") != "" {
		w.trace = new(traceLog)
	}
	w.plat = &platform{w: w, stale: -1, changed: make(chan struct{})}
	for _, h := range []*host{
		{name: "r1", role: wire.RoleRouter, centre: "a"},
		{name: "r2", role: wire.RoleRouter, centre: "b"},
		{name: "g1", role: wire.RoleAgent, centre: "a"},
		{name: "g2", role: wire.RoleAgent, centre: "b"},
		{name: "p1", role: wire.RoleAgent, centre: "a"},
		{name: "p2", role: wire.RoleAgent, centre: "c"},
	} {
		h.addr = addrOf(h.name)
		w.hosts = append(w.hosts, h)
		if h.role == wire.RoleAgent {
			h.up = w.newUpstream(h)
		}
	}
	w.net.Intercept(w.wire.tamper)
	for _, x := range w.hosts {
		for _, y := range w.hosts {
			w.net.Delay(x.name, y.name, linkDelay)
		}
	}
	w.publish(baseObjects()...)
	for _, h := range w.hosts {
		if !naive || h.name == "r1" {
			w.boot(h)
		}
	}
	return w
}

func (w *world) newUpstream(h *host) *upstream {
	u := &upstream{
		w: w, id: wire.UpstreamID("u-" + h.name), kind: wire.KindPlain, centre: h.centre, fencing: h.name == "g1",
		work: map[*work]struct{}{}, told: map[*process]time.Time{},
	}
	if h.name[0] == 'g' {
		u.kind = wire.KindGenerate
		u.loaded = agent.Loaded{Model: "sail", Version: 1}
	}
	w.ups[u.id] = u
	return u
}

func baseObjects() []wire.Object {
	obj := func(kind wire.ObjectKind, name string) wire.Object { return wire.Object{Kind: kind, Name: name} }
	var out []wire.Object
	for _, c := range []string{"a", "b", "c"} {
		out = append(out, centreObject(c, wire.CentreStateIn))
	}
	for name, weight := range map[string]int{"kites": 2, "gliders": 1} {
		o := obj(wire.ObjectKindTeam, name)
		o.Team = &wire.Team{Weight: weight, Queue: 64}
		out = append(out, o)
	}
	out = append(out, modelObject(1))
	for name, stages := range pipelines {
		out = append(out, pipelineObject(string(name), stages))
	}
	probe := pipelineObject(string(probePipeline), pipelines["fold"])
	probe.Pipeline.Teams = []wire.TeamID{"gliders"} // a ticket lets the probing team in
	out = append(out, probe)
	for _, name := range []wire.HostID{"g1", "g2", "p1", "p2"} {
		out = append(out, upstreamObject(name, wire.UpstreamStateServe))
	}
	return out
}

func centreObject(name string, s wire.CentreState) wire.Object {
	d := wire.CentreDistances{}
	for _, other := range []string{"a", "b", "c"} {
		if other != name {
			d[other] = 500
		}
	}
	return wire.Object{Kind: wire.ObjectKindCentre, Name: name, Centre: &wire.Centre{State: s, Region: region, Distances: d}}
}

func modelObject(v wire.Version) wire.Object {
	return wire.Object{Kind: wire.ObjectKindModel, Name: "sail", Model: &wire.Model{Version: v}}
}

func pipelineObject(name string, stages []wire.Stage) wire.Object {
	return wire.Object{Kind: wire.ObjectKindPipeline, Name: name, Pipeline: &wire.Pipeline{
		Deadline: int(deadline / time.Millisecond), Rank: wire.RankInteractive, Stages: stages,
		Teams: []wire.TeamID{"gliders", "kites"},
	}}
}

func upstreamObject(name wire.HostID, s wire.UpstreamState) wire.Object {
	u := &wire.Upstream{
		Agent: addrOf(name), Centre: map[wire.HostID]wire.DataCentreID{"g1": "a", "g2": "b", "p1": "a", "p2": "c"}[name],
		Cold: coldBound, Limit: warmBound, Host: name, Kind: wire.KindPlain, Pool: "desk", State: s,
	}
	if name[0] == 'g' {
		u.Kind, u.Pool, u.Model, u.Fencing = wire.KindGenerate, "pens", "sail", name == "g1"
	}
	return wire.Object{Kind: wire.ObjectKindUpstream, Name: "u-" + string(name), Upstream: u}
}

// publish puts a ticket with the next number on the platform.
func (w *world) publish(objs ...wire.Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number++
	t := wire.Ticket{Number: w.number, Objects: objs}
	raw, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	w.plat.tickets = append(w.plat.tickets, published{time.Now(), t, raw})
	w.plat.wake()
}

// addrOf gives each host an address of its own.
func addrOf(name wire.HostID) wire.Address {
	return wire.Address(fmt.Sprintf("10.0.%d.%c:1", name[0], name[1]))
}

// boot starts a process on a host.
func (w *world) boot(h *host) {
	if w.closing.Load() {
		return
	}
	ctx, halt := context.WithCancel(context.Background())
	p := &process{
		w: w, name: h.name, inc: agent.NewIncarnation(), dead: make(chan struct{}), halt: halt,
		gone: make(chan struct{}), born: time.Now(),
	}
	p.ticks = clock.New(clock.WithNow(p.now))
	run := w.build(h, p)
	w.mu.Lock()
	h.current = p
	h.entry, _ = run.(entry)
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	w.wg.Go(func() {
		err := run.Run(ctx, drainLimit)
		w.mu.Lock()
		p.goneAt, p.runErr = time.Now(), err
		w.mu.Unlock()
		close(p.gone)
	})
}

func (w *world) build(h *host, p *process) interface {
	Run(ctx context.Context, drain time.Duration) error
} {
	if w.naive {
		return newNaive(w, p)
	}
	out := log.New(io.Discard)
	if w.trace != nil {
		out = log.NewWithOptions(w.trace, log.Options{
			Level: log.DebugLevel, Prefix: string(h.name), ReportTimestamp: true, Formatter: log.JSONFormatter,
			TimeFunction: func(t time.Time) time.Time { return time.Time{}.Add(t.Sub(w.start)) }, TimeFormat: "05.000000",
		})
	}
	hello := wire.Hello{Role: h.role, Name: h.name, Centre: h.centre, Incarnation: p.inc, Version: link.Version}
	ln := gateListener{w.net.Listen(h.addr, hello), p}
	if h.role == wire.RoleRouter {
		return router.New(router.Config{Name: h.name, Centre: h.centre, Region: region}, gateDialer{p}, ln,
			router.WithPlatform(reader{w.plat, p}), router.WithIncarnation(p.inc), router.WithTicks(p.ticks), router.WithLogger(out))
	}
	cfg := agent.Config{Name: h.name, Upstream: h.up.id, Centre: h.centre, Kind: h.up.kind, Bounds: limit.Bounds{Warm: 1, Cold: 1}}
	return agent.New(cfg, client{h.up, p}, ln, agent.WithIncarnation(p.inc), agent.WithTicks(p.ticks), agent.WithLogger(out))
}

func (w *world) host(name wire.HostID) *host {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (w *world) process(name wire.HostID) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.host(name).current
}

// kill ends a process at once and starts another one on its host later.
func (w *world) kill(name wire.HostID) {
	p := w.process(name)
	w.mu.Lock()
	if !p.killAt.IsZero() || !p.goneAt.IsZero() {
		w.mu.Unlock()
		return
	}
	p.killAt = time.Now()
	close(p.dead)
	w.mu.Unlock()
	w.net.Kill(name)
	p.halt()
	w.wg.Go(func() {
		time.Sleep(restart)
		w.boot(w.host(name))
	})
}

// stop begins a planned stop and starts another process when it has ended. A
// paused process sees the signal at the end of the pause.
func (w *world) stop(name wire.HostID, again bool) {
	p := w.process(name)
	w.wg.Go(func() {
		p.wait()
		w.mu.Lock()
		if !p.killAt.IsZero() || !p.stopAt.IsZero() {
			w.mu.Unlock()
			return
		}
		p.stopAt = time.Now()
		w.mu.Unlock()
		p.halt()
		select {
		case <-p.gone:
		case <-p.dead:
			return
		}
		if again {
			time.Sleep(restart / 2)
			w.boot(w.host(name))
		}
	})
}

func (w *world) pause(name wire.HostID, d time.Duration) {
	p := w.process(name)
	p.pause()
	w.disturb(d, name)
	w.wg.Go(func() {
		time.Sleep(d)
		p.resume()
	})
}

// disturb records that some processes may lose requests for d from now on.
func (w *world) disturb(d time.Duration, names ...wire.HostID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.breaks = append(w.breaks, disturbance{span{now, now.Add(d)}, names})
}

// observe reports that a step was seen at a fake interface. The first one after
// the fault was armed fires it.
func (w *world) observe(step string, at where) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.armed || step != w.step {
		return false
	}
	w.armed = false
	w.fired <- at
	return true
}

func (w *world) arm(step string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step, w.armed = step, true
}

func (w *world) routerFor(id wire.RequestID) wire.HostID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.routerOf[id]
}

// sides are the two halves of a partition.
var sides = [2][]wire.HostID{{"r1", "g1", "p1"}, {"r2", "g2", "p2"}}

// partition cuts the first side off from the second, both ways or only the
// frames that the first one sends.
func (w *world) partition(both bool, d time.Duration) {
	each := func(f func(from, to wire.HostID)) {
		for _, x := range sides[0] {
			for _, y := range sides[1] {
				f(x, y)
				if both {
					f(y, x)
				}
			}
		}
	}
	each(w.net.Cut)
	w.disturb(d)
	time.Sleep(d)
	each(w.net.Heal)
}

// wiring watches and disturbs the frames on the network. The network calls it
// under its own lock.
type wiring struct {
	w     *world
	mode  string // doubled, reordered, foreign or nothing; guarded by w.mu
	lose  bool   // the frame that fires the fault is lost
	kept  map[wire.HostID]*wire.Frame
	other *wire.Frame
	n     int
}

func (t *wiring) tamper(from, to wire.HostID, f *wire.Frame) []*wire.Frame {
	if t.w.trace != nil {
		text, _ := json.Marshal(f)
		fmt.Fprintf(t.w.trace, "%s %s>%s %.400s\n", time.Since(t.w.start), from, to, text)
	}
	if f.Call != nil {
		t.w.mu.Lock()
		t.w.routerOf[f.Call.Ref.Request] = from
		t.w.mu.Unlock()
	}
	for _, step := range frameSteps(f) {
		at := where{router: from, agent: to, frame: true}
		if from[0] != 'r' {
			at.router, at.agent = to, from
		}
		at.up = t.w.ups[wire.UpstreamID("u-"+at.agent)]
		if t.w.observe(step, at) && t.lose {
			return nil
		}
	}
	t.w.mu.Lock()
	mode := t.mode
	t.w.mu.Unlock()
	if f.Chunk == nil && f.Result == nil {
		return []*wire.Frame{f}
	}
	return t.disturb(mode, from+">"+to, f)
}

// frameSteps lists the steps that a frame shows.
func frameSteps(f *wire.Frame) []string {
	switch {
	case f.Accept != nil:
		return []string{"admit"}
	case f.Reserve != nil:
		return []string{"reserve"}
	case f.Call != nil:
		return []string{"send"}
	case f.Chunk != nil && f.Chunk.Number > 0:
		return []string{"stream"}
	case f.Result != nil && (f.Result.Ref.Stage == "look" || f.Result.Ref.Stage == "draft"):
		// The router chooses the next stage's upstream on this frame.
		return []string{"choose"}
	case f.Result != nil:
		return []string{"answer"}
	case f.Ack != nil:
		return []string{"acknowledge"}
	case f.Report != nil && f.Report.Leaving:
		return []string{"drain"}
	}
	return nil
}

// disturb changes the answers on the wire.
func (t *wiring) disturb(mode string, lane wire.HostID, f *wire.Frame) []*wire.Frame {
	held := t.kept[lane]
	delete(t.kept, lane)
	out := []*wire.Frame{f}
	switch mode {
	case "doubled":
		out = append(out, f)
	case "reordered":
		if held == nil {
			t.kept[lane] = f
			return nil
		}
		return []*wire.Frame{f, held}
	case "foreign":
		t.n++
		other := t.other
		t.other = f
		switch {
		case other == nil:
		case t.n%4 == 0: // in place of the own frame
			return []*wire.Frame{other}
		default:
			out = []*wire.Frame{other, f}
		}
	}
	if held != nil {
		out = append([]*wire.Frame{held}, out...)
	}
	return out
}

func (w *world) setMode(mode string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wire.mode = mode
}

// stopAll ends the world: every process makes a planned stop, routers first.
func (w *world) stopAll() {
	w.closing.Store(true)
	for _, role := range []wire.Role{wire.RoleRouter, wire.RoleAgent} {
		for _, h := range w.hosts {
			if h.role == role && w.process(h.name) != nil {
				w.stop(h.name, false)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.wg.Wait()
}

func (w *world) String() string {
	return fmt.Sprintf("%d calls, %d requests", len(w.calls), len(w.requests))
}
