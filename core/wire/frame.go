package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MaxFrameSize bounds one encoded frame in bytes. It leaves room for the largest
// request body and for 4,096 configuration objects of ordinary size.
const MaxFrameSize = 4 << 20

// ErrFrameTooLarge is returned for a frame over MaxFrameSize bytes.
var ErrFrameTooLarge = errors.New("frame exceeds 4 MiB")

// WriteFrame writes f with its length in front. It makes one Write call, so
// that frames of one writer don't interleave.
func WriteFrame(w io.Writer, f *Frame) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write frame: %w", err)
		}
	}()
	buf := make([]byte, 4, 4+f.Msgsize())
	buf, err = f.MarshalMsg(buf)
	if err != nil {
		return err
	}
	n := len(buf) - 4
	if n > MaxFrameSize {
		return ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(buf, uint32(n))
	_, err = w.Write(buf)
	return err
}

// ReadFrame reads one frame and checks it. It returns io.EOF unwrapped when r
// ends before the first byte.
func ReadFrame(r io.Reader) (f *Frame, err error) {
	var head [4]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		if err == io.EOF {
			return nil, err
		}
		return nil, fmt.Errorf("read frame: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxFrameSize {
		return nil, fmt.Errorf("read frame: %w", ErrFrameTooLarge)
	}
	buf := make([]byte, n)
	if _, err = io.ReadFull(r, buf); err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	return DecodeFrame(buf)
}

// DecodeFrame decodes and checks one frame without its length.
func DecodeFrame(buf []byte) (f *Frame, err error) {
	defer func() {
		if err != nil {
			f, err = nil, fmt.Errorf("decode frame: %w", err)
		}
	}()
	f = new(Frame)
	rest, err := f.UnmarshalMsg(buf)
	if err != nil {
		return f, err
	}
	if len(rest) > 0 {
		return f, fmt.Errorf("%d bytes follow the message", len(rest))
	}
	return f, f.Check()
}
