package experiment

import (
	"context"
	"testing"
)

func TestSharesConverge(t *testing.T) {
	result, err := runShares(context.Background(), 3)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range result.Checks {
		if !c.Pass {
			t.Errorf("%s: %.3f, bound %.3f", c.Name, c.Value, c.Bound)
		}
	}
}
