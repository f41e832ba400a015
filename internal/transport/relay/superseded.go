package relay

import "context"

// SupersededPolicy selects what happens to the pending attempts of a subrequest once
// another attempt has answered.
type SupersededPolicy int

const (
	// CancelSuperseded cancels superseded attempts at once. On HTTP/1.1 that closes
	// their connections.
	CancelSuperseded SupersededPolicy = iota
	// FinishSuperseded lets superseded attempts run until they answer or their
	// deadline passes, which keeps their connections open.
	FinishSuperseded
)

// SetSupersededPolicy sets the policy; the default is CancelSuperseded. It must be
// called before Run.
func (r *Relay) SetSupersededPolicy(p SupersededPolicy) { r.superseded = p }

// loopFinishSuperseded is loop under FinishSuperseded. When it ends without a reply,
// for example because the caller disconnected, it cancels all attempts.
func (u *run) loopFinishSuperseded() Result {
	attemptCtx, stop := context.WithDeadline(context.WithoutCancel(u.ctx), u.task.Deadline)
	u.attemptCtx = attemptCtx
	result := u.loop()
	if !result.OK {
		stop()
		return result
	}
	go func() {
		u.pending.Wait()
		stop()
	}()
	return result
}
