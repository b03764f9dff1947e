package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/snipelift/snipelift/limiter"
	"github.com/snipelift/snipelift/sleeper"
)

// Handlers handle the calls of other entries; each field serves one method, and Nudge serves MethodDocumentChanged.
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

// methods returns the handlers by method name.
func (h Handlers) methods() map[string]handler {
	return map[string]handler{
		MethodSubmit:          decodeParams(h.Submit),
		MethodWait:            decodeParams(h.Wait),
		MethodCancel:          decodeParams(h.Cancel),
		MethodView:            decodeParams(h.View),
		MethodPing:            decodeParams(h.Ping),
		MethodDocument:        decodeParams(h.Document),
		MethodDocumentChanged: decodeParams(h.Nudge),
		MethodLeaseReleased:   decodeParams(h.LeaseReleased),
	}
}

func decodeParams[T any](f func(ctx context.Context, p T) (any, error)) handler {
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

// acceptPause is the pause after a connection could not be accepted, for example because no descriptor was free.
const acceptPause = 50 * time.Millisecond

// Serve handles calls on the listener in the background.
//
// The returned function closes the listener and all connections and waits for the server's goroutines.
func Serve(listener net.Listener, handlers Handlers) (cleanUp func()) {
	s := &rpcServer{methods: handlers.methods(), conns: map[*jsonrpc2.Conn]bool{}}
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
	methods map[string]handler
	tasks   sync.WaitGroup
	lines   boundedLog

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]bool
}

func (s *rpcServer) accept(ctx context.Context, listener net.Listener) {
	for ctx.Err() == nil {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.lines.Printf("accept a connection of another entry: %v", err)
			sleeper.Sleep(ctx, acceptPause)
			continue
		}
		messages := limiter.MessagesOf(raw)
		h := boundedHandler{handler: jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed(), messages: messages}
		conn := jsonrpc2.NewConn(ctx, newMessageStream(raw, messages), h, jsonrpc2.SetLogger(&s.lines))
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		s.tasks.Go(func() { s.removeOnDisconnect(conn) })
	}
}

func (s *rpcServer) removeOnDisconnect(conn *jsonrpc2.Conn) {
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
	h := s.methods[request.Method]
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
