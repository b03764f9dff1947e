package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// Handlers answer the calls of other entries; each field is one method.
type Handlers struct {
	Submit        func(ctx context.Context, p SubmitParams) (any, error)
	Wait          func(ctx context.Context, p WaitParams) (any, error)
	Cancel        func(ctx context.Context, p CancelParams) (any, error)
	View          func(ctx context.Context, p ViewParams) (any, error)
	Ping          func(ctx context.Context, p Ping) (any, error)
	Document      func(ctx context.Context, p DocumentMessage) (any, error)
	Nudge         func(ctx context.Context, p DocumentMessage) (any, error)
	LeaseReleased func(ctx context.Context, p Ping) (any, error)
}

type handler func(ctx context.Context, params *json.RawMessage) (any, error)

// table returns the handlers by method.
func (h Handlers) table() map[string]handler {
	return map[string]handler{
		MethodSubmit:          decoded(h.Submit),
		MethodWait:            decoded(h.Wait),
		MethodCancel:          decoded(h.Cancel),
		MethodView:            decoded(h.View),
		MethodPing:            decoded(h.Ping),
		MethodDocument:        decoded(h.Document),
		MethodDocumentChanged: decoded(h.Nudge),
		MethodLeaseReleased:   decoded(h.LeaseReleased),
	}
}

func decoded[T any](f func(ctx context.Context, p T) (any, error)) handler {
	return func(ctx context.Context, raw *json.RawMessage) (any, error) {
		var params T
		if raw != nil {
			if err := json.Unmarshal(*raw, &params); err != nil {
				return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
			}
		}
		return f(ctx, params)
	}
}

// Serve answers calls on the listener until it is closed; the clean-up function closes it and all connections and waits.
func Serve(listener net.Listener, handlers Handlers) (cleanUp func()) {
	s := &rpcServer{table: handlers.table(), conns: map[*jsonrpc2.Conn]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	s.tasks.Go(func() { s.accept(ctx, listener) })
	return func() {
		_ = listener.Close()
		cancel()
		s.closeAll()
		s.tasks.Wait()
	}
}

type rpcServer struct {
	table map[string]handler
	tasks sync.WaitGroup

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]bool
}

func (s *rpcServer) accept(ctx context.Context, listener net.Listener) {
	for {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		h := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle))
		conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(raw), h)
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		s.tasks.Go(func() { s.forgetClosed(conn) })
	}
}

func (s *rpcServer) forgetClosed(conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *rpcServer) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *rpcServer) handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	h := s.table[request.Method]
	if h == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: request.Method}
	}
	result, err := h(ctx, request.Params)
	if err == nil {
		return result, nil
	}
	var known *jsonrpc2.Error
	if errors.As(err, &known) {
		return nil, known
	}
	return nil, &jsonrpc2.Error{Code: errorCode(err), Message: err.Error()}
}
