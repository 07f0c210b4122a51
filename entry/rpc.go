package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"time"

	"hornbeamcove.example/core/wire"
)

var errPeerTimeout = errors.New("peer did not answer in time")

// call makes one call to another router. After limit, or when ctx ends, the answer
// no longer matters; a peer that was silent for the whole limit is dialled anew.
func (p *peers) call(ctx context.Context, addr wire.Address, method string, args, answer any, limit time.Duration) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("call %s of peer %s: %w", method, addr, err)
		}
	}()
	c, err := p.client(addr)
	if err != nil {
		return err
	}
	call := c.Go(method, args, answer, make(chan *rpc.Call, 1))
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-call.Done:
		var se rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &se) {
			p.dropClient(addr, c)
		}
		return call.Error
	case <-t.C:
		p.dropClient(addr, c)
		return errPeerTimeout
	case <-ctx.Done():
		return ctx.Err()
	}
}

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
	c = rpc.NewClient(conn)
	p.clients[addr] = c
	return c, nil
}

func (p *peers) dropClient(addr wire.Address, c *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[addr] == c {
		delete(p.clients, addr)
	}
	_ = c.Close()
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.clients {
		_ = c.Close()
		delete(p.clients, a)
	}
}

// Peer holds the calls that other routers make.
type Peer struct{ s *Server }

// Beat takes in a beat and answers with this router's own.
func (p *Peer) Beat(b Beat, answer *Beat) error {
	now := time.Now()
	p.s.peers.mergeHeartbeat(now, b)
	*answer = p.s.peers.composeHeartbeat(now)
	return nil
}

// State returns all that this router has read of the store.
func (p *Peer) State(_ int, answer *State) error {
	q := make(chan State, 1)
	select {
	case p.s.asked <- q:
		*answer = <-q
		return nil
	case <-time.After(heartbeatTimeout):
		return errors.New("control is busy")
	}
}

// Make makes the pieces of a stage; see stageQueues.make.
func (p *Peer) Make(o Order, answer *Made) error {
	*answer = p.s.queues.make(context.Background(), o)
	return nil
}

// Cancel withdraws what is still waiting for a request.
func (p *Peer) Cancel(o Order, _ *int) error {
	p.s.queues.cancel(o)
	return nil
}

// Free gives up results of a service.
func (p *Peer) Free(f Freed, _ *int) error {
	p.s.queues.free(f)
	return nil
}

// servePeers accepts calls of other routers until the listener is closed.
func (s *Server) servePeers(ln net.Listener) error {
	srv := rpc.NewServer()
	if err := srv.Register(&Peer{s}); err != nil {
		return err
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go srv.ServeConn(c)
	}
}
