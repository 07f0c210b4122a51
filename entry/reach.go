package entry

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"hornbeamcove.example/core/wire"
)

// minSilence is the time without an answer from which a router counts as silent. It is far above the
// delay between data centres; calls with a shorter timeout say nothing about the router.
const minSilence = rpcDialTimeout

// reach tracks which routers don't answer the calls of this one. Others may still hear of them, or
// have heard of them before they fell silent. It is safe for concurrent use; the zero value knows of
// none.
type reach struct {
	mu     sync.Mutex
	silent map[wire.Address]struct{}
	orders map[wire.Address]int      // orders that wait for an answer
	asked  map[wire.Address]struct{} // addresses with a ping on its way
}

// record notes how a call to the router at an address has ended. It returns whether the router has
// just become silent.
func (r *reach) record(addr wire.Address, answered bool) (fellSilent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.silent[addr]
	switch {
	case answered && known:
		delete(r.silent, addr)
	case !answered && !known:
		if r.silent == nil {
			r.silent = map[wire.Address]struct{}{}
		}
		r.silent[addr] = struct{}{}
		return true
	}
	return false
}

// isSilent reports whether the router at an address has left calls unanswered since its last answer.
func (r *reach) isSilent(addr wire.Address) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.silent[addr]
	return ok
}

// addOrders changes the number of orders that wait for the router at an address.
func (r *reach) addOrders(addr wire.Address, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orders == nil {
		r.orders = map[wire.Address]int{}
	}
	if r.orders[addr] += n; r.orders[addr] == 0 {
		delete(r.orders, addr)
	}
}

// takePings returns the addresses to ping, of silent routers and of those for which orders wait, and
// forgets the silent routers that are not among the given ones, which others hear of. Addresses with a
// ping on its way are left out.
func (r *reach) takePings(heardOf map[wire.Address]bool) (addrs []wire.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.silent, func(a wire.Address, _ struct{}) bool { return !heardOf[a] })
	wanted := maps.Clone(r.silent)
	if wanted == nil {
		wanted = map[wire.Address]struct{}{}
	}
	for a := range r.orders {
		wanted[a] = struct{}{}
	}
	if r.asked == nil {
		r.asked = map[wire.Address]struct{}{}
	}
	for a := range wanted {
		if _, ok := r.asked[a]; !ok {
			r.asked[a] = struct{}{}
			addrs = append(addrs, a)
		}
	}
	return addrs
}

// endPing notes that a ping that takePings asked for has ended.
func (r *reach) endPing(addr wire.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asked, addr)
}

// isUnreachable reports whether err says that an address could not be reached, rather than that it
// refused the connection.
func isUnreachable(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout() || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// recordCall notes the end of a call to another router; a refused connection is an answer of its host.
// A call that ends late because this process was suspended says nothing about the router.
func (p *peers) recordCall(addr wire.Address, answered bool) {
	if !answered && p.mayBeDelayed(time.Now()) {
		return
	}
	if p.reach.record(addr, answered) {
		p.s.log.Info("peer silent", "address", addr)
		p.s.incCounter("peers_silent")
	}
}

// pingUncertain asks the silent routers that others hear of, and those for which orders wait, whether
// they answer. An order may wait for long, also on a connection that has gone silent: a call that is not
// answered in time closes it.
func (p *peers) pingUncertain(ctx context.Context, now time.Time) {
	heardOf := map[wire.Address]bool{}
	p.mu.Lock()
	for _, m := range p.members {
		if m.isAlive(now) {
			heardOf[m.Address] = true
		}
	}
	p.mu.Unlock()
	for _, a := range p.reach.takePings(heardOf) {
		p.s.background.Go(func() {
			defer p.reach.endPing(a)
			var reply int
			if err := p.call(ctx, a, "Peer.Ping", 0, &reply, ownerTimeout); err != nil {
				p.s.log.Debug("peer does not answer a ping", "peer", a, "err", err)
			}
		})
	}
}

// Ping answers, to show that the router runs and can be reached. Builds without it answer with an
// error, which shows the same.
func (p *Peer) Ping(_ int, _ *int) error { return nil }
