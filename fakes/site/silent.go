package site

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// fillTimeout is the time after which a connection that is not established shows that the queue
// of a listener is full. Connections on the loopback interface take far less.
const fillTimeout = 50 * time.Millisecond

// maxFill bounds the connections that fill the queue of a listener.
const maxFill = 64

// ListenUnreachable returns an address to which connections are neither established nor refused, as
// to a host without power or behind a partition, until stop is called. The system rounds up the
// queue of connections that wait to be accepted, so it is filled here.
func ListenUnreachable() (addr string, stop func(), err error) {
	p, err := ReservePort()
	if err != nil {
		return "", nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, errors.Join(fmt.Errorf("listen on an unreachable address: %w", err), p.Close())
	}
	var waiting []net.Conn
	stop = func() {
		for _, c := range waiting {
			_ = c.Close()
		}
		_ = syscall.Close(fd)
		_ = p.Close()
	}
	if err = listenWithoutQueue(fd, p.Addr()); err != nil {
		stop()
		return "", nil, fmt.Errorf("listen on an unreachable address: %w", err)
	}
	for len(waiting) < maxFill {
		c, err := net.DialTimeout("tcp", p.Addr(), fillTimeout)
		if err != nil {
			return p.Addr(), stop, nil
		}
		waiting = append(waiting, c)
	}
	stop()
	return "", nil, errors.New("listen on an unreachable address: the queue of connections does not fill")
}

// listenWithoutQueue lets a socket listen on an address with the shortest queue.
func listenWithoutQueue(fd int, addr string) error {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return err
	}
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())}); err != nil {
		return err
	}
	return syscall.Listen(fd, 0)
}

// ListenSilent returns an address at which connections are accepted and what arrives is read, but
// never answered, until stop is called.
func ListenSilent() (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("listen without answers: %w", err)
	}
	var mu sync.Mutex
	var open []net.Conn
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			go discard(c)
		}
	}()
	return ln.Addr().String(), func() {
		_ = ln.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			_ = c.Close()
		}
	}, nil
}

// discard reads from a connection until it ends.
func discard(c net.Conn) {
	defer c.Close()
	buf := make([]byte, 4096)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}
