package server

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/snipelift/snipelift/scheduler"
)

// Problem is an error in the form of RFC 9457, with what is known about whether the work ran.
type Problem struct {
	Type   string        `json:"type"`
	Title  string        `json:"title"`
	Status int           `json:"status"`
	Detail string        `json:"detail,omitempty"`
	Ran    scheduler.Ran `json:"ran,omitempty"`
	Rule   string        `json:"rule,omitempty"`
	// CurrentVersion is the document's version in force, where an edit was refused as stale.
	CurrentVersion int64 `json:"currentVersion,omitempty"`
}

// ContentTypeProblem is the media type of RFC 9457.
const ContentTypeProblem = "application/problem+json"

func fail(c *gin.Context, p Problem) {
	if p.Type == "" {
		p.Type = "about:blank"
	}
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	c.Header("Content-Type", ContentTypeProblem)
	c.AbortWithStatusJSON(p.Status, p)
}

// failRefused answers a refusal with its reason; the work did not run.
func failRefused(c *gin.Context, reason scheduler.Reason, retryAfter time.Duration) {
	if retryAfter > 0 {
		seconds := int((retryAfter + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.Itoa(seconds))
	}
	fail(c, Problem{
		Status: statusOf(reason.Rule),
		Title:  "Refused, not run",
		Detail: reason.Sentence(),
		Ran:    scheduler.NotRun,
		Rule:   string(reason.Rule),
	})
}

func statusOf(rule scheduler.Rule) int {
	switch rule {
	case scheduler.RuleQueueFull, scheduler.RuleShed:
		return http.StatusTooManyRequests
	case scheduler.RuleStoreUnavailable, scheduler.RuleNoOwner, scheduler.RuleDocumentUnconfirmed:
		return http.StatusServiceUnavailable
	default:
		return http.StatusUnprocessableEntity
	}
}
