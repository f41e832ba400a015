package fault

import (
	"net/http"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// ProblemType is the content type of a Problem.
const ProblemType = "application/problem+json"

// Problem is an RFC 9457 problem document with extension members.
type Problem struct {
	Type    string        `json:"type"`
	Title   string        `json:"title"`
	Status  int           `json:"status"`
	Detail  string        `json:"detail"`
	Step    Step          `json:"step,omitempty"`
	Peer    string        `json:"peer,omitempty"`
	Field   string        `json:"field,omitempty"`
	Outcome query.Outcome `json:"outcome"`
	// RequestID is the id under which logs and leafs know the request, if any.
	RequestID string `json:"request_id,omitempty"`
}

// Problem returns the document that describes e to a caller.
func (e *Error) Problem() Problem {
	p := Problem{
		Type: "about:blank", Status: e.Status, Detail: e.Detail(),
		Step: e.Step, Peer: e.Peer, Field: e.Field, Outcome: e.Outcome, RequestID: e.RequestID,
	}
	if p.Status == 0 {
		p.Status = http.StatusInternalServerError
	}
	if p.Outcome == "" {
		p.Outcome = query.Failed
	}
	p.Title = http.StatusText(p.Status)
	return p
}

// Error returns the error that the document describes.
func (p Problem) Error() *Error {
	return New(p.Step, p.Peer, "%s", p.Detail).WithStatus(p.Status, p.Outcome).WithField(p.Field).WithRequestID(p.RequestID)
}
