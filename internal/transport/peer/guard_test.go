package peer

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc"

	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
)

// TestHandlerPanics: a batch whose handler panics fails, with the results that it had
// already returned, and later batches on the same stream are served.
func TestHandlerPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := config()
		var reported []string
		cfg.OnPanic = func(call string, _ any) { reported = append(reported, call) }
		c, _ := connected(t, cfg, func(ctx context.Context, b *contract.Batch, reply func(Result)) {
			if b.RequestId == "bad" {
				reply(Result{Index: 1, Status: contract.Status_STATUS_OK})
				panic("malformed")
			}
			echo(ctx, b, reply)
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var bad, good collected
		if err := c.Do(ctx, batchOf("bad", 1, 2, 3), bad.add); err != nil {
			t.Error(err)
		}
		if err := c.Do(ctx, batchOf("good", 1, 2), good.add); err != nil || len(good.all) != 2 {
			t.Errorf("next batch: %v, error %v", good.all, err)
		}
		failed := 0
		for _, r := range bad.all {
			if r.Status == contract.Status_STATUS_FAILED {
				failed++
			}
		}
		if len(bad.all) != 3 || failed != 2 || len(reported) != 1 || !strings.Contains(reported[0], "bad") {
			t.Errorf("results %v, reported %v", bad.all, reported)
		}
	})
}

// TestGuardedCallPanics: a call whose handler panics returns an error.
func TestGuardedCallPanics(t *testing.T) {
	for _, report := range []func(string, any){nil, func(string, any) {}} {
		cfg := config()
		cfg.OnPanic = report
		if err := cfg.Guarded(panickingHandler{}).HandleRPC(nil, "call"); !errors.Is(err, errInternal) {
			t.Errorf("error %v", err)
		}
	}
}

type panickingHandler struct{}

func (panickingHandler) HandleRPC(drpc.Stream, string) error { panic("malformed") }
