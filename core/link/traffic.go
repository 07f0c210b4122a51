package link

import (
	"net"
	"sync/atomic"

	"golang.org/x/net/ipv4"
)

// Traffic counts what went through a socket. Bytes are those of UDP payloads;
// several datagrams that the kernel was given in one write count as one.
type Traffic struct {
	SentBytes int64 `json:"sentbytes"`
	SentUnits int64 `json:"sentunits"`
	RecvBytes int64 `json:"recvbytes"`
	RecvUnits int64 `json:"recvunits"`
}

// countedConn counts what quic-go sends with WriteMsgUDP and receives with
// ReadBatch, the only calls that it uses on Linux.
type countedConn struct {
	*net.UDPConn
	batch *ipv4.PacketConn

	sentBytes, sentUnits, recvBytes, recvUnits atomic.Int64
}

func newCountedConn(c *net.UDPConn) *countedConn {
	return &countedConn{UDPConn: c, batch: ipv4.NewPacketConn(c)}
}

// WriteMsgUDP implements quic.OOBCapablePacketConn.
func (c *countedConn) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	n, oobn, err = c.UDPConn.WriteMsgUDP(b, oob, addr)
	c.sentBytes.Add(int64(n))
	c.sentUnits.Add(1)
	return n, oobn, err
}

// ReadBatch reads several datagrams at once.
func (c *countedConn) ReadBatch(ms []ipv4.Message, flags int) (n int, err error) {
	n, err = c.batch.ReadBatch(ms, flags)
	for i := range max(n, 0) {
		c.recvBytes.Add(int64(ms[i].N))
	}
	c.recvUnits.Add(int64(max(n, 0)))
	return n, err
}

func (c *countedConn) traffic() Traffic {
	return Traffic{c.sentBytes.Load(), c.sentUnits.Load(), c.recvBytes.Load(), c.recvUnits.Load()}
}

// Traffic returns what went through the socket so far.
func (q *QUIC) Traffic() Traffic { return q.conn.traffic() }
