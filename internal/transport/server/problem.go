package server

import (
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// problem is an RFC 9457 problem document with the members of this interface.
type problem struct {
	Type    string        `json:"type"`
	Title   string        `json:"title"`
	Status  int           `json:"status"`
	Detail  string        `json:"detail"`
	Step    fault.Step    `json:"step,omitempty"`
	Peer    string        `json:"peer,omitempty"`
	Field   string        `json:"field,omitempty"`
	Outcome query.Outcome `json:"outcome"`
}

// Problem renders an error as a problem document and ends the request.
func Problem(c *gin.Context, err error) {
	e := fault.From(err)
	status := e.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	outcome := e.Outcome
	if outcome == "" {
		outcome = query.Failed
	}
	if e.RetryAfter > 0 {
		c.Header("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	c.Header("Content-Type", "application/problem+json")
	c.AbortWithStatusJSON(status, problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  e.Detail(),
		Step:    e.Step,
		Peer:    e.Peer,
		Field:   e.Field,
		Outcome: outcome,
	})
}

// unknownField reads the field name from the message that encoding/json gives
// for an unknown field, since it has no typed error for it.
func unknownField(err error) string {
	_, name, found := strings.Cut(err.Error(), "unknown field ")
	if !found {
		return "body"
	}
	return strings.Trim(name, `"`)
}
