package link

import (
	"net"
	"sync/atomic"

	"golang.org/x/net/ipv4"
)

// Traffic counts the UDP payload bytes and messages that a socket has sent and
// received. Datagrams passed to the kernel in one write (GSO) count as one message.
type Traffic struct {
	SentBytes    int64 `json:"sentbytes"`
	SentMessages int64 `json:"sentunits"`
	RecvBytes    int64 `json:"recvbytes"`
	RecvMessages int64 `json:"recvunits"`
}

// countingConn counts the traffic of WriteMsgUDP and ReadBatch, the only calls
// that quic-go uses on Linux to send and receive.
type countingConn struct {
	*net.UDPConn
	packetConn *ipv4.PacketConn

	sentBytes, sentMessages, recvBytes, recvMessages atomic.Int64
}

func newCountingConn(c *net.UDPConn) *countingConn {
	return &countingConn{UDPConn: c, packetConn: ipv4.NewPacketConn(c)}
}

// WriteMsgUDP implements quic.OOBCapablePacketConn. It counts a message before it writes
// it, since the answer may arrive before the write returns, and takes back what was not
// written.
func (c *countingConn) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	c.sentBytes.Add(int64(len(b)))
	c.sentMessages.Add(1)
	n, oobn, err = c.UDPConn.WriteMsgUDP(b, oob, addr)
	c.sentBytes.Add(int64(n - len(b)))
	return n, oobn, err
}

// ReadBatch reads several datagrams in one call.
func (c *countingConn) ReadBatch(ms []ipv4.Message, flags int) (n int, err error) {
	n, err = c.packetConn.ReadBatch(ms, flags)
	for i := range max(n, 0) {
		c.recvBytes.Add(int64(ms[i].N))
	}
	c.recvMessages.Add(int64(max(n, 0)))
	return n, err
}

func (c *countingConn) traffic() Traffic {
	return Traffic{c.sentBytes.Load(), c.sentMessages.Load(), c.recvBytes.Load(), c.recvMessages.Load()}
}

// Traffic returns the socket's traffic since it was bound.
func (q *QUIC) Traffic() Traffic { return q.conn.traffic() }
