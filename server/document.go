package server

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/limiter"
	"github.com/snipelift/snipelift/spreader"
	"github.com/snipelift/snipelift/storer"
)

const (
	// HeaderEditID carries the ID that makes an edit idempotent.
	HeaderEditID = "Edit-Id"
	// HeaderEditor carries the name of the person who made the edit.
	HeaderEditor = "Editor"
)

func (s *server) getDocument(c *gin.Context) {
	if !s.options.Auth.requireOperator(c) {
		return
	}
	v, err := s.options.Service.Document.Current()
	if err != nil {
		writeProblem(c, Problem{Status: http.StatusNotFound, Detail: err.Error()})
		return
	}
	c.Header("ETag", etag(v.Number))
	c.Data(http.StatusOK, "application/json", v.Text)
}

func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

// baseVersion returns the version that the edit is based on, from If-Match; it is 0 if If-None-Match asks for a first document.
func baseVersion(c *gin.Context) (int64, bool) {
	if c.GetHeader("If-None-Match") == "*" {
		return 0, true
	}
	text := strings.Trim(c.GetHeader("If-Match"), `"`)
	version, err := strconv.ParseInt(text, 10, 64)
	return version, err == nil && version > 0
}

func (s *server) putDocument(c *gin.Context) {
	if !s.options.Auth.requireOperator(c) {
		return
	}
	base, ok := baseVersion(c)
	if !ok {
		writeProblem(c, Problem{Status: http.StatusPreconditionRequired, Detail: "If-Match with the version edited is needed, or If-None-Match: * for a first document"})
		return
	}
	editID := c.GetHeader(HeaderEditID)
	if editID == "" || len(editID) > maxKeyBytes {
		writeProblem(c, Problem{Status: http.StatusBadRequest, Detail: fmt.Sprintf("header %s: %d bytes, accepted are 1 to %d", HeaderEditID, len(editID), maxKeyBytes)})
		return
	}
	text, err := limiter.ReadBody(c.Request, documenter.MaxBytes)
	if errors.Is(err, limiter.ErrOverloaded) {
		writeOverloaded(c, err)
		return
	}
	if err != nil {
		writeProblem(c, Problem{Status: http.StatusRequestEntityTooLarge, Detail: err.Error()})
		return
	}
	v, err := s.options.Service.Document.Put(c.Request.Context(), base, text, editID, c.GetHeader(HeaderEditor))
	s.writePutResult(c, v, err)
}

func (s *server) writePutResult(c *gin.Context, v spreader.Version, err error) {
	switch {
	case err == nil:
		c.Header("ETag", etag(v.Number))
		c.JSON(http.StatusOK, gin.H{"version": v.Number})
	case errors.Is(err, documenter.ErrInvalid):
		writeProblem(c, Problem{Status: http.StatusUnprocessableEntity, Title: "Document refused", Detail: err.Error()})
	case errors.Is(err, spreader.ErrVersionConflict):
		c.Header("ETag", etag(v.Number))
		writeProblem(c, Problem{Status: http.StatusPreconditionFailed, Detail: err.Error(), CurrentVersion: v.Number})
	case errors.Is(err, storer.ErrUnavailable):
		writeProblem(c, Problem{Status: http.StatusServiceUnavailable, Detail: "the table is away; nothing was changed"})
	default:
		writeProblem(c, Problem{Status: http.StatusServiceUnavailable, Detail: "the edit may or may not have been accepted; repeat it with the same " + HeaderEditID + ": " + err.Error()})
	}
}

func (s *server) history(c *gin.Context) {
	if !s.options.Auth.requireOperator(c) {
		return
	}
	edits, err := s.options.Service.Document.History(c.Request.Context())
	if err != nil {
		writeProblem(c, Problem{Status: http.StatusServiceUnavailable, Detail: err.Error()})
		return
	}
	c.JSON(http.StatusOK, edits)
}
