package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/fakes/site"
)

// runEnv makes the test binary run the program instead of the tests, so that a test can start
// and kill real processes.
const runEnv = "HBENTRY_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// waitTimeout bounds the wait for a condition. A test that passes never reaches it.
const waitTimeout = 20 * time.Second

// process is a router that runs as a process of its own.
type process struct {
	t              *testing.T
	name           string
	callers, admin string
	log            string // path of its output
	cmd            *exec.Cmd
}

// state is the part of a router's state dump that the tests read.
type state struct {
	Alive     []string
	Upstreams map[string]any
	Owners    map[string]string // owner of each queue
}

const settingsFormat = `name = %q
centre = "a"
callers = %q
ready = %q
peers = %q
admin = %q
store = %q
seeds = [%s]
memory = 284
files = 4096
stop = 5
retries = 0.2
slack = 50
[centres]
a = "east"
`

// startProcesses starts n routers of one data centre that know each other.
func startProcesses(t *testing.T, s *site.Site, n int) (ps []*process) {
	t.Helper()
	dir, addrs := t.TempDir(), freeAddrs(t, 4*n)
	var seeds []string
	for i := range n {
		seeds = append(seeds, fmt.Sprintf("%q", addrs[4*i+2]))
	}
	for i := range n {
		name, a := fmt.Sprint("r", i+1), addrs[4*i:]
		path := filepath.Join(dir, name+".toml")
		settings := fmt.Sprintf(settingsFormat, name, a[0], a[1], a[2], a[3], s.Addr(), strings.Join(seeds, ", "))
		assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
		p := &process{t: t, name: name, callers: a[0], admin: a[3], log: filepath.Join(dir, name+".log")}
		p.start(path)
		ps = append(ps, p)
	}
	for _, p := range ps {
		p.waitFor("the router knows all upstreams and routers", func(st state) bool {
			first, ok := ps[0].state()
			return ok && len(st.Upstreams) == len(s.Replicas()) && len(st.Alive) == n && maps.Equal(st.Owners, first.Owners)
		})
	}
	return ps
}

// freeAddrs returns n free addresses. Connections to loopback addresses come from 127.0.0.1, so none
// of them takes a port of these.
func freeAddrs(t *testing.T, n int) (addrs []string) {
	t.Helper()
	var lns []net.Listener
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.9:0")
		assert.NilError(t, err)
		lns = append(lns, ln)
		addrs = append(addrs, ln.Addr().String())
	}
	for _, ln := range lns {
		assert.NilError(t, ln.Close())
	}
	return addrs
}

// start starts the process with a settings file. The test's clean-up kills it.
func (p *process) start(settings string) {
	p.t.Helper()
	out, err := os.Create(p.log)
	assert.NilError(p.t, err)
	p.cmd = exec.Command(os.Args[0], "-settings", settings)
	p.cmd.Env = append(os.Environ(), runEnv+"=1")
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no router outlives this process
	assert.NilError(p.t, p.cmd.Start())
	assert.NilError(p.t, out.Close())
	p.t.Cleanup(func() {
		p.kill()
		if data, err := os.ReadFile(p.log); p.t.Failed() && err == nil {
			p.t.Logf("%s:\n%s", p.name, data)
		}
	})
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait() // the exit code of a killed process is of no interest
}

// state returns the state of the router, or false if it does not answer.
func (p *process) state() (st state, ok bool) {
	resp, err := http.Get("http://" + p.admin + "/state")
	if err != nil {
		return st, false
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}

func (p *process) waitFor(condition string, holds func(st state) bool) {
	p.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if st, ok := p.state(); ok && holds(st) {
			return
		}
	}
	p.t.Fatalf("%s: condition not met within %v: %s", p.name, waitTimeout, condition)
}

// stream is a stream of a caller.
type stream struct {
	id, resumes, target string
	after               int // number of the event after which it is taken up
	status              int
	body                string
}

const (
	planHost   = "plan.example"
	planEvents = 8
)

var planRoutes = []site.Route{{
	Name: "plan", Host: planHost, Prefix: "/", Kind: "streaming", Service: "engine", Timeout: 15000, TargetLatency: 5000, TargetGap: 400, Attempts: 2, Resume: true, Sticky: true,
	Stages: []site.Stage{{Service: "archive", Bytes: 8000}, {Service: "school", After: []int{0}, Bytes: 60000}},
}}

// send sends the request of the stream to a router and reads the answer until its end or that of ctx.
// It calls onEvent after each event.
func (s *stream) send(ctx context.Context, t *testing.T, p *process, onEvent func()) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+s.target, strings.NewReader("prompt"))
	assert.NilError(t, err)
	req.Host = planHost
	req.Header.Set("Request-Id", s.id)
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set("Piece-Count", "1,2")
	req.Header.Set("Piece-Key", "k")
	if s.resumes != "" {
		req.Header.Set(site.HeaderLastEvent, fmt.Sprint(s.after))
		req.Header.Set(site.HeaderResumes, s.resumes)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		s.body = err.Error()
		return
	}
	defer resp.Body.Close()
	s.status = resp.StatusCode
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		s.body += string(buf[:n])
		for range strings.Count(string(buf[:n]), "\n\n") {
			onEvent()
		}
		if err != nil {
			return
		}
	}
}

// events returns the number of whole events of the answer.
func (s *stream) events() int { return strings.Count(s.body, "\n\n") }

// assertGoesOn asserts that the stream was answered to its end.
func (s *stream) assertGoesOn(t *testing.T) {
	t.Helper()
	assert.Equal(t, s.status, http.StatusOK, "stream %s that resumes %q: %s", s.id, s.resumes, s.body)
	assert.Equal(t, s.after+s.events(), planEvents, "stream %s that resumes %q: %s", s.id, s.resumes, s.body)
}

// takeUpRig is a site with stages and an engine, and routers as processes of their own.
type takeUpRig struct {
	t       *testing.T
	site    *site.Site
	routers []*process
	// lost are the routers that are to be lost, and left the others.
	lost, left []*process
}

// newTakeUpRig starts routers, of which the owners of the stage queues are to be lost, and at least
// atLeast.
func newTakeUpRig(t *testing.T, routers, atLeast int) *takeUpRig {
	t.Helper()
	s, err := site.New()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	s.Store.PutJSON("op/config", site.Config(1, planRoutes, site.Services, map[string]string{"key-1": "folders"}))
	r := &takeUpRig{t: t, site: s}
	for i := range 2 {
		r.add("archive", fmt.Sprint("a-", i), "v1", 0)
		r.add("school", fmt.Sprint("s-", i), "v1", 0)
	}
	r.add("engine", "old-0", "v1", planEvents)
	r.routers = startProcesses(t, s, routers)
	st, ok := r.routers[0].state()
	assert.Assert(t, ok)
	for _, p := range r.routers {
		if p.name == st.Owners["archive"] || p.name == st.Owners["school"] {
			r.lost = append(r.lost, p)
		} else {
			r.left = append(r.left, p)
		}
	}
	for len(r.lost) < atLeast {
		r.lost, r.left = append(r.lost, r.left[0]), r.left[1:]
	}
	return r
}

func (r *takeUpRig) add(service, id, version string, events int) {
	r.t.Helper()
	p := &site.Replica{ID: id, Service: service, Centre: "a", Version: version, ServiceTime: 10 * time.Millisecond, Events: events, Downtime: waitTimeout}
	if events > 0 {
		p.ServiceTime = 60 * time.Millisecond
		p.Act = func(r *http.Request) site.Action {
			if r.URL.Path == "/crash" {
				return site.Crash
			}
			return site.Serve
		}
	}
	assert.NilError(r.t, r.site.Add(p))
}

// begin starts n streams at a router, which an engine of the old version begins. wait waits until all
// have ended.
func (r *takeUpRig) begin(ctx context.Context, at *process, n int) (begun []*stream, wait func()) {
	r.t.Helper()
	begun = make([]*stream, n)
	var first, all sync.WaitGroup
	first.Add(n)
	for i := range begun {
		begun[i] = &stream{id: fmt.Sprint("begun-", i), target: fmt.Sprint("/fold/", i)}
		all.Go(func() {
			events := 0
			begun[i].send(ctx, r.t, at, func() {
				if events++; events == 2 {
					first.Done()
				}
			})
		})
	}
	first.Wait()
	return begun, all.Wait
}

// addEngines adds engines of both versions, which the routers that are left know then.
func (r *takeUpRig) addEngines() {
	r.t.Helper()
	for i := range 2 {
		r.add("engine", fmt.Sprint("old-", i+1), "v1", planEvents)
		r.add("engine", fmt.Sprint("new-", i), "v2", planEvents)
	}
	for _, p := range r.left {
		p.waitFor("the router knows the engines of both versions", func(st state) bool { return len(st.Upstreams) == len(r.site.Replicas()) })
	}
}

// crashFirstEngine crashes the engine that began the streams.
func (r *takeUpRig) crashFirstEngine() {
	for _, p := range r.site.Replicas() {
		if p.ID == "old-0" {
			_, _ = http.Get("http://" + p.Addr() + "/crash")
		}
	}
}

// assertTakenUp takes the streams up at the routers that are left, beside as many new ones and all
// within a time, and asserts that all go on to their end, and those taken up at the version that began
// them.
func (r *takeUpRig) assertTakenUp(begun []*stream, within time.Duration) {
	r.t.Helper()
	var all sync.WaitGroup
	after := make([]*stream, 0, 2*len(begun))
	for i, b := range begun {
		assert.Assert(r.t, b.events() >= 2 && b.events() < planEvents, "stream %s: %q", b.id, b.body)
		after = append(after, &stream{id: fmt.Sprint("again-", i), resumes: b.id, target: b.target, after: b.events()},
			&stream{id: fmt.Sprint("new-", i), target: fmt.Sprint("/fold/new-", i)})
	}
	for i, b := range after {
		time.Sleep(within / time.Duration(len(after)))
		all.Go(func() { b.send(r.t.Context(), r.t, r.left[i/2%len(r.left)], func() {}) })
	}
	all.Wait()
	for _, b := range after {
		b.assertGoesOn(r.t)
	}
	for _, run := range r.site.Runs() {
		if strings.HasPrefix(run.ID, "again-") && run.Executed && run.Version != "" && strings.HasPrefix(run.Replica, "new-") {
			r.t.Errorf("stream %s went on at %s of another version", run.ID, run.Replica)
		}
	}
}

// TestTakeUpAfterKills guards against streams that are refused when their callers take them up,
// although upstreams of their software version are left: the routers that owned the stage queues, one
// of which had begun the streams, and an engine have just been killed.
func TestTakeUpAfterKills(t *testing.T) {
	const streams = 8
	r := newTakeUpRig(t, 5, 1)
	begun, wait := r.begin(t.Context(), r.lost[0], streams)
	r.addEngines()
	r.crashFirstEngine()
	for _, p := range r.lost {
		p.kill()
	}
	wait()
	r.assertTakenUp(begun, 0)
}

// TestTakeUpBesideSilentRouters guards against streams that are refused, new ones and those that are
// taken up, because the routers that owned the stage queues stand still.
func TestTakeUpBesideSilentRouters(t *testing.T) {
	const streams = 16
	r := newTakeUpRig(t, 7, 5)
	ctx, leave := context.WithCancel(t.Context())
	begun, wait := r.begin(ctx, r.left[0], streams)
	leave()
	wait()
	r.addEngines()
	for _, p := range r.lost {
		assert.NilError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
	}
	r.crashFirstEngine()
	r.assertTakenUp(begun, time.Second)
}
