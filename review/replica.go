package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which replicas write their entries (heartbeat_ms).
const heartbeat = 1200 * time.Millisecond

// handler answers one request of a router.
type handler func(c *replicaConn, r *http.Request, body []byte)

// replica stands in for one replica of a service.
type replica struct {
	id, service, zone string
	slots             int
	handle            handler
	st                *store
	rec               *record

	mu         sync.Mutex
	addr       string
	ln         net.Listener
	conns      map[net.Conn]bool
	born       int64
	sequence   int
	registered bool
	answers    int // answers sent, also repeated ones
}

// start listens, on the address of the last start if there was one, and registers the replica.
func (p *replica) start() (err error) {
	p.mu.Lock()
	addr := p.addr
	p.mu.Unlock()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.addr, p.ln, p.conns, p.born, p.sequence, p.registered = ln.Addr().String(), ln, map[net.Conn]bool{}, time.Now().UnixMilli(), 0, true
	p.mu.Unlock()
	go p.accept(ln)
	p.beat(ln)
	return nil
}

// beat writes the entry of the replica now and at each heartbeat until it is stopped or removed.
func (p *replica) beat(ln net.Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.registered || p.ln != ln {
		return
	}
	p.sequence++
	p.st.put("servers/"+p.id, map[string]any{
		"service": p.service, "address": p.addr, "zone": p.zone, "version": "v1", "slots": p.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": p.sequence, "born": p.born,
	})
	time.AfterFunc(heartbeat, func() { p.beat(ln) })
}

// leave removes the entry of the replica, which goes on serving, and returns the time at which the
// store had accepted that.
func (p *replica) leave() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.registered = false
	return p.st.remove("servers/" + p.id)
}

// stop ends the replica: it resets all its connections and refuses new ones. Its entry stays.
func (p *replica) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close()
	p.ln = nil
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *replica) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.ln != ln {
			p.mu.Unlock()
			_ = nc.Close()
			return
		}
		p.conns[nc] = true
		p.mu.Unlock()
		go (&replicaConn{Conn: nc, p: p, br: bufio.NewReader(nc)}).serve()
	}
}

// replicaConn is one connection of a router to a replica.
type replicaConn struct {
	net.Conn
	p  *replica
	br *bufio.Reader
	// late is sent when the next request arrives: an answer that is sent once more.
	late []byte
	gone chan struct{} // closed when the router has closed the connection
}

// serve handles the requests on a connection one after the other.
func (c *replicaConn) serve() {
	defer func() {
		_ = c.Close()
		c.p.mu.Lock()
		delete(c.p.conns, c.Conn)
		c.p.mu.Unlock()
	}()
	for {
		if _, err := c.br.Peek(1); err != nil {
			return
		}
		if c.late != nil {
			c.p.rec.add("replica %s sends its last answer on %s once more", c.p.id, c.RemoteAddr())
			_, _ = c.Write(c.late)
			c.late = nil
			c.p.countAnswer()
		}
		r, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		next := make(chan error, 1)
		c.gone = make(chan struct{})
		go func(gone chan struct{}) {
			_, err := c.br.Peek(1)
			if err != nil {
				close(gone)
			}
			next <- err
		}(c.gone)
		if want := r.Header.Get("Expected-Instance"); want != "" && want != c.p.id {
			c.answer(r, http.StatusMisdirectedRequest, "Instance-Id: "+c.p.id+"\r\n", nil)
		} else {
			c.p.handle(c, r, body)
		}
		if <-next != nil {
			return
		}
	}
}

// work waits for d and reports whether the router has kept the connection open.
func (c *replicaConn) work(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.gone:
		return false
	}
}

func (p *replica) countAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers++
}

// notExecuted is the header with which a replica states that it did not run the request.
const notExecuted = "Not-Executed: 1\r\n"

// answer sends a whole answer and returns its bytes. Answers that a replica made by running the
// request have a signature.
func (c *replicaConn) answer(r *http.Request, status int, header string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := r.Header.Get("Request-Id"); id != "" {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n", header, len(body))
	b.Write(body)
	_, _ = c.Write(b.Bytes())
	c.p.countAnswer()
	return b.Bytes()
}

func (p *replica) signature(r *http.Request) string {
	return "Server-Signature: " + p.id + "." + r.Header.Get("Request-Id") + "\r\n"
}

// stream sends an answer of n events, one each pause, and reports whether all were sent.
func (c *replicaConn) stream(r *http.Request, n int, pause time.Duration) bool {
	if !c.work(pause) {
		return false
	}
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"), c.p.signature(r))
	if _, err := io.WriteString(c, head.String()); err != nil {
		return false
	}
	for i := 1; i <= n; i++ {
		ev := "id: " + strconv.Itoa(i) + "\ndata: piece " + strconv.Itoa(i) + " of " + r.Header.Get("Request-Id") + "\n\n"
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev); err != nil || !c.work(pause) {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	c.p.countAnswer()
	return err == nil
}
