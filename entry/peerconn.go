package entry

import (
	"errors"
	"net"
)

// maxPeerMessage limits a message of another router, in bytes. The largest is a state with all
// records of the store, whose values have 1 MiB at most. gob itself allows 1 GiB.
const maxPeerMessage = 16 << 20

var errMessageTooLarge = errors.New("message of a peer exceeds the size limit")

// peerConn is a connection to another router. Reading fails once a message begins that is larger
// than maxPeerMessage.
type peerConn struct {
	net.Conn
	messages gobMessages
}

// Read implements net.Conn.
func (c *peerConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if !c.messages.follow(p[:n]) {
		return 0, errMessageTooLarge
	}
	return n, err
}

// gobMessages follows the messages of a gob stream. Each begins with its length: one byte below
// 128, or the negated number of bytes of a big-endian number that follows.
type gobMessages struct {
	left   uint64 // bytes left of the current message
	digits int    // bytes left of the current length
	length uint64 // what has been read of it
}

// follow follows the next bytes and reports whether no message among them is larger than
// maxPeerMessage.
func (m *gobMessages) follow(p []byte) bool {
	for len(p) > 0 {
		if m.left > 0 {
			n := min(m.left, uint64(len(p)))
			m.left -= n
			p = p[n:]
			continue
		}
		b := p[0]
		p = p[1:]
		switch {
		case m.digits > 0:
			m.digits--
			m.length = m.length<<8 | uint64(b)
		case b < 0x80:
			m.length = uint64(b)
		default:
			m.length, m.digits = 0, 0x100-int(b)
		}
		if m.length > maxPeerMessage || m.digits > 8 {
			return false
		}
		if m.digits == 0 {
			m.left = m.length
		}
	}
	return true
}
