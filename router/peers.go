package router

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/plat"
	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
)

const (
	gossipInterval = time.Second
	gossipDelay    = 200 * time.Millisecond
	gossipTimeout  = 2 * time.Second
	maxPeers       = 9
	// gossipFanout is the number of peers that hear of a change at once; the
	// periodic exchange reaches the rest.
	gossipFanout = 2
)

// gossiper keeps sessions to other routers; only its goroutine uses it.
type gossiper struct {
	r         *Router
	sessions  map[wire.Address]link.Session
	epoch     wire.Epoch
	peerIndex int
}

// requestGossip asks for an exchange with some peers soon after a change.
func (r *Router) requestGossip() {
	select {
	case r.gossipRequested <- struct{}{}:
	default:
	}
}

// gossipLoop exchanges configuration and crash marks with other routers in turn.
func (r *Router) gossipLoop(ctx context.Context) {
	sub := r.ticker.Subscribe(gossipInterval, "peers")
	defer sub.Close()
	p := &gossiper{r: r, sessions: map[wire.Address]link.Session{}}
	defer p.closeAll()
	for {
		n := 1
		select {
		case <-sub.C:
		case <-r.gossipRequested:
			// With the platform up most peers have the change by then, and equal
			// roots cost little.
			if !clock.Sleep(ctx, gossipDelay) {
				return
			}
			n = gossipFanout
		case <-ctx.Done():
			return
		}
		for range n {
			p.exchangeWithNext(ctx)
		}
	}
}

// exchangeWithNext exchanges with the next peer in turn.
func (p *gossiper) exchangeWithNext(ctx context.Context) {
	addrs := p.r.peerAddresses()
	p.closeUnused(addrs)
	if len(addrs) == 0 {
		return
	}
	p.peerIndex++
	addr := addrs[p.peerIndex%len(addrs)]
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	if err := p.exchange(ctx, addr); err != nil {
		p.r.log.Debug("peer not reached", "peer", addr, "err", err)
		p.r.Inc("peer_failed", "")
		p.closeSession(addr)
	}
}

// peerAddresses returns the routers at distances 1, 2, 4 and so on after this
// one in name order, and those named in the settings.
func (r *Router) peerAddresses() []wire.Address {
	out := slices.Clone(r.cfg.Peers)
	hosts := r.snapshot.Load().routers
	self := slices.IndexFunc(hosts, func(h peerHost) bool { return h.name == r.cfg.Name })
	if self < 0 {
		return out
	}
	for d := 1; d < len(hosts) && len(out) < maxPeers; d *= 2 {
		addr := hosts[(self+d)%len(hosts)].addr
		if !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}

// peerHost is a router in the host list.
type peerHost struct {
	name wire.HostID
	addr wire.Address
}

// peerHosts lists live routers in name order.
func (c *control) peerHosts() (out []peerHost) {
	for _, h := range c.hosts {
		if h.Role == wire.RoleRouter && h.State == plat.HostLive {
			out = append(out, peerHost{h.Name, h.Address})
		}
	}
	slices.SortFunc(out, func(a, b peerHost) int { return cmp.Compare(a.name, b.name) })
	return out
}

func (p *gossiper) closeUnused(keep []wire.Address) {
	for addr := range p.sessions {
		if !slices.Contains(keep, addr) {
			p.closeSession(addr)
		}
	}
}

func (p *gossiper) closeSession(addr wire.Address) {
	if s := p.sessions[addr]; s != nil {
		s.Close("peer dropped")
		delete(p.sessions, addr)
	}
}

func (p *gossiper) closeAll() {
	for addr := range p.sessions {
		p.closeSession(addr)
	}
}

func (p *gossiper) session(ctx context.Context, addr wire.Address) (link.Session, error) {
	if s := p.sessions[addr]; s != nil {
		select {
		case <-s.Done():
		default:
			return s, nil
		}
	}
	p.epoch++
	s, err := p.r.dialer.Dial(ctx, addr, p.r.hello(p.epoch))
	if err == nil {
		p.sessions[addr] = s
	}
	return s, err
}

// exchange brings this router and one peer to the same configuration. In the
// usual case they differ by the newest tickets, which travel with the roots.
// Only where that is not enough do they exchange whole buckets, which grow with
// the fleet.
func (p *gossiper) exchange(ctx context.Context, addr wire.Address) error {
	s, err := p.session(ctx, addr)
	if err != nil {
		return err
	}
	st, err := s.Open(ctx)
	if err != nil {
		return err
	}
	defer st.Reset()
	own := p.r.snapshot.Load()
	now, theirs, err := p.syncDigests(ctx, st, &wire.Sync{Head: rootDigest(own.store), Marks: p.r.crashMarks()})
	if err != nil || theirs.Root == now.Root {
		return err
	}
	if ahead := own.recent.newerThan(theirs.Head); len(ahead) > 0 {
		now.Buckets = nil
		now, theirs, err = p.syncDigests(ctx, st, &wire.Sync{Head: now, Objects: ahead})
		if err != nil || theirs.Root == now.Root {
			return err
		}
	}
	if now, theirs, err = p.syncDigests(ctx, st, &wire.Sync{Head: now}); err != nil {
		return err
	}
	return p.exchangeBuckets(ctx, st, differingBuckets(now, theirs))
}

// syncDigests sends one message, takes what the answer brings, and returns the digests
// of both ends after that.
func (p *gossiper) syncDigests(ctx context.Context, st link.Stream, s *wire.Sync) (own, theirs wire.Digest, err error) {
	in, err := sendSync(ctx, st, s)
	if err != nil {
		return own, theirs, err
	}
	p.r.mergeCrashMarks(in.Marks)
	own, err = p.r.applyObjects(ctx, in.Objects)
	return own, in.Head, err
}

func (p *gossiper) exchangeBuckets(ctx context.Context, st link.Stream, want []int) error {
	for _, part := range splitBuckets(p.r.snapshot.Load().store, want) {
		theirs, err := sendSync(ctx, st, part)
		if err != nil {
			return err
		}
		if _, err = p.r.applyObjects(ctx, theirs.Objects); err != nil {
			return err
		}
	}
	return nil
}

// applyObjects merges objects that a peer sent and returns the digest after that.
func (r *Router) applyObjects(ctx context.Context, objs []wire.Object) (d wire.Digest, err error) {
	var store *ticket.Store
	err = r.control.do(ctx, func() {
		if len(objs) > 0 {
			r.control.merge(objs)
		}
		r.control.endRevalidation()
		store = r.control.store
	})
	if err != nil {
		return d, err
	}
	return store.Digest(), nil
}

// rootDigest returns a store's digest without its buckets.
func rootDigest(s *ticket.Store) wire.Digest {
	d := s.Digest()
	d.Buckets = nil
	return d
}

const (
	// maxRecent covers the tickets of a partition of a quarter of an hour at
	// 21,000 a day, so that its end costs no whole buckets.
	maxRecent = 256
	// recentWindow is the time for which a change is sent to a peer that has a
	// higher ticket but may lack this one.
	recentWindow = time.Second
)

// recentObjects holds the last objects that came in force, oldest first. It is never
// changed in place.
type recentObjects []recentObject

type recentObject struct {
	obj       *wire.Object
	appliedAt time.Time
}

func (r recentObjects) withChanges(changes []ticket.Change) recentObjects {
	next := slices.Clone(r)
	now := time.Now()
	for _, ch := range changes[max(0, len(changes)-maxRecent):] {
		next = append(next, recentObject{ch.New, now})
	}
	return next[max(0, len(next)-maxRecent):]
}

// newerThan returns the objects that a peer lacks whose highest ticket is head, and
// those that are so new that it may lack them all the same.
func (r recentObjects) newerThan(head wire.TicketNumber) (out []wire.Object) {
	for _, o := range r {
		if o.obj.Number > head || time.Since(o.appliedAt) < recentWindow {
			out = append(out, *o.obj)
		}
	}
	return out
}

func sendSync(ctx context.Context, st link.Stream, s *wire.Sync) (*wire.Sync, error) {
	if err := st.Send(&wire.Frame{Sync: s}); err != nil {
		return nil, err
	}
	f, err := st.Recv(ctx)
	if err != nil {
		return nil, err
	}
	if f.Sync == nil {
		return nil, link.ErrReset
	}
	return f.Sync, nil
}

// differingBuckets lists the buckets whose hashes differ.
func differingBuckets(a, b wire.Digest) (out []int) {
	for i := range a.Buckets {
		if i >= len(b.Buckets) || a.Buckets[i] != b.Buckets[i] {
			out = append(out, i)
		}
	}
	return out
}

// Bounds of one message, so that it stays under about 1 MiB.
const (
	maxMessageObjects = 1024
	maxMessageBuckets = 8
)

// splitBuckets splits the objects of some buckets into messages; each asks for the
// peer's objects of the same buckets.
func splitBuckets(s *ticket.Store, buckets []int) (out []*wire.Sync) {
	cur := &wire.Sync{Head: wire.Digest{Head: s.Head()}}
	for _, b := range buckets {
		objs := s.Bucket(b)
		if len(cur.Want) > 0 && (len(cur.Objects)+len(objs) > maxMessageObjects || len(cur.Want) >= maxMessageBuckets) {
			out = append(out, cur)
			cur = &wire.Sync{Head: wire.Digest{Head: s.Head()}}
		}
		cur.Want = append(cur.Want, b)
		cur.Objects = append(cur.Objects, objs...)
	}
	if len(cur.Want) > 0 {
		out = append(out, cur)
	}
	return out
}

// acceptPeers answers the exchanges of other routers.
func (r *Router) acceptPeers(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		s, err := r.ln.Accept(ctx)
		if err != nil {
			return
		}
		if s.Peer().Role != wire.RoleRouter {
			r.logEvent(log.WarnLevel, "session_refused", wire.ReasonMismatch, "session refused", "peer", s.Peer().Name, "role", s.Peer().Role)
			s.Close("not a router")
			continue
		}
		wg.Go(func() { r.servePeer(ctx, s) })
	}
}

func (r *Router) servePeer(ctx context.Context, s link.Session) {
	defer s.Close("router stopped")
	for {
		st, err := s.Accept(ctx)
		if err != nil {
			return
		}
		// One exchange at a time: a peer needs no more.
		r.serveExchange(ctx, st)
	}
}

func (r *Router) serveExchange(ctx context.Context, st link.Stream) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	defer func() { _ = st.Close() }()
	for {
		f, err := st.Recv(ctx)
		if err != nil || f.Sync == nil {
			return
		}
		answer, err := r.answerSync(ctx, f.Sync)
		if err != nil || st.Send(&wire.Frame{Sync: answer}) != nil {
			return
		}
	}
}

func (r *Router) answerSync(ctx context.Context, in *wire.Sync) (*wire.Sync, error) {
	now, err := r.applyObjects(ctx, in.Objects)
	if err != nil {
		return nil, err
	}
	if len(in.Want) > 0 {
		return r.answerBuckets(in), nil
	}
	r.mergeCrashMarks(in.Marks)
	out := &wire.Sync{Head: now, Marks: r.crashMarks()}
	if now.Root != in.Head.Root {
		out.Objects = r.snapshot.Load().recent.newerThan(in.Head.Head)
	}
	// The peer sends its buckets when the newest objects were not enough.
	if now.Root == in.Head.Root || len(in.Head.Buckets) == 0 {
		out.Head.Buckets = nil
	}
	return out, nil
}

// answerBuckets returns the objects of the buckets that a peer wants.
func (r *Router) answerBuckets(in *wire.Sync) *wire.Sync {
	store := r.snapshot.Load().store
	out := &wire.Sync{Head: wire.Digest{Head: store.Head()}}
	for _, b := range in.Want {
		out.Objects = append(out.Objects, store.Bucket(b)...)
	}
	return out
}

const maxMessageMarks = 256

func (r *Router) crashMarks() []wire.Mark {
	ms := r.crashes.Marks(time.Now())
	return ms[:min(len(ms), maxMessageMarks)]
}

func (r *Router) mergeCrashMarks(ms []wire.Mark) {
	if len(ms) > 0 {
		now := time.Now()
		before := make([]wire.MarkState, len(ms))
		for i := range ms {
			before[i] = r.crashes.State(now, ms[i].Print)
		}
		r.crashes.Merge(now, ms)
		for i := range ms {
			r.logMarkChange(ms[i].Print, ms[i].Team, ms[i].Pipeline, before[i], r.crashes.State(now, ms[i].Print), "peer")
		}
	}
}
