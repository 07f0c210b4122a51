// Package framer finds HTTP/1.1 messages whose end two parsers may see at different places. Parsers
// resolve them silently, and may then take a part of a body for a message of its own.
package framer

import (
	"bytes"
	"errors"
	"strings"
)

// Errors of a message whose end is ambiguous (RFC 9112, sections 2.2, 5.2, 6 and 7.1).
var (
	ErrBothLengths = errors.New("message has a length and chunks")
	ErrLengths     = errors.New("message has several lengths")
	ErrLength      = errors.New("length of the message is no number")
	ErrCoding      = errors.New("message has a transfer coding other than chunks")
	ErrVersion     = errors.New("message of another version than HTTP/1.1 has a transfer coding")
	ErrFolded      = errors.New("header of the message is folded")
	ErrChunk       = errors.New("malformed chunk in the message")
	ErrLine        = errors.New("line of the message is too long")
)

const (
	// maxLineBytes limits a line of a head. Servers limit a whole head to less.
	maxLineBytes = 128 << 10
	// maxChunkLineBytes limits the line with the size of a chunk and its extensions.
	maxChunkLineBytes = 4 << 10
	// maxLengthDigits limits a length, so that it fits in an int64.
	maxLengthDigits = 18
	// maxSizeDigits is the same for the size of a chunk, which is hexadecimal.
	maxSizeDigits = 15
)

// Requests follows the requests on a connection. The zero value expects the first one. It is not
// safe for concurrent use.
type Requests struct {
	// HeadBytes and HeadLines count what was read of the head of the present request, or of the
	// last one, the line breaks included.
	HeadBytes, HeadLines int

	state state
	line  []byte // beginning of a line whose rest is still to come
	left  int64  // bytes left of a body or a chunk
	head  head
	err   error
}

// state is the part of a request that comes next.
type state int

const (
	inRequestLine state = iota
	inHeader
	inBody // of a known length
	inChunkLine
	inChunk
	inChunkEnd // the line break after a chunk
	inTrailer
)

// head is what the head of a request says of the end of its body.
type head struct {
	current bool // whether the version is HTTP/1.1
	lengths int  // number of Content-Length fields
	length  string
	codings int // number of Transfer-Encoding fields
	coding  string
}

// inContent reports whether the head of a request was read and its body was not read to its end.
func (r *Requests) inContent() bool { return r.state != inRequestLine && r.state != inHeader }

// Scan follows the next bytes of the connection and returns how many of them may be passed on. If
// the error is not nil, they end before the request is complete or, for a body, before the fault;
// nothing may be passed on after them, and all later calls return the same error.
func (r *Requests) Scan(p []byte) (n int, err error) {
	for r.err == nil && n < len(p) {
		var used int
		switch r.state {
		case inBody, inChunk:
			used = int(min(r.left, int64(len(p)-n)))
			if r.left -= int64(used); r.left == 0 {
				r.endData()
			}
		case inRequestLine, inHeader:
			if r.state == inRequestLine && len(r.line) == 0 {
				r.HeadBytes, r.HeadLines = 0, 0
			}
			used, r.err = r.scanLine(p[n:])
			if r.HeadBytes += used; len(r.line) == 0 {
				r.HeadLines++
			}
		default:
			used, r.err = r.scanLine(p[n:])
		}
		n += used
	}
	return n, r.err
}

// endData ends a body or the data of a chunk.
func (r *Requests) endData() {
	if r.state == inChunk {
		r.state = inChunkEnd
	} else {
		r.state = inRequestLine
	}
}

// scanLine reads up to the end of a line and returns the number of bytes that it used. With an
// error it leaves the line feed unused, so that the line stays incomplete.
func (r *Requests) scanLine(p []byte) (used int, err error) {
	i := bytes.IndexByte(p, '\n')
	if i < 0 {
		if r.line = append(r.line, p...); len(r.line) > r.maxLine() {
			return 0, ErrLine
		}
		return len(p), nil
	}
	line := p[:i]
	if len(r.line) > 0 {
		line = append(r.line, line...)
	}
	if len(line) > r.maxLine() {
		return 0, ErrLine
	}
	r.line = nil
	if err = r.endLine(line); err != nil {
		return i, err
	}
	return i + 1, nil
}

func (r *Requests) maxLine() int {
	if r.state == inChunkLine {
		return maxChunkLineBytes
	}
	return maxLineBytes
}

// endLine handles a line without its line feed. Heads may end lines with a bare line feed, which
// the chunks of a body may not.
func (r *Requests) endLine(line []byte) error {
	content, hasReturn := bytes.CutSuffix(line, []byte("\r"))
	switch r.state {
	case inRequestLine:
		if len(content) > 0 { // empty lines before a request are ignored
			r.head = head{current: bytes.HasSuffix(content, []byte(" HTTP/1.1"))}
			r.state = inHeader
		}
		return nil
	case inHeader:
		switch {
		case len(content) == 0:
			return r.endHead()
		case isFolded(content):
			return ErrFolded
		}
		r.head.addField(content)
		return nil
	case inChunkLine:
		return r.beginChunk(content, hasReturn)
	case inChunkEnd:
		r.state = inChunkLine
		if len(content) > 0 || !hasReturn {
			return ErrChunk
		}
		return nil
	default: // inTrailer
		if !hasReturn {
			return ErrChunk
		}
		if len(content) == 0 {
			r.state = inRequestLine
		}
		return nil
	}
}

func isFolded(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

// addField notes a header field if the end of the body depends on it.
func (h *head) addField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	// Servers reject names with a space or another character that no name has.
	switch name = bytes.TrimSpace(name); {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.lengths++
		h.length = string(bytes.Trim(value, " \t"))
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.codings++
		h.coding = string(bytes.Trim(value, " \t"))
	}
}

// check returns the error of a head by which two parsers may see different ends of the body.
func (h *head) check() error {
	switch {
	case h.codings > 0 && h.lengths > 0:
		return ErrBothLengths
	case h.codings > 0 && !h.current:
		return ErrVersion
	case h.codings > 1 || h.codings == 1 && !strings.EqualFold(h.coding, "chunked"):
		return ErrCoding
	case h.lengths > 1:
		return ErrLengths
	}
	return nil
}

// endHead determines how the body of the request ends.
func (r *Requests) endHead() error {
	switch err := r.head.check(); {
	case err != nil:
		return err
	case r.head.codings > 0:
		r.state = inChunkLine
		return nil
	case r.head.lengths == 0:
		r.state = inRequestLine
		return nil
	}
	n, ok := parseDigits(r.head.length, 10, maxLengthDigits)
	if !ok {
		return ErrLength
	}
	r.left, r.state = n, inBody
	if n == 0 {
		r.endData()
	}
	return nil
}

// beginChunk handles the line with the size of a chunk.
func (r *Requests) beginChunk(line []byte, hasReturn bool) error {
	size, _, _ := strings.Cut(string(line), ";")
	n, ok := parseDigits(strings.TrimRight(size, " \t"), 16, maxSizeDigits)
	if !ok || !hasReturn || bytes.IndexByte(line, '\r') >= 0 {
		return ErrChunk
	}
	r.left, r.state = n, inChunk
	if n == 0 {
		r.state = inTrailer
	}
	return nil
}

// parseDigits decodes a number that consists of digits alone.
func parseDigits(s string, base int64, maxDigits int) (n int64, ok bool) {
	if s == "" || len(s) > maxDigits {
		return 0, false
	}
	for _, c := range []byte(strings.ToLower(s)) {
		d := strings.IndexByte("0123456789abcdef"[:base], c)
		if d < 0 {
			return 0, false
		}
		n = n*base + int64(d)
	}
	return n, true
}
