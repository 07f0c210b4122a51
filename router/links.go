package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/wire"
)

const (
	dialLimit = 2 * time.Second
	redialMin = 50 * time.Millisecond
	redialMax = 2 * time.Second
)

// agentLink keeps a session to one upstream's agent. The traffic path uses its
// atomic fields; only its own goroutine replaces the session.
type agentLink struct {
	r      *Router
	up     wire.UpstreamID
	addr   wire.Address
	pool   *pool
	epoch  atomic.Int64
	own    atomic.Int64 // calls of this router under way
	report atomic.Pointer[seenReport]
	faults atomic.Pointer[faultCount]

	mu      sync.Mutex
	sess    link.Session
	changed chan struct{} // closed and replaced when sess changes
	sent    sentSlice
	sendMu  sync.Mutex
	nudged  chan struct{}
}

// seenReport is an agent's report with the number of own calls when it came.
type seenReport struct {
	wire.Report
	own int64
	at  time.Time
}

// faultCount is the number of calls that failed at an upstream in a row of
// failures with less than faultWindow between them.
type faultCount struct {
	n    wire.Slots
	last time.Time
}

// faultWindow is the time for which a failed call counts as load.
const faultWindow = time.Second

// fault counts a failed call. An upstream that fails its calls at once has none
// in flight, and would draw every call without it. Of two failures at the same
// time one may be lost.
func (l *agentLink) fault(now time.Time) {
	old := l.faults.Load()
	next := &faultCount{1, now}
	if old != nil && now.Sub(old.last) < faultWindow {
		next.n += old.n
	}
	l.faults.CompareAndSwap(old, next)
}

// failed returns the recent failures.
func (l *agentLink) failed(now time.Time) wire.Slots {
	if f := l.faults.Load(); f != nil && now.Sub(f.last) < faultWindow {
		return f.n
	}
	return 0
}

// sentSlice remembers which versions of its objects an agent was sent.
type sentSlice struct {
	sess                    link.Session
	upstream, centre, model wire.TicketNumber
}

func newAgentLink(r *Router, up wire.UpstreamID, addr wire.Address, p *pool) *agentLink {
	return &agentLink{r: r, up: up, addr: addr, pool: p, changed: make(chan struct{}), nudged: make(chan struct{}, 1)}
}

// run dials, reads reports, and dials again when the session ends.
func (l *agentLink) run(ctx context.Context) {
	pause := redialMin
	for ctx.Err() == nil {
		sess, err := l.connect(ctx)
		if err != nil {
			l.r.log.Debug("agent not reached", "upstream", l.up, "err", err)
			if !clock.Sleep(ctx, rand.N(pause)+pause/2) {
				return
			}
			pause = min(2*pause, redialMax)
			continue
		}
		pause = redialMin
		l.serve(ctx, sess)
	}
}

func (l *agentLink) connect(ctx context.Context) (link.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	sess, err := l.r.dialer.Dial(ctx, l.addr, l.r.hello(wire.Epoch(l.epoch.Add(1))))
	if err != nil {
		return nil, err
	}
	if sess.Peer().Role != wire.RoleAgent {
		sess.Close("not an agent")
		return nil, errors.New("peer is not an agent")
	}
	return sess, nil
}

func (l *agentLink) serve(ctx context.Context, sess link.Session) {
	defer l.ended(sess)
	// The first report says whether the agent is leaving or out; the upstream
	// gets no work before it.
	first, cancel := context.WithTimeout(ctx, dialLimit)
	f, err := sess.Control().Recv(first)
	cancel()
	if err != nil || f.Report == nil || f.Report.Upstream != l.up {
		sess.Close("no report")
		return
	}
	l.observe(f.Report)
	l.publish(sess)
	l.r.control.requestRebuild()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		select {
		case <-ctx.Done():
			sess.Close("router stopped using the upstream")
		case <-sess.Done():
		}
	})
	wg.Go(func() { l.sliceLoop(sess) })
	for {
		f, err := sess.Control().Recv(ctx)
		if err != nil {
			sess.Close("control stream ended")
			return
		}
		switch {
		case f.Report != nil:
			l.observe(f.Report)
		case f.Sync != nil:
			l.sendSlice(true)
		default:
			l.r.logEvent(log.WarnLevel, "discarded", wire.ReasonMismatch, "control frame dropped", "upstream", l.up)
		}
	}
}

// observe takes in a report, wakes the pool's queue, and tells control when the
// upstream's eligibility may have changed.
func (l *agentLink) observe(rep *wire.Report) {
	if rep == nil {
		return
	}
	if rep.Upstream != l.up {
		l.r.logEvent(log.WarnLevel, "discarded", wire.ReasonMismatch, "report of another upstream dropped", "upstream", l.up, "got", rep.Upstream)
		return
	}
	next := &seenReport{*rep, l.own.Load(), time.Now()}
	before := l.report.Load()
	if rep.Brief && before != nil {
		next.Prefixes = before.Prefixes
	}
	l.report.Store(next)
	if before == nil || before.Leaving != rep.Leaving || before.Out != rep.Out || before.Incarnation != rep.Incarnation {
		l.r.control.requestRebuild()
	}
	l.pool.wake()
}

func (l *agentLink) publish(sess link.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sess = sess
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *agentLink) ended(sess link.Session) {
	l.mu.Lock()
	if l.sess == sess {
		l.sess = nil
		close(l.changed)
		l.changed = make(chan struct{})
	}
	l.mu.Unlock()
	l.r.control.requestRebuild()
}

// session returns the open session, or nil, and a channel that is closed when
// that changes.
func (l *agentLink) session() (link.Session, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sess != nil {
		select {
		case <-l.sess.Done():
			return nil, l.changed
		default:
		}
	}
	return l.sess, l.changed
}

// await returns a session other than old, waiting for it until ctx is done.
func (l *agentLink) await(ctx context.Context, old link.Session) (link.Session, error) {
	for {
		sess, changed := l.session()
		if sess != nil && sess != old {
			return sess, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// nudge asks the link's goroutine to send changed objects to the agent.
func (l *agentLink) nudge() {
	select {
	case l.nudged <- struct{}{}:
	default:
	}
}

func (l *agentLink) sliceLoop(sess link.Session) {
	l.sendSlice(true)
	for {
		select {
		case <-l.nudged:
			l.sendSlice(false)
		case <-sess.Done():
			return
		}
	}
}

// sendSlice sends the agent the objects that concern it, when they changed since
// the last time on this session or when force is set.
func (l *agentLink) sendSlice(force bool) {
	sess, _ := l.session()
	if sess == nil {
		return
	}
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	store := l.r.snapshot.Load().store
	objs, now := slice(store, l.up)
	now.sess = sess
	if now == l.sent && !force {
		return
	}
	f := &wire.Frame{Sync: &wire.Sync{Head: wire.Digest{Head: store.Head()}, Objects: objs}}
	if sess.Control().Send(f) == nil {
		l.sent = now
	}
}

// hello describes this router to the process that it dials.
func (r *Router) hello(epoch wire.Epoch) wire.Hello {
	return wire.Hello{
		Role: wire.RoleRouter, Name: r.cfg.Name, Centre: r.cfg.Centre, Incarnation: r.incarnation, Epoch: epoch, Version: link.Version,
	}
}
