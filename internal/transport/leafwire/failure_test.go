package leafwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// failedDial is the error of a dial that fails with a given cause.
func failedDial(cause error) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", cause)}
	}
}

// TestFailureCauses checks that the log distinguishes a leaf that resets connections from a
// link on which nothing arrives: each failure of a connection is reported once, with its cause.
func TestFailureCauses(t *testing.T) {
	reset := func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	tests := []struct {
		name  string
		leaf  func(n int, c net.Conn, r *bufio.Reader)
		dial  func(context.Context, string) (net.Conn, error)
		cause Cause
	}{
		{"a dial without an answer", nil, failedDial(syscall.ETIMEDOUT), CauseDialTimeout},
		{"a refused dial", nil, failedDial(syscall.ECONNREFUSED), CauseDialRefused},
		{"no route", nil, failedDial(syscall.ENETUNREACH), CauseDialFailed},
		{"a reset", reset, nil, CauseReset},
		{"a close", func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) }, nil, CauseClosed},
		{"a close within a reply", func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		}, nil, CauseClosed},
		{"bytes that are no answer", func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "garbage\r\n\r\n")
		}, nil, CauseMalformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			serve := test.leaf
			if serve == nil {
				serve = func(int, net.Conn, *bufio.Reader) {}
			}
			leaf := newLeaf(t, serve)
			client := newClient(t, 2, leaf.vm())
			if test.dial != nil {
				client.cfg.Dial = test.dial
			}
			reported := make(chan Cause, 10)
			client.cfg.OnFailure = func(_ platform.VM, cause Cause, open int) {
				if open != 0 {
					t.Errorf("%d connections are left, want 0", open)
				}
				reported <- cause
			}
			_, done := start(client, leaf.vm(), "")
			await(t, done)
			if cause := <-reported; cause != test.cause {
				t.Errorf("cause %q, want %q", cause, test.cause)
			}
			time.Sleep(10 * time.Millisecond)
			if len(reported) != 0 {
				t.Errorf("reported once more: %q", <-reported)
			}
		})
	}
}
