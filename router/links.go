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
	dialTimeout    = 2 * time.Second
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// agentLink keeps a session to one upstream's agent. The traffic path uses its
// atomic fields; only its own goroutine replaces the session.
type agentLink struct {
	r           *Router
	upstream    wire.UpstreamID
	addr        wire.Address
	pool        *pool
	epoch       atomic.Int64
	ownInFlight atomic.Int64 // calls of this router under way
	report      atomic.Pointer[receivedReport]
	failures    atomic.Pointer[failureStreak]

	mu            sync.Mutex
	sess          link.Session
	changed       chan struct{} // closed and replaced when sess changes
	sentVersions  objectVersions
	sendMu        sync.Mutex
	syncRequested chan struct{}
}

// receivedReport is an agent's report with the number of own calls when it came.
type receivedReport struct {
	wire.Report
	ownInFlight int64
	receivedAt  time.Time
}

// failureStreak is the number of calls that failed at an upstream in a row of
// failures with less than failureWindow between them.
type failureStreak struct {
	n    wire.Slots
	last time.Time
}

// failureWindow is the time for which a failed call counts as load.
const failureWindow = time.Second

// recordFailure counts a failed call. An upstream that fails its calls at once has none
// in flight, and would draw every call without it. Of two failures at the same
// time one may be lost.
func (l *agentLink) recordFailure(now time.Time) {
	old := l.failures.Load()
	next := &failureStreak{1, now}
	if old != nil && now.Sub(old.last) < failureWindow {
		next.n += old.n
	}
	l.failures.CompareAndSwap(old, next)
}

// recentFailures returns the recent failures.
func (l *agentLink) recentFailures(now time.Time) wire.Slots {
	if f := l.failures.Load(); f != nil && now.Sub(f.last) < failureWindow {
		return f.n
	}
	return 0
}

// objectVersions remembers which versions of its objects an agent was sent.
type objectVersions struct {
	sess                    link.Session
	upstream, centre, model wire.TicketNumber
}

func newAgentLink(r *Router, up wire.UpstreamID, addr wire.Address, p *pool) *agentLink {
	return &agentLink{r: r, upstream: up, addr: addr, pool: p, changed: make(chan struct{}), syncRequested: make(chan struct{}, 1)}
}

// run dials, reads reports, and dials again when the session ends.
func (l *agentLink) run(ctx context.Context) {
	pause := minRedialDelay
	for ctx.Err() == nil {
		sess, err := l.connect(ctx)
		if err != nil {
			l.r.log.Debug("agent not reached", "upstream", l.upstream, "err", err)
			if !clock.Sleep(ctx, rand.N(pause)+pause/2) {
				return
			}
			pause = min(2*pause, maxRedialDelay)
			continue
		}
		pause = minRedialDelay
		l.serve(ctx, sess)
	}
}

func (l *agentLink) connect(ctx context.Context) (link.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
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
	defer l.sessionEnded(sess)
	// The first report says whether the agent is leaving or out; the upstream
	// gets no work before it.
	first, cancel := context.WithTimeout(ctx, dialTimeout)
	f, err := sess.Control().Recv(first)
	cancel()
	if err != nil || f.Report == nil || f.Report.Upstream != l.upstream {
		sess.Close("no report")
		return
	}
	l.observe(f.Report)
	l.setSession(sess)
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
	wg.Go(func() { l.syncLoop(sess) })
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
			l.sendObjects(true)
		default:
			l.r.logEvent(log.WarnLevel, "discarded", wire.ReasonMismatch, "control frame dropped", "upstream", l.upstream)
		}
	}
}

// observe takes in a report, wakes the pool's queue, and tells control when the
// upstream's eligibility may have changed.
func (l *agentLink) observe(rep *wire.Report) {
	if rep == nil {
		return
	}
	if rep.Upstream != l.upstream {
		l.r.logEvent(log.WarnLevel, "discarded", wire.ReasonMismatch, "report of another upstream dropped", "upstream", l.upstream, "got", rep.Upstream)
		return
	}
	next := &receivedReport{*rep, l.ownInFlight.Load(), time.Now()}
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

func (l *agentLink) setSession(sess link.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sess = sess
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *agentLink) sessionEnded(sess link.Session) {
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

// awaitSession returns a session other than old, waiting for it until ctx is done.
func (l *agentLink) awaitSession(ctx context.Context, old link.Session) (link.Session, error) {
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

// requestSync asks the link's goroutine to send changed objects to the agent.
func (l *agentLink) requestSync() {
	select {
	case l.syncRequested <- struct{}{}:
	default:
	}
}

func (l *agentLink) syncLoop(sess link.Session) {
	l.sendObjects(true)
	for {
		select {
		case <-l.syncRequested:
			l.sendObjects(false)
		case <-sess.Done():
			return
		}
	}
}

// sendObjects sends the agent the objects that concern it, when they changed since
// the last time on this session or when force is set.
func (l *agentLink) sendObjects(force bool) {
	sess, _ := l.session()
	if sess == nil {
		return
	}
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	store := l.r.snapshot.Load().store
	objs, now := agentObjects(store, l.upstream)
	now.sess = sess
	if now == l.sentVersions && !force {
		return
	}
	f := &wire.Frame{Sync: &wire.Sync{Head: wire.Digest{Head: store.Head()}, Objects: objs}}
	if sess.Control().Send(f) == nil {
		l.sentVersions = now
	}
}

// hello describes this router to the process that it dials.
func (r *Router) hello(epoch wire.Epoch) wire.Hello {
	return wire.Hello{
		Role: wire.RoleRouter, Name: r.cfg.Name, Centre: r.cfg.Centre, Incarnation: r.incarnation, Epoch: epoch, Version: link.Version,
	}
}
