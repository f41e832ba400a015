package leafwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// isOverdue reports whether a call that was sent is overdue.
func isOverdue(c *Client, now time.Time) bool {
	_, sent := c.Overdue(now)
	return sent
}

// patientCall is a call that is overdue after 50 ms.
func patientCall(vm platform.VM, at time.Time, done chan *Call) *Call {
	message := &Message{Method: http.MethodGet, Head: []byte("GET /p HTTP/1.1\r\nHost: h\r\n"), ID: requestID, Deadline: at.Add(testWait)}
	return &Call{Message: message, Leaf: vm, StartedAt: at, Patience: 50 * time.Millisecond, Done: done}
}

// TestOverdueWithoutConnection checks that a call which waits for a connection is overdue as
// such.
func TestOverdueWithoutConnection(t *testing.T) {
	vm := platform.VM{ID: "a/1", Group: "a"}
	client := newClient(t, 2, vm)
	dialled := make(chan struct{})
	client.cfg.Dial = func(context.Context, string) (net.Conn, error) { <-dialled; return nil, syscall.ETIMEDOUT }
	now := time.Now()
	done := make(chan *Call, 1)
	client.Start(patientCall(vm, now, done))
	if waiting, sent := client.Overdue(now.Add(51 * time.Millisecond)); !waiting || sent {
		t.Errorf("overdue while it waits: %v, sent: %v", waiting, sent)
	}
	close(dialled)
	await(t, done)
}

// TestWhatLinksShow checks what the client reports of its links: the last reply, overdue calls,
// open connections and groups whose leafs cannot be dialled.
func TestWhatLinksShow(t *testing.T) {
	received, answer := make(chan struct{}), make(chan struct{})
	leaf := newLeaf(t, func(n int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil || n > 0 {
			return
		}
		close(received)
		<-answer
		_, _ = io.WriteString(c, completeReply)
		_, _ = http.ReadRequest(r)
	})
	vm := leaf.vm()
	client := newClient(t, 2, vm)
	if client.HasConnection(vm.ID) || isOverdue(client, time.Now()) {
		t.Error("a connection or an overdue call before the first one")
	}
	before := time.Now()
	done := make(chan *Call, 1)
	client.Start(patientCall(vm, before, done))
	<-received
	if isOverdue(client, before.Add(50*time.Millisecond)) {
		t.Error("the call is overdue within its patience")
	}
	if !isOverdue(client, before.Add(51*time.Millisecond)) {
		t.Error("the call is not overdue after its patience")
	}
	close(answer)
	await(t, done)
	if !client.HasConnection(vm.ID) || isOverdue(client, before.Add(time.Hour)) || client.LastReply().Before(before) {
		t.Errorf("connection %v, overdue %v, last reply %v after the start", client.HasConnection(vm.ID), isOverdue(client, before.Add(time.Hour)), client.LastReply().Sub(before))
	}
	client.cfg.Dial = failedDial(syscall.ETIMEDOUT)
	for _, id := range []string{"x/1", "x/2", "y/1"} {
		_, failed := start(client, platform.VM{ID: id, Group: id[:1]}, "")
		await(t, failed)
	}
	if n := client.FailedGroups(); n != 2 {
		t.Errorf("%d groups cannot be dialled, want 2", n)
	}
	if client.HasConnection("x/1") {
		t.Error("a failed dial counts as a connection")
	}
	if targets := client.ProbeTargets(time.Now(), 1); len(targets) != 1 || targets[0].ID != vm.ID {
		t.Errorf("probes %v, want the leaf that has not failed", targets)
	}
	targets := client.ProbeTargets(time.Now(), 3)
	groups := []string{targets[0].Group, targets[1].Group, targets[2].Group}
	slices.Sort(groups)
	if len(slices.Compact(groups)) != 3 {
		t.Errorf("probes of groups %v, want three different ones", groups)
	}
	client.ForgetFailures()
	if n := client.FailedGroups(); n != 0 {
		t.Errorf("%d groups count as failed after all was forgotten", n)
	}
	if client.Probe(t.Context(), vm) == nil {
		t.Error("a probe succeeds whose dial fails")
	}
	client.cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	if err := client.Probe(t.Context(), vm); err != nil {
		t.Errorf("probe: %v", err)
	}
}
