// Package link provides the transport between processes: sessions that
// multiplex streams of wire frames. QUIC implements it over UDP with mutual TLS.
// Net implements it in memory and injects faults in tests.
package link

import (
	"context"
	"errors"

	"hornbeamcove.example/core/wire"
)

// Protocol is the ALPN protocol ID of sessions between processes.
const Protocol = "hornbeamcove/1"

// Version is the highest protocol version that this build speaks.
const Version wire.Version = 1

// ErrReset is returned by the operations of a stream after the peer has called
// Reset, for instance because its caller cancelled.
var ErrReset = errors.New("stream reset by peer")

// ErrClosed is returned after the session or listener was closed.
var ErrClosed = errors.New("session closed")

// Stream is a bidirectional, ordered stream of frames. Send and Recv may each be
// called by one goroutine at a time.
type Stream interface {
	// Send writes one frame.
	Send(f *wire.Frame) error
	// Recv waits for the next frame until ctx is done. It returns io.EOF once the
	// peer has closed its sending side. After any error the stream is unusable.
	Recv(ctx context.Context) (*wire.Frame, error)
	// Close closes the sending side; Recv still works.
	Close() error
	// Reset aborts both directions; the peer's calls return ErrReset.
	Reset()
}

// Session is a connection between two processes.
type Session interface {
	// Peer returns the hello that the peer sent in the handshake.
	Peer() wire.Hello
	// Control returns the stream on which the hellos were exchanged.
	Control() Stream
	// Open opens a stream to the peer.
	Open(ctx context.Context) (Stream, error)
	// Accept waits for the next stream that the peer opens.
	Accept(ctx context.Context) (Stream, error)
	// Done returns a channel that is closed when the session has ended.
	Done() <-chan struct{}
	// Close ends the session and sends reason to the peer if it is reachable.
	Close(reason string)
}

// Dialer opens sessions.
type Dialer interface {
	// Dial connects to the process at addr and sends it hello.
	Dial(ctx context.Context, addr wire.Address, hello wire.Hello) (Session, error)
}

// Listener accepts sessions.
type Listener interface {
	// Accept waits for the next session whose handshake has succeeded.
	Accept(ctx context.Context) (Session, error)
	// Addr returns the address that the listener is bound to.
	Addr() wire.Address
	// Close stops accepting sessions.
	Close() error
}
