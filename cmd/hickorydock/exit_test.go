package main

import (
	"errors"
	"fmt"
	"testing"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
)

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want int
	}{
		{"done", nil, 0},
		{"failed", errors.New("x"), 1},
		{"usage", usageError("x"), 2},
		{"wrapped usage", fmt.Errorf("y: %w", usageError("x")), 2},
		{"settings", fmt.Errorf("y: %w", settings.Faults{{Message: "x"}}), 2},
		{"conflict", fmt.Errorf("y: %w", platform.ErrConflict), 3},
	}
	for _, c := range cases {
		if got := exitCode(c.err); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}
