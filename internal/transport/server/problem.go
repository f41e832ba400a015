package server

import (
	"cmp"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
)

// AbortWithProblem renders an error as a problem document and ends the request.
func AbortWithProblem(c *gin.Context, err error) {
	e := fault.From(err)
	if e.RetryAfter > 0 {
		c.Header("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	document := e.Problem()
	c.Header("Content-Type", fault.ProblemType)
	c.AbortWithStatusJSON(document.Status, document)
}

// unknownField reads the field name from the message that encoding/json gives
// for an unknown field, since it has no typed error for it.
func unknownField(err error) string {
	_, name, found := strings.Cut(err.Error(), "unknown field ")
	if !found {
		return "body"
	}
	return cmp.Or(strings.Trim(name, `"`), "body")
}
