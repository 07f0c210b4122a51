package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"hornbeamcove.example/core/certs"
	"hornbeamcove.example/core/wire"
)

const (
	handshakeTimeout = 2 * time.Second
	// keepAlivePeriod keeps 256 idle sessions of a router under 3 KB/s; calls have a
	// liveness check of their own.
	keepAlivePeriod = 30 * time.Second
	idleTimeout     = 90 * time.Second
	// sendTimeout bounds a Send to a peer that stopped reading.
	sendTimeout = 5 * time.Second
	maxStreams  = 4096

	codeReset           quic.StreamErrorCode      = 1
	codeClosed          quic.ApplicationErrorCode = 1
	codeHandshakeFailed quic.ApplicationErrorCode = 2
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlivePeriod,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
		// Probes of the path cost a fresh session about 200 B/s for a minute, as
		// much as 30 idle ones; frames are small.
		DisablePathMTUDiscovery: true,
	}
}

// QUIC opens and accepts sessions over one UDP socket with mutual TLS.
type QUIC struct {
	src       *certs.Source
	hello     wire.Hello
	conn      *countingConn
	transport *quic.Transport
	listener  *quic.Listener
	accepted  chan Session
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// Listen binds addr and accepts sessions from the given roles. The hello is
// sent to each peer that connects.
func Listen(addr wire.Address, src *certs.Source, hello wire.Hello, roles ...wire.Role) (q *QUIC, err error) {
	defer func() {
		if err != nil {
			q, err = nil, fmt.Errorf("listen on %s: %w", addr, err)
		}
	}()
	ua, err := net.ResolveUDPAddr("udp", string(addr))
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", ua)
	if err != nil {
		return nil, err
	}
	conn := newCountingConn(socket)
	q = &QUIC{src: src, hello: hello, conn: conn, transport: &quic.Transport{Conn: conn}, accepted: make(chan Session)}
	q.listener, err = q.transport.Listen(src.ServerConfig(Protocol, roles...), quicConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	q.cancel = stop
	q.wg.Go(func() { q.acceptLoop(ctx) })
	return q, nil
}

// Addr returns the bound address.
func (q *QUIC) Addr() wire.Address { return wire.Address(q.conn.LocalAddr().String()) }

// Accept waits for the next session whose hello was valid.
func (q *QUIC) Accept(ctx context.Context) (Session, error) {
	select {
	case s, ok := <-q.accepted:
		if !ok {
			return nil, ErrClosed
		}
		return s, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (q *QUIC) acceptLoop(ctx context.Context) {
	for {
		c, err := q.listener.Accept(ctx)
		if err != nil {
			return
		}
		// Hellos run beside each other, so that a peer that connects and then
		// stays silent does not block the others.
		q.wg.Go(func() {
			s, err := q.acceptHandshake(ctx, c)
			if err != nil {
				_ = c.CloseWithError(codeHandshakeFailed, err.Error())
				return
			}
			select {
			case q.accepted <- s:
			case <-ctx.Done():
				s.Close("listener closed")
			}
		})
	}
}

func (q *QUIC) acceptHandshake(ctx context.Context, c *quic.Conn) (s *quicSession, err error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	raw, err := c.AcceptStream(ctx)
	if err != nil {
		return nil, err
	}
	ctrl := &quicStream{raw: raw}
	peer, err := recvHello(ctx, ctrl, c)
	if err != nil {
		return nil, err
	}
	if err = ctrl.Send(&wire.Frame{Hello: &q.hello}); err != nil {
		return nil, err
	}
	return &quicSession{conn: c, peer: *peer, ctrl: ctrl}, nil
}

// recvHello reads the peer's hello and compares it with its certificate, so
// that a process cannot speak under another's name.
func recvHello(ctx context.Context, ctrl Stream, c *quic.Conn) (h *wire.Hello, err error) {
	f, err := ctrl.Recv(ctx)
	if err != nil {
		return nil, err
	}
	if f.Hello == nil {
		return nil, errors.New("first frame is not a hello")
	}
	id, err := certs.ParseIdentity(c.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		return nil, err
	}
	said := certs.Identity{Role: f.Hello.Role, Centre: f.Hello.Centre, Name: f.Hello.Name}
	if said != id {
		return nil, fmt.Errorf("hello says %s, certificate says %s", said, id)
	}
	return f.Hello, nil
}

// Dial opens a session to addr from the same socket. The role of the process
// there must be one that the sender of hello may talk to.
func (q *QUIC) Dial(ctx context.Context, addr wire.Address, hello wire.Hello) (s Session, err error) {
	defer func() {
		if err != nil {
			s, err = nil, fmt.Errorf("dial %s: %w", addr, err)
		}
	}()
	ua, err := net.ResolveUDPAddr("udp", string(addr))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	c, err := q.transport.Dial(ctx, ua, q.src.ClientConfig(Protocol, wire.RoleAgent, wire.RoleRouter), quicConfig())
	if err != nil {
		return nil, err
	}
	qs, err := dialHandshake(ctx, c, hello)
	if err != nil {
		_ = c.CloseWithError(codeHandshakeFailed, "hello failed")
		return nil, err
	}
	return qs, nil
}

func dialHandshake(ctx context.Context, c *quic.Conn, hello wire.Hello) (s *quicSession, err error) {
	raw, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	ctrl := &quicStream{raw: raw}
	if err = ctrl.Send(&wire.Frame{Hello: &hello}); err != nil {
		return nil, err
	}
	peer, err := recvHello(ctx, ctrl, c)
	if err != nil {
		return nil, err
	}
	return &quicSession{conn: c, peer: *peer, ctrl: ctrl}, nil
}

// Close ends all sessions and releases the socket.
func (q *QUIC) Close() error {
	q.cancel()
	_ = q.listener.Close()
	err := q.transport.Close()
	q.wg.Wait()
	return errors.Join(err, q.conn.Close())
}

type quicSession struct {
	conn *quic.Conn
	peer wire.Hello
	ctrl *quicStream
}

func (s *quicSession) Peer() wire.Hello      { return s.peer }
func (s *quicSession) Control() Stream       { return s.ctrl }
func (s *quicSession) Done() <-chan struct{} { return s.conn.Context().Done() }
func (s *quicSession) Close(reason string)   { _ = s.conn.CloseWithError(codeClosed, reason) }

func (s *quicSession) Open(ctx context.Context) (Stream, error) {
	raw, err := s.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	return &quicStream{raw: raw}, nil
}

func (s *quicSession) Accept(ctx context.Context) (Stream, error) {
	raw, err := s.conn.AcceptStream(ctx)
	if err != nil {
		return nil, err
	}
	return &quicStream{raw: raw}, nil
}

type quicStream struct {
	raw *quic.Stream
}

func (s *quicStream) Send(f *wire.Frame) error {
	if err := s.raw.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	return resetError(wire.WriteFrame(s.raw, f))
}

func (s *quicStream) Recv(ctx context.Context) (*wire.Frame, error) {
	stop := context.AfterFunc(ctx, func() { _ = s.raw.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	f, err := wire.ReadFrame(s.raw)
	if err != nil && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return f, resetError(err)
}

func resetError(err error) error {
	var se *quic.StreamError
	if errors.As(err, &se) && se.Remote && se.ErrorCode == codeReset {
		return ErrReset
	}
	return err
}

func (s *quicStream) Close() error { return s.raw.Close() }

func (s *quicStream) Reset() {
	s.raw.CancelRead(codeReset)
	s.raw.CancelWrite(codeReset)
}

var _ io.Closer = (*QUIC)(nil)
