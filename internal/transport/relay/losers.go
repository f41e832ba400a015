package relay

import "context"

// Losers says what becomes of attempts that are pending when another one of the
// same subrequest answers.
type Losers int

const (
	// Cancel ends losers at once. On HTTP/1.1 that closes their connections.
	Cancel Losers = iota
	// RunOut lets losers run until they answer or their deadline passes, so that
	// their connections are kept.
	RunOut
)

// SetLosers changes what becomes of losers. It must be called before Run.
func (r *Relay) SetLosers(l Losers) { r.losers = l }

// loopRunOut is loop with losers that run out. Without a reply, as when the
// caller left, attempts are cancelled.
func (u *run) loopRunOut() Result {
	wire, stop := context.WithDeadline(context.WithoutCancel(u.ctx), u.task.Deadline)
	u.wire = wire
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
