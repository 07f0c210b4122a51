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
	// gossipDelay is the time from a change to the exchange that it triggers.
	gossipDelay = 200 * time.Millisecond
	// gossipTimeout bounds one exchange.
	gossipTimeout = 2 * time.Second
	// maxPeers bounds the addresses of peerAddresses, unless Config.Peers has more.
	maxPeers = 9
	// gossipFanout is the number of peers to exchange with after a change; the
	// periodic exchange reaches the others.
	gossipFanout = 2
)

// gossiper exchanges configuration with other routers over sessions that it keeps
// open. It is used by the goroutine of gossipLoop only.
type gossiper struct {
	r         *Router
	sessions  map[wire.Address]link.Session
	epoch     wire.Epoch
	peerIndex int
}

// requestGossip makes gossipLoop exchange with gossipFanout peers soon. It is
// called after a change.
func (r *Router) requestGossip() {
	select {
	case r.gossipRequested <- struct{}{}:
	default:
	}
}

// gossipLoop exchanges configuration and crash marks with one peer after another,
// at every interval and after changes.
func (r *Router) gossipLoop(ctx context.Context) {
	sub := r.ticker.Subscribe(gossipInterval, "peers")
	defer sub.Close()
	g := &gossiper{r: r, sessions: map[wire.Address]link.Session{}}
	defer g.closeAll()
	for {
		n := 1
		select {
		case <-sub.C:
		case <-r.gossipRequested:
			// While the platform is reachable, most peers have the change after the
			// delay. The exchange then ends at equal root hashes and costs little.
			if !clock.Sleep(ctx, gossipDelay) {
				return
			}
			n = gossipFanout
		case <-ctx.Done():
			return
		}
		for range n {
			g.exchangeWithNext(ctx)
		}
	}
}

// exchangeWithNext exchanges with the next peer in round-robin order.
func (g *gossiper) exchangeWithNext(ctx context.Context) {
	addrs := g.r.peerAddresses()
	g.closeUnused(addrs)
	if len(addrs) == 0 {
		return
	}
	g.peerIndex++
	addr := addrs[g.peerIndex%len(addrs)]
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	if err := g.exchange(ctx, addr); err != nil {
		g.r.log.Debug("peer not reached", "peer", addr, "err", err)
		g.r.Inc("peer_failed", "")
		g.closeSession(addr)
	}
}

// peerAddresses returns the addresses in Config.Peers and then those of the live
// routers at distances 1, 2, 4 and so on after this one in the ring of names. It
// adds none beyond maxPeers.
func (r *Router) peerAddresses() []wire.Address {
	out := slices.Clone(r.cfg.Peers)
	hosts := r.snapshot.Load().routerHosts
	self := slices.IndexFunc(hosts, func(h routerHost) bool { return h.name == r.cfg.Name })
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

// routerHost is a router in the host list.
type routerHost struct {
	name wire.HostID
	addr wire.Address
}

// routerHosts returns the live routers in the host list, in name order.
func (c *control) routerHosts() (out []routerHost) {
	for _, h := range c.hosts {
		if h.Role == wire.RoleRouter && h.State == plat.HostLive {
			out = append(out, routerHost{h.Name, h.Address})
		}
	}
	slices.SortFunc(out, func(a, b routerHost) int { return cmp.Compare(a.name, b.name) })
	return out
}

// closeUnused closes the sessions to addresses that are not in keep.
func (g *gossiper) closeUnused(keep []wire.Address) {
	for addr := range g.sessions {
		if !slices.Contains(keep, addr) {
			g.closeSession(addr)
		}
	}
}

func (g *gossiper) closeSession(addr wire.Address) {
	if s := g.sessions[addr]; s != nil {
		s.Close("peer dropped")
		delete(g.sessions, addr)
	}
}

func (g *gossiper) closeAll() {
	for addr := range g.sessions {
		g.closeSession(addr)
	}
}

// session returns the open session to addr or dials a new one.
func (g *gossiper) session(ctx context.Context, addr wire.Address) (link.Session, error) {
	if s := g.sessions[addr]; s != nil {
		select {
		case <-s.Done():
		default:
			return s, nil
		}
	}
	g.epoch++
	s, err := g.r.dialer.Dial(ctx, addr, g.r.hello(g.epoch))
	if err == nil {
		g.sessions[addr] = s
	}
	return s, err
}

// exchange brings this router and one peer to the same configuration
// (anti-entropy). The two usually differ by the newest tickets only, which are
// sent along with the root hashes. If that isn't enough, they exchange all objects
// of the buckets that differ; the size of buckets grows with the fleet.
func (g *gossiper) exchange(ctx context.Context, addr wire.Address) error {
	s, err := g.session(ctx, addr)
	if err != nil {
		return err
	}
	st, err := s.Open(ctx)
	if err != nil {
		return err
	}
	defer st.Reset()
	snap := g.r.snapshot.Load()
	ownDigest, peerDigest, err := g.syncDigests(ctx, st, &wire.Sync{Head: rootDigest(snap.store), Marks: g.r.crashMarks()})
	if err != nil || peerDigest.Root == ownDigest.Root {
		return err
	}
	if newer := snap.recent.objectsToSend(peerDigest.Head); len(newer) > 0 {
		ownDigest.Buckets = nil
		ownDigest, peerDigest, err = g.syncDigests(ctx, st, &wire.Sync{Head: ownDigest, Objects: newer})
		if err != nil || peerDigest.Root == ownDigest.Root {
			return err
		}
	}
	if ownDigest, peerDigest, err = g.syncDigests(ctx, st, &wire.Sync{Head: ownDigest}); err != nil {
		return err
	}
	return g.exchangeBuckets(ctx, st, differingBuckets(ownDigest, peerDigest))
}

// syncDigests sends one message and applies the marks and objects of the answer.
// It returns the local digest after that and the peer's digest in the answer.
func (g *gossiper) syncDigests(ctx context.Context, st link.Stream, msg *wire.Sync) (own, theirs wire.Digest, err error) {
	answer, err := sendSync(ctx, st, msg)
	if err != nil {
		return own, theirs, err
	}
	g.r.mergeCrashMarks(answer.Marks)
	own, err = g.r.applyObjects(ctx, answer.Objects)
	return own, answer.Head, err
}

// exchangeBuckets sends the objects of the given buckets to the peer and applies
// those that the peer answers with.
func (g *gossiper) exchangeBuckets(ctx context.Context, st link.Stream, buckets []int) error {
	for _, msg := range splitBuckets(g.r.snapshot.Load().store, buckets) {
		answer, err := sendSync(ctx, st, msg)
		if err != nil {
			return err
		}
		if _, err = g.r.applyObjects(ctx, answer.Objects); err != nil {
			return err
		}
	}
	return nil
}

// applyObjects merges objects that a peer has sent and returns the digest after
// that.
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

// rootDigest returns the digest of a store without the bucket hashes.
func rootDigest(s *ticket.Store) wire.Digest {
	d := s.Digest()
	d.Buckets = nil
	return d
}

const (
	// maxRecent covers the tickets of a 15-minute network partition at 21,000
	// tickets a day, so that no buckets need be exchanged after it.
	maxRecent = 256
	// recentWindow is the time for which a changed object is also sent to peers
	// that have a higher ticket, since they may still lack this one.
	recentWindow = time.Second
)

// recentObjects holds the objects that changed last, oldest first. It is
// immutable.
type recentObjects []recentObject

// recentObject is an object and the time at which this router applied it.
type recentObject struct {
	obj       *wire.Object
	appliedAt time.Time
}

// withChanges returns a copy with the changed objects added, cut to the last
// maxRecent objects.
func (r recentObjects) withChanges(changes []ticket.Change) recentObjects {
	next := slices.Clone(r)
	now := time.Now()
	for _, ch := range changes[max(0, len(changes)-maxRecent):] {
		next = append(next, recentObject{ch.New, now})
	}
	return next[max(0, len(next)-maxRecent):]
}

// objectsToSend returns the objects to send to a peer whose highest ticket is head:
// those of higher tickets and those applied within recentWindow.
func (r recentObjects) objectsToSend(head wire.TicketNumber) (out []wire.Object) {
	for _, o := range r {
		if o.obj.Number > head || time.Since(o.appliedAt) < recentWindow {
			out = append(out, *o.obj)
		}
	}
	return out
}

// sendSync sends a message on the stream and waits for the answer.
func sendSync(ctx context.Context, st link.Stream, msg *wire.Sync) (*wire.Sync, error) {
	if err := st.Send(&wire.Frame{Sync: msg}); err != nil {
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

// differingBuckets returns the indexes of the buckets of a whose hashes differ
// from those of b.
func differingBuckets(a, b wire.Digest) (out []int) {
	for i := range a.Buckets {
		if i >= len(b.Buckets) || a.Buckets[i] != b.Buckets[i] {
			out = append(out, i)
		}
	}
	return out
}

// Limits on the objects and buckets in one message, which keep it under about
// 1 MiB.
const (
	maxMessageObjects = 1024
	maxMessageBuckets = 8
)

// splitBuckets splits the objects of some buckets into messages. Each message
// requests the peer's objects of the same buckets.
func splitBuckets(s *ticket.Store, buckets []int) (out []*wire.Sync) {
	msg := &wire.Sync{Head: wire.Digest{Head: s.Head()}}
	for _, b := range buckets {
		objs := s.Bucket(b)
		if len(msg.Want) > 0 && (len(msg.Objects)+len(objs) > maxMessageObjects || len(msg.Want) >= maxMessageBuckets) {
			out = append(out, msg)
			msg = &wire.Sync{Head: wire.Digest{Head: s.Head()}}
		}
		msg.Want = append(msg.Want, b)
		msg.Objects = append(msg.Objects, objs...)
	}
	if len(msg.Want) > 0 {
		out = append(out, msg)
	}
	return out
}

// acceptPeers accepts sessions of other routers and serves their exchanges.
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

// servePeer serves the exchanges of a session until it ends.
func (r *Router) servePeer(ctx context.Context, s link.Session) {
	defer s.Close("router stopped")
	for {
		st, err := s.Accept(ctx)
		if err != nil {
			return
		}
		// A peer has only one exchange open at a time, so serve them one by one.
		r.serveExchange(ctx, st)
	}
}

// serveExchange answers the messages of one exchange until the peer ends it.
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

// answerSync applies the objects of a message. If the message requests buckets, the
// answer holds their objects. Otherwise answerSync merges the marks too and answers
// with this router's digest, its marks and the recent objects that the peer may lack.
func (r *Router) answerSync(ctx context.Context, in *wire.Sync) (*wire.Sync, error) {
	digest, err := r.applyObjects(ctx, in.Objects)
	if err != nil {
		return nil, err
	}
	if len(in.Want) > 0 {
		return r.answerBuckets(in), nil
	}
	r.mergeCrashMarks(in.Marks)
	out := &wire.Sync{Head: digest, Marks: r.crashMarks()}
	if digest.Root != in.Head.Root {
		out.Objects = r.snapshot.Load().recent.objectsToSend(in.Head.Head)
	}
	// Bucket hashes are needed only if the peer has sent its own, which it does
	// when the recent objects weren't enough.
	if digest.Root == in.Head.Root || len(in.Head.Buckets) == 0 {
		out.Head.Buckets = nil
	}
	return out, nil
}

// answerBuckets returns the objects of the buckets that a peer requests.
func (r *Router) answerBuckets(in *wire.Sync) *wire.Sync {
	store := r.snapshot.Load().store
	out := &wire.Sync{Head: wire.Digest{Head: store.Head()}}
	for _, b := range in.Want {
		out.Objects = append(out.Objects, store.Bucket(b)...)
	}
	return out
}

// maxMessageMarks bounds the crash marks in one message.
const maxMessageMarks = 256

// crashMarks returns the crash marks to send to a peer.
func (r *Router) crashMarks() []wire.Mark {
	ms := r.crashes.Marks(time.Now())
	return ms[:min(len(ms), maxMessageMarks)]
}

// mergeCrashMarks merges crash marks from a peer and logs those whose state has
// changed.
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
