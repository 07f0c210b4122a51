// Package soak runs routers as separate processes against a simulated platform and
// injects faults from outside: signals to the processes, and proxies that disturb their
// connections to the store and the replicas. It then checks invariants against the
// records of callers and replicas. Faults and requests are drawn from the seed of the run.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"hornbeamcove.example/fakes/site"
	"hornbeamcove.example/platform"
)

const (
	deskHost     = "desk.example"
	chatHost     = "chat.example"
	planHost     = "plan.example"
	teamKey      = "key-1"
	team         = "folders"
	streamEvents = 25
	startTimeout = 20 * time.Second
	// crashDowntime is the time that a replica is down after a crash.
	crashDowntime = 1500 * time.Millisecond
	// quietPeriod is the time without faults at the end of a run, in which requests must
	// be served again.
	quietPeriod = 5 * time.Second
)

// Options configures a run.
type Options struct {
	Seed          uint64        // seed from which faults and requests are drawn
	Routers       int           // number of router processes
	Callers       int           // number of concurrent callers
	FaultDuration time.Duration // time during which faults are injected
	Dir           string        // directory for settings files and logs
	Program       string        // path of the router program
	ReportPath    string        // path of the HTML report, or empty for none
	Silences      bool          // whether series of silences, stops and changes come beside the faults
	Answers       bool          // whether series of faulty answers come beside the faults
	Changes       bool          // whether series of changes of the configuration come beside the faults
	Edges         bool          // whether series of edge cases come beside the faults, see edgeSteps
	Moves         bool          // whether stages move to another service and back under load, beside the faults
	PlannedOnly   bool          // whether faults that are drawn and not planned are left out
}

// Run is one soak run: its processes, its faults and the records to check.
type Run struct {
	Options
	site          *site.Site
	routers       []*router
	replicasMu    sync.Mutex // guards replicas, removed, lastEngine and engines
	replicas      []*replica
	removed       []*replica   // replicas that have left
	lastEngine    int          // number of the latest engine
	engines       []engineLife // all engines that the run has had
	storeProxies  []*Proxy     // proxy to the store of each router
	callers       *callers
	configVersion int
	configPut     time.Time // when it was written
	stagesMoved   bool      // whether it has the stages of archive at secondArchive
	keyless       []keylessTime
	events        eventLog
	claims        claims
	badParts      badParts
	limits        limitLog
	quietSince    time.Time // when the last fault ended
	activeFaults  conc.WaitGroup
}

// replica is a simulated replica with its proxy and the fault that is currently injected.
type replica struct {
	*site.Replica
	proxy         *Proxy
	action        atomic.Int32 // site.Action to inject
	actionPercent atomic.Int32 // percentage of requests to which action applies
}

// draw returns how the replica handles its next request.
func (rp *replica) draw() site.Action {
	if rand.IntN(100) < int(rp.actionPercent.Load()) {
		return site.Action(rp.action.Load())
	}
	return site.Serve
}

// routes has one route for each of requestKinds, and one for draftKind.
var routes = []site.Route{
	{Name: "lookup", Host: deskHost, Prefix: "/safe/", Kind: "safe", Service: "desk", Timeout: 6000, TargetLatency: 300, Attempts: 2},
	{Name: "submit", Host: deskHost, Prefix: "/once/", Kind: "unsafe", Service: "desk", Timeout: 6000, TargetLatency: 300, Attempts: 1},
	{Name: "chat", Host: chatHost, Prefix: "/resume/", Kind: "streaming", Service: "engine", Timeout: 6000, TargetLatency: 2000, TargetGap: 400, Attempts: 2, Resume: true, Sticky: true},
	{Name: "note", Host: chatHost, Prefix: "/once/", Kind: "streaming", Service: "engine", Timeout: 6000, TargetLatency: 2000, TargetGap: 400, Attempts: 1, Sticky: true},
	{
		Name: "plan", Host: planHost, Prefix: "/", Kind: "streaming", Service: "engine", Timeout: 6000, TargetLatency: 4000, TargetGap: 400, Attempts: 2, Resume: true, Sticky: true,
		Stages: []site.Stage{{Service: "archive", Bytes: 8000}, {Service: "school", After: []int{0}, Bytes: 60000}, {Service: "archive", Bytes: 300000}},
	},
	{
		Name: "draft", Host: draftHost, Prefix: "/", Kind: "streaming", Service: "engine", Timeout: 6000, TargetLatency: 4000, TargetGap: 400, Attempts: 1, Sticky: true,
		Stages: []site.Stage{{Service: "archive", Bytes: 8000}},
	},
}

var centres = []string{"a", "b", "c"}

// Execute runs the soak once and returns the violated invariants and the number of
// requests that were served.
func Execute(o Options) (violations []string, served int, err error) {
	r := &Run{Options: o}
	defer r.close()
	if err = r.prepare(); err != nil {
		return nil, 0, fmt.Errorf("soak seed %d: %w", o.Seed, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callerGroup conc.WaitGroup
	for i := range o.Callers {
		callerGroup.Go(func() { r.callers.runCaller(ctx, o.Seed*1000+uint64(i), requestKinds...) })
	}
	var denials []denial
	callerGroup.Go(func() { denials = r.watchDenials(ctx) })
	var memory map[string]int
	callerGroup.Go(func() { memory = r.watchMemory(ctx) })
	rng := rand.New(rand.NewPCG(o.Seed, 7))
	end := time.Now().Add(o.FaultDuration)
	if o.Silences {
		// Series have their own generator, so that a seed draws the same faults without them.
		r.activeFaults.Go(func() { r.runSeries(rand.New(rand.NewPCG(o.Seed, 8)), seriesSteps, end) })
	}
	if o.Changes {
		r.activeFaults.Go(func() { r.runSeries(rand.New(rand.NewPCG(o.Seed, 9)), changeSteps, end) })
	}
	if o.Answers {
		r.activeFaults.Go(func() { r.runSeries(rand.New(rand.NewPCG(o.Seed, 10)), answerSteps, end) })
	}
	if o.Moves {
		r.activeFaults.Go(func() { r.runSeries(rand.New(rand.NewPCG(o.Seed, 11)), moveSteps, end) })
	}
	if o.Edges {
		r.activeFaults.Go(func() { r.runSeries(rand.New(rand.NewPCG(o.Seed, 12)), edgeSteps, end) })
	}
	for time.Now().Before(end) {
		r.inject(rng)
	}
	r.activeFaults.Wait()
	r.clearFaults()
	r.quietSince = time.Now()
	time.Sleep(quietPeriod)
	stale := r.probeConfig()
	cancel()
	callerGroup.Wait()
	violations, served = r.check()
	violations = append(violations, stale...)
	violations = append(violations, r.checkDenials(denials)...)
	violations = append(violations, r.checkMemory(memory)...)
	if o.ReportPath != "" {
		err = r.report(o.ReportPath, violations)
	}
	return violations, served, err
}

// prepare starts the simulated platform, the replicas and the routers and waits until all
// routers are ready.
func (r *Run) prepare() (err error) {
	if r.site, err = site.New(); err != nil {
		return err
	}
	r.configVersion = 1
	r.site.Store.PutJSON("op/config", site.Config(1, routes, r.services(), map[string]string{teamKey: team}))
	desks, archives, archiveTime := 0, 0, 25*time.Millisecond
	if r.Changes {
		desks = 3
	}
	if r.Moves {
		archives, archiveTime = 4, movedCallTime
	}
	for _, s := range []struct {
		service string
		n       int
		work    time.Duration
	}{{"desk", 3, 10 * time.Millisecond}, {"archive", 4, archiveTime}, {"school", 3, 25 * time.Millisecond}, {secondDesk, desks, 10 * time.Millisecond}, {secondArchive, archives, archiveTime}} {
		for i := range s.n {
			if err = r.addReplica(s.service, "", i, s.work, 0); err != nil {
				return err
			}
		}
	}
	for i := range 5 {
		if err = r.addEngine(fmt.Sprint("v", 1+i%2)); err != nil {
			return err
		}
	}
	if err = r.addRouters(); err != nil {
		return err
	}
	r.callers = &callers{run: r}
	for end := time.Now().Add(startTimeout); ; time.Sleep(10 * time.Millisecond) {
		ready := 0
		for _, rt := range r.routers {
			if r.isReady(rt) {
				ready++
			}
		}
		if ready == len(r.routers) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d routers are ready: %s", ready, len(r.routers), r.unreadyLogs())
		}
	}
}

// addReplica starts the i-th replica of a service behind a proxy, whose address the replica
// publishes. work is the time that a request takes or, in a stream of the given number of
// events, the time between events. version is that of its software, v1 if empty.
func (r *Run) addReplica(service, version string, i int, work time.Duration, events int) error {
	rp := &replica{}
	rp.Replica = &site.Replica{ID: fmt.Sprintf("%s-%d", service, i), Service: service, Version: version, TagEvents: events > 0, Centre: centres[i%len(centres)], ServiceTime: work, Events: events, Downtime: crashDowntime}
	var proxyErr error
	rp.PublicAddr = func(addr string) string {
		p, err := NewProxy(addr)
		if err != nil {
			proxyErr = err
			return addr
		}
		rp.proxy = p
		return p.Addr()
	}
	rp.Act = func(req *http.Request) site.Action {
		if events > 0 && r.badParts.in(req.Header.Get(site.HeaderParts)) {
			return []site.Action{site.Crash, site.CrashLater}[rand.IntN(2)]
		}
		return rp.draw()
	}
	rp.FreeAct = func(*http.Request) site.Action { return rp.draw() }
	rp.EventTime = func(req *http.Request) time.Duration {
		if strings.Contains(req.URL.Path, longPath) {
			return longEventTime
		}
		return work
	}
	rp.SetDown = func(down bool) {
		if down {
			r.events.addEnd(rp)
		}
		rp.proxy.SetDown(down)
	}
	if err := r.site.Add(rp.Replica); err != nil {
		return err
	}
	r.replicasMu.Lock()
	defer r.replicasMu.Unlock()
	r.replicas = append(r.replicas, rp)
	return proxyErr
}

const (
	// engineEventTime is the time between the events of a stream.
	engineEventTime = 40 * time.Millisecond
	// longPath is a part of the path of streams whose events come longEventTime apart.
	longPath      = "long/"
	longEventTime = 120 * time.Millisecond
)

// addEngine starts an engine of a software version.
func (r *Run) addEngine(version string) error {
	r.replicasMu.Lock()
	i := r.lastEngine
	r.lastEngine++
	r.replicasMu.Unlock()
	if err := r.addReplica("engine", version, i, engineEventTime, streamEvents); err != nil {
		return err
	}
	r.replicasMu.Lock()
	defer r.replicasMu.Unlock()
	r.engines = append(r.engines, engineLife{id: fmt.Sprint("engine-", i), version: version, from: time.Now()})
	return nil
}

// endEngine records that an engine is about to leave.
func (r *Run) endEngine(rp *replica) {
	r.replicasMu.Lock()
	defer r.replicasMu.Unlock()
	for i := range r.engines {
		if r.engines[i].id == rp.ID {
			r.engines[i].till = time.Now()
		}
	}
}

// removeReplica moves a replica to those that have left.
func (r *Run) removeReplica(rp *replica) {
	r.replicasMu.Lock()
	defer r.replicasMu.Unlock()
	r.replicas = slices.DeleteFunc(r.replicas, func(o *replica) bool { return o == rp })
	r.removed = append(r.removed, rp)
}

// allReplicas returns the replicas that have not left.
func (r *Run) allReplicas() []*replica {
	r.replicasMu.Lock()
	defer r.replicasMu.Unlock()
	return slices.Clone(r.replicas)
}

// addRouters starts the routers, each with its own proxy to the store. The first three are
// the seeds of all.
func (r *Run) addRouters() error {
	addrs, err := freeAddrs(4 * r.Routers)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(r.Routers, 3) {
		seeds = append(seeds, addrs[4*i+2])
	}
	for i := range r.Routers {
		p, err := NewProxy(r.site.Addr())
		if err != nil {
			return err
		}
		r.storeProxies = append(r.storeProxies, p)
		rt, err := newRouter(fmt.Sprintf("r%d", i), centres[i%len(centres)], r.Dir, r.Program, p.Addr(), addrs[4*i:4*i+4], seeds)
		if err != nil {
			return err
		}
		r.routers = append(r.routers, rt)
		if err = rt.start(); err != nil {
			return err
		}
	}
	return nil
}

// isReady reports whether a router's readiness endpoint answers 200, as a load balancer
// checks before it sends new connections.
func (r *Run) isReady(rt *router) bool {
	client := http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + rt.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// unreadyLogs returns the last log line of each router that is not ready.
func (r *Run) unreadyLogs() string {
	var out []string
	for _, rt := range r.routers {
		if r.isReady(rt) {
			continue
		}
		data, err := os.ReadFile(filepath.Join(r.Dir, rt.name+".log"))
		if err != nil {
			data = []byte(err.Error())
		}
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		out = append(out, rt.name+": "+lines[len(lines)-1])
	}
	return strings.Join(out, "; ")
}

// centreOf returns the data centre of a replica, or "" if the ID is unknown.
func (r *Run) centreOf(id string) string {
	for _, rp := range slices.Concat(r.replicas, r.removed) {
		if rp.ID == id {
			return rp.Centre
		}
	}
	return ""
}

// close kills the router processes and closes the proxies and the simulated platform.
func (r *Run) close() {
	for _, rt := range r.routers {
		rt.signal(syscall.SIGCONT)
		rt.stop(os.Kill, time.Second)
	}
	for _, p := range r.storeProxies {
		p.Close()
	}
	for _, rp := range slices.Concat(r.replicas, r.removed) {
		rp.proxy.Close()
	}
	if r.site != nil {
		_ = r.site.Close()
	}
}
