package matrix

import (
	"fmt"
	"hash/fnv"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamcove.example/core/wire"
)

// steps are the columns. Each is first observed after 2.5 s of the script, with
// load under way.
var steps = []string{
	"accept",       // a call of Do
	"admit",        // the agent's Accept
	"choose",       // the result on which the router chooses the next upstream
	"reserve",      // a Reserve frame
	"send",         // a Call frame
	"execute",      // a call at the fake upstream
	"stream",       // a Chunk frame after the first
	"answer",       // the result of a last stage
	"acknowledge",  // an Ack frame
	"cancel",       // a cancelled call at the fake upstream
	"apply ticket", // a read of new tickets at the fake platform
	"give order",   // an order at the fake upstream
	"drain",        // a goodbye report
}

const (
	faultDuration = 5 * time.Second
	armTime       = 2500 * time.Millisecond
	endTime       = 16 * time.Second
)

// fault is a row. Its inject runs when the step was observed, and returns when
// the fault is healed.
type fault struct {
	name       string
	setup      func(w *world)
	inject     func(w *world, target faultTarget)
	skipScript bool // without the script's changes
	loseFrame  bool // the frame that shows the step is lost too
	impossible map[string]string
}

// withDefaults fills in the processes of a step that does not name them.
func (target faultTarget) withDefaults(w *world) faultTarget {
	if target.router == "" {
		target.router = "r1"
	}
	if target.upstream == nil || target.agent == "" {
		target.agent = "p1"
		target.upstream = w.upstreams["u-p1"]
	}
	return target
}

// upstreamFault sets a state of the upstream for d.
func upstreamFault(d time.Duration, set func(u *upstream, on bool)) func(*world, faultTarget) {
	return func(w *world, target faultTarget) {
		w.withLock(func() { set(target.upstream, true) })
		time.Sleep(d)
		w.withLock(func() { set(target.upstream, false) })
	}
}

func (w *world) withLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func crashUpstream(w *world, target faultTarget) {
	w.withLock(func() { target.upstream.crash(crashDowntime) })
}

func killAgent(w *world, target faultTarget) { w.kill(target.agent); time.Sleep(restartDelay) }

func killRouter(w *world, target faultTarget) { w.kill(target.router); time.Sleep(restartDelay) }

func makeCold(w *world, target faultTarget) {
	w.withLock(func() {
		target.upstream.coldKnownAt = map[*process]time.Time{}
		target.upstream.coldFrom = time.Now()
		target.upstream.coldUntil = target.upstream.coldFrom.Add(faultDuration)
	})
	time.Sleep(faultDuration)
}

func silenceSession(w *world, target faultTarget) {
	w.net.Silence(target.router, target.agent)
	time.Sleep(2 * time.Second)
}

// delayCalls delays calls of one router to one agent and then silences the session
// that they are on, so that they arrive after a newer session has asked for them.
func delayCalls(w *world, target faultTarget) {
	w.net.Delay(target.router, target.agent, 1800*time.Millisecond)
	time.Sleep(700 * time.Millisecond)
	w.net.Silence(target.router, target.agent)
	w.net.Delay(target.router, target.agent, linkDelay)
	time.Sleep(2 * time.Second)
}

func frameFault(mode string) func(*world, faultTarget) {
	return func(w *world, _ faultTarget) {
		w.setFrameMode(mode)
		time.Sleep(2 * time.Second)
		w.setFrameMode("")
	}
}

func delayAnswers(w *world, target faultTarget) {
	w.net.Delay(target.agent, target.router, 1800*time.Millisecond)
	time.Sleep(2 * time.Second)
	w.net.Delay(target.agent, target.router, linkDelay)
}

func platformFault(stale bool) func(*world, faultTarget) {
	return func(w *world, _ faultTarget) {
		w.withLock(func() { w.platform.fail(stale) })
		time.Sleep(faultDuration)
		w.withLock(w.platform.recover)
	}
}

func hostListFault(set func(p *platform, on bool)) func(*world, faultTarget) {
	return func(w *world, _ faultTarget) {
		w.withLock(func() { set(w.platform, true) })
		time.Sleep(faultDuration)
		w.withLock(func() { set(w.platform, false) })
	}
}

func takeCentreOut(w *world, _ faultTarget) {
	w.publish(centreObject("c", wire.CentreStateOut))
	time.Sleep(faultDuration + time.Second)
	w.publish(centreObject("c", wire.CentreStateIn))
}

// sendPoisonRequest sends a request that crashes each upstream that runs it; its caller
// resends it.
func sendPoisonRequest(w *world, _ faultTarget) {
	pipeline := wire.PipelineID("fold")
	w.wg.Go(func() { w.call(task{key: "poison", pipeline: pipeline, team: "kites", poison: true, attempts: 8}) })
	time.Sleep(faultDuration)
}

// concurrently runs two faults from the same moment.
func concurrently(f, g func(*world, faultTarget)) func(*world, faultTarget) {
	return func(w *world, target faultTarget) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			f(w, target)
		}()
		g(w, target)
		<-done
	}
}

// twice runs a fault again some time after it began.
func twice(f func(*world, faultTarget), gap time.Duration) func(*world, faultTarget) {
	return func(w *world, target faultTarget) {
		f(w, target)
		time.Sleep(gap)
		f(w, target)
	}
}

func faults() []fault {
	return []fault{
		{name: "slow", inject: upstreamFault(faultDuration, func(u *upstream, on bool) { u.slow = on })},
		{name: "error", inject: upstreamFault(faultDuration, func(u *upstream, on bool) { u.failing = on })},
		{name: "crash", inject: crashUpstream},
		{name: "cold without warning", inject: makeCold},
		{name: "cold restart", inject: func(w *world, target faultTarget) { w.withLock(func() { target.upstream.crash(0) }) }},
		{name: "silent upstream", inject: upstreamFault(faultDuration, func(u *upstream, on bool) {
			u.silent, u.reportsSince = on, time.Now()
			u.silenceCalls()
		})},
		{name: "agent dies", inject: killAgent},
		{name: "router dies", inject: killRouter},
		{name: "agent paused", inject: func(w *world, target faultTarget) { w.pause(target.agent, faultDuration); time.Sleep(faultDuration) }},
		{name: "router paused", inject: func(w *world, target faultTarget) { w.pause(target.router, faultDuration); time.Sleep(faultDuration) }},
		{name: "partition one-way", loseFrame: true, inject: func(w *world, _ faultTarget) { w.partition(false, faultDuration) }},
		{name: "partition two-way", loseFrame: true, inject: func(w *world, _ faultTarget) { w.partition(true, faultDuration) }},
		{name: "silent connection", loseFrame: true, inject: silenceSession},
		{name: "late answer", inject: delayAnswers},
		{name: "late call, silent connection", inject: delayCalls},
		{name: "doubled answer", inject: frameFault("doubled")},
		{name: "reordered answer", inject: frameFault("reordered")},
		{name: "foreign answer", inject: frameFault("foreign")},
		{name: "platform down", inject: platformFault(false)},
		{name: "platform stale", inject: platformFault(true)},
		{name: "host list lagging", inject: hostListFault(func(p *platform, on bool) {
			if p.frozenHosts = nil; on {
				p.frozenHosts = p.hosts()
			}
		})},
		{name: "host list wrong", inject: hostListFault(func(p *platform, on bool) { p.wrongHosts = on })},
		{name: "data centre out", inject: takeCentreOut},
		{
			name: "data centre back", setup: func(w *world) { w.publish(centreObject("c", wire.CentreStateOut)) },
			inject: func(w *world, _ faultTarget) { w.publish(centreObject("c", wire.CentreStateIn)) },
		},
		{name: "crash request", inject: sendPoisonRequest},
		{name: "silent connection, ticket change", loseFrame: true, inject: concurrently(silenceSession, takeCentreOut)},
		{name: "agent dies, platform down", inject: concurrently(killAgent, platformFault(false))},
		{name: "router dies, platform down", inject: concurrently(killRouter, platformFault(false))},
		{name: "cold, crash request", inject: concurrently(makeCold, sendPoisonRequest)},
		{name: "partition, data centre out", loseFrame: true, inject: concurrently(func(w *world, _ faultTarget) { w.partition(true, faultDuration) }, takeCentreOut)},
		{name: "agent paused, data centre out", inject: concurrently(func(w *world, _ faultTarget) { w.pause("p2", faultDuration); time.Sleep(faultDuration) }, takeCentreOut)},
		{name: "router paused, data centre out", inject: concurrently(func(w *world, target faultTarget) { w.pause(target.router, faultDuration); time.Sleep(faultDuration) }, takeCentreOut)},
		{name: "pause, drain", inject: func(w *world, target faultTarget) {
			w.pause(target.agent, faultDuration)
			time.Sleep(time.Second)
			w.stop(target.agent, true)
			time.Sleep(faultDuration)
		}},
		{name: "agent dies twice", inject: twice(killAgent, time.Second)},
		{name: "crash twice", inject: twice(crashUpstream, time.Second)},
	}
}

// runCell plays one cell in the calling bubble and returns its world.
func runCell(t *testing.T, f *fault, step string, seed uint64, naive bool) *world {
	w := newWorld(seed, naive)
	w.interceptor.heldBack = map[wire.HostID]*wire.Frame{}
	w.interceptor.loseFrame = f.loseFrame
	if f.setup != nil {
		f.setup(w)
	}
	w.wg.Go(w.generateLoad)
	if !f.skipScript {
		w.wg.Go(w.probeRouters)
		w.wg.Go(w.runScript)
	}
	w.sleepUntil(armTime)
	if f.inject != nil {
		w.arm(step)
		select {
		case target := <-w.fired:
			f.inject(w, target.withDefaults(w))
		case <-time.After(endTime - armTime):
			t.Errorf("step %q was not observed", step)
		}
	}
	w.sleepUntil(endTime)
	w.sendFinalRequests()
	w.stopAll()
	return w
}

// TestMain lets the heap grow, since collection took a quarter of the time.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

func seedOf(parts ...string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(strings.Join(parts, "/")))
	return h.Sum64()
}

// TestMatrix guards against a fault at any step that breaks a guarantee of the
// design page or keeps service from resuming. KNOWN-RED.txt lists cells that
// fail for a known fault.
func TestMatrix(t *testing.T) {
	type count struct{ passed, failed, cant int }
	var mu sync.Mutex
	var total count
	rows := map[string][]string{}
	t.Run("cell", func(t *testing.T) {
		for _, f := range faults() {
			rows[f.name] = slices.Repeat([]string{"?"}, len(steps))
			for i, step := range steps {
				mark := func(s string, n *int) {
					mu.Lock()
					defer mu.Unlock()
					rows[f.name][i] = s
					*n++
				}
				t.Run(f.name+"/"+step, func(t *testing.T) {
					if why := f.impossible[step]; why != "" {
						mark("-", &total.cant)
						t.Skip("can't occur: " + why)
					}
					t.Parallel()
					defer func() {
						if t.Failed() {
							mark("F", &total.failed)
						} else {
							mark(".", &total.passed)
						}
					}()
					synctest.Test(t, func(t *testing.T) {
						w := runCell(t, &f, step, seedOf(f.name, step, os.Getenv("MATRIX_SEED")), false)
						if vs := w.check(); len(vs) > 0 {
							t.Errorf("%s%s", w, summary(vs))
							if w.trace != nil {
								t.Log(w.trace.String())
							}
						}
					})
				})
			}
		}
	})
	var b strings.Builder
	for _, f := range faults() {
		fmt.Fprintf(&b, "%-34s %s\n", f.name, strings.Join(rows[f.name], " "))
	}
	t.Logf("columns: %s\n%s%d passed, %d failed, %d can't occur", strings.Join(steps, ", "), b.String(), total.passed, total.failed, total.cant)
}
