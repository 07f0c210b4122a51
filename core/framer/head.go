package framer

import "bytes"

// ResponseHead follows the head of a response on a connection, and the informational responses
// before it. The zero value expects the first byte. It is not safe for concurrent use.
type ResponseHead struct {
	// Bytes and Lines count what has been read so far, the line breaks included.
	Bytes, Lines int

	line          []byte // beginning of a line whose rest is still to come
	begun         bool   // whether the status line was read
	informational bool   // whether another head follows the present one
	ended         bool
	head          head
	err           error
}

// Scan follows the next bytes of the connection and returns how many of them belong to the head.
func (r *ResponseHead) Scan(p []byte) (n int) {
	for !r.ended && n < len(p) {
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			r.line = append(r.line, p[n:]...)
			n = len(p)
			break
		}
		line := p[n : n+i]
		if len(r.line) > 0 {
			line = append(r.line, line...)
			r.line = r.line[:0]
		}
		n += i + 1
		r.Lines++
		r.endLine(bytes.TrimSuffix(line, []byte("\r")))
	}
	r.Bytes += n
	return n
}

// Ended reports whether the whole head was read.
func (r *ResponseHead) Ended() bool { return r.ended }

// Err returns the error of a head by which two parsers may see different ends of the body. It
// returns nil as long as the head has not ended.
func (r *ResponseHead) Err() error { return r.err }

// endLine handles a line without its line break.
func (r *ResponseHead) endLine(line []byte) {
	switch {
	case len(line) == 0:
		if r.err == nil {
			r.err = r.head.check()
		}
		r.ended = !r.informational
		r.begun = false
	case !r.begun:
		r.begun = true
		r.head = head{current: bytes.HasPrefix(line, []byte("HTTP/1.1 "))}
		_, status, _ := bytes.Cut(line, []byte(" "))
		r.informational = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
	case !isFolded(line): // a parser must accept folded headers of responses
		r.head.addField(line)
	}
}
