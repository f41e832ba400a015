package relay

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// TestTimedOutConnectionsAreNoCrashes guards against a good request that is quarantined since
// the links of this node had failed under it.
func TestTimedOutConnectionsAreNoCrashes(t *testing.T) {
	for cause, want := range map[error]quarantine.Outcome{
		syscall.ETIMEDOUT:  quarantine.Inconclusive,
		syscall.ECONNRESET: quarantine.ConnectionLost,
		io.EOF:             quarantine.ConnectionLost,
	} {
		err := fault.Wrap(&net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", cause)}, fault.StepReply, "leaf", "read reply")
		reply := upstream.Reply{Result: subrequest.ConnectionLost, Sent: true, Err: err}
		if got := outcomeOf(reply, leaf.Errored); got != want {
			t.Errorf("%v: outcome %v, want %v", cause, got, want)
		}
	}
}
