package catalogue

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
)

func newCatalogue(n uint64, names ...string) note.Catalogue {
	c := note.Catalogue{Revision: n}
	for _, name := range names {
		c.Services = append(c.Services, note.Service{Name: name})
	}
	return c
}

func TestRevisionNeverDecreases(t *testing.T) {
	s := New()
	steps := []struct {
		put      uint64
		accepted bool
	}{{0, true}, {0, false}, {2, true}, {1, false}, {2, false}, {3, true}}
	for _, step := range steps {
		if got := s.Put(newCatalogue(step.put)); got != step.accepted {
			t.Errorf("Put(%d) at revision %d = %v", step.put, s.Revision(), got)
		}
	}
}

func TestFindUsesNewestCatalogue(t *testing.T) {
	s := New()
	s.Put(newCatalogue(1, "a"))
	s.Put(newCatalogue(2, "b"))
	if _, found := s.Find("a"); found {
		t.Error("found a withdrawn service")
	}
	if _, found := s.Find("b"); !found {
		t.Error("did not find a service of the current catalogue")
	}
}

func TestWaitAndWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var seen []uint64
		done := make(chan error)
		go func() {
			done <- s.Watch(ctx, func(c note.Catalogue) { seen = append(seen, c.Revision) })
		}()
		for _, n := range []uint64{0, 1, 5} {
			time.Sleep(time.Second)
			s.Put(newCatalogue(n))
		}
		if c, err := s.Wait(ctx, 4); err != nil || c.Revision != 5 {
			t.Errorf("waited for 4, got %d, %v", c.Revision, err)
		}
		if _, err := s.Wait(ctx, 6); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("waited for 6: %v", err)
		}
		if err := <-done; !errors.Is(err, context.DeadlineExceeded) {
			t.Error(err)
		}
		if len(seen) != 3 || seen[2] != 5 {
			t.Errorf("Watch delivered revisions %v", seen)
		}
	})
}
