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
	region       wire.RegionID = "isle"
	drainLimit                 = 20 * time.Second
	linkDelay                  = 500 * time.Microsecond
	restartDelay               = time.Second
	// inForceLimit is the time within which a ticket must be in force and a data
	// centre that is out, a drained upstream or a stopping process must get no new
	// calls.
	inForceLimit    = 4 * time.Second
	requestDeadline = 6 * time.Second
)

// routerAPI holds the methods of a router that callers use. The naive router
// has the same.
type routerAPI interface {
	Do(ctx context.Context, req *router.Request) (*router.Answer, *router.Refusal)
	Reserve(ctx context.Context, team wire.TeamID, pipeline wire.PipelineID) (wire.Token, *router.Refusal)
	Ready() error
	Run(ctx context.Context, drain time.Duration) error
}

// host is a simulated host. It runs one process at a time.
type host struct {
	name     wire.HostID
	role     wire.Role
	addr     wire.Address
	centre   wire.DataCentreID
	upstream *upstream // the agent's upstream; nil for a router
	current  *process  // guarded by w.mu
	router   routerAPI // the current process if it is a router; guarded by w.mu
}

// faultTarget holds the processes that took part in an observed step. The fault
// is injected into them.
type faultTarget struct {
	router, agent wire.HostID
	upstream      *upstream
	frame         bool // the step was observed as a frame on the network
}

// world is the simulated system of one cell with the records of what happened
// in it.
type world struct {
	net         *link.Net
	naive       bool
	wg          sync.WaitGroup
	start       time.Time
	rng         *rand.Rand // drives the load; used by one goroutine
	hosts       []*host
	upstreams   map[wire.UpstreamID]*upstream
	platform    *platform
	interceptor frameInterceptor
	// closing is set at the end of the cell. No process starts after that.
	closing atomic.Bool
	// trace collects the frames and the logs of all processes if MATRIX_TRACE is
	// set. A cell that fails prints it.
	trace *traceBuffer

	mu              sync.Mutex
	step            string           // the step that fires the fault
	armed           bool             // whether the next occurrence of step fires the fault
	fired           chan faultTarget // receives the target when the fault fires
	procs           []*process       // all processes in the order of their start
	routerByRequest map[wire.RequestID]wire.HostID
	calls           []*callRecord
	effects         map[wire.Token]int // number of times that each token took effect
	requests        []*request
	probes          []probe
	disturbances    []disturbance
	ticketNumber    wire.TicketNumber
	routerTurn      int // round-robin position in hosts
}

// disturbance is a period in which a request of one of the named processes may
// go unanswered because of a fault. No names means all processes.
type disturbance struct {
	span
	names []wire.HostID
}

// pipelines holds the pipelines that callers use. The last stage of "book" is
// not repeatable and needs a token.
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

// traceBuffer is a buffer whose Write method is safe for concurrent use.
type traceBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *traceBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(p)
}

// newWorld starts every host's process on a network with the initial tickets.
// The naive world runs only r1.
func newWorld(seed uint64, naive bool) *world {
	w := &world{
		net: link.NewNet(), naive: naive, start: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)),
		upstreams: map[wire.UpstreamID]*upstream{}, fired: make(chan faultTarget, 1),
		routerByRequest: map[wire.RequestID]wire.HostID{}, effects: map[wire.Token]int{},
	}
	w.interceptor.w = w
	if os.Getenv("MATRIX_TRACE") != "" {
		w.trace = new(traceBuffer)
	}
	w.platform = &platform{w: w, staleTickets: -1, changed: make(chan struct{})}
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
			h.upstream = w.newUpstream(h)
		}
	}
	w.net.Intercept(w.interceptor.intercept)
	for _, x := range w.hosts {
		for _, y := range w.hosts {
			w.net.Delay(x.name, y.name, linkDelay)
		}
	}
	w.publish(initialObjects()...)
	for _, h := range w.hosts {
		if !naive || h.name == "r1" {
			w.startProcess(h)
		}
	}
	return w
}

// newUpstream adds the fake upstream of an agent's host. It generates text if
// the host's name begins with g.
func (w *world) newUpstream(h *host) *upstream {
	u := &upstream{
		w: w, id: wire.UpstreamID("u-" + h.name), kind: wire.KindPlain, centre: h.centre, fencing: h.name == "g1",
		active: map[*activeCall]struct{}{}, coldKnownAt: map[*process]time.Time{},
	}
	if h.name[0] == 'g' {
		u.kind = wire.KindGenerate
		u.loaded = agent.Loaded{Model: "sail", Version: 1}
	}
	w.upstreams[u.id] = u
	return u
}

// initialObjects returns the objects of the ticket that a world starts with.
func initialObjects() []wire.Object {
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
	probe.Pipeline.Teams = []wire.TeamID{"gliders"} // the script's ticket adds the probing team
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
		Deadline: int(requestDeadline / time.Millisecond), Rank: wire.RankInteractive, Stages: stages,
		Teams: []wire.TeamID{"gliders", "kites"},
	}}
}

func upstreamObject(name wire.HostID, s wire.UpstreamState) wire.Object {
	u := &wire.Upstream{
		Agent: addrOf(name), Centre: map[wire.HostID]wire.DataCentreID{"g1": "a", "g2": "b", "p1": "a", "p2": "c"}[name],
		Cold: coldLimit, Limit: warmLimit, Host: name, Kind: wire.KindPlain, Pool: "desk", State: s,
	}
	if name[0] == 'g' {
		u.Kind, u.Pool, u.Model, u.Fencing = wire.KindGenerate, "pens", "sail", name == "g1"
	}
	return wire.Object{Kind: wire.ObjectKindUpstream, Name: "u-" + string(name), Upstream: u}
}

// publish adds a ticket with the next number to those of the platform.
func (w *world) publish(objs ...wire.Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ticketNumber++
	t := wire.Ticket{Number: w.ticketNumber, Objects: objs}
	raw, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	w.platform.tickets = append(w.platform.tickets, publishedTicket{time.Now(), t, raw})
	w.platform.notify()
}

// addrOf returns the unique address of a host.
func addrOf(name wire.HostID) wire.Address {
	return wire.Address(fmt.Sprintf("10.0.%d.%c:1", name[0], name[1]))
}

// startProcess starts a new process on h, unless the cell is ending.
func (w *world) startProcess(h *host) {
	if w.closing.Load() {
		return
	}
	ctx, shutdown := context.WithCancel(context.Background())
	p := &process{
		w: w, name: h.name, incarnation: agent.NewIncarnation(), dead: make(chan struct{}), shutdown: shutdown,
		exited: make(chan struct{}), startedAt: time.Now(),
	}
	p.ticks = clock.New(clock.WithNow(p.now))
	server := w.newServer(h, p)
	w.mu.Lock()
	h.current = p
	h.router, _ = server.(routerAPI)
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	w.wg.Go(func() {
		err := server.Run(ctx, drainLimit)
		w.mu.Lock()
		p.exitedAt, p.runErr = time.Now(), err
		w.mu.Unlock()
		close(p.exited)
	})
}

// newServer returns the router or agent that p runs, or a naive router.
func (w *world) newServer(h *host, p *process) interface {
	Run(ctx context.Context, drain time.Duration) error
} {
	if w.naive {
		return newNaiveRouter(w, p)
	}
	logger := log.New(io.Discard)
	if w.trace != nil {
		logger = log.NewWithOptions(w.trace, log.Options{
			Level: log.DebugLevel, Prefix: string(h.name), ReportTimestamp: true, Formatter: log.JSONFormatter,
			TimeFunction: func(t time.Time) time.Time { return time.Time{}.Add(t.Sub(w.start)) }, TimeFormat: "05.000000",
		})
	}
	hello := wire.Hello{Role: h.role, Name: h.name, Centre: h.centre, Incarnation: p.incarnation, Version: link.Version}
	ln := processListener{w.net.Listen(h.addr, hello), p}
	if h.role == wire.RoleRouter {
		return router.New(router.Config{Name: h.name, Centre: h.centre, Region: region}, processDialer{p}, ln,
			router.WithPlatform(platformReader{w.platform, p}), router.WithIncarnation(p.incarnation), router.WithTicks(p.ticks), router.WithLogger(logger))
	}
	cfg := agent.Config{Name: h.name, Upstream: h.upstream.id, Centre: h.centre, Kind: h.upstream.kind, Bounds: limit.Bounds{Warm: 1, Cold: 1}}
	return agent.New(cfg, upstreamClient{h.upstream, p}, ln, agent.WithIncarnation(p.incarnation), agent.WithTicks(p.ticks), agent.WithLogger(logger))
}

// hostNamed returns the host with a name, or nil.
func (w *world) hostNamed(name wire.HostID) *host {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// currentProcess returns the newest process on a host.
func (w *world) currentProcess(name wire.HostID) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hostNamed(name).current
}

// kill ends a process at once and starts a new one on its host after
// restartDelay.
func (w *world) kill(name wire.HostID) {
	p := w.currentProcess(name)
	w.mu.Lock()
	if !p.killedAt.IsZero() || !p.exitedAt.IsZero() {
		w.mu.Unlock()
		return
	}
	p.killedAt = time.Now()
	close(p.dead)
	w.mu.Unlock()
	w.net.Kill(name)
	p.shutdown()
	w.wg.Go(func() {
		time.Sleep(restartDelay)
		w.startProcess(w.hostNamed(name))
	})
}

// stop begins a planned stop. If restart is set, a new process starts once the
// old one has exited. A paused process receives the signal at the end of the
// pause.
func (w *world) stop(name wire.HostID, restart bool) {
	p := w.currentProcess(name)
	w.wg.Go(func() {
		p.wait()
		w.mu.Lock()
		if !p.killedAt.IsZero() || !p.stopRequestedAt.IsZero() {
			w.mu.Unlock()
			return
		}
		p.stopRequestedAt = time.Now()
		w.mu.Unlock()
		p.shutdown()
		select {
		case <-p.exited:
		case <-p.dead:
			return
		}
		if restart {
			time.Sleep(restartDelay / 2)
			w.startProcess(w.hostNamed(name))
		}
	})
}

// pause pauses the current process of a host for d.
func (w *world) pause(name wire.HostID, d time.Duration) {
	p := w.currentProcess(name)
	p.pause()
	w.recordDisturbance(d, name)
	w.wg.Go(func() {
		time.Sleep(d)
		p.resume()
	})
}

// recordDisturbance records that requests of the named processes may go
// unanswered for the next d.
func (w *world) recordDisturbance(d time.Duration, names ...wire.HostID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.disturbances = append(w.disturbances, disturbance{span{now, now.Add(d)}, names})
}

// observe is called when a step occurs. It reports whether this fired the
// fault, which the first matching step after arm does.
func (w *world) observe(step string, target faultTarget) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.armed || step != w.step {
		return false
	}
	w.armed = false
	w.fired <- target
	return true
}

// arm makes the next occurrence of step fire the fault.
func (w *world) arm(step string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step, w.armed = step, true
}

// routerFor returns the router that sent the calls of a request.
func (w *world) routerFor(id wire.RequestID) wire.HostID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.routerByRequest[id]
}

// partitionSides holds the two sides of a partition.
var partitionSides = [2][]wire.HostID{{"r1", "g1", "p1"}, {"r2", "g2", "p2"}}

// partition drops the frames from the first side to the second for d, and if
// both is set also those from the second to the first.
func (w *world) partition(both bool, d time.Duration) {
	forEachPair := func(f func(from, to wire.HostID)) {
		for _, x := range partitionSides[0] {
			for _, y := range partitionSides[1] {
				f(x, y)
				if both {
					f(y, x)
				}
			}
		}
	}
	forEachPair(w.net.Cut)
	w.recordDisturbance(d)
	time.Sleep(d)
	forEachPair(w.net.Heal)
}

// frameInterceptor observes the frames on the network and changes some of them.
// The network calls it with the network's lock held, which guards the fields
// unless said otherwise.
type frameInterceptor struct {
	w            *world
	mode         string                      // doubled, reordered, foreign or empty; guarded by w.mu
	loseFrame    bool                        // drop the frame that fires the fault
	heldBack     map[wire.HostID]*wire.Frame // frame to deliver after the next one, by direction
	previous     *wire.Frame                 // last answer frame of any direction
	answerFrames int                         // answer frames counted in mode foreign
}

// intercept returns the frames that are delivered in place of f.
func (fi *frameInterceptor) intercept(from, to wire.HostID, f *wire.Frame) []*wire.Frame {
	if fi.w.trace != nil {
		text, _ := json.Marshal(f)
		fmt.Fprintf(fi.w.trace, "%s %s>%s %.400s\n", time.Since(fi.w.start), from, to, text)
	}
	if f.Call != nil {
		fi.w.mu.Lock()
		fi.w.routerByRequest[f.Call.Ref.Request] = from
		fi.w.mu.Unlock()
	}
	for _, step := range frameSteps(f) {
		target := faultTarget{router: from, agent: to, frame: true}
		if from[0] != 'r' {
			target.router, target.agent = to, from
		}
		target.upstream = fi.w.upstreams[wire.UpstreamID("u-"+target.agent)]
		if fi.w.observe(step, target) && fi.loseFrame {
			return nil
		}
	}
	fi.w.mu.Lock()
	mode := fi.mode
	fi.w.mu.Unlock()
	if f.Chunk == nil && f.Result == nil {
		return []*wire.Frame{f}
	}
	return fi.applyMode(mode, from+">"+to, f)
}

// frameSteps returns the steps that a frame belongs to.
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
		// On this frame the router chooses the upstream of the next stage.
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

// applyMode duplicates, reorders or misdelivers the answer frames of one
// direction.
func (fi *frameInterceptor) applyMode(mode string, direction wire.HostID, f *wire.Frame) []*wire.Frame {
	held := fi.heldBack[direction]
	delete(fi.heldBack, direction)
	out := []*wire.Frame{f}
	switch mode {
	case "doubled":
		out = append(out, f)
	case "reordered":
		if held == nil {
			fi.heldBack[direction] = f
			return nil
		}
		return []*wire.Frame{f, held}
	case "foreign":
		fi.answerFrames++
		other := fi.previous
		fi.previous = f
		switch {
		case other == nil:
		case fi.answerFrames%4 == 0: // replaces the frame
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

// setFrameMode sets the interceptor's mode.
func (w *world) setFrameMode(mode string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interceptor.mode = mode
}

// stopAll stops every process as planned, routers first, and waits for all
// goroutines of the world.
func (w *world) stopAll() {
	w.closing.Store(true)
	for _, role := range []wire.Role{wire.RoleRouter, wire.RoleAgent} {
		for _, h := range w.hosts {
			if h.role == role && w.currentProcess(h.name) != nil {
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
