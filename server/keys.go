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

// HeaderOrganisation names the caller's organisation where callers are trusted.
const HeaderOrganisation = "Snipelift-Organisation"

// Keys decide who a request acts for; the zero value trusts callers to name their organisation.
type Keys struct {
	// Required asks for keys.
	Required bool
	// OperatorSHA256 is the hash of the operators' key, in hex.
	OperatorSHA256 string
	// Document returns the document that has the hashes of the organisations' keys.
	Document func() documenter.Document
}

// organisation returns who the request acts for; an empty name means that it was answered with a refusal.
func (k Keys) organisation(c *gin.Context, named string) string {
	if !k.Required {
		if named == "" {
			named = c.GetHeader(HeaderOrganisation)
		}
		if named == "" {
			fail(c, Problem{Status: http.StatusUnauthorized, Detail: "the request names no organisation", Ran: "notRun"})
		}
		return named
	}
	hash := bearerHash(c)
	found := ""
	for _, o := range k.Document().Organisations {
		if o.KeySHA256 != "" && subtle.ConstantTimeCompare([]byte(hash), []byte(o.KeySHA256)) == 1 {
			found = o.Name
		}
	}
	if found == "" || (named != "" && named != found) {
		fail(c, Problem{Status: http.StatusUnauthorized, Detail: "the key is not that of an organisation", Ran: "notRun"})
		return ""
	}
	return found
}

// operator reports whether the request may act on the service, and answers it if not.
func (k Keys) operator(c *gin.Context) bool {
	if !k.Required {
		return true
	}
	if subtle.ConstantTimeCompare([]byte(bearerHash(c)), []byte(k.OperatorSHA256)) == 1 {
		return true
	}
	fail(c, Problem{Status: http.StatusUnauthorized, Detail: "the key is not that of an operator"})
	return false
}

func bearerHash(c *gin.Context) string {
	key := strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
