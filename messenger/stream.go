package messenger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/snipelift/snipelift/limiter"
)

// messageStream reads and writes JSON-RPC objects without a header; it counts the memory of messages and keeps no buffer of the size of the largest one.
type messageStream struct {
	conn     net.Conn
	messages limiter.Messages
	encoder  *json.Encoder
	// rest is what arrived of the next message together with the previous one.
	rest []byte
}

func newMessageStream(conn net.Conn, messages limiter.Messages) *messageStream {
	return &messageStream{conn: conn, messages: messages, encoder: json.NewEncoder(conn)}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (m *messageStream) ReadObject(v any) error {
	unread := bytes.NewReader(m.rest)
	decoder := json.NewDecoder(io.MultiReader(unread, m.conn))
	if err := decoder.Decode(v); err != nil {
		return err //nolint:wrapcheck // The connection compares the error with io.EOF.
	}
	// The decoder reads the rest in parts, and may not have read all of it.
	rest := m.rest[min(decoder.InputOffset(), int64(len(m.rest))):]
	if unread.Len() == 0 {
		var err error
		if rest, err = io.ReadAll(decoder.Buffered()); err != nil {
			return fmt.Errorf("read the rest of a message: %w", err)
		}
	}
	m.rest = bytes.TrimSpace(rest)
	m.messages.End(len(m.rest))
	return nil
}

// WriteObject implements jsonrpc2.ObjectStream.
func (m *messageStream) WriteObject(v any) error {
	return m.encoder.Encode(v) //nolint:wrapcheck // A stream returns the errors of the connection unchanged.
}

// Close implements io.Closer.
func (m *messageStream) Close() error {
	return m.conn.Close() //nolint:wrapcheck // A stream returns the errors of the connection unchanged.
}

// boundedHandler runs each call in a goroutine of its own, and rejects calls for which there is no memory.
type boundedHandler struct {
	handler  jsonrpc2.Handler
	messages limiter.Messages
}

// Handle implements jsonrpc2.Handler.
func (b boundedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	size := 0
	if request.Params != nil {
		size = len(*request.Params)
	}
	end, ok := b.messages.BeginCall(size)
	if !ok {
		if !request.Notif {
			// The caller learns of a failed response by the end of the connection.
			_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: codeOverloaded, Message: "not run: " + errOverloaded.Error()})
		}
		return
	}
	go func() {
		defer end()
		b.handler.Handle(ctx, conn, request)
	}()
}

// logInterval is the shortest time between two log lines about the connections of other entries.
const logInterval = time.Second

// boundedLog is a jsonrpc2.Logger that writes at most one line in each interval, since each connection that ends early would cause one; the zero value is ready for use.
type boundedLog struct {
	mu      sync.Mutex
	next    time.Time
	dropped int
}

// Printf implements jsonrpc2.Logger.
func (b *boundedLog) Printf(format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Before(b.next) {
		b.dropped++
		return
	}
	b.next = now.Add(logInterval)
	log.Printf("%s (%d lines like this were dropped before)", strings.TrimSpace(fmt.Sprintf(format, values...)), b.dropped)
	b.dropped = 0
}
