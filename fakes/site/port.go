package site

import (
	"fmt"
	"net"
	"sync"
	"syscall"
)

// Port is a TCP port of 127.0.0.1 that other programs don't get while nothing listens on it: a
// socket is bound to it until Close. Connections to it are refused meanwhile.
type Port struct {
	addr  string
	close func() error
}

// ReservePort reserves a free port.
func ReservePort() (p *Port, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("reserve port: %w", err)
		}
	}()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = syscall.Close(fd)
		}
	}()
	// Listeners may share the port, because net sets the option on them too. The system does not
	// choose the port for another socket all the same.
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	return &Port{
		addr:  fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port),
		close: sync.OnceValue(func() error { return syscall.Close(fd) }),
	}, nil
}

// Addr returns the address with the port.
func (p *Port) Addr() string { return p.addr }

// Listen listens on the port. The listener must be closed before the next call.
func (p *Port) Listen() (net.Listener, error) { return net.Listen("tcp", p.addr) }

// Close ends the reservation. Only the first call has an effect.
func (p *Port) Close() error { return p.close() }
