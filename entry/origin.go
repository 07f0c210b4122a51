package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/origin"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

const (
	// originFlushDelay is the time for which records of streams are gathered before they are
	// sent to their owners with one call for each.
	originFlushDelay = 5 * time.Millisecond
	// originTimeout bounds a call for records, far above the delay between data centres. A context
	// ends the call, whose own timeout closes the connection that orders use too.
	originTimeout = 250 * time.Millisecond
	// maxRecordsAtOnce bounds the records in one call that shares a connection with
	// heartbeats. A router that stops or has a peer that starts sends thousands.
	maxRecordsAtOnce = 64
	// defaultStreamTime is the time for which a stream may be taken up if its caller gave no
	// deadline, and streamTimeMargin what is added to the time until one that it gave.
	defaultStreamTime = time.Minute
	streamTimeMargin  = 5 * time.Second
)

// origins shares with the other routers which software versions began the streams of this
// one. It is safe for concurrent use.
type origins struct {
	s       *Server
	table   origin.Table
	history origin.History
	reads   cacheReads

	mu       sync.Mutex
	pending  []origin.Record // not yet sent to their owners
	flushing bool            // whether flush is about to send them
}

// OriginQuery asks which software version began a stream.
type OriginQuery struct {
	Stream  wire.RequestID
	Service fleet.ServiceID // the answer holds its versions
	Window  time.Duration
}

// begun records that a stream has begun, or has been taken up, at a version.
func (o *origins) begun(r origin.Record) {
	o.table.Add(time.Now(), r)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = append(o.pending, r)
	if !o.flushing {
		o.flushing = true
		o.s.background.Go(o.flush)
	}
}

// flush sends the pending records to their owners.
func (o *origins) flush() {
	clock.Sleep(context.Background(), originFlushDelay)
	o.mu.Lock()
	rs := o.pending
	o.pending, o.flushing = nil, false
	o.mu.Unlock()
	o.send(rs)
}

// send sends records to their owners and waits until all have answered or originTimeout has
// passed.
func (o *origins) send(rs []origin.Record) {
	routers := o.s.peers.ownerCandidates(time.Now())
	byOwner := map[wire.HostID][]origin.Record{}
	for _, r := range rs {
		for _, owner := range origin.Owners(r.Stream, o.s.cfg.Name, routers) {
			byOwner[owner] = append(byOwner[owner], r)
		}
	}
	var wg sync.WaitGroup
	for owner, rs := range byOwner {
		wg.Go(func() { o.sendTo(owner, rs) })
	}
	wg.Wait()
}

func (o *origins) sendTo(peer wire.HostID, rs []origin.Record) {
	addr, ok := o.s.peers.address(peer)
	if !ok || len(rs) == 0 {
		return
	}
	n := new(int) // still written to after the call was abandoned
	var err error
	if len(rs) > maxRecordsAtOnce {
		err = o.s.peers.transfer(context.Background(), addr, "Peer.Origins", rs, n)
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
		defer cancel()
		err = o.s.peers.call(ctx, addr, "Peer.Origins", rs, n, heartbeatTimeout)
	}
	if err != nil {
		o.s.log.Debug("could not send records of streams", "peer", peer, "records", len(rs), "err", err)
		o.s.addCounter("origins_unsent", int64(len(rs)))
	}
}

// peerStarted sends a router that has started the records that it owns.
func (o *origins) peerStarted(peer wire.HostID) {
	now := time.Now()
	routers := o.s.peers.ownerCandidates(now)
	o.sendTo(peer, o.table.Records(now, func(id wire.RequestID) bool {
		return slices.Contains(origin.Owners(id, o.s.cfg.Name, routers), peer)
	}))
}

// handOver sends all records to their owners, before this router stops.
func (o *origins) handOver() {
	o.send(o.table.Records(time.Now(), func(wire.RequestID) bool { return true }))
}

// answer returns what this router knows about a stream.
func (o *origins) answer(q OriginQuery) (a origin.Answer) {
	now := time.Now()
	a.Record, _ = o.table.Find(now, q.Stream)
	a.Versions, a.Covered = o.history.Versions(now, q.Service, q.Window)
	a.Covered = a.Covered && o.current()
	return a
}

// current reports whether this router follows the upstreams. Otherwise a version may have
// joined and begun streams at other routers without its notice.
func (o *origins) current() bool {
	return o.s.view.Load().age(platform.AreaUpstreamRegistry) <= maxDenyAge
}

// originSearch is what was found out about a stream that is taken up.
type originSearch struct {
	answers  []origin.Answer // of this router and of those asked
	asked    int             // other routers that may hold the record
	complete bool            // whether all routers that may hold it have answered
	caches   cacheSearch     // of the engines, asked if the routers don't know
}

// originAnswer is the answer of a router that was asked for the record of a stream. ok is false if there
// was none.
type originAnswer struct {
	answer origin.Answer
	ok     bool
}

// resolve returns what this router and those that may hold the record of a stream know about it. It
// returns as soon as one of them has the record.
func (o *origins) resolve(ctx context.Context, q OriginQuery) (found originSearch) {
	own := o.answer(q)
	if found = (originSearch{answers: []origin.Answer{own}, complete: true}); own.Record.Version != "" {
		return found
	}
	routers := o.s.peers.ownerCandidates(time.Now())
	holders := origin.Holders(q.Stream, routers)
	if o.ask(ctx, q, holders, &found); !found.complete && !found.hasRecord() {
		// The router that began the stream has the record, too.
		o.ask(ctx, q, origin.Others(q.Stream, holders, routers), &found)
	}
	if len(found.answers) == 1 && o.s.peers.knowsOthers(time.Now()) {
		// Streams of a version that has just joined are known to others alone.
		found.answers[0].Covered, found.complete = false, false
	}
	return found
}

// ask asks routers for the record of a stream, until one has it, and adds their answers to found.
func (o *origins) ask(ctx context.Context, q OriginQuery, routers []wire.HostID, found *originSearch) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	answers := make(chan originAnswer, len(routers))
	asked := 0
	for _, name := range routers {
		addr, ok := o.s.peers.address(name)
		if !ok {
			continue // this router
		}
		asked++
		o.s.background.Go(func() {
			a := new(origin.Answer) // still written to after the call was abandoned
			if err := o.s.peers.call(ctx, addr, "Peer.Origin", q, a, heartbeatTimeout); err != nil {
				answers <- originAnswer{}
				return
			}
			answers <- originAnswer{*a, true}
		})
	}
	found.asked += asked
	found.gather(answers, asked)
}

// gather receives the answers of n routers, until one has the record.
func (f *originSearch) gather(answers <-chan originAnswer, n int) {
	for range n {
		a := <-answers
		if !a.ok {
			f.complete = false
			continue
		}
		f.answers = append(f.answers, a.answer)
		if f.hasRecord() {
			return
		}
	}
}

// hasRecord reports whether the last router that answered has the record.
func (f *originSearch) hasRecord() bool {
	return f.answers[len(f.answers)-1].Record.Version != ""
}

// pinOrigin sets the software version at which a stream that the caller takes up must go on,
// and returns the service that began it. It returns a refusal if they are unknown or no
// upstream has them.
func (x *exchange) pinOrigin(ctx context.Context) (fleet.ServiceID, *refusal) {
	q := OriginQuery{Stream: x.spec.Resumes, Window: origin.Window(x.route.Timeout)}
	if len(x.route.Split) == 1 {
		q.Service = x.route.Split[0].Service
	}
	began := time.Now()
	defer func() { x.originTook = time.Since(began) }()
	found := x.s.origins.resolve(ctx, q)
	r, ok := origin.Resolve(found.answers, q.Service)
	outcome := "pinned"
	if !ok && q.Service != "" && x.s.origins.current() {
		found.caches = x.searchCaches(q.Service)
		r.Service = q.Service
		r.Version, ok = origin.OfReaders(found.caches.readers)
		outcome = "pinned by cache"
	}
	refuse := func(outcome, reason string) (fleet.ServiceID, *refusal) {
		x.s.incCounter("streams_taken_up", "outcome", outcome)
		x.logNotTakenUp(reason, found)
		return "", &refusal{status: http.StatusServiceUnavailable, reason: reason}
	}
	switch {
	case !ok && !found.complete: // another router may know
		svc, f := refuse("unknown", reasonOriginUnknown)
		f.retryAfter = retryAfterBusy
		return svc, f
	case !ok:
		return refuse("unknown", reasonOriginUnknown)
	case !slices.ContainsFunc(x.route.Split, func(w fleet.WeightedService) bool { return w.Service == r.Service }):
		return refuse("moved", "service of the stream has changed")
	case !slices.ContainsFunc(x.view.Upstreams[r.Service], func(u fleet.Upstream) bool { return u.Software == r.Version && !x.s.notices.Leaving(time.Now(), u) }):
		return refuse("gone", "no upstream of the stream's software version")
	}
	x.s.incCounter("streams_taken_up", "outcome", outcome)
	x.pinned = r.Version
	return r.Service, nil
}

// logNotTakenUp logs what was known of a stream that is not taken up.
func (x *exchange) logNotTakenUp(reason string, found originSearch) {
	covered := 0
	var versions []fleet.SoftwareVersion
	for _, a := range found.answers {
		if a.Covered {
			covered++
		}
		versions = append(versions, a.Versions...)
	}
	slices.Sort(versions)
	x.s.log.Info("stream not taken up", "request", x.spec.ID, "resumes", x.spec.Resumes, "reason", reason,
		"routers_asked", found.asked, "routers_answered", len(found.answers)-1, "routers_covered", covered, "versions", slices.Compact(versions),
		"current", x.s.origins.current(), "engines", found.caches.engines, "caches_asked", found.caches.asked, "caches_failed", found.caches.failed,
		"readers", found.caches.readers)
}

// reasonOriginUnknown is the reason for refusing to take up a stream.
const reasonOriginUnknown = "software version of the stream unknown"

// recordOrigin records the version at which the stream has begun or was taken up.
func (x *exchange) recordOrigin() {
	if !x.route.Resumable || x.spec.Resumed && x.spec.Resumes == "" {
		return
	}
	r := origin.Record{Stream: x.spec.ID, Service: x.svc.ID, Version: x.pinned, Left: defaultStreamTime}
	if x.spec.Resumed {
		r.Stream = x.spec.Resumes
	}
	if x.spec.Remaining > 0 {
		r.Left = max(x.spec.Remaining-x.elapsed(), 0) + streamTimeMargin
	}
	if r.Stream != "" {
		x.s.origins.begun(r)
	}
}
