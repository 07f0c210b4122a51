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

// steps are the columns of the matrix: the steps of a request at which a fault
// is injected. The fault fires on the first occurrence after armTime, under
// load.
var steps = []string{
	"accept",       // a call of Do on a router
	"admit",        // an Accept frame from an agent
	"choose",       // a Result frame after which the router chooses the next upstream
	"reserve",      // a Reserve frame
	"send",         // a Call frame
	"execute",      // a call at the fake upstream
	"stream",       // a Chunk frame after the first
	"answer",       // a Result frame of a last stage
	"acknowledge",  // an Ack frame
	"cancel",       // a cancelled call at the fake upstream
	"apply ticket", // a read of new tickets at the fake platform
	"give order",   // an order at the fake upstream
	"drain",        // a Report frame that announces a planned stop
}

// armTime and endTime are counted from the start of the cell.
const (
	faultDuration = 5 * time.Second
	armTime       = 2500 * time.Millisecond
	endTime       = 16 * time.Second
)

// fault is a row of the matrix. inject runs once the step has been observed and
// returns when the fault is over.
type fault struct {
	name       string
	setup      func(w *world)
	inject     func(w *world, target faultTarget)
	skipScript bool              // whether the cell runs without probes and planned changes
	loseFrame  bool              // whether the frame that fires the fault is lost
	impossible map[string]string // why the fault can't occur, by step
}

// withDefaults fills in r1 or p1 where the observed step names no router or no
// agent.
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

// upstreamFault returns a fault that switches a state of the upstream on for d.
func upstreamFault(d time.Duration, set func(u *upstream, on bool)) func(*world, faultTarget) {
	return func(w *world, target faultTarget) {
		w.withLock(func() { set(target.upstream, true) })
		time.Sleep(d)
		w.withLock(func() { set(target.upstream, false) })
	}
}

// withLock calls f with w.mu held.
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

// makeCold makes the upstream cold for faultDuration without a crash: no
// connection is reset and the boot ID stays.
func makeCold(w *world, target faultTarget) {
	w.withLock(func() {
		target.upstream.coldKnownAt = map[*process]time.Time{}
		target.upstream.coldFrom = time.Now()
		target.upstream.coldUntil = target.upstream.coldFrom.Add(faultDuration)
	})
	time.Sleep(faultDuration)
}

// silenceSession drops all later frames on the open session of a router and an
// agent without closing it. New sessions work.
func silenceSession(w *world, target faultTarget) {
	w.net.Blackhole(target.router, target.agent)
	time.Sleep(2 * time.Second)
}

// delayCalls delays the calls of a router to an agent and then silences the
// session that they are on, so that they arrive after the router has asked for
// them on a newer session.
func delayCalls(w *world, target faultTarget) {
	w.net.Delay(target.router, target.agent, 1800*time.Millisecond)
	time.Sleep(700 * time.Millisecond)
	w.net.Blackhole(target.router, target.agent)
	w.net.Delay(target.router, target.agent, linkDelay)
	time.Sleep(2 * time.Second)
}

// frameFault returns a fault that sets the interceptor's mode for 2 s.
func frameFault(mode string) func(*world, faultTarget) {
	return func(w *world, _ faultTarget) {
		w.setFrameMode(mode)
		time.Sleep(2 * time.Second)
		w.setFrameMode("")
	}
}

// delayAnswers delays everything that the agent sends to the router in the next
// 2 s by 1.8 s.
func delayAnswers(w *world, target faultTarget) {
	w.net.Delay(target.agent, target.router, 1800*time.Millisecond)
	time.Sleep(2 * time.Second)
	w.net.Delay(target.agent, target.router, linkDelay)
}

// platformFault returns a fault that makes the platform unavailable, or makes
// it serve old tickets if stale is set.
func platformFault(stale bool) func(*world, faultTarget) {
	return func(w *world, _ faultTarget) {
		w.withLock(func() { w.platform.fail(stale) })
		time.Sleep(faultDuration)
		w.withLock(w.platform.recover)
	}
}

// hostListFault returns a fault that switches a state of the platform's host
// list on for faultDuration.
func hostListFault(set func(p *platform, on bool)) func(*world, faultTarget) {
	return func(w *world, _ faultTarget) {
		w.withLock(func() { set(w.platform, true) })
		time.Sleep(faultDuration)
		w.withLock(func() { set(w.platform, false) })
	}
}

// takeCentreOut takes data centre c out of service by a ticket and returns it
// after faultDuration and one more second.
func takeCentreOut(w *world, _ faultTarget) {
	w.publish(centreObject("c", wire.CentreStateOut))
	time.Sleep(faultDuration + time.Second)
	w.publish(centreObject("c", wire.CentreStateIn))
}

// sendPoisonRequest sends a request that crashes every upstream that runs it.
// Its caller resends it until it is answered or its attempts run out.
func sendPoisonRequest(w *world, _ faultTarget) {
	pipeline := wire.PipelineID("fold")
	w.wg.Go(func() { w.call(task{key: "poison", pipeline: pipeline, team: "kites", poison: true, attempts: 8}) })
	time.Sleep(faultDuration)
}

// concurrently returns a fault that runs f and g at the same time and ends with
// the later one.
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

// twice returns a fault that runs f, waits for gap after its end and runs f
// again.
func twice(f func(*world, faultTarget), gap time.Duration) func(*world, faultTarget) {
	return func(w *world, target faultTarget) {
		f(w, target)
		time.Sleep(gap)
		f(w, target)
	}
}

// faults returns the rows of the matrix.
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

// runCell runs one cell of the matrix in the caller's synctest bubble and
// returns its world for the checker. An empty fault injects nothing.
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
			t.Errorf("fault not injected: step %q was not observed before the end of the cell", step)
		}
	}
	w.sleepUntil(endTime)
	w.sendFinalRequests()
	w.stopAll()
	return w
}

// TestMain raises the garbage collector's target, because collection took a
// quarter of the running time.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

// seedOf hashes parts, such as the names of the fault and the step, to a seed.
func seedOf(parts ...string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(strings.Join(parts, "/")))
	return h.Sum64()
}

// TestMatrix verifies that no fault at any step breaks a guarantee of the
// design page or keeps requests from being answered once the fault is over.
// KNOWN-RED.txt lists cells that fail for a known fault. MATRIX_SEED varies the
// load.
func TestMatrix(t *testing.T) {
	type count struct{ passed, failed, impossible int }
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
					if reason := f.impossible[step]; reason != "" {
						mark("-", &total.impossible)
						t.Skip("can't occur: " + reason)
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
	t.Logf("columns: %s\n%s%d passed, %d failed, %d can't occur", strings.Join(steps, ", "), b.String(), total.passed, total.failed, total.impossible)
}
