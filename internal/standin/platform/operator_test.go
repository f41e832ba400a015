package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/operator"
)

func addNote(id string, base uint64, names ...string) note.Note {
	n := note.Note{ID: id, Author: "o", Base: base}
	for _, name := range names {
		s := note.Service{Name: name, UpstreamGroup: name, LeafSlots: 1, LeafConnections: 25}
		n.Added = append(n.Added, s.Normalize())
	}
	return n
}

// stored returns the platform's stored catalogue, read without faults.
func stored(t *testing.T, p *Platform) note.Catalogue {
	t.Helper()
	faults := p.Faults()
	p.SetFaults(Faults{})
	defer p.SetFaults(faults)
	s, err := operator.ReadCatalogue(context.Background(), p.Client())
	must(t, err)
	return s.Catalogue
}

func TestApplyUnderFaults(t *testing.T) {
	var unknown *operator.OutcomeUnknownError
	var notApplied *operator.NotAppliedError
	cases := []struct {
		name          string
		faults        Faults
		faultDuration time.Duration // 0 means that the faults do not end
		err           any           // target of errors.As; nil means success
		// revision is the stored revision after all faults and late effects.
		revision uint64
	}{
		{"no fault", Faults{}, 0, nil, 1},
		{"reply lost", Faults{LostReplyShare: 1}, 0, nil, 1},
		{"every effect late", Faults{LateEffectShare: 1, LateEffectDelay: 300 * time.Millisecond}, 0, nil, 1},
		{"effect later than the attempts", Faults{LateEffectShare: 1, LateEffectDelay: time.Hour}, 0, &unknown, 1},
		{"short outage", Faults{Outage: OutageRefuse}, time.Second, nil, 1},
		{"long outage", Faults{Outage: OutageRefuse}, 0, &notApplied, 0},
		{"hang", Faults{Outage: OutageHang}, 0, &notApplied, 0},
		{"throttled at first", Faults{WritesPerSecond: 0.000001, ReadsPerSecond: 0.000001}, time.Second, nil, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := New(Options{Seed: 1, Faults: c.faults})
				if c.faultDuration > 0 {
					time.AfterFunc(c.faultDuration, func() { p.SetFaults(Faults{}) })
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				result, err := operator.Apply(ctx, p.Client(), addNote("n1", 0, "a"), operator.Options{})
				if c.err == nil && (err != nil || result.Revision != 1 || result.Repeated || len(result.Diff.Added) != 1) {
					t.Fatalf("result %+v, error %v", result, err)
				}
				if c.err != nil && !errors.As(err, c.err) {
					t.Fatalf("error %v, want %T", err, c.err)
				}
				time.Sleep(2 * time.Hour)
				if got := stored(t, p); got.Revision != c.revision {
					t.Fatalf("stored revision %d, want %d", got.Revision, c.revision)
				}
			})
		})
	}
}

func TestApplyAgainAndDryRun(t *testing.T) {
	p := New(Options{})
	ctx := t.Context()
	dry, err := operator.Apply(ctx, p.Client(), addNote("n1", 0, "a"), operator.Options{DryRun: true})
	must(t, err)
	if len(dry.Diff.Added) != 1 || stored(t, p).Revision != 0 {
		t.Fatalf("dry run %+v left revision %d", dry.Diff, stored(t, p).Revision)
	}
	_, err = operator.Apply(ctx, p.Client(), addNote("n1", 0, "a"), operator.Options{})
	must(t, err)
	repeated, err := operator.Apply(ctx, p.Client(), addNote("n1", 0, "a"), operator.Options{})
	must(t, err)
	if !repeated.Repeated || repeated.Revision != 1 || stored(t, p).Revision != 1 {
		t.Fatalf("repeated apply: %+v", repeated)
	}
	_, err = operator.Apply(ctx, p.Client(), addNote("n1", 0, "b"), operator.Options{})
	var taken *reconcile.IDTaken
	if !errors.As(err, &taken) {
		t.Fatalf("different note with the same id: %v", err)
	}
}

// TestRacingOperators checks that exactly one of several concurrent notes with
// the same base revision is applied, even with lost replies and late effects, and
// that the other operators receive a conflict that lists what changed.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			faults := Faults{Latency: 2 * time.Millisecond, LostReplyShare: 0.3, LateEffectShare: 0.3, LateEffectDelay: 250 * time.Millisecond}
			p := New(Options{Seed: seed, Faults: faults})
			errs := make(chan error)
			const operators = 4
			for i := range operators {
				start := time.Duration(random.IntN(20)) * time.Millisecond
				go func() {
					time.Sleep(start)
					_, err := operator.Apply(t.Context(), p.Client(), addNote(fmt.Sprintf("n%d", i), 0, "a"), operator.Options{MaxAttempts: 100})
					errs <- err
				}()
			}
			applied := 0
			for range operators {
				err := <-errs
				var conflict *reconcile.Conflict
				switch {
				case err == nil:
					applied++
				case !errors.As(err, &conflict) || len(conflict.Since) != 1 || conflict.Since[0].Services[0] != "a":
					t.Errorf("seed %d: %v", seed, err)
				}
			}
			time.Sleep(time.Second)
			if c := stored(t, p); applied != 1 || c.Revision != 1 {
				t.Errorf("seed %d: %d notes applied, revision %d", seed, applied, c.Revision)
			}
		})
	}
}

func putStatus(t *testing.T, p *Platform, node string, revision uint64) {
	t.Helper()
	must(t, p.Set(platform.KindNode, node, platform.NodeStatus{Node: node, Revision: revision, At: time.Now(), FreshFor: 10}))
}

func TestStatusAndWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{})
		ctx := t.Context()
		_, err := operator.Apply(ctx, p.Client(), addNote("n1", 0, "a"), operator.Options{})
		must(t, err)
		putStatus(t, p, "gone", 0)
		time.Sleep(time.Minute)
		putStatus(t, p, "current", 1)
		putStatus(t, p, "late", 0)
		putStatus(t, p, "stopping", 0)
		must(t, p.Set(platform.KindVM, "silent", platform.VM{ID: "silent", Group: platform.NodeGroup, State: platform.VMLive}))
		must(t, p.Set(platform.KindVM, "stopping", platform.VM{ID: "stopping", Group: platform.NodeGroup, State: platform.VMLeaving}))
		must(t, p.Set(platform.KindVM, "leaf", platform.VM{ID: "leaf", Group: "a", State: platform.VMLive}))

		report, err := operator.Status(ctx, p.Client())
		must(t, err)
		if report.Revision != 1 || len(report.Nodes) != 5 || !reflect.DeepEqual(report.Behind(), []string{"late", "silent"}) {
			t.Fatalf("report %+v", report)
		}

		limitedCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		var behind *operator.NodesBehindError
		if err := operator.WaitForRevision(limitedCtx, p.Client(), 1); !errors.As(err, &behind) || len(behind.Nodes) != 2 {
			t.Fatalf("wait: %v", err)
		}
		time.AfterFunc(2*time.Second, func() {
			putStatus(t, p, "late", 1)
			putStatus(t, p, "silent", 2)
		})
		must(t, operator.WaitForRevision(ctx, p.Client(), 1))
	})
}

func TestExportRebuildsTheCatalogue(t *testing.T) {
	p := New(Options{})
	ctx := t.Context()
	_, err := operator.Apply(ctx, p.Client(), addNote("n1", 0, "b", "a"), operator.Options{})
	must(t, err)
	exported, err := operator.Export(ctx, p.Client(), "o")
	must(t, err)
	text, err := exported.Format()
	must(t, err)
	parsed, faults := note.Parse("export", text)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	fresh := New(Options{})
	_, err = operator.Apply(ctx, fresh.Client(), parsed, operator.Options{})
	must(t, err)
	if got, want := stored(t, fresh).Services, stored(t, p).Services; !reflect.DeepEqual(got, want) {
		t.Fatalf("rebuilt %+v, want %+v", got, want)
	}
	history, err := operator.History(ctx, fresh.Client())
	must(t, err)
	if len(history) != 1 || history[0].ID != "export-1" {
		t.Fatalf("history %+v", history)
	}
}
