package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"syscall"
	"time"

	"hornbeamcove.example/core/origin"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/wire"
)

var errPeerTimeout = errors.New("no answer from peer within the timeout")

// call calls a method of another router and waits for the answer up to timeout, or until
// ctx is done. The connection to a peer that does not answer within timeout is closed,
// so that the next call dials again. answer is valid only if the error is nil.
func (p *peers) call(ctx context.Context, addr wire.Address, method string, args, answer any, timeout time.Duration) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("call %s of peer %s: %w", method, addr, err)
		}
	}()
	c, call, err := p.start(addr, method, args, answer)
	if err != nil {
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			p.recordCall(addr, true)
		case isUnreachable(err):
			p.recordCall(addr, false)
		}
		return err
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-call.Done:
		var se rpc.ServerError
		if call.Error == nil || errors.As(call.Error, &se) {
			p.recordCall(addr, true)
			return call.Error
		}
		if isUnreachable(call.Error) {
			p.recordCall(addr, false)
		}
		p.dropClient(addr, c)
		return call.Error
	case <-t.C:
		if timeout >= minSilence {
			p.recordCall(addr, false)
		}
		p.dropClient(addr, c)
		return errPeerTimeout
	case <-ctx.Done():
		return ctx.Err()
	}
}

// start begins a call, on a new connection if the present one has ended before.
func (p *peers) start(addr wire.Address, method string, args, answer any) (c *rpc.Client, call *rpc.Call, err error) {
	for range 2 {
		if c, err = p.client(addr); err != nil {
			return nil, nil, err
		}
		call = c.Go(method, args, answer, make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
			call.Done <- call
			if !errors.Is(call.Error, rpc.ErrShutdown) {
				return c, call, nil
			}
			p.dropClient(addr, c)
		default:
			return c, call, nil
		}
	}
	return c, call, nil
}

// client returns the connection to a peer and dials it if there is none.
func (p *peers) client(addr wire.Address) (*rpc.Client, error) {
	p.mu.Lock()
	c := p.clients[addr]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	d := dialer
	d.Timeout = rpcDialTimeout
	conn, err := d.Dial("tcp", string(addr))
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c = p.clients[addr]; c != nil {
		_ = conn.Close()
		return c, nil
	}
	c = rpc.NewClient(&peerConn{Conn: conn})
	p.clients[addr] = c
	return c, nil
}

// dropClient closes c, and removes it if it is still the connection to addr.
func (p *peers) dropClient(addr wire.Address, c *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[addr] == c {
		delete(p.clients, addr)
	}
	_ = c.Close()
}

// close closes the connections to all peers.
func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.clients {
		_ = c.Close()
		delete(p.clients, a)
	}
}

// Peer is the RPC service that other routers call.
type Peer struct{ s *Server }

// Beat merges the heartbeat of another router and answers with this router's own.
func (p *Peer) Beat(b Beat, answer *Beat) error {
	now := time.Now()
	p.s.peers.mergeHeartbeat(now, b)
	p.s.peers.followConfig(context.Background(), b)
	*answer = p.s.peers.composeHeartbeat(now, beatAnswer, b.From.Name)
	return nil
}

// State returns everything that this router has read from the store. It fails if the
// control goroutine does not accept the request within heartbeatTimeout.
func (p *Peer) State(_ int, answer *State) error {
	reply := make(chan State, 1)
	select {
	case p.s.stateRequests <- reply:
		*answer = <-reply
		return nil
	case <-time.After(heartbeatTimeout):
		return errors.New("control is busy")
	}
}

// Make queues the pieces of a stage and returns when all are made or one can't be; see
// stageQueues.makePieces. An order that names no queue comes from a router that knows of one
// queue for each service. If the service is divided, the order is placed with the owner of
// one of its queues.
func (p *Peer) Make(o Order, answer *Made) error {
	ctx := context.Background()
	if o.Shard == (shard.ID{}) && p.s.queues.find(shard.ID{Service: o.Service}) == nil {
		m, _, err := p.s.placeOrder(ctx, o, nil)
		*answer = m
		return err
	}
	*answer = p.s.queues.makePieces(ctx, o)
	return nil
}

// Origins adds records of the software versions that began streams.
func (p *Peer) Origins(rs []origin.Record, _ *int) error {
	now := time.Now()
	for _, r := range rs {
		p.s.origins.table.Add(now, r)
	}
	return nil
}

// Origin answers with what this router knows about a stream.
func (p *Peer) Origin(q OriginQuery, answer *origin.Answer) error {
	*answer = p.s.origins.answer(q)
	return nil
}

// Cancel ends the jobs of a request's stage.
func (p *Peer) Cancel(o Order, _ *int) error {
	p.s.queues.cancel(o)
	return nil
}

// Free releases results that are no longer needed.
func (p *Peer) Free(f Freed, _ *int) error {
	if p.s.queues.findFor(f.Service, f.Shard) != nil {
		p.s.queues.free(f)
	} else if !f.Forwarded {
		f.Forwarded = true
		p.s.freeResults(f)
	}
	return nil
}

// acceptPause is the pause after a connection could not be accepted, for instance because there are
// no file descriptors left.
const acceptPause = 50 * time.Millisecond

// servePeers serves RPC connections from other routers until the listener is closed.
func (s *Server) servePeers(ln net.Listener) error {
	srv := rpc.NewServer()
	if err := srv.Register(&Peer{s}); err != nil {
		return err
	}
	for {
		c, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			s.log.Warn("connection of a peer not accepted", "err", err)
			s.incCounter("peer_accepts_failed")
			time.Sleep(acceptPause)
			continue
		}
		go srv.ServeConn(&peerConn{Conn: c})
	}
}
