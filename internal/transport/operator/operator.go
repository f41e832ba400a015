// Package operator implements the operators' commands for the catalogue: apply a
// note, show the current revision of each node, export the services and list the
// applied notes. It holds no state between calls.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// StoredCatalogue is the catalogue as the platform holds it.
type StoredCatalogue struct {
	Catalogue note.Catalogue
	// Version is the object's version; 0 means that there is no object yet.
	Version uint64
}

// ReadCatalogue returns the stored catalogue. If there is no object, the catalogue
// is empty and has revision 0.
func ReadCatalogue(ctx context.Context, client platform.Client) (StoredCatalogue, error) {
	object, err := client.Get(ctx, platform.KindCatalogue, platform.CatalogueName)
	if errors.Is(err, platform.ErrNotFound) {
		return StoredCatalogue{}, nil
	}
	if err != nil {
		return StoredCatalogue{}, err
	}
	var stored StoredCatalogue
	if err := json.Unmarshal(object.Value, &stored.Catalogue); err != nil {
		return StoredCatalogue{}, fault.Wrap(err, fault.StepPlatform, "", "stored catalogue is not readable")
	}
	stored.Version = object.Version
	return stored, nil
}

// writeCatalogue replaces the stored catalogue if it still has the version that was read.
func writeCatalogue(ctx context.Context, client platform.Client, version uint64, next note.Catalogue) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if version == 0 {
		_, err = client.Create(ctx, platform.KindCatalogue, platform.CatalogueName, value)
		return err
	}
	_, err = client.Update(ctx, platform.Object{
		Kind:    platform.KindCatalogue,
		Name:    platform.CatalogueName,
		Version: version,
		Value:   value,
	})
	return err
}

// Options configure Apply.
type Options struct {
	// DryRun computes the effect and writes nothing.
	DryRun bool
	// MaxAttempts bounds the attempts at reading and writing the catalogue; 0 means
	// DefaultMaxAttempts.
	MaxAttempts int
	// InitialBackoff is the delay before the second attempt, which doubles for each
	// further one; 0 means DefaultInitialBackoff.
	InitialBackoff time.Duration
}

// Defaults of Options.
const (
	DefaultMaxAttempts    = 8
	DefaultInitialBackoff = 100 * time.Millisecond
	maxBackoff            = 2 * time.Second
)

// OutcomeUnknownError is returned when a note may or may not have been applied, or
// may still be applied later. Applying it again is safe and determines the outcome.
type OutcomeUnknownError struct {
	ID    string
	cause error
}

// Error names the note and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("whether note %q is in force is unknown; apply it again to find out: %v", e.ID, e.cause)
}

// Unwrap returns the last error of the platform.
func (e *OutcomeUnknownError) Unwrap() error { return e.cause }

// NotAppliedError is returned when a note has not been applied and will not be,
// because every attempt failed, for example while the platform was unreachable.
type NotAppliedError struct {
	ID    string
	cause error
}

// Error names the note and the cause.
func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("note %q is not applied: %v", e.ID, e.cause)
}

// Unwrap returns the last error of the platform.
func (e *NotAppliedError) Unwrap() error { return e.cause }

// applier is the state of one Apply.
type applier struct {
	client platform.Client
	note   note.Note
	// pendingWrite is true while a write whose reply was lost may still take effect;
	// it was conditional on pendingVersion.
	pendingWrite   bool
	pendingVersion uint64
	// lastSent is the effect of the newest write that was sent.
	lastSent reconcile.Result
}

// Apply applies a note atomically, by one conditional update. After a lost reply
// it reads back whether the note's id is in the history; the write is sent again
// only under the same condition, so that it takes effect at most once. The error
// is one of those of reconcile.Apply, or *OutcomeUnknownError, or *NotAppliedError.
func Apply(ctx context.Context, client platform.Client, n note.Note, opts Options) (reconcile.Result, error) {
	if opts.MaxAttempts == 0 {
		opts.MaxAttempts = DefaultMaxAttempts
	}
	if opts.InitialBackoff == 0 {
		opts.InitialBackoff = DefaultInitialBackoff
	}
	a := &applier{client: client, note: n}
	backoff := opts.InitialBackoff
	for attempt := 1; ; attempt++ {
		result, err := a.attempt(ctx, opts.DryRun)
		if err == nil || !isTransient(err) {
			return result, err
		}
		if attempt >= opts.MaxAttempts || !sleep(ctx, backoff) {
			return reconcile.Result{}, a.abandon(err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// attempt reads the catalogue, applies the note and writes once.
func (a *applier) attempt(ctx context.Context, dryRun bool) (reconcile.Result, error) {
	stored, err := ReadCatalogue(ctx, a.client)
	if err != nil {
		return reconcile.Result{}, err
	}
	if a.pendingWrite && stored.Version != a.pendingVersion {
		// The condition of the lost write no longer holds: it took effect
		// before this read, or it never will.
		a.pendingWrite = false
	}
	result, err := reconcile.Apply(stored.Catalogue, a.note, time.Now())
	if err != nil {
		return reconcile.Result{}, err
	}
	if result.Repeated && a.lastSent.Revision == result.Revision {
		return a.lastSent, nil // the lost write took effect
	}
	if result.Repeated || dryRun {
		return result, nil
	}
	a.lastSent = result
	err = writeCatalogue(ctx, a.client, stored.Version, result.Catalogue)
	if errors.Is(err, platform.ErrReplyLost) {
		a.pendingWrite, a.pendingVersion = true, stored.Version
	}
	if err != nil {
		return reconcile.Result{}, err
	}
	return result, nil
}

// abandon returns the error of an Apply that makes no further attempt.
func (a *applier) abandon(err error) error {
	if a.pendingWrite {
		return &OutcomeUnknownError{ID: a.note.ID, cause: err}
	}
	return &NotAppliedError{ID: a.note.ID, cause: err}
}

// isTransient reports whether another attempt may succeed. A conflict of the write
// is transient, since the next attempt reads what the other operator stored.
func isTransient(err error) bool {
	var conflict *reconcile.Conflict
	if errors.As(err, &conflict) {
		return false
	}
	for _, transient := range []error{
		platform.ErrUnavailable, platform.ErrThrottled, platform.ErrReplyLost,
		platform.ErrConflict, platform.ErrExists, platform.ErrNotFound,
		context.Canceled, context.DeadlineExceeded,
	} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// sleep waits for d and returns true, or returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
