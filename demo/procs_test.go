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
	secret    = "operator"
	startWait = 20 * time.Second
)

// process is a program that the test started.
type process struct {
	*exec.Cmd
	t     *testing.T
	name  string
	lines chan string
	addrs map[string]string // values of "listening" lines
	done  chan struct{}
}

// bench builds the programs and starts them.
type bench struct {
	t       *testing.T
	dir     string
	n       wire.TicketNumber
	cfg     *process
	routers []*process
	agents  map[wire.UpstreamID]*process
	ups     map[wire.UpstreamID]*process
	objects map[wire.UpstreamID]wire.Upstream
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, dir: t.TempDir(), agents: map[wire.UpstreamID]*process{}, ups: map[wire.UpstreamID]*process{}, objects: map[wire.UpstreamID]wire.Upstream{}}
	for _, p := range []string{"router/cmd/hbrouter", "agent/cmd/hbagent", "fakes/cmd/hbfakes", "fakes/cmd/hbcerts"} {
		out, err := exec.Command("go", "build", "-o", b.dir+"/", "hornbeamcove.example/"+p).CombinedOutput()
		assert.NilError(t, err, string(out))
	}
	assert.NilError(t, os.Mkdir(filepath.Join(b.dir, "tickets"), 0o755))
	return b
}

// start runs a program and waits until want "listening" addresses were logged or
// printed.
func (b *bench) start(name string, want int, program string, args ...string) *process {
	b.t.Helper()
	p := &process{Cmd: exec.Command(filepath.Join(b.dir, program), args...), t: b.t, name: name, lines: make(chan string, 1024), addrs: map[string]string{}, done: make(chan struct{})}
	p.Dir = b.dir
	out, err := p.StdoutPipe()
	assert.NilError(b.t, err)
	log, err := os.Create(filepath.Join(b.dir, name+".log"))
	assert.NilError(b.t, err)
	p.Stderr = log
	assert.NilError(b.t, p.Start())
	go p.read(out, log)
	b.t.Cleanup(func() {
		_ = p.Process.Kill()
		<-p.done
	})
	limit := time.After(startWait)
	for len(p.addrs) < want {
		select {
		case line := <-p.lines:
			p.note(line)
		case <-p.done:
			text, _ := os.ReadFile(log.Name())
			b.t.Fatalf("%s ended early: %s", name, text)
		case <-limit:
			b.t.Fatalf("%s did not say where it listens", name)
		}
	}
	return p
}

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

// note takes addresses from a JSON log line, or from "KIND ADDRESS" of hbfakes.
func (p *process) note(line string) {
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

// kill ends the process as a crash does.
func (p *process) kill() {
	_ = p.Process.Kill()
	<-p.done
}

// stop asks the process to drain and returns its exit code.
func (p *process) stop() int {
	assert.NilError(p.t, p.Process.Signal(syscall.SIGTERM))
	<-p.done
	return p.ProcessState.ExitCode()
}

func (b *bench) settings(name string, lines ...string) string {
	sum := sha256.Sum256([]byte(secret))
	text := fmt.Sprintf("name = %q\ncentre = \"palermo\"\nadmin = \"127.0.0.1:0\"\nsecret = %q\n%s\n[tls]\ncert = \"certs/%s.pem\"\nkey = \"certs/%s-key.pem\"\nauthority = \"certs/authority.pem\"\n",
		name, hex.EncodeToString(sum[:]), strings.Join(lines, "\n"), name, name)
	path := filepath.Join(b.dir, name+".toml")
	assert.NilError(b.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (b *bench) startUpstream(id wire.UpstreamID, addr string) {
	o := b.objects[id]
	flag := string(o.Kind)
	if o.Kind == wire.KindGenerate {
		flag = "engine"
	}
	b.ups[id] = b.start("up-"+string(id), 1, "hbfakes", "-"+flag, addr, "-token-time", "2ms", "-delay", "2ms", "-slots", "16", "-queue", "16")
}

func (b *bench) startAgent(id wire.UpstreamID, addr string) {
	o := b.objects[id]
	for _, a := range b.ups[id].addrs {
		path := b.settings(string(id), fmt.Sprintf("upstream = %q\nkind = %q\nlisten = %q\nurl = \"http://%s\"", id, o.Kind, addr, a))
		b.agents[id] = b.start(string(id), 2, "hbagent", "-config", path)
	}
	o.Agent = wire.Address(b.agents[id].addrs["routers"])
	b.objects[id] = o
}

func (b *bench) startRouter(i int) *process {
	name := fmt.Sprintf("r%d", i+1)
	path := b.settings(name, fmt.Sprintf("region = \"sicily\"\ncallers = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\nplatform = \"http://%s\"\nhosts = \"http://%s\"\nlinger = 300", b.cfg.addrs["config"], b.cfg.addrs["hosts"]))
	return b.start(name, 3, "hbrouter", "-config", path)
}

func (b *bench) publish(objs ...wire.Object) {
	b.n++
	data, err := json.Marshal(wire.Ticket{Number: b.n, Objects: objs})
	assert.NilError(b.t, err)
	assert.NilError(b.t, os.WriteFile(filepath.Join(b.dir, "tickets", fmt.Sprintf("%06d.json", b.n)), data, 0o600))
	assert.NilError(b.t, b.cfg.Process.Signal(syscall.SIGHUP))
}

// fleet starts two routers, and two upstreams with agents for each stage.
func (b *bench) fleet() {
	spec := local.ExampleSpec(0)
	ids := []string{"router/palermo/r1", "router/palermo/r2"}
	for _, p := range spec.Pools {
		for i := range 2 {
			id := wire.UpstreamID(fmt.Sprintf("%s-%d", p.Name, i+1))
			b.objects[id] = wire.Upstream{Pool: p.Name, Kind: p.Kind, Centre: "palermo", Host: wire.HostID(id), Limit: 16, Cold: 4, State: wire.UpstreamStateServe}
			ids = append(ids, "agent/palermo/"+string(id))
		}
	}
	out, err := exec.Command(filepath.Join(b.dir, "hbcerts"), append([]string{"-dir", filepath.Join(b.dir, "certs")}, ids...)...).CombinedOutput()
	assert.NilError(b.t, err, string(out))
	assert.NilError(b.t, os.WriteFile(filepath.Join(b.dir, "hosts.json"), []byte(`{"hosts":[]}`), 0o600))
	b.cfg = b.start("platform", 2, "hbfakes", "-config", "127.0.0.1:0", "-hosts", "127.0.0.1:0", "-tickets", "tickets", "-list", "hosts.json")
	var objs []wire.Object
	for id := range b.objects {
		b.startUpstream(id, "127.0.0.1:0")
		b.startAgent(id, "127.0.0.1:0")
		o := b.objects[id]
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
	b.publish(objs...)
	for i := range 2 {
		b.routers = append(b.routers, b.startRouter(i))
	}
	for _, r := range b.routers {
		b.awaitReady(r)
	}
}

// awaitReady waits until a request through the router is answered.
func (b *bench) awaitReady(r *process) {
	b.t.Helper()
	end := time.Now().Add(startWait)
	for {
		rep, err := local.Post(b.t.Context(), "http://"+r.addrs["callers"], local.Call{Key: "folders-key", Pipeline: local.FoldPlan, Body: promptBody{"warm up", 2}})
		if err == nil && rep.Answer != nil {
			return
		}
		if time.Now().After(end) {
			b.t.Fatalf("%s is not ready: %v %+v", r.name, err, rep)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// callers sends requests through the routers and judges every reply.
type callers struct {
	b        *bench
	mu       sync.Mutex
	urls     []string
	whole    atomic.Int64
	refused  sync.Map // reason/executed to count
	broken   atomic.Int64
	tokens   sync.Map // token to true when some reply was an answer
	noneRuns sync.Map // tokens whose every reply said that nothing ran
}

func (c *callers) url(i int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.urls[i%len(c.urls)]
}

func (c *callers) setURL(i int, p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.urls[i] = "http://" + p.addrs["callers"]
}

func (c *callers) note(rep *local.Reply) {
	if rep.Refusal == nil {
		c.whole.Add(1)
		return
	}
	key := string(rep.Refusal.Reason) + "/" + string(rep.Refusal.Executed)
	n, _ := c.refused.LoadOrStore(key, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

// generate sends one answering request; a broken connection is sent again
// through another router.
func (c *callers) generate(ctx context.Context, i int) {
	const tokens = 12
	for try := range 3 {
		rep, err := local.Post(ctx, c.url(i+try), local.Call{Key: "folders-key", Pipeline: local.FoldPlan, Stream: i%2 == 0, Body: promptBody{fmt.Sprintf("plan %d", i), tokens}})
		if err != nil {
			c.broken.Add(1)
			continue
		}
		c.note(rep)
		if rep.Answer == nil {
			return
		}
		var out struct{ Text string }
		if err = json.Unmarshal(rep.Answer.Output, &out); err != nil || len(strings.Fields(out.Text)) != tokens {
			c.b.t.Errorf("request %s: answer of %d tokens, want %d", rep.Answer.Request, len(strings.Fields(out.Text)), tokens)
		}
		return
	}
}

// reserve sends one non-repeatable request, and sends it again through the other
// router while its outcome is not known.
func (c *callers) reserve(ctx context.Context, i int) {
	tok, err := local.Reserve(ctx, c.url(i), "installers-key", local.KitOrder)
	if err != nil {
		return
	}
	none := true
	for try := range 3 {
		rep, err := local.Post(ctx, c.url(i+try), local.Call{Key: "installers-key", Pipeline: local.KitOrder, Token: tok, Body: map[string]int{"kit": i}})
		if err != nil {
			none = false
			c.broken.Add(1)
			continue
		}
		c.note(rep)
		if rep.Answer != nil {
			c.tokens.Store(string(tok), true)
			return
		}
		none = none && rep.Refusal.Executed == wire.ExecutedNone
	}
	if none {
		c.noneRuns.Store(string(tok), true)
	}
}

// run sends requests until ctx is done and waits for their replies.
func (c *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() { c.generate(context.WithoutCancel(ctx), i) })
		wg.Go(func() { c.reserve(context.WithoutCancel(ctx), i) })
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
}

// await waits until n more replies were answers.
func (c *callers) await(n int64) {
	c.b.t.Helper()
	want := c.whole.Load() + n
	for end := time.Now().Add(startWait); c.whole.Load() < want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			c.b.t.Fatalf("%d of %d answers", c.whole.Load(), want)
		}
	}
}

// effects returns how often the plain services took effect for each token.
func (b *bench) effects() map[string]int {
	out := map[string]int{}
	for id, p := range b.ups {
		if b.objects[id].Kind != wire.KindPlain {
			continue
		}
		resp, err := http.Get("http://" + p.addrs["plain"] + "/record")
		assert.NilError(b.t, err)
		var rec fakes.Record
		assert.NilError(b.t, json.NewDecoder(resp.Body).Decode(&rec))
		_ = resp.Body.Close()
		for k, n := range rec.Effects {
			out[k] += n
		}
	}
	return out
}

func (c *callers) judge() {
	b := c.b
	effects := b.effects()
	for tok, n := range effects {
		if n > 1 {
			b.t.Errorf("token %s took effect %d times", tok, n)
		}
	}
	answered := 0
	c.tokens.Range(func(tok, _ any) bool {
		answered++
		if effects[tok.(string)] != 1 {
			b.t.Errorf("token %s was answered and took effect %d times", tok, effects[tok.(string)])
		}
		return true
	})
	c.noneRuns.Range(func(tok, _ any) bool {
		if effects[tok.(string)] != 0 {
			b.t.Errorf("token %s was refused as not run and took effect", tok)
		}
		return true
	})
	b.t.Logf("answered whole %d (%d reservations, %d effects), connections broken %d", c.whole.Load(), answered, len(effects), c.broken.Load())
	c.refused.Range(func(k, n any) bool {
		b.t.Logf("refused %s: %d", k, n.(*atomic.Int64).Load())
		return true
	})
	assert.Assert(b.t, answered > 0 && c.whole.Load() > int64(answered), "too little was answered to judge")
}

// TestProcesses guards against lost, doubled or falsely refused requests when
// separate processes are killed or stopped under load.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 23 processes")
	}
	b := newBench(t)
	b.fleet()
	c := &callers{b: b, urls: make([]string, 2)}
	for i, r := range b.routers {
		c.setURL(i, r)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(ctx)
	}()
	settle := func() { c.await(40) }
	settle()
	for _, id := range []wire.UpstreamID{"assistants-1", "kits-1"} {
		addr := b.agents[id].addrs["routers"]
		b.agents[id].kill()
		settle()
		b.startAgent(id, addr)
		settle()
	}
	addr := b.ups["assistants-2"].addrs["engine"]
	b.ups["assistants-2"].kill()
	settle()
	b.startUpstream("assistants-2", addr)
	settle()
	b.routers[0].kill()
	settle()
	b.routers[0] = b.startRouter(0)
	b.awaitReady(b.routers[0])
	c.setURL(0, b.routers[0])
	settle()
	before := c.broken.Load()
	assert.Equal(t, b.agents["assistants-1"].stop(), 0, "agent's drain failed")
	settle()
	// Callers stop using a router when its readiness turns false, as a load
	// balancer would; linger covers the time until they do.
	drained := b.routers[1]
	assert.NilError(t, drained.Process.Signal(syscall.SIGTERM))
	c.setURL(1, b.routers[0])
	<-drained.done
	assert.Equal(t, drained.ProcessState.ExitCode(), 0, "router's drain failed")
	assert.Equal(t, c.broken.Load(), before, "a planned stop cut off requests")
	settle()
	stop()
	<-ended
	c.judge()
}
