package gateway

import (
	"errors"
	"sync/atomic"
)

var errStarting = errors.New("starting")

// readiness is the readiness of the server for callers, which starts after the listener that
// reports it and stops before.
type readiness struct {
	server atomic.Pointer[callerServer] // nil until it listens
}

func newReadiness() *readiness { return &readiness{} }

// Ready returns nil if the node can take requests, or the reason why it cannot.
func (r *readiness) Ready() error {
	cs := r.server.Load()
	if cs == nil {
		return errStarting
	}
	return cs.Ready()
}
