// Package soak runs routers as separate processes against stand-ins of the platform
// and injects faults from outside them: signals, and proxies between them and the
// store and the replicas. From the records of callers and replicas it checks what
// must always hold. A run is drawn from its seed.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
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
	// quietPeriod is the time without faults at the end of a run in which all must be
	// served again.
	quietPeriod = 5 * time.Second
)

// Options are those of a run.
type Options struct {
	Seed          uint64
	Routers       int
	Callers       int
	FaultDuration time.Duration // for which faults are injected
	Dir           string        // for settings and logs
	Program       string        // the router's program
	ReportPath    string        // file for the report, or empty
}

// Run is one run of the soak.
type Run struct {
	Options
	site          *site.Site
	routers       []*router
	replicas      []*replica
	storeProxies  []*Proxy // of each router
	callers       *callers
	configVersion int
	events        eventLog
	quietSince    time.Time // from when on no fault is injected
	activeFaults  conc.WaitGroup
}

// replica is a replica with the proxy before it and the faults drawn for it.
type replica struct {
	*site.Replica
	proxy         *Proxy
	action        atomic.Int32 // site.Action
	actionPercent atomic.Int32 // of the requests that it applies to, in percent
}

var routes = []site.Route{
	{Name: "lookup", Host: deskHost, Prefix: "/safe/", Kind: "safe", Service: "desk", Timeout: 6000, TargetLatency: 300, Attempts: 2},
	{Name: "submit", Host: deskHost, Prefix: "/once/", Kind: "unsafe", Service: "desk", Timeout: 6000, TargetLatency: 300, Attempts: 1},
	{Name: "chat", Host: chatHost, Prefix: "/resume/", Kind: "streaming", Service: "engine", Timeout: 6000, TargetLatency: 2000, TargetGap: 400, Attempts: 2, Resume: true, Sticky: true},
	{Name: "note", Host: chatHost, Prefix: "/once/", Kind: "streaming", Service: "engine", Timeout: 6000, TargetLatency: 2000, TargetGap: 400, Attempts: 1, Sticky: true},
	{
		Name: "plan", Host: planHost, Prefix: "/", Kind: "streaming", Service: "engine", Timeout: 6000, TargetLatency: 4000, TargetGap: 400, Attempts: 2, Resume: true, Sticky: true,
		Stages: []site.Stage{{Service: "archive", Bytes: 8000}, {Service: "school", After: []int{0}, Bytes: 60000}, {Service: "archive", Bytes: 300000}},
	},
}

var centres = []string{"a", "b", "c"}

// Execute makes a run and returns what it found broken.
func Execute(o Options) (found []string, served int, err error) {
	r := &Run{Options: o}
	defer r.close()
	if err = r.prepare(); err != nil {
		return nil, 0, fmt.Errorf("soak seed %d: %w", o.Seed, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var load conc.WaitGroup
	for i := range o.Callers {
		load.Go(func() { r.callers.runCaller(ctx, o.Seed*1000+uint64(i)) })
	}
	rng := rand.New(rand.NewPCG(o.Seed, 7))
	for end := time.Now().Add(o.FaultDuration); time.Now().Before(end); {
		r.inject(rng)
	}
	r.activeFaults.Wait()
	r.clearFaults()
	r.quietSince = time.Now()
	time.Sleep(quietPeriod)
	cancel()
	load.Wait()
	found, served = r.check()
	if o.ReportPath != "" {
		err = r.report(o.ReportPath, found)
	}
	return found, served, err
}

func (r *Run) prepare() (err error) {
	if r.site, err = site.New(); err != nil {
		return err
	}
	r.configVersion = 1
	r.site.Store.PutJSON("op/config", site.Config(1, routes, site.Services, map[string]string{teamKey: team}))
	for _, s := range []struct {
		service string
		n       int
		work    time.Duration
		events  int
	}{{"desk", 3, 10 * time.Millisecond, 0}, {"engine", 5, 40 * time.Millisecond, streamEvents}, {"archive", 4, 25 * time.Millisecond, 0}, {"school", 3, 25 * time.Millisecond, 0}} {
		for i := range s.n {
			if err = r.addReplica(s.service, i, s.work, s.events); err != nil {
				return err
			}
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

func (r *Run) addReplica(service string, i int, work time.Duration, events int) error {
	rp := &replica{}
	rp.Replica = &site.Replica{ID: fmt.Sprintf("%s-%d", service, i), Service: service, Centre: centres[i%len(centres)], ServiceTime: work, Events: events}
	var failed error
	rp.PublicAddr = func(addr string) string {
		p, err := NewProxy(addr)
		if err != nil {
			failed = err
			return addr
		}
		rp.proxy = p
		return p.Addr()
	}
	rp.Act = func(*http.Request) site.Action {
		if rand.IntN(100) < int(rp.actionPercent.Load()) {
			return site.Action(rp.action.Load())
		}
		return site.Serve
	}
	if err := r.site.Add(rp.Replica); err != nil {
		return err
	}
	r.replicas = append(r.replicas, rp)
	return failed
}

func (r *Run) addRouters() error {
	ports, err := freeAddrs(4 * r.Routers)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(r.Routers, 3) {
		seeds = append(seeds, ports[4*i+2])
	}
	for i := range r.Routers {
		p, err := NewProxy(r.site.Addr())
		if err != nil {
			return err
		}
		r.storeProxies = append(r.storeProxies, p)
		rt, err := newRouter(fmt.Sprintf("r%d", i), centres[i%len(centres)], r.Dir, r.Program, p.Addr(), ports[4*i:4*i+4], seeds)
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

// isReady reports whether a router is ready for new connections.
func (r *Run) isReady(rt *router) bool {
	client := http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + rt.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// unreadyLogs returns the last line that each router which is not ready has logged.
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

// centreOf returns the data centre of a replica.
func (r *Run) centreOf(id string) string {
	for _, rp := range r.replicas {
		if rp.ID == id {
			return rp.Centre
		}
	}
	return ""
}

// close ends all processes that the run started.
func (r *Run) close() {
	for _, rt := range r.routers {
		rt.signal(syscall.SIGCONT)
		rt.stop(os.Kill, time.Second)
	}
	for _, p := range r.storeProxies {
		p.Close()
	}
	for _, rp := range r.replicas {
		rp.proxy.Close()
	}
	if r.site != nil {
		_ = r.site.Close()
	}
}
