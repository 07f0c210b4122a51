// Package link connects processes: sessions that carry many streams of wire
// frames. The QUIC form runs over UDP with mutual TLS; the in-memory form, Net,
// injects faults in tests.
package link

import (
	"context"
	"errors"

	"hornbeamcove.example/core/wire"
)

// Protocol is the ALPN name of the protocol between processes.
const Protocol = "hornbeamcove/1"

// Version is the highest protocol version that this build speaks.
const Version wire.Version = 1

// ErrReset is returned by a stream that the other end reset on purpose, for
// instance because the caller gave up.
var ErrReset = errors.New("stream reset by peer")

// ErrClosed is returned after the local end closed the session or stream.
var ErrClosed = errors.New("session closed")

// Stream carries frames both ways, in order. Send and Recv may each be used by
// one goroutine at a time.
type Stream interface {
	// Send writes one frame.
	Send(f *wire.Frame) error
	// Recv waits for a frame until ctx is done. After an error the stream is
	// unusable. io.EOF means that the other end closed its side.
	Recv(ctx context.Context) (*wire.Frame, error)
	// Close ends the sending side.
	Close() error
	// Reset abandons both sides; the other end sees ErrReset.
	Reset()
}

// Session is one connection between two processes.
type Session interface {
	// Peer returns what the other end said of itself.
	Peer() wire.Hello
	// Control returns the stream on which both ends said hello.
	Control() Stream
	// Open starts a stream to the other end.
	Open(ctx context.Context) (Stream, error)
	// Accept waits for a stream from the other end.
	Accept(ctx context.Context) (Stream, error)
	// Done is closed when the session has ended.
	Done() <-chan struct{}
	// Close ends the session and tells the other end why, if it can be reached.
	Close(reason string)
}

// Dialer opens sessions.
type Dialer interface {
	Dial(ctx context.Context, addr wire.Address, hello wire.Hello) (Session, error)
}

// Listener accepts sessions.
type Listener interface {
	Accept(ctx context.Context) (Session, error)
	Addr() wire.Address
	Close() error
}
