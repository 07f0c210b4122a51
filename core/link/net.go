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

// Net is a network in memory with faults, for tests in virtual time. Processes
// are known by the names in their hellos. It is safe for concurrent use.
type Net struct {
	mu        sync.Mutex
	listeners map[wire.Address]*netListener
	sessions  map[*netSession]struct{}
	cut       map[direction]bool
	delay     map[direction]time.Duration
	intercept func(from, to wire.HostID, f *wire.Frame) []*wire.Frame
}

type direction struct{ from, to wire.HostID }

const (
	// acceptBacklog bounds the streams or sessions that wait to be accepted.
	acceptBacklog = 4096
	// streamBuffer bounds the frames that wait on one stream; Send blocks beyond
	// it. The buffers are allocated with the stream, so a large bound slows tests
	// that open many.
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

// Cut loses every frame from one process to another, on open and on new
// sessions, until Heal.
func (n *Net) Cut(from, to wire.HostID) { n.setCut(from, to, true) }

// Heal ends a Cut; frames lost meanwhile stay lost.
func (n *Net) Heal(from, to wire.HostID) { n.setCut(from, to, false) }

func (n *Net) setCut(from, to wire.HostID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[direction{from, to}] = cut
}

// Delay sets the one-way delay from one process to another.
func (n *Net) Delay(from, to wire.HostID, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[direction{from, to}] = d
}

// Blackhole loses every later frame on the sessions that are open now between the
// two processes; new sessions work.
func (n *Net) Blackhole(a, b wire.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.sessions {
		if s.local == a && s.peer.Name == b || s.local == b && s.peer.Name == a {
			s.blackholed = true
		}
	}
}

// Intercept passes each frame through f, which returns the frames to deliver.
func (n *Net) Intercept(f func(from, to wire.HostID, f *wire.Frame) []*wire.Frame) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.intercept = f
}

// Kill ends the sessions of a process and its listener, as a crash does.
func (n *Net) Kill(name wire.HostID) {
	n.mu.Lock()
	var doomed []*netSession
	for s := range n.sessions {
		if s.local == name {
			doomed = append(doomed, s)
		}
	}
	for addr, l := range n.listeners {
		if l.hello.Name == name {
			delete(n.listeners, addr)
		}
	}
	n.mu.Unlock()
	for _, s := range doomed {
		s.end()
		s.remote.end()
	}
}

// applyFaults returns the frames to deliver for f and their delay, or lost.
func (n *Net) applyFaults(s *netSession, f *wire.Frame) (out []*wire.Frame, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := direction{s.local, s.peer.Name}
	if s.blackholed || n.cut[r] {
		return nil, 0
	}
	out = []*wire.Frame{f}
	if n.intercept != nil {
		out = n.intercept(r.from, r.to, f)
	}
	return out, n.delay[r]
}

func (n *Net) reachable(s *netSession) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !s.blackholed && !n.cut[direction{s.local, s.peer.Name}]
}

// Listen accepts sessions at addr for the process that hello names.
func (n *Net) Listen(addr wire.Address, hello wire.Hello) Listener {
	l := &netListener{net: n, addr: addr, hello: hello, backlog: make(chan *netSession, acceptBacklog), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// Dial implements Dialer.
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

type netSession struct {
	net        *Net
	local      wire.HostID
	peer       wire.Hello
	remote     *netSession
	ctrl       *netStream
	incoming   chan *netStream
	blackholed bool // guarded by net.mu
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
	reached := s.net.reachable(s)
	s.end()
	if reached {
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

type netFrame struct {
	data      []byte // nil for the end of the stream
	deliverAt time.Time
}

// netStream is one end of a stream. The far end learns of a stream with the
// first frame that reaches it, as with QUIC.
type netStream struct {
	session     *netSession
	out         chan netFrame
	in          chan netFrame
	reset       chan struct{} // closed when the far end has reset
	remote      *netStream
	resetOnce   sync.Once
	unannounced *netStream
	eof         bool
}

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
	frames, d := s.session.net.applyFaults(s.session, f)
	at := time.Now().Add(d)
	for _, f := range frames {
		data, err := f.MarshalMsg(nil)
		if err != nil {
			return err
		}
		if err = s.deliver(netFrame{data, at}); err != nil {
			return err
		}
	}
	return nil
}

func (s *netStream) deliver(nf netFrame) error {
	if p := s.unannounced; p != nil {
		s.unannounced = nil
		s.session.remote.incoming <- p
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
