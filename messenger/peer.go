package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// probeAfter is how long a connection may be quiet before it is probed.
	probeAfter = 2 * time.Second
	// probeTimeout is how long a probe may go unanswered before the connection is replaced.
	probeTimeout = 2 * time.Second
)

// Dial opens a connection to an address of the form IP:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Peer is the way to one other entry; a connection that has gone silent is replaced.
type Peer struct {
	address string
	dial    Dial

	mu     sync.Mutex
	conn   *jsonrpc2.Conn
	usedAt time.Time
}

// NewPeer returns a peer that dials when it is first called.
func NewPeer(address string, dial Dial) *Peer {
	return &Peer{address: address, dial: dial}
}

// Close drops the connection.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// Call sends a request and decodes the result; the error wraps ErrUnreachable, ErrNoAnswer or an error of package owner.
func (p *Peer) Call(ctx context.Context, method string, params, result any) error {
	conn, err := p.connection(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	if err == nil {
		p.used(conn)
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		p.used(conn)
		if known := errorOf(remote.Code); known != nil {
			return fmt.Errorf("%w: entry at %s", known, p.address)
		}
		return fmt.Errorf("%w: %s: %s", ErrOutcomeUnknown, method, remote.Message)
	}
	return fmt.Errorf("%w: %s: %w", ErrOutcomeUnknown, method, err)
}

func (p *Peer) used(conn *jsonrpc2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		p.usedAt = time.Now()
	}
}

func (p *Peer) connection(ctx context.Context) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		return p.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, p.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	stream := jsonrpc2.NewPlainObjectStream(raw)
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, jsonrpc2.HandlerWithError(refuseCalls))
	p.conn = conn
	p.usedAt = time.Now()
	go p.probe(conn)
	return conn, nil
}

func refuseCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
}

// probe asks for a sign of life whenever the connection has been quiet, and drops it when none comes.
func (p *Peer) probe(conn *jsonrpc2.Conn) {
	ticker := time.NewTicker(probeAfter)
	defer ticker.Stop()
	for {
		select {
		case <-conn.DisconnectNotify():
			p.drop(conn)
			return
		case <-ticker.C:
		}
		if p.quietFor(conn) < probeAfter {
			continue
		}
		if !p.answers(conn) {
			p.drop(conn)
			return
		}
	}
}

func (p *Peer) quietFor(conn *jsonrpc2.Conn) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn {
		return 0
	}
	return time.Since(p.usedAt)
}

func (p *Peer) answers(conn *jsonrpc2.Conn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := conn.Call(ctx, MethodPing, Ping{}, nil)
	if err != nil {
		return false
	}
	p.used(conn)
	return true
}

func (p *Peer) drop(conn *jsonrpc2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		p.conn = nil
	}
	_ = conn.Close()
}
