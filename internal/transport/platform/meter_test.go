package platform

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// failing fails every Get with one error; other methods are not called.
type failing struct {
	platform.Client
	err error
}

func (f failing) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	return platform.Object{Name: "x"}, f.err
}

func TestMeteredReportsEachResult(t *testing.T) {
	cases := map[string]error{
		"ok":          nil,
		"not_found":   platform.ErrNotFound,
		"conflict":    fmt.Errorf("update: %w", platform.ErrConflict),
		"unavailable": platform.ErrUnavailable,
		"lost":        platform.ErrReplyLost,
		"timeout":     context.DeadlineExceeded,
		"error":       fmt.Errorf("other"),
	}
	for want, err := range cases {
		var reported string
		client := Metered(failing{err: err}, func(method, result string, _ time.Duration) { reported = method + " " + result })
		object, got := client.Get(t.Context(), platform.KindNode, "x")
		if reported != "get "+want || got != err || object.Name != "x" {
			t.Errorf("%v: reported %q, returned %v %v", err, reported, object, got)
		}
	}
}
