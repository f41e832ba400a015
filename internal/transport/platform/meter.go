package platform

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// Observer is called at the end of each call. Method and result take constant values;
// a watch counts once, with its whole duration.
type Observer func(method, result string, elapsed time.Duration)

// Metered returns a client that forwards calls to inner and reports them to observe.
func Metered(inner platform.Client, observe Observer) platform.Client {
	return &metered{inner: inner, observe: observe}
}

type metered struct {
	inner   platform.Client
	observe Observer
}

// results maps the errors of the object API to results of an Observer.
var results = []struct {
	err  error
	name string
}{
	{platform.ErrNotFound, "not_found"},
	{platform.ErrExists, "exists"},
	{platform.ErrConflict, "conflict"},
	{platform.ErrTooOld, "too_old"},
	{platform.ErrTooLarge, "too_large"},
	{platform.ErrThrottled, "throttled"},
	{platform.ErrUnavailable, "unavailable"},
	{platform.ErrReplyLost, "lost"},
	{context.Canceled, "cancelled"},
	{context.DeadlineExceeded, "timeout"},
}

func resultOf(err error) string {
	if err == nil {
		return "ok"
	}
	for _, r := range results {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return "error"
}

func (m *metered) report(method string, start time.Time, err error) {
	m.observe(method, resultOf(err), time.Since(start))
}

// Get returns an object.
func (m *metered) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	start := time.Now()
	object, err := m.inner.Get(ctx, kind, name)
	m.report("get", start, err)
	return object, err
}

// List returns all objects of a kind.
func (m *metered) List(ctx context.Context, kind platform.Kind) (platform.Listing, error) {
	start := time.Now()
	listing, err := m.inner.List(ctx, kind)
	m.report("list", start, err)
	return listing, err
}

// Create stores a new object.
func (m *metered) Create(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) (platform.Object, error) {
	start := time.Now()
	object, err := m.inner.Create(ctx, kind, name, value)
	m.report("create", start, err)
	return object, err
}

// Update replaces an object if its version is current.
func (m *metered) Update(ctx context.Context, object platform.Object) (platform.Object, error) {
	start := time.Now()
	stored, err := m.inner.Update(ctx, object)
	m.report("update", start, err)
	return stored, err
}

// Delete removes an object if its version is current.
func (m *metered) Delete(ctx context.Context, kind platform.Kind, name string, version uint64) error {
	start := time.Now()
	err := m.inner.Delete(ctx, kind, name, version)
	m.report("delete", start, err)
	return err
}

// Watch streams the changes of a kind.
func (m *metered) Watch(ctx context.Context, kind platform.Kind, from uint64, handle func(platform.Event) error) error {
	start := time.Now()
	err := m.inner.Watch(ctx, kind, from, handle)
	m.report("watch", start, err)
	return err
}

// PutStatus stores an object unconditionally.
func (m *metered) PutStatus(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) error {
	start := time.Now()
	err := m.inner.PutStatus(ctx, kind, name, value)
	m.report("put_status", start, err)
	return err
}
