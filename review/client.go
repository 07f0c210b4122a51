package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one attempt of a client.
type call struct {
	method, host, path string
	header             []string // further header lines
	body               string
	deadline           time.Duration
}

// reply is what a client got for a call.
type reply struct {
	status int // 0 if the connection ended without the head of an answer
	header http.Header
	body   string
	err    error // why the answer is not whole
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send makes a call over a new connection, as a client does, and leaves at the deadline.
func (c *call) send(addr, id string) (rp reply) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(c.deadline))
	return c.sendOn(nc, bufio.NewReader(nc), id)
}

func (c *call) sendOn(nc net.Conn, br *bufio.Reader, id string) (rp reply) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nAuthorization: Bearer %s\r\n", c.method, c.path, c.host, id, c.deadline.Milliseconds(), apiKey)
	for _, h := range c.header {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(c.body), c.body)
	if _, err := io.WriteString(nc, b.String()); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: c.method})
	if err != nil {
		return reply{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	rp = reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	if got := resp.Header.Get("Request-Id"); err == nil && got != id {
		rp.err = errors.New("answer of request " + got)
	}
	return rp
}

// isReady asks a router the balancer's question.
func isReady(addr string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
