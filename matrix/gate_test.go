package matrix

import (
	"context"
	"sync"
	"time"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/wire"
)

// process is one run of a router, an agent or a naive router. Everything that
// it sends and receives passes through this type, so that it can be paused and
// killed.
//
// A pause holds back every frame, call of Do, platform read, upstream event and
// timer tick at the boundary of the process, and releases them in order at its
// end. Deadlines that the process set itself still expire on time during the
// pause, but what it sends as a result leaves it only afterwards.
type process struct {
	w           *world
	name        wire.HostID
	incarnation wire.Incarnation
	dead        chan struct{}      // closed when the process is killed
	shutdown    context.CancelFunc // begins a planned stop
	exited      chan struct{}      // closed after Run has returned
	// ticks is the timer service. Its time stands still during a pause.
	ticks *clock.Service

	mu         sync.Mutex
	resumed    chan struct{}  // closed at the end of the pause; nil while not paused
	pausedAt   time.Time      // start of the pause
	lastResume time.Time      // end of the last pause
	heldSends  []func() error // sends held back until the end of the pause

	startedAt, stopRequestedAt, killedAt, exitedAt time.Time // guarded by w.mu
	runErr                                         error     // guarded by w.mu
}

// wait blocks while the process is paused.
func (p *process) wait() {
	for {
		p.mu.Lock()
		ch := p.resumed
		p.mu.Unlock()
		if ch == nil {
			return
		}
		select {
		case <-ch:
		case <-p.dead:
			return
		}
	}
}

// send calls f, which sends something. During a pause it queues f for the end
// of the pause and drops the error of f. A dead process sends nothing.
func (p *process) send(f func() error) error {
	p.mu.Lock()
	if p.resumed != nil {
		p.heldSends = append(p.heldSends, f)
		p.mu.Unlock()
		return nil
	}
	p.mu.Unlock()
	if p.isDead() {
		return link.ErrClosed
	}
	return f()
}

// isDead reports whether the process was killed.
func (p *process) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

// pause begins a pause, unless the process is paused.
func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed, p.pausedAt = make(chan struct{}), time.Now()
	}
}

// resume ends a pause and lets the timer service catch up.
func (p *process) resume() {
	if p.endPause() {
		// A new subscription makes the timer service read the time at once.
		p.ticks.Subscribe(time.Hour, "resumed")
	}
}

// endPause runs the sends held back and ends the pause. It reports whether
// there was one.
func (p *process) endPause() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		return false
	}
	for _, f := range p.heldSends {
		if !p.isDead() {
			_ = f()
		}
	}
	close(p.resumed)
	p.resumed, p.heldSends, p.lastResume = nil, nil, time.Now()
	return true
}

// resumedAt returns the end of the last pause, or a zero time.
func (p *process) resumedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastResume
}

// pauseMargin is how far the time during a pause lies before the start of the
// pause, so that the timer service does not spin on a tick that was due just
// after it.
const pauseMargin = 10 * time.Millisecond

// now returns the time of the process's timer service. It stands still during a
// pause.
func (p *process) now() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		return p.pausedAt.Add(-pauseMargin)
	}
	return time.Now()
}

// processDialer, processListener, processSession and processStream wrap the
// network of the code under test, so that pauses and kills of the process take
// effect on it.
type processDialer struct{ *process }

func (d processDialer) Dial(ctx context.Context, addr wire.Address, hello wire.Hello) (link.Session, error) {
	d.wait()
	if d.isDead() {
		return nil, link.ErrClosed
	}
	s, err := d.w.net.Dial(ctx, addr, hello)
	d.wait()
	if err != nil {
		return nil, err
	}
	return newProcessSession(d.process, s)
}

type processListener struct {
	link.Listener
	p *process
}

func (l processListener) Accept(ctx context.Context) (link.Session, error) {
	s, err := l.Listener.Accept(ctx)
	l.p.wait()
	if err != nil {
		return nil, err
	}
	return newProcessSession(l.p, s)
}

type processSession struct {
	link.Session
	p    *process
	ctrl link.Stream
}

// newProcessSession wraps s. It closes s instead if the process was killed
// while the session was opened.
func newProcessSession(p *process, s link.Session) (link.Session, error) {
	if p.isDead() {
		s.Close("process is dead")
		return nil, link.ErrClosed
	}
	return &processSession{s, p, &processStream{s.Control(), p}}, nil
}

func (s *processSession) Control() link.Stream { return s.ctrl }

func (s *processSession) Open(ctx context.Context) (link.Stream, error) {
	st, err := s.Session.Open(ctx)
	if err != nil {
		return nil, err
	}
	return &processStream{st, s.p}, nil
}

func (s *processSession) Accept(ctx context.Context) (link.Stream, error) {
	st, err := s.Session.Accept(ctx)
	s.p.wait()
	if err != nil {
		return nil, err
	}
	return &processStream{st, s.p}, nil
}

func (s *processSession) Close(reason string) {
	_ = s.p.send(func() error { s.Session.Close(reason); return nil })
}

type processStream struct {
	link.Stream
	p *process
}

func (s *processStream) Send(f *wire.Frame) error {
	return s.p.send(func() error { return s.Stream.Send(f) })
}

func (s *processStream) Recv(ctx context.Context) (*wire.Frame, error) {
	f, err := s.Stream.Recv(ctx)
	s.p.wait()
	if s.p.isDead() {
		return nil, link.ErrClosed
	}
	return f, err
}

func (s *processStream) Close() error { return s.p.send(s.Stream.Close) }

func (s *processStream) Reset() {
	_ = s.p.send(func() error { s.Stream.Reset(); return nil })
}
