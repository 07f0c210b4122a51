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
	dialTimeout    = 2 * time.Second // for the session, and again for the first report
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// agentLink maintains a session to the agent of one upstream. Requests use its atomic
// fields; only the link's own goroutine replaces the session.
type agentLink struct {
	r           *Router
	upstream    wire.UpstreamID
	addr        wire.Address
	pool        *pool
	epoch       atomic.Int64 // number of dials, sent in the hello
	ownInFlight atomic.Int64 // calls of this router in flight
	report      atomic.Pointer[receivedReport]
	failures    atomic.Pointer[failureStreak]

	mu            sync.Mutex
	sess          link.Session  // open session, or nil
	changed       chan struct{} // closed and replaced when sess changes
	sentVersions  objectVersions
	sendMu        sync.Mutex    // held while objects are sent; protects sentVersions
	syncRequested chan struct{} // signalled by requestSync; capacity 1
}

// receivedReport is an agent's report, with the number of calls of this router in flight
// when it was received.
type receivedReport struct {
	wire.Report
	ownInFlight int64
	receivedAt  time.Time
}

// failureStreak counts calls that failed at an upstream, each less than failureWindow
// after the one before.
type failureStreak struct {
	n    wire.Slots
	last time.Time // time of the last failure
}

// failureWindow is the time for which a failed call counts towards the upstream's load.
const failureWindow = time.Second

// recordFailure counts a failed call. An upstream that fails its calls at once has none
// in flight; without this count it would appear idle and attract every call. One of two
// concurrent failures may be lost.
func (l *agentLink) recordFailure(now time.Time) {
	old := l.failures.Load()
	next := &failureStreak{1, now}
	if old != nil && now.Sub(old.last) < failureWindow {
		next.n += old.n
	}
	l.failures.CompareAndSwap(old, next)
}

// recentFailures returns the length of the failure streak, or 0 if the last failure was
// at least failureWindow ago.
func (l *agentLink) recentFailures(now time.Time) wire.Slots {
	if f := l.failures.Load(); f != nil && now.Sub(f.last) < failureWindow {
		return f.n
	}
	return 0
}

// objectVersions holds the ticket numbers of the objects that an agent was sent, and
// the session on which it was sent them.
type objectVersions struct {
	sess                    link.Session
	upstream, centre, model wire.TicketNumber
}

// newAgentLink returns a link without a session; run opens one.
func newAgentLink(r *Router, up wire.UpstreamID, addr wire.Address, p *pool) *agentLink {
	return &agentLink{r: r, upstream: up, addr: addr, pool: p, changed: make(chan struct{}), syncRequested: make(chan struct{}, 1)}
}

// run connects to the agent and reads its reports, and reconnects when the session ends,
// until ctx is done.
func (l *agentLink) run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		sess, err := l.connect(ctx)
		if err != nil {
			l.r.log.Debug("agent unreachable", "upstream", l.upstream, "err", err)
			if !clock.Sleep(ctx, rand.N(delay)+delay/2) {
				return
			}
			delay = min(2*delay, maxRedialDelay)
			continue
		}
		delay = minRedialDelay
		l.serve(ctx, sess)
	}
}

// connect dials the agent and checks that the peer is one.
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

// serve reads reports from a session until it ends.
func (l *agentLink) serve(ctx context.Context, sess link.Session) {
	defer l.sessionEnded(sess)
	// The first report tells whether the agent is leaving or its data centre is out, so
	// the upstream gets no work before it.
	firstCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	f, err := sess.Control().Recv(firstCtx)
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
			// The agent requests its objects.
			l.sendObjects(true)
		default:
			l.r.logEvent(log.WarnLevel, "discarded", wire.ReasonMismatch, "control frame dropped", "upstream", l.upstream)
		}
	}
}

// observe stores a report, if there is one, and wakes the pool's queue. It requests a
// rebuild if the upstream's eligibility may have changed.
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

// setSession makes sess the open session and wakes those that wait for one.
func (l *agentLink) setSession(sess link.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sess = sess
	close(l.changed)
	l.changed = make(chan struct{})
}

// sessionEnded clears the open session if it is sess.
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

// session returns the open session, or nil if there is none, and a channel that is
// closed when the session changes.
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

// awaitSession returns an open session other than old, waiting for one until ctx is done.
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

// requestSync makes syncLoop send changed objects to the agent. It doesn't block.
func (l *agentLink) requestSync() {
	select {
	case l.syncRequested <- struct{}{}:
	default:
	}
}

// syncLoop sends the agent its objects at the start of a session and again after each
// requestSync, if they changed.
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

// sendObjects sends the agent the objects that concern it if force is set or if they
// differ from those that were last sent on the open session.
func (l *agentLink) sendObjects(force bool) {
	sess, _ := l.session()
	if sess == nil {
		return
	}
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	store := l.r.snapshot.Load().store
	objs, versions := agentObjects(store, l.upstream)
	versions.sess = sess
	if versions == l.sentVersions && !force {
		return
	}
	f := &wire.Frame{Sync: &wire.Sync{Head: wire.Digest{Head: store.Head()}, Objects: objs}}
	if sess.Control().Send(f) == nil {
		l.sentVersions = versions
	}
}

// hello returns the hello that this router sends to a process that it dials.
func (r *Router) hello(epoch wire.Epoch) wire.Hello {
	return wire.Hello{
		Role: wire.RoleRouter, Name: r.cfg.Name, Centre: r.cfg.Centre, Incarnation: r.incarnation, Epoch: epoch, Version: link.Version,
	}
}
