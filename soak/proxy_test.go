package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// wire is a proxy on loopback between an entry and the store, or between all entries and a worker.
type wire struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]bool
	// delay holds each piece back; refuse closes new connections at once.
	delay  time.Duration
	refuse bool
	// deafTo and deafFrom drop what goes to the target, or comes from it.
	deafTo, deafFrom bool
	tasks            sync.WaitGroup
}

// link is one connection through a wire; a silent one carries nothing any more and is never closed.
type link struct {
	near, far net.Conn
	silent    atomic.Bool
}

func newWire(t *testing.T, target string) *wire {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The listener lives as long as the test.
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{listener: l, target: target, links: map[*link]bool{}}
	w.tasks.Go(w.accept)
	t.Cleanup(func() {
		_ = l.Close()
		w.reset()
		w.tasks.Wait()
	})
	return w
}

func (w *wire) address() string { return w.listener.Addr().String() }

func (w *wire) accept() {
	for {
		near, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		refuse := w.refuse
		w.mu.Unlock()
		far, err := net.Dial("tcp", w.target) //nolint:noctx // Loopback answers at once.
		if err != nil || refuse {
			_ = near.Close()
			continue
		}
		k := &link{near: near, far: far}
		w.mu.Lock()
		w.links[k] = true
		w.mu.Unlock()
		w.tasks.Go(func() { w.carry(k, near, far, true) })
		w.tasks.Go(func() { w.carry(k, far, near, false) })
	}
}

// carry brings what one side sends to the other until either closes.
func (w *wire) carry(k *link, from, to net.Conn, toTarget bool) {
	defer w.drop(k)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		w.mu.Lock()
		delay := w.delay
		deaf := toTarget && w.deafTo || !toTarget && w.deafFrom
		w.mu.Unlock()
		if deaf {
			// A connection that lost a piece carries nothing sensible after it.
			k.silent.Store(true)
		}
		if k.silent.Load() {
			continue
		}
		time.Sleep(delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (w *wire) drop(k *link) {
	_ = k.near.Close()
	_ = k.far.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.links, k)
}

// reset closes all connections without a farewell.
func (w *wire) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.links {
		for _, c := range []net.Conn{k.near, k.far} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// silence makes all present connections silent for good; new ones work.
func (w *wire) silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.links {
		k.silent.Store(true)
	}
}

// set replaces the faults that last.
func (w *wire) set(delay time.Duration, refuse, deafTo, deafFrom bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay, w.refuse, w.deafTo, w.deafFrom = delay, refuse, deafTo, deafFrom
}

func (w *wire) heal() { w.set(0, false, false, false) }
