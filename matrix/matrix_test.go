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
	faultTime = 5 * time.Second
	armTime   = 2500 * time.Millisecond
	endTime   = 16 * time.Second
)

// fault is a row. Its inject runs when the step was observed, and returns when
// the fault is healed.
type fault struct {
	name   string
	before func(w *world)
	inject func(w *world, at where)
	quiet  bool // without the script's changes
	lose   bool // the frame that shows the step is lost too
	cant   map[string]string
}

// defaults fills in the processes of a step that does not name them.
func (at where) defaults(w *world) where {
	if at.router == "" {
		at.router = "r1"
	}
	if at.up == nil || at.agent == "" {
		at.agent = "p1"
		at.up = w.ups["u-p1"]
	}
	return at
}

// onUpstream sets a state of the upstream for d.
func onUpstream(d time.Duration, set func(u *upstream, on bool)) func(*world, where) {
	return func(w *world, at where) {
		w.locked(func() { set(at.up, true) })
		time.Sleep(d)
		w.locked(func() { set(at.up, false) })
	}
}

func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func crashUpstream(w *world, at where) { w.locked(func() { at.up.crash(downTime) }) }

func killAgent(w *world, at where) { w.kill(at.agent); time.Sleep(restart) }

func killRouter(w *world, at where) { w.kill(at.router); time.Sleep(restart) }

func turnCold(w *world, at where) {
	w.locked(func() {
		at.up.told = map[*process]time.Time{}
		at.up.coldFrom = time.Now()
		at.up.coldTill = at.up.coldFrom.Add(faultTime)
	})
	time.Sleep(faultTime)
}

func silence(w *world, at where) {
	w.net.Blackhole(at.router, at.agent)
	time.Sleep(2 * time.Second)
}

// lateCall delays calls of one router to one agent and then silences the session
// that they are on, so that they arrive after a newer session has asked for them.
func lateCall(w *world, at where) {
	w.net.Delay(at.router, at.agent, 1800*time.Millisecond)
	time.Sleep(700 * time.Millisecond)
	w.net.Blackhole(at.router, at.agent)
	w.net.Delay(at.router, at.agent, linkDelay)
	time.Sleep(2 * time.Second)
}

func onWire(mode string) func(*world, where) {
	return func(w *world, _ where) {
		w.setMode(mode)
		time.Sleep(2 * time.Second)
		w.setMode("")
	}
}

func late(w *world, at where) {
	w.net.Delay(at.agent, at.router, 1800*time.Millisecond)
	time.Sleep(2 * time.Second)
	w.net.Delay(at.agent, at.router, linkDelay)
}

func failPlatform(stale bool) func(*world, where) {
	return func(w *world, _ where) {
		w.locked(func() { w.plat.fail(stale) })
		time.Sleep(faultTime)
		w.locked(w.plat.recover)
	}
}

func hostList(set func(p *platform, on bool)) func(*world, where) {
	return func(w *world, _ where) {
		w.locked(func() { set(w.plat, true) })
		time.Sleep(faultTime)
		w.locked(func() { set(w.plat, false) })
	}
}

func centreGoes(w *world, _ where) {
	w.publish(centreObject("c", wire.CentreStateOut))
	time.Sleep(faultTime + time.Second)
	w.publish(centreObject("c", wire.CentreStateIn))
}

// poison sends a request that crashes each upstream that runs it; its caller
// resends it.
func poison(w *world, _ where) {
	pipeline := wire.PipelineID("fold")
	w.wg.Go(func() { w.call(task{key: "poison", pipeline: pipeline, team: "kites", poison: true, tries: 8}) })
	time.Sleep(faultTime)
}

// both runs two faults from the same moment.
func both(f, g func(*world, where)) func(*world, where) {
	return func(w *world, at where) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			f(w, at)
		}()
		g(w, at)
		<-done
	}
}

// twice runs a fault again some time after it began.
func twice(f func(*world, where), gap time.Duration) func(*world, where) {
	return func(w *world, at where) {
		f(w, at)
		time.Sleep(gap)
		f(w, at)
	}
}

func faults() []fault {
	return []fault{
		{name: "slow", inject: onUpstream(faultTime, func(u *upstream, on bool) { u.slow = on })},
		{name: "error", inject: onUpstream(faultTime, func(u *upstream, on bool) { u.failing = on })},
		{name: "crash", inject: crashUpstream},
		{name: "cold without warning", inject: turnCold},
		{name: "cold restart", inject: func(w *world, at where) { w.locked(func() { at.up.crash(0) }) }},
		{name: "silent upstream", inject: onUpstream(faultTime, func(u *upstream, on bool) {
			u.silent, u.heard = on, time.Now()
			u.mute()
		})},
		{name: "agent dies", inject: killAgent},
		{name: "router dies", inject: killRouter},
		{name: "agent paused", inject: func(w *world, at where) { w.pause(at.agent, faultTime); time.Sleep(faultTime) }},
		{name: "router paused", inject: func(w *world, at where) { w.pause(at.router, faultTime); time.Sleep(faultTime) }},
		{name: "partition one-way", lose: true, inject: func(w *world, _ where) { w.partition(false, faultTime) }},
		{name: "partition two-way", lose: true, inject: func(w *world, _ where) { w.partition(true, faultTime) }},
		{name: "silent connection", lose: true, inject: silence},
		{name: "late answer", inject: late},
		{name: "late call, silent connection", inject: lateCall},
		{name: "doubled answer", inject: onWire("doubled")},
		{name: "reordered answer", inject: onWire("reordered")},
		{name: "foreign answer", inject: onWire("foreign")},
		{name: "platform down", inject: failPlatform(false)},
		{name: "platform stale", inject: failPlatform(true)},
		{name: "host list lagging", inject: hostList(func(p *platform, on bool) {
			if p.frozen = nil; on {
				p.frozen = p.hosts()
			}
		})},
		{name: "host list wrong", inject: hostList(func(p *platform, on bool) { p.wrong = on })},
		{name: "data centre out", inject: centreGoes},
		{
			name: "data centre back", before: func(w *world) { w.publish(centreObject("c", wire.CentreStateOut)) },
			inject: func(w *world, _ where) { w.publish(centreObject("c", wire.CentreStateIn)) },
		},
		{name: "crash request", inject: poison},
		{name: "silent connection, ticket change", lose: true, inject: both(silence, centreGoes)},
		{name: "agent dies, platform down", inject: both(killAgent, failPlatform(false))},
		{name: "router dies, platform down", inject: both(killRouter, failPlatform(false))},
		{name: "cold, crash request", inject: both(turnCold, poison)},
		{name: "partition, data centre out", lose: true, inject: both(func(w *world, _ where) { w.partition(true, faultTime) }, centreGoes)},
		{name: "agent paused, data centre out", inject: both(func(w *world, _ where) { w.pause("p2", faultTime); time.Sleep(faultTime) }, centreGoes)},
		{name: "router paused, data centre out", inject: both(func(w *world, at where) { w.pause(at.router, faultTime); time.Sleep(faultTime) }, centreGoes)},
		{name: "pause, drain", inject: func(w *world, at where) {
			w.pause(at.agent, faultTime)
			time.Sleep(time.Second)
			w.stop(at.agent, true)
			time.Sleep(faultTime)
		}},
		{name: "agent dies twice", inject: twice(killAgent, time.Second)},
		{name: "crash twice", inject: twice(crashUpstream, time.Second)},
	}
}

// run plays one cell in the calling bubble and returns its world.
func run(t *testing.T, f *fault, step string, seed uint64, naive bool) *world {
	w := newWorld(seed, naive)
	w.wire.kept = map[wire.HostID]*wire.Frame{}
	w.wire.lose = f.lose
	if f.before != nil {
		f.before(w)
	}
	w.wg.Go(w.load)
	if !f.quiet {
		w.wg.Go(w.probeAll)
		w.wg.Go(w.script)
	}
	w.at(armTime)
	if f.inject != nil {
		w.arm(step)
		select {
		case at := <-w.fired:
			f.inject(w, at.defaults(w))
		case <-time.After(endTime - armTime):
			t.Errorf("step %q was not observed", step)
		}
	}
	w.at(endTime)
	w.resumed()
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
					if why := f.cant[step]; why != "" {
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
						w := run(t, &f, step, seedOf(f.name, step, os.Getenv("MATRIX_SEED")), false)
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
