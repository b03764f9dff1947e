package limiter

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"
)

// receiveBuffer is the size in bytes of the receive buffer of an accepted connection, by class; the kernel doubles it. Bytes that wait there are memory of the VM
// too: a connection that is not read accepted 120 KB on loopback with the default, and 20 KB with 8 KB, which makes 50 MB for 2,500 connections.
var receiveBuffer = [classes]int{Clients: 8 << 10, Peers: 32 << 10, Probes: 8 << 10, Metrics: 8 << 10}

// Listen opens a TCP listener whose connections have small receive buffers.
func Listen(ctx context.Context, c Class, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// A listener without the option still works, so that its failure is ignored.
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer[c])
		})
		return nil
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// Wrap returns a listener whose connections count in the budget.
func (b *Budget) Wrap(c Class, l net.Listener) net.Listener {
	return &listener{Listener: l, budget: b, class: c}
}

type listener struct {
	net.Listener

	budget *Budget
	class  Class
}

// Accept implements net.Listener; a connection for which there is no room is closed at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // A wrapper returns the errors of the listener unchanged.
		}
		c := &conn{Conn: raw, budget: l.budget, class: l.class, progress: time.Now()}
		if l.budget.admit(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}
