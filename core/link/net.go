package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"hornbeamcove.example/core/wire"
)

// Net is an in-memory network with fault injection, for tests in virtual time.
// It identifies processes by the host names in their hellos. It is safe for
// concurrent use.
type Net struct {
	mu        sync.Mutex
	listeners map[wire.Address]*netListener
	sessions  map[*netSession]struct{} // both ends of each open session
	cut       map[direction]bool
	delay     map[direction]time.Duration // one-way
	intercept func(from, to wire.HostID, f *wire.Frame) []*wire.Frame
}

// direction is an ordered pair of processes.
type direction struct{ from, to wire.HostID }

const (
	// acceptBacklog is the number of streams or sessions that may wait to be
	// accepted.
	acceptBacklog = 4096
	// streamBuffer is the number of frames buffered per direction of a stream; Send
	// blocks when they are used up. The buffer is allocated with the stream, so a
	// large one slows tests that open many streams.
	streamBuffer = 256
)

var errUnreachable = errors.New("no route to peer")

// NewNet returns a network without faults.
func NewNet() *Net {
	return &Net{
		listeners: map[wire.Address]*netListener{},
		sessions:  map[*netSession]struct{}{},
		cut:       map[direction]bool{},
		delay:     map[direction]time.Duration{},
	}
}

// Cut drops every frame from one process to another, on open and on new
// sessions, until Heal is called. Dials in either direction time out.
func (n *Net) Cut(from, to wire.HostID) { n.setCut(from, to, true) }

// Heal reverts Cut. Frames dropped in between are not delivered.
func (n *Net) Heal(from, to wire.HostID) { n.setCut(from, to, false) }

func (n *Net) setCut(from, to wire.HostID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[direction{from, to}] = cut
}

// Delay sets the one-way delay of frames from one process to another.
func (n *Net) Delay(from, to wire.HostID, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[direction{from, to}] = d
}

// Blackhole drops all further frames, in both directions, on the sessions that
// are open between the two processes. Sessions dialled later work.
func (n *Net) Blackhole(a, b wire.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.sessions {
		if s.local == a && s.peer.Name == b || s.local == b && s.peer.Name == a {
			s.blackholed = true
		}
	}
}

// Intercept passes each sent frame to intercept and delivers the frames that it returns
// instead. intercept is called with the network's lock held.
func (n *Net) Intercept(intercept func(from, to wire.HostID, f *wire.Frame) []*wire.Frame) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.intercept = intercept
}

// Kill closes the sessions of a process and removes its listener, as a crash
// would.
func (n *Net) Kill(name wire.HostID) {
	n.mu.Lock()
	var killed []*netSession
	for s := range n.sessions {
		if s.local == name {
			killed = append(killed, s)
		}
	}
	for addr, l := range n.listeners {
		if l.hello.Name == name {
			delete(n.listeners, addr)
		}
	}
	n.mu.Unlock()
	for _, s := range killed {
		s.end()
		s.remote.end()
	}
}

// applyFaults returns the frames to deliver in place of f and their one-way
// delay. It returns no frames when f is dropped.
func (n *Net) applyFaults(s *netSession, f *wire.Frame) (out []*wire.Frame, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	dir := direction{s.local, s.peer.Name}
	if s.blackholed || n.cut[dir] {
		return nil, 0
	}
	out = []*wire.Frame{f}
	if n.intercept != nil {
		out = n.intercept(dir.from, dir.to, f)
	}
	return out, n.delay[dir]
}

// reachable reports whether the remote end notices that s or one of its streams is
// closed or reset.
func (n *Net) reachable(s *netSession) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !s.blackholed && !n.cut[direction{s.local, s.peer.Name}]
}

// Listen returns a listener at addr for the process that hello describes. The
// listener's Accept returns the sessions that other processes dial.
func (n *Net) Listen(addr wire.Address, hello wire.Hello) Listener {
	l := &netListener{net: n, addr: addr, hello: hello, backlog: make(chan *netSession, acceptBacklog), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// Dial implements Dialer. If either direction is cut it fails after the handshake
// timeout.
func (n *Net) Dial(ctx context.Context, addr wire.Address, hello wire.Hello) (Session, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	blocked := l == nil || n.cut[direction{hello.Name, l.hello.Name}] || n.cut[direction{l.hello.Name, hello.Name}]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: %w", addr, errUnreachable)
	}
	if blocked {
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, fmt.Errorf("dial %s: %w", addr, ctx.Err())
	}
	near := newNetSession(n, hello.Name, l.hello)
	far := newNetSession(n, l.hello.Name, hello)
	near.remote, far.remote = far, near
	near.ctrl, far.ctrl = newNetStreams(near, far)
	n.mu.Lock()
	n.sessions[near], n.sessions[far] = struct{}{}, struct{}{}
	n.mu.Unlock()
	select {
	case l.backlog <- far:
		return near, nil
	case <-l.done:
		return nil, fmt.Errorf("dial %s: %w", addr, errUnreachable)
	}
}

// netListener implements Listener on a Net.
type netListener struct {
	net     *Net
	addr    wire.Address
	hello   wire.Hello
	backlog chan *netSession
	once    sync.Once
	done    chan struct{}
}

func (l *netListener) Addr() wire.Address { return l.addr }

func (l *netListener) Accept(ctx context.Context) (Session, error) {
	select {
	case s := <-l.backlog:
		return s, nil
	case <-l.done:
		return nil, ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *netListener) Close() error {
	l.once.Do(func() { close(l.done) })
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.listeners[l.addr] == l {
		delete(l.net.listeners, l.addr)
	}
	return nil
}

// netSession is one end of a session.
type netSession struct {
	net        *Net
	local      wire.HostID
	peer       wire.Hello
	remote     *netSession // other end
	ctrl       *netStream
	incoming   chan *netStream // streams to be accepted
	blackholed bool            // frames are dropped; guarded by net.mu
	once       sync.Once
	done       chan struct{}
}

func newNetSession(n *Net, local wire.HostID, peer wire.Hello) *netSession {
	return &netSession{net: n, local: local, peer: peer, incoming: make(chan *netStream, acceptBacklog), done: make(chan struct{})}
}

func (s *netSession) Peer() wire.Hello      { return s.peer }
func (s *netSession) Control() Stream       { return s.ctrl }
func (s *netSession) Done() <-chan struct{} { return s.done }

func (s *netSession) end() {
	s.once.Do(func() { close(s.done) })
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	delete(s.net.sessions, s)
}

func (s *netSession) Close(string) {
	reachable := s.net.reachable(s)
	s.end()
	if reachable {
		s.remote.end()
	}
}

func (s *netSession) Open(ctx context.Context) (Stream, error) {
	select {
	case <-s.done:
		return nil, ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	default:
	}
	near, far := newNetStreams(s, s.remote)
	near.unannounced = far
	return near, nil
}

func (s *netSession) Accept(ctx context.Context) (Stream, error) {
	select {
	case st := <-s.incoming:
		return st, nil
	case <-s.done:
		return nil, ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// netFrame is an encoded frame on its way.
type netFrame struct {
	data      []byte // nil marks the end of the stream
	deliverAt time.Time
}

// netStream is one end of a stream. As with QUIC, the remote process can accept a
// stream only once a frame on it has been delivered.
type netStream struct {
	session     *netSession
	out         chan netFrame
	in          chan netFrame
	reset       chan struct{} // closed when the remote end has called Reset
	remote      *netStream    // other end
	resetOnce   sync.Once
	unannounced *netStream // remote end, until it is queued for Accept by the first frame
	eof         bool       // Recv has returned io.EOF
}

// newNetStreams returns the two ends of a new stream.
func newNetStreams(near, far *netSession) (a, b *netStream) {
	ab, ba := make(chan netFrame, streamBuffer), make(chan netFrame, streamBuffer)
	a = &netStream{session: near, out: ab, in: ba, reset: make(chan struct{})}
	b = &netStream{session: far, out: ba, in: ab, reset: make(chan struct{})}
	a.remote, b.remote = b, a
	return a, b
}

func (s *netStream) Send(f *wire.Frame) error {
	select {
	case <-s.session.done:
		return ErrClosed
	case <-s.reset:
		return ErrReset
	default:
	}
	frames, delay := s.session.net.applyFaults(s.session, f)
	deliverAt := time.Now().Add(delay)
	for _, f := range frames {
		data, err := f.MarshalMsg(nil)
		if err != nil {
			return err
		}
		if err = s.deliver(netFrame{data, deliverAt}); err != nil {
			return err
		}
	}
	return nil
}

// deliver queues a frame for the remote end. Before the first frame it queues the
// remote end of the stream for Accept.
func (s *netStream) deliver(nf netFrame) error {
	if remote := s.unannounced; remote != nil {
		s.unannounced = nil
		s.session.remote.incoming <- remote
	}
	select {
	case s.out <- nf:
		return nil
	case <-s.session.done:
		return ErrClosed
	}
}

func (s *netStream) Recv(ctx context.Context) (*wire.Frame, error) {
	if s.eof {
		return nil, io.EOF
	}
	// Frames that are already queued are returned even after a reset or close.
	var nf netFrame
	select {
	case nf = <-s.in:
	default:
		select {
		case nf = <-s.in:
		case <-s.reset:
			return nil, ErrReset
		case <-s.session.done:
			return nil, ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if wait := time.Until(nf.deliverAt); wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if nf.data == nil {
		s.eof = true
		return nil, io.EOF
	}
	return wire.DecodeFrame(nf.data)
}

func (s *netStream) Close() error {
	if !s.session.net.reachable(s.session) || s.unannounced != nil {
		return nil
	}
	return s.deliver(netFrame{deliverAt: time.Now()})
}

func (s *netStream) Reset() {
	if s.session.net.reachable(s.session) {
		s.remote.resetOnce.Do(func() { close(s.remote.reset) })
	}
}
