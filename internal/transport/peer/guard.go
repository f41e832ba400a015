package peer

import (
	"errors"

	"storj.io/drpc"
)

// errInternal is the reply to a call whose handler panicked.
var errInternal = errors.New("internal error")

// Guarded returns a handler of the calls of other nodes that recovers from a panic, so that
// a message which brings one about takes down only its call.
func (c Config) Guarded(handler drpc.Handler) drpc.Handler { return guarded{c, handler} }

type guarded struct {
	cfg     Config
	handler drpc.Handler
}

// HandleRPC serves one call.
func (g guarded) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer g.cfg.recovered(rpc, func() { err = errInternal })
	return g.handler.HandleRPC(stream, rpc)
}

// recovered must be deferred. It reports a panic of a call and then calls failed.
func (c Config) recovered(call string, failed func()) {
	cause := recover()
	if cause == nil {
		return
	}
	if c.OnPanic != nil {
		c.OnPanic(call, cause)
	}
	failed()
}
