package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/demo/local"
	"hornbeamcove.example/fakes"
)

const (
	credential   = "operator"
	startTimeout = 20 * time.Second
)

// process is a running program that the test started.
type process struct {
	*exec.Cmd
	t     *testing.T
	name  string
	lines chan string       // standard output; lines are dropped while the channel is full
	addrs map[string]string // listen addresses by kind, from the output
	done  chan struct{}     // closed when the process has ended
}

// testFleet is a fleet of separate processes and the files that they share.
type testFleet struct {
	t          *testing.T
	dir        string // directory of programs, certificates, settings, tickets and logs
	lastTicket wire.TicketNumber
	platform   *process // simulated configuration and host services
	routers    []*process
	agents     map[wire.UpstreamID]*process
	upstreams  map[wire.UpstreamID]*process
	objects    map[wire.UpstreamID]wire.Upstream
}

// newTestFleet builds the programs; startAll starts them.
func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t, dir: t.TempDir(), agents: map[wire.UpstreamID]*process{}, upstreams: map[wire.UpstreamID]*process{}, objects: map[wire.UpstreamID]wire.Upstream{}}
	for _, p := range []string{"router/cmd/hbrouter", "agent/cmd/hbagent", "fakes/cmd/hbfakes", "fakes/cmd/hbcerts"} {
		out, err := exec.Command("go", "build", "-o", f.dir+"/", "hornbeamcove.example/"+p).CombinedOutput()
		assert.NilError(t, err, string(out))
	}
	assert.NilError(t, os.Mkdir(filepath.Join(f.dir, "tickets"), 0o755))
	return f
}

// start runs a program and waits until it has logged or printed wantAddrs listen addresses.
func (f *testFleet) start(name string, wantAddrs int, program string, args ...string) *process {
	f.t.Helper()
	p := &process{Cmd: exec.Command(filepath.Join(f.dir, program), args...), t: f.t, name: name, lines: make(chan string, 1024), addrs: map[string]string{}, done: make(chan struct{})}
	p.Dir = f.dir
	out, err := p.StdoutPipe()
	assert.NilError(f.t, err)
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	assert.NilError(f.t, err)
	p.Stderr = log
	assert.NilError(f.t, p.Start())
	go p.read(out, log)
	f.t.Cleanup(func() {
		_ = p.Process.Kill()
		<-p.done
	})
	timeout := time.After(startTimeout)
	for len(p.addrs) < wantAddrs {
		select {
		case line := <-p.lines:
			p.parseAddrs(line)
		case <-p.done:
			text, _ := os.ReadFile(log.Name())
			f.t.Fatalf("%s ended before it listened: %s", name, text)
		case <-timeout:
			f.t.Fatalf("%s did not print its listen addresses in time", name)
		}
	}
	return p
}

// read copies the output to the log file and to lines until the process ends.
func (p *process) read(out io.Reader, log io.WriteCloser) {
	sc := bufio.NewScanner(out)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		fmt.Fprintln(log, sc.Text())
		select {
		case p.lines <- sc.Text():
		default:
		}
	}
	_ = p.Wait()
	_ = log.Close()
	close(p.done)
}

// parseAddrs stores the listen addresses of a JSON log line, or of a "KIND ADDRESS"
// line that hbfakes prints.
func (p *process) parseAddrs(line string) {
	if kind, addr, ok := strings.Cut(line, " "); ok && !strings.HasPrefix(line, "{") {
		p.addrs[kind] = addr
		return
	}
	var m map[string]any
	if json.Unmarshal([]byte(line), &m) != nil {
		return
	}
	for _, k := range []string{"callers", "peer", "routers", "admin"} {
		if v, ok := m[k].(string); ok {
			p.addrs[k] = v
		}
	}
}

// kill ends the process without a drain, like a crash.
func (p *process) kill() {
	_ = p.Process.Kill()
	<-p.done
}

// stop sends SIGTERM, waits until the process has drained and returns its exit code.
func (p *process) stop() int {
	assert.NilError(p.t, p.Process.Signal(syscall.SIGTERM))
	<-p.done
	return p.ProcessState.ExitCode()
}

// writeSettings writes a process's settings file with extra lines and returns its path.
func (f *testFleet) writeSettings(name string, lines ...string) string {
	sum := sha256.Sum256([]byte(credential))
	text := fmt.Sprintf("name = %q\ncentre = \"palermo\"\nadmin = \"127.0.0.1:0\"\nsecret = %q\n%s\n[tls]\ncert = \"certs/%s.pem\"\nkey = \"certs/%s-key.pem\"\nauthority = \"certs/authority.pem\"\n",
		name, hex.EncodeToString(sum[:]), strings.Join(lines, "\n"), name, name)
	path := filepath.Join(f.dir, name+".toml")
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (f *testFleet) startUpstream(id wire.UpstreamID, listenAddr string) {
	o := f.objects[id]
	flag := string(o.Kind)
	if o.Kind == wire.KindGenerate {
		flag = "engine"
	}
	f.upstreams[id] = f.start("up-"+string(id), 1, "hbfakes", "-"+flag, listenAddr, "-token-time", "2ms", "-delay", "2ms", "-slots", "16", "-queue", "16")
}

func (f *testFleet) startAgent(id wire.UpstreamID, listenAddr string) {
	o := f.objects[id]
	for _, upstreamAddr := range f.upstreams[id].addrs { // an upstream has one address
		path := f.writeSettings(string(id), fmt.Sprintf("upstream = %q\nkind = %q\nlisten = %q\nurl = \"http://%s\"", id, o.Kind, listenAddr, upstreamAddr))
		f.agents[id] = f.start(string(id), 2, "hbagent", "-config", path)
	}
	o.Agent = wire.Address(f.agents[id].addrs["routers"])
	f.objects[id] = o
}

func (f *testFleet) startRouter(i int) *process {
	name := fmt.Sprintf("r%d", i+1)
	path := f.writeSettings(name, fmt.Sprintf("region = \"sicily\"\ncallers = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\nplatform = \"http://%s\"\nhosts = \"http://%s\"\nlinger = 300", f.platform.addrs["config"], f.platform.addrs["hosts"]))
	return f.start(name, 3, "hbrouter", "-config", path)
}

// publish writes the next ticket and makes the platform process read it.
func (f *testFleet) publish(objs ...wire.Object) {
	f.lastTicket++
	data, err := json.Marshal(wire.Ticket{Number: f.lastTicket, Objects: objs})
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(filepath.Join(f.dir, "tickets", fmt.Sprintf("%06d.json", f.lastTicket)), data, 0o600))
	assert.NilError(f.t, f.platform.Process.Signal(syscall.SIGHUP))
}

// startAll starts the platform process, two upstreams with agents per pool and two
// routers, and waits until the routers answer.
func (f *testFleet) startAll() {
	spec := local.ExampleSpec(0)
	identities := []string{"router/palermo/r1", "router/palermo/r2"}
	for _, p := range spec.Pools {
		for i := range 2 {
			id := wire.UpstreamID(fmt.Sprintf("%s-%d", p.Name, i+1))
			f.objects[id] = wire.Upstream{Pool: p.Name, Kind: p.Kind, Centre: "palermo", Host: wire.HostID(id), Limit: 16, Cold: 4, State: wire.UpstreamStateServe}
			identities = append(identities, "agent/palermo/"+string(id))
		}
	}
	out, err := exec.Command(filepath.Join(f.dir, "hbcerts"), append([]string{"-dir", filepath.Join(f.dir, "certs")}, identities...)...).CombinedOutput()
	assert.NilError(f.t, err, string(out))
	assert.NilError(f.t, os.WriteFile(filepath.Join(f.dir, "hosts.json"), []byte(`{"hosts":[]}`), 0o600))
	f.platform = f.start("platform", 2, "hbfakes", "-config", "127.0.0.1:0", "-hosts", "127.0.0.1:0", "-tickets", "tickets", "-list", "hosts.json")
	var objs []wire.Object
	for id := range f.objects {
		f.startUpstream(id, "127.0.0.1:0")
		f.startAgent(id, "127.0.0.1:0")
		o := f.objects[id]
		objs = append(objs, wire.Object{Kind: wire.ObjectKindUpstream, Name: string(id), Upstream: &o})
	}
	for _, t := range spec.Teams {
		sum := sha256.Sum256([]byte(t.Key))
		objs = append(objs, wire.Object{Kind: wire.ObjectKindTeam, Name: string(t.Name), Team: &wire.Team{Weight: t.Weight, Queue: 64}},
			wire.Object{Kind: wire.ObjectKindKey, Name: string(t.Name), Key: &wire.Key{Team: t.Name, Hash: wire.KeyHash(hex.EncodeToString(sum[:]))}})
	}
	for id, p := range spec.Pipelines {
		for i := range p.Stages {
			p.Stages[i].Model = ""
		}
		objs = append(objs, wire.Object{Kind: wire.ObjectKindPipeline, Name: string(id), Pipeline: &p})
	}
	objs = append(objs, wire.Object{Kind: wire.ObjectKindCentre, Name: "palermo", Centre: &wire.Centre{Region: "sicily", State: wire.CentreStateIn}})
	f.publish(objs...)
	for i := range 2 {
		f.routers = append(f.routers, f.startRouter(i))
	}
	for _, r := range f.routers {
		f.awaitReady(r)
	}
}

// awaitReady waits until a request through the router is answered.
func (f *testFleet) awaitReady(r *process) {
	f.t.Helper()
	end := time.Now().Add(startTimeout)
	for {
		rep, err := local.Post(f.t.Context(), "http://"+r.addrs["callers"], local.Call{Key: "folders-key", Pipeline: local.FoldPlan, Body: promptBody{"warm up", 2}})
		if err == nil && rep.Answer != nil {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("%s is not ready: %v %+v", r.name, err, rep)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// loadGenerator sends requests through the routers and checks every reply.
type loadGenerator struct {
	fleet             *testFleet
	mu                sync.Mutex
	urls              []string
	answered          atomic.Int64
	refused           sync.Map // count by "reason/executed"
	brokenConns       atomic.Int64
	answeredTokens    sync.Map // tokens of reservations that were answered
	notExecutedTokens sync.Map // tokens whose replies all stated that nothing was executed
}

func (g *loadGenerator) url(i int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.urls[i%len(g.urls)]
}

func (g *loadGenerator) setURL(i int, p *process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.urls[i] = "http://" + p.addrs["callers"]
}

func (g *loadGenerator) countReply(rep *local.Reply) {
	if rep.Refusal == nil {
		g.answered.Add(1)
		return
	}
	key := string(rep.Refusal.Reason) + "/" + string(rep.Refusal.Executed)
	n, _ := g.refused.LoadOrStore(key, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

// generate sends one request for a generated answer. If the connection breaks, it tries
// again through the other router.
func (g *loadGenerator) generate(ctx context.Context, i int) {
	const tokens = 12
	for try := range 3 {
		rep, err := local.Post(ctx, g.url(i+try), local.Call{Key: "folders-key", Pipeline: local.FoldPlan, Stream: i%2 == 0, Body: promptBody{fmt.Sprintf("plan %d", i), tokens}})
		if err != nil {
			g.brokenConns.Add(1)
			continue
		}
		g.countReply(rep)
		if rep.Answer == nil {
			return
		}
		var out struct{ Text string }
		if err = json.Unmarshal(rep.Answer.Output, &out); err != nil || len(strings.Fields(out.Text)) != tokens {
			g.fleet.t.Errorf("request %s: answer of %d tokens, want %d", rep.Answer.Request, len(strings.Fields(out.Text)), tokens)
		}
		return
	}
}

// reserve sends one non-repeatable request, and sends it again through the other
// router until it is answered, at most three times in all.
func (g *loadGenerator) reserve(ctx context.Context, i int) {
	tok, err := local.Reserve(ctx, g.url(i), "installers-key", local.KitOrder)
	if err != nil {
		return
	}
	notExecuted := true
	for try := range 3 {
		rep, err := local.Post(ctx, g.url(i+try), local.Call{Key: "installers-key", Pipeline: local.KitOrder, Token: tok, Body: map[string]int{"kit": i}})
		if err != nil {
			notExecuted = false
			g.brokenConns.Add(1)
			continue
		}
		g.countReply(rep)
		if rep.Answer != nil {
			g.answeredTokens.Store(string(tok), true)
			return
		}
		notExecuted = notExecuted && rep.Refusal.Executed == wire.ExecutedNone
	}
	if notExecuted {
		g.notExecutedTokens.Store(string(tok), true)
	}
}

// run sends requests until ctx is done and waits for their replies.
func (g *loadGenerator) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() { g.generate(context.WithoutCancel(ctx), i) })
		wg.Go(func() { g.reserve(context.WithoutCancel(ctx), i) })
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
}

// awaitAnswers waits until n more requests were answered.
func (g *loadGenerator) awaitAnswers(n int64) {
	g.fleet.t.Helper()
	want := g.answered.Load() + n
	for end := time.Now().Add(startTimeout); g.answered.Load() < want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			g.fleet.t.Fatalf("got %d answers, want %d", g.answered.Load(), want)
		}
	}
}

// effects returns how often requests took effect at the plain services, by token.
func (f *testFleet) effects() map[string]int {
	out := map[string]int{}
	for id, p := range f.upstreams {
		if f.objects[id].Kind != wire.KindPlain {
			continue
		}
		resp, err := http.Get("http://" + p.addrs["plain"] + "/record")
		assert.NilError(f.t, err)
		var rec fakes.Record
		assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(&rec))
		_ = resp.Body.Close()
		for k, n := range rec.Effects {
			out[k] += n
		}
	}
	return out
}

// check compares the replies to the non-repeatable requests with their effects: none
// took effect twice, an answered one took effect once, and one that was refused as not
// executed never.
func (g *loadGenerator) check() {
	f := g.fleet
	effects := f.effects()
	for tok, n := range effects {
		if n > 1 {
			f.t.Errorf("token %s took effect %d times", tok, n)
		}
	}
	reservations := 0
	g.answeredTokens.Range(func(tok, _ any) bool {
		reservations++
		if effects[tok.(string)] != 1 {
			f.t.Errorf("token %s was answered and took effect %d times", tok, effects[tok.(string)])
		}
		return true
	})
	g.notExecutedTokens.Range(func(tok, _ any) bool {
		if effects[tok.(string)] != 0 {
			f.t.Errorf("token %s was refused as not executed, but took effect", tok)
		}
		return true
	})
	f.t.Logf("answered %d (%d reservations, %d effects), broken connections %d", g.answered.Load(), reservations, len(effects), g.brokenConns.Load())
	g.refused.Range(func(k, n any) bool {
		f.t.Logf("refused %s: %d", k, n.(*atomic.Int64).Load())
		return true
	})
	assert.Assert(f.t, reservations > 0 && g.answered.Load() > int64(reservations), "too few requests were answered for a meaningful check")
}

// TestProcesses guards against requests that are lost, executed twice, or refused as not
// executed although they were, when separate processes are killed or stopped under load.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 23 processes")
	}
	f := newTestFleet(t)
	f.startAll()
	g := &loadGenerator{fleet: f, urls: make([]string, 2)}
	for i, r := range f.routers {
		g.setURL(i, r)
	}
	ctx, stopLoad := context.WithCancel(t.Context())
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		g.run(ctx)
	}()
	awaitProgress := func() { g.awaitAnswers(40) }
	awaitProgress()
	for _, id := range []wire.UpstreamID{"assistants-1", "kits-1"} {
		addr := f.agents[id].addrs["routers"]
		f.agents[id].kill()
		awaitProgress()
		f.startAgent(id, addr)
		awaitProgress()
	}
	addr := f.upstreams["assistants-2"].addrs["engine"]
	f.upstreams["assistants-2"].kill()
	awaitProgress()
	f.startUpstream("assistants-2", addr)
	awaitProgress()
	f.routers[0].kill()
	awaitProgress()
	f.routers[0] = f.startRouter(0)
	f.awaitReady(f.routers[0])
	g.setURL(0, f.routers[0])
	awaitProgress()
	brokenBefore := g.brokenConns.Load()
	assert.Equal(t, f.agents["assistants-1"].stop(), 0, "agent's drain failed")
	awaitProgress()
	// Callers leave a router when its readiness check fails, as behind a load balancer;
	// the linger setting keeps it serving until they have.
	drained := f.routers[1]
	assert.NilError(t, drained.Process.Signal(syscall.SIGTERM))
	g.setURL(1, f.routers[0])
	<-drained.done
	assert.Equal(t, drained.ProcessState.ExitCode(), 0, "router's drain failed")
	assert.Equal(t, g.brokenConns.Load(), brokenBefore, "a planned stop broke connections")
	awaitProgress()
	stopLoad()
	<-loadDone
	g.check()
}
