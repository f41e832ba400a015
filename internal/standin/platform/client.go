package platform

import (
	"context"
	"encoding/json"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// inProcess is the peer in the errors of the in-process client.
const inProcess = "in-process"

// client calls the store without HTTP, with the same faults as over HTTP.
type client struct {
	p *Platform
}

// Client returns a client that calls p in the same process, for tests with
// virtual time.
func (p *Platform) Client() platform.Client {
	return client{p}
}

// wrapError adds the step, the peer and the call to an error.
func wrapError(err error, call Call, name string) error {
	if err == nil {
		return nil
	}
	return fault.Wrap(err, fault.StepPlatform, inProcess, "%s %s/%s", call.Method, call.Kind, name)
}

// unary executes a call with one reply and wraps its error.
func unary[T any](ctx context.Context, p *Platform, call Call, name string, op func() (T, error)) (T, error) {
	result, err := run(ctx, p, call, op)
	return result, wrapError(err, call, name)
}

func (c client) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	return unary(ctx, c.p, Call{MethodGet, kind}, name, func() (platform.Object, error) {
		return c.p.store.get(kind, name)
	})
}

func (c client) List(ctx context.Context, kind platform.Kind) (platform.Listing, error) {
	return unary(ctx, c.p, Call{MethodList, kind}, "", func() (platform.Listing, error) {
		return c.p.store.list(kind), nil
	})
}

func (c client) Create(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) (platform.Object, error) {
	return unary(ctx, c.p, Call{MethodCreate, kind}, name, func() (platform.Object, error) {
		return c.p.store.create(kind, name, value)
	})
}

func (c client) Update(ctx context.Context, object platform.Object) (platform.Object, error) {
	return unary(ctx, c.p, Call{MethodUpdate, object.Kind}, object.Name, func() (platform.Object, error) {
		return c.p.store.update(object)
	})
}

func (c client) Delete(ctx context.Context, kind platform.Kind, name string, version uint64) error {
	_, err := unary(ctx, c.p, Call{MethodDelete, kind}, name, func() (struct{}, error) {
		return struct{}{}, c.p.store.remove(kind, name, version)
	})
	return err
}

func (c client) Watch(ctx context.Context, kind platform.Kind, from uint64, onEvent func(platform.Event) error) error {
	noHeartbeat := func() error { return nil }
	return wrapError(c.p.watch(ctx, kind, from, onEvent, noHeartbeat), Call{MethodWatch, kind}, "")
}

func (c client) PutStatus(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) error {
	_, err := unary(ctx, c.p, Call{MethodPutStatus, kind}, name, func() (platform.Object, error) {
		return c.p.store.set(kind, name, value)
	})
	return err
}
