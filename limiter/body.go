package limiter

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// ErrTooLarge means that a body exceeds the limit of its handler.
var ErrTooLarge = errors.New("body too large")

const (
	// firstBlock is the size in bytes of the first part of a body, and blockSize that of the further ones.
	firstBlock = 4 << 10
	blockSize  = 16 << 10
)

// blocks holds parts of bodies for reuse, since a body is copied once when it is complete.
var blocks = sync.Pool{New: func() any { return new([blockSize]byte) }}

// ReadBody reads the body of a request of at most limit bytes; the memory counts until the handler returns.
//
// The error is ErrTooLarge, wraps ErrOverloaded if the request gave way to
// others, or is that of the connection; an incomplete body is an error.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	reading := bodyReading{conn: connOf(r.Context()), reader: r.Body, length: r.ContentLength, limit: limit}
	return reading.read()
}

// bodyReading is a body that is being read. Its memory grows with the bytes that have arrived, not with those that were announced, and without discarded copies.
type bodyReading struct {
	conn *conn
	// reader is at its end after length bytes, or at an unknown place if length is negative.
	reader        io.Reader
	length, limit int64
	first         []byte
	full          []*[blockSize]byte
	size          int64
}

func (b *bodyReading) read() ([]byte, error) {
	if b.length >= 0 && b.length <= firstBlock {
		b.first = make([]byte, b.length)
	} else {
		b.first = make([]byte, firstBlock)
	}
	defer b.recycle()
	part, ended := b.first, false
	for !ended {
		if err := b.hold(b.size + int64(len(part))); err != nil {
			return nil, err
		}
		n, err := readFull(b.reader, part)
		b.size += int64(n)
		switch {
		case b.size > b.limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			if b.length >= 0 && b.size < b.length {
				return nil, io.ErrUnexpectedEOF
			}
			ended = true
		case err != nil:
			return nil, err //nolint:wrapcheck // The caller names the action.
		case b.size == b.length:
			ended = true
		default:
			block, _ := blocks.Get().(*[blockSize]byte)
			b.full = append(b.full, block)
			part = block[:]
			if b.length >= 0 {
				part = block[:min(blockSize, b.length-b.size)]
			}
		}
	}
	return b.join()
}

// readFull reads until p is full or an error occurs. Unlike io.ReadFull it returns io.EOF at the end of the body, so that io.ErrUnexpectedEOF always means that the connection ended within a chunk.
func readFull(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err //nolint:wrapcheck // The caller compares the error with io.EOF.
}

// hold counts the memory of the parts.
func (b *bodyReading) hold(size int64) error {
	if b.conn == nil || b.conn.holdBody(size) {
		return nil
	}
	b.conn.budget.reporter.count(bodyRefused)
	b.conn.stopReading()
	return ErrOverloaded
}

// join returns the body in one piece; the parts of other bodies are not copied at the same time.
func (b *bodyReading) join() ([]byte, error) {
	if len(b.full) == 0 {
		return b.first[:b.size], nil
	}
	if b.conn != nil {
		b.conn.budget.joins.Lock()
		defer b.conn.budget.joins.Unlock()
	}
	whole := make([]byte, 0, b.size)
	whole = append(whole, b.first...)
	for _, block := range b.full {
		whole = append(whole, block[:min(blockSize, int(b.size)-len(whole))]...)
	}
	return whole, b.hold(b.size)
}

// recycle returns the parts for reuse.
func (b *bodyReading) recycle() {
	for _, block := range b.full {
		blocks.Put(block)
	}
	b.full = nil
}

// requestBody tells the connection when a handler waits for the body.
type requestBody struct {
	io.ReadCloser

	conn *conn
	// left is the number of bytes that are announced and have not been read; it is negative if the length is unknown.
	left  int64
	ended bool
}

// Read implements io.Reader.
func (r *requestBody) Read(p []byte) (int, error) {
	r.conn.setPhase(body)
	n, err := r.ReadCloser.Read(p)
	r.conn.setPhase(busy)
	r.left -= int64(n)
	r.ended = r.ended || errors.Is(err, io.EOF) || r.left == 0
	if err != nil && r.conn.isDropped() {
		return n, ErrOverloaded
	}
	return n, err //nolint:wrapcheck // A wrapper returns the errors of the body unchanged.
}
