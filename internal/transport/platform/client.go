// Package platform is the HTTP client for the platform's object API. It implements
// the protocol of docs/PLATFORM.md and never retries: its caller decides whether a
// call may be repeated.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// DefaultTimeout bounds a call that is not a watch.
const DefaultTimeout = 5 * time.Second

// maxListBytes bounds the reply to a list.
const maxListBytes = 256 << 20

// Config configures the client.
type Config struct {
	// BaseURL is the root of the object API, such as "http://192.0.2.1:7000".
	BaseURL string
	// HTTPClient must not have a timeout, because watches are long; nil
	// means http.DefaultClient.
	HTTPClient *http.Client
	// Timeout bounds each call and the opening of a watch; 0 means DefaultTimeout.
	Timeout time.Duration
}

// client implements platform.Client.
type client struct {
	base    string
	peer    string
	http    *http.Client
	timeout time.Duration
}

// New returns a client for the object API at config.BaseURL.
func New(config Config) platform.Client {
	c := &client{
		base:    strings.TrimSuffix(config.BaseURL, "/"),
		http:    config.HTTPClient,
		timeout: config.Timeout,
	}
	c.peer = c.base
	if u, err := url.Parse(c.base); err == nil && u.Host != "" {
		c.peer = u.Host
	}
	if c.http == nil {
		c.http = http.DefaultClient
	}
	if c.timeout == 0 {
		c.timeout = DefaultTimeout
	}
	return c
}

// call is one request to the object API.
type call struct {
	method string
	path   string
	// ifMatch is the version of a conditional request; 0 sends none.
	ifMatch uint64
	body    []byte
}

func (c call) isWrite() bool { return c.method != http.MethodGet }

func objectPath(kind platform.Kind, name string) string {
	return "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func (c *client) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	var object platform.Object
	err := c.unary(ctx, call{method: http.MethodGet, path: objectPath(kind, name)}, &object)
	return object, err
}

func (c *client) List(ctx context.Context, kind platform.Kind) (platform.Listing, error) {
	var listing platform.Listing
	path := "/v1/objects/" + url.PathEscape(string(kind))
	err := c.unary(ctx, call{method: http.MethodGet, path: path}, &listing)
	return listing, err
}

func (c *client) Create(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) (platform.Object, error) {
	var object platform.Object
	request := call{method: http.MethodPost, path: objectPath(kind, name), body: value}
	err := c.unary(ctx, request, &object)
	return object, err
}

func (c *client) Update(ctx context.Context, object platform.Object) (platform.Object, error) {
	var updated platform.Object
	request := call{
		method:  http.MethodPut,
		path:    objectPath(object.Kind, object.Name),
		ifMatch: object.Version,
		body:    object.Value,
	}
	err := c.unary(ctx, request, &updated)
	return updated, err
}

func (c *client) Delete(ctx context.Context, kind platform.Kind, name string, version uint64) error {
	request := call{method: http.MethodDelete, path: objectPath(kind, name), ifMatch: version}
	return c.unary(ctx, request, nil)
}

func (c *client) PutStatus(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) error {
	path := "/v1/status/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
	return c.unary(ctx, call{method: http.MethodPut, path: path, body: value}, nil)
}

// unary performs a call and decodes its reply into result, unless that is nil.
func (c *client) unary(ctx context.Context, request call, result any) error {
	if len(request.body) > platform.MaxValueBytes {
		return c.wrapError(request, platform.ErrTooLarge)
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	traceCtx := httptrace.WithClientTrace(timeoutCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := c.send(traceCtx, request)
	if err != nil {
		return c.wrapError(request, callError(ctx, err, request.isWrite() && connected.Load()))
	}
	defer response.Body.Close()
	if err := statusError(response, request.isWrite()); err != nil {
		return c.wrapError(request, err)
	}
	if result == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, platform.MaxValueBytes))
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(result); err != nil {
		return c.wrapError(request, callError(ctx, err, request.isWrite()))
	}
	return nil
}

func (c *client) send(ctx context.Context, request call) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, request.method, c.base+request.path, bytes.NewReader(request.body))
	if err != nil {
		return nil, err
	}
	if request.body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if request.ifMatch != 0 {
		r.Header.Set("If-Match", `"`+strconv.FormatUint(request.ifMatch, 10)+`"`)
	}
	return c.http.Do(r)
}

// callError classifies the error of a call without a usable reply. sent is true for a
// write that may have reached the platform.
func callError(ctx context.Context, err error, sent bool) error {
	if sent {
		return errors.Join(platform.ErrReplyLost, context.Cause(ctx), opaque(err))
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Join(platform.ErrUnavailable, opaque(err))
}

// opaque keeps the text of err and hides its type, so that the client's timeout is
// not mistaken for the caller's.
func opaque(err error) error { return errors.New(err.Error()) }

// statusError maps the status of a reply to an error of the object API.
func statusError(response *http.Response, isWrite bool) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusNotFound:
		return platform.ErrNotFound
	case http.StatusConflict:
		return platform.ErrExists
	case http.StatusPreconditionFailed:
		return platform.ErrConflict
	case http.StatusGone:
		return platform.ErrTooOld
	case http.StatusRequestEntityTooLarge:
		return platform.ErrTooLarge
	case http.StatusTooManyRequests:
		return platform.ErrThrottled
	case http.StatusServiceUnavailable:
		return platform.ErrUnavailable
	}
	if response.StatusCode < http.StatusInternalServerError {
		return fmt.Errorf("platform refused the call: status %s", response.Status)
	}
	if isWrite {
		return fmt.Errorf("%w: status %s", platform.ErrReplyLost, response.Status)
	}
	return fmt.Errorf("%w: status %s", platform.ErrUnavailable, response.Status)
}

func (c *client) wrapError(request call, err error) error {
	return fault.Wrap(err, fault.StepPlatform, c.peer, "%s %s", request.method, request.path)
}
