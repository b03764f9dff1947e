package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/snipelift/snipelift/documenter"
)

// HeaderOrganisation carries the caller's organisation where callers are trusted.
const HeaderOrganisation = "Snipelift-Organisation"

// Auth authenticates requests; the zero value trusts callers to state their organisation.
type Auth struct {
	// Required makes every request need a key.
	Required bool
	// OperatorSHA256 is the SHA-256 hash of the operators' key, in hex.
	OperatorSHA256 string
	// Document returns the current document, which holds the hashes of the organisations' keys.
	Document func() documenter.Document
}

// organisation returns the organisation that the request acts for; it is empty if the request was
// rejected and the response is written.
func (a Auth) organisation(c *gin.Context, requested string) string {
	if !a.Required {
		if requested == "" {
			requested = c.GetHeader(HeaderOrganisation)
		}
		if requested == "" {
			writeProblem(c, Problem{Status: http.StatusUnauthorized, Detail: "the request names no organisation", Ran: "notRun"})
		}
		return requested
	}
	hash := bearerHash(c)
	matched := ""
	for _, o := range a.Document().Organisations {
		if o.KeySHA256 != "" && subtle.ConstantTimeCompare([]byte(hash), []byte(o.KeySHA256)) == 1 {
			matched = o.Name
		}
	}
	if matched == "" || (requested != "" && requested != matched) {
		writeProblem(c, Problem{Status: http.StatusUnauthorized, Detail: "the key is not that of an organisation", Ran: "notRun"})
		return ""
	}
	return matched
}

// requireOperator reports whether the request has the operators' key; if not, it writes the response.
func (a Auth) requireOperator(c *gin.Context) bool {
	if !a.Required {
		return true
	}
	if subtle.ConstantTimeCompare([]byte(bearerHash(c)), []byte(a.OperatorSHA256)) == 1 {
		return true
	}
	writeProblem(c, Problem{Status: http.StatusUnauthorized, Detail: "the key is not that of an operator"})
	return false
}

func bearerHash(c *gin.Context) string {
	key := strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
