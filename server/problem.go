package server

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/snipelift/snipelift/limiter"
	"github.com/snipelift/snipelift/scheduler"
)

// Problem is an error response as RFC 9457 defines it; Ran tells whether the job ran, as far as is known.
type Problem struct {
	Type   string        `json:"type"`
	Title  string        `json:"title"`
	Status int           `json:"status"`
	Detail string        `json:"detail,omitempty"`
	Ran    scheduler.Ran `json:"ran,omitempty"`
	Rule   string        `json:"rule,omitempty"`
	// CurrentVersion is the current version of the document if an edit failed because its base was stale.
	CurrentVersion int64 `json:"currentVersion,omitempty"`
}

// ContentTypeProblem is the media type of a Problem.
const ContentTypeProblem = "application/problem+json"

func writeProblem(c *gin.Context, p Problem) {
	if p.Type == "" {
		p.Type = "about:blank"
	}
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	c.Header("Content-Type", ContentTypeProblem)
	c.AbortWithStatusJSON(p.Status, p)
}

// writeRefusal responds that the job was refused and did not run, with the reason.
func writeRefusal(c *gin.Context, reason scheduler.Reason, retryAfter time.Duration) {
	if retryAfter > 0 {
		seconds := int((retryAfter + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.Itoa(seconds))
	}
	writeProblem(c, Problem{
		Status: refusalStatus(reason.Rule),
		Title:  "Refused, not run",
		Detail: reason.Sentence(),
		Ran:    scheduler.NotRun,
		Rule:   string(reason.Rule),
	})
}

// writeOverloaded responds that the request gave way to others before its body was read.
func writeOverloaded(c *gin.Context, err error) {
	c.Header("Retry-After", strconv.Itoa(int(limiter.RetryAfter/time.Second)))
	writeProblem(c, Problem{Status: http.StatusServiceUnavailable, Title: "Refused, not run", Detail: err.Error(), Ran: scheduler.NotRun, Rule: "overloaded"})
}

func refusalStatus(rule scheduler.Rule) int {
	switch rule {
	case scheduler.RuleQueueFull, scheduler.RuleShed:
		return http.StatusTooManyRequests
	case scheduler.RuleStoreUnavailable, scheduler.RuleNoOwner, scheduler.RuleDocumentUnconfirmed:
		return http.StatusServiceUnavailable
	default:
		return http.StatusUnprocessableEntity
	}
}
