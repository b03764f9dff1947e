package limiter

import (
	"net/http"
	"strconv"
	"time"
)

// guard is the handler that runs before that of a server.
type guard struct {
	next http.Handler
	// headers are the canonical names of the headers that the next handler reads.
	headers []string
}

// ServeHTTP implements http.Handler.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil {
		g.next.ServeHTTP(w, r)
		return
	}
	cost := g.reduce(r)
	if !c.beginHandler(cost, r.ContentLength) {
		c.budget.reporter.count(headerRefused)
		c.stopReading()
		Refuse(w)
		return
	}
	var body *requestBody
	if r.Body != nil && r.Body != http.NoBody {
		body = &requestBody{ReadCloser: r.Body, conn: c, left: r.ContentLength}
		r.Body = body
	}
	defer func() {
		if body != nil && !body.ended && c.budget.pressed(c.class) {
			c.stopReading()
		}
		c.endHandler()
	}()
	g.next.ServeHTTP(w, r)
}

// reduce drops the headers that no handler reads if the header is oversized, and returns the cost of what remains.
func (g *guard) reduce(r *http.Request) int64 {
	var bytes, lines int64
	for name, values := range r.Header {
		lines += int64(len(values))
		bytes += int64(len(name))
		for _, value := range values {
			bytes += int64(len(value))
		}
	}
	cost := headerCost(bytes, lines)
	if cost > requestAllowance {
		r.Header, cost = keepHeaders(r.Header, g.headers)
	}
	return cost + int64(len(r.RequestURI))
}

// Refuse responds that the request gave way to others and was not run.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter/time.Second)))
	http.Error(w, "not run: "+ErrOverloaded.Error(), http.StatusServiceUnavailable)
}
