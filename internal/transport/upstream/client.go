// Package upstream sends subrequests to leafs over HTTP/1.1 with persistent
// connections, or over HTTP/2, and fetches their manifests. Replies are verified
// before use.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/httpstatus"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/memory"
	"github.com/hickorydock/hickorydock/internal/transport/credentials"
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
)

// Config sets the limits, the dialer and the protocol of a Client.
type Config struct {
	// MaxReplyBytes bounds the body of a reply.
	MaxReplyBytes int64
	// MaxReplyHeaderBytes bounds the headers of a reply.
	MaxReplyHeaderBytes int64
	// ConnectionsPerLeaf bounds the connections to one leaf; 0 means no bound.
	ConnectionsPerLeaf int
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// Dial opens a connection, with TLS if the settings require it; nil means plain
	// TCP.
	Dial credentials.DialFunc
	// ManifestTimeout bounds fetching a manifest.
	ManifestTimeout time.Duration
	// Protocol is the version of HTTP that the client uses.
	Protocol Protocol
}

// Protocol is a version of HTTP.
type Protocol int

const (
	// HTTP1 is HTTP/1.1 with one request at a time on each persistent connection.
	HTTP1 Protocol = iota
	// HTTP2 is unencrypted HTTP/2 with prior knowledge, with a stream for each
	// request. Leafs must support it. A connection of a share still carries one
	// request at a time.
	HTTP2
)

// protocols returns p as net/http takes it; nil selects the default of net/http.
func (p Protocol) protocols() *http.Protocols {
	if p == HTTP1 {
		return nil
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// defaultConnectionsPerLeaf bounds the connections to a leaf without a known share.
const defaultConnectionsPerLeaf = 16

// DefaultConfig returns the bounds used when nothing else is set.
func DefaultConfig() Config {
	return Config{
		ConnectionsPerLeaf:  defaultConnectionsPerLeaf,
		MaxReplyBytes:       4 << 20,
		MaxReplyHeaderBytes: 16 << 10,
		DialTimeout:         time.Second,
		ManifestTimeout:     500 * time.Millisecond,
	}
}

// Client sends requests to leafs. It is safe for concurrent use.
type Client struct {
	cfg         Config
	http        *http.Client
	shares      *shares
	injectTrace Injector
	opened      atomic.Int64
}

// Injector writes the trace context of ctx into request headers.
type Injector func(ctx context.Context, h http.Header)

// New returns a client; inject may be nil.
func New(cfg Config, inject Injector) *Client {
	c := &Client{cfg: cfg, injectTrace: inject}
	dial := cfg.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c.opened.Add(1)
			ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		MaxConnsPerHost:        cfg.ConnectionsPerLeaf,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdlePerLeaf(cfg.ConnectionsPerLeaf),
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: cfg.MaxReplyHeaderBytes,
		Protocols:              cfg.Protocol.protocols(),
	}
	c.shares = newShares(transport, cfg.ManifestTimeout)
	c.http = &http.Client{
		Transport:     c.shares,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// defaultIdlePerLeaf is the maximum number of idle connections to a leaf when its
// connections are not bounded.
const defaultIdlePerLeaf = 64

func maxIdlePerLeaf(bound int) int {
	if bound > 0 {
		return bound
	}
	return defaultIdlePerLeaf
}

// ConnectionsOpened counts the connections opened so far.
func (c *Client) ConnectionsOpened() int64 { return c.opened.Load() }

// SetShare bounds the connections to a leaf. They are opened before they are needed,
// and requests wait for a free one. Without a share the bound is ConnectionsPerLeaf.
func (c *Client) SetShare(vm platform.VM, count int) { c.shares.set(vm.Address, count) }

// RequireShares makes requests to leafs without a share fail. Call it before the
// first request, so that every connection counts against a share.
func (c *Client) RequireShares() { c.shares.require() }

// DropShare closes the connections to a removed leaf and removes its share.
func (c *Client) DropShare(vm platform.VM) { c.shares.drop(vm.Address) }

// Close closes idle connections immediately and those in use when they are released.
func (c *Client) Close() { c.shares.close() }

// Reply is the result of one attempt.
type Reply struct {
	Result subrequest.Result
	Items  []query.Item
	// Sent is true when a byte of the request may have reached the leaf.
	Sent bool
	// Draining is true when the leaf reported that it is draining.
	Draining bool
	// Holdings is the tag of the leaf's holdings; empty when the reply has none.
	Holdings string
	// Manifest is the leaf's manifest when Result is SnapshotUnavailable and the leaf
	// sent one.
	Manifest *contract.Manifest
	// Err is the cause of any result other than OK, with step and peer.
	Err error
}

// LeafResult returns the result to record for the leaf; ctx is that of the attempt.
func (r Reply) LeafResult(ctx context.Context) leaf.Result {
	switch r.Result {
	case subrequest.OK:
		return leaf.Answered
	case subrequest.SnapshotUnavailable:
		return leaf.SnapshotUnavailable
	case subrequest.NotRun:
		return leaf.Shed
	default:
		if ctx.Err() != nil {
			return leaf.Cancelled
		}
		return leaf.Errored
	}
}

// Run sends one attempt to a leaf and waits for its reply or the end of ctx.
// remaining is the time limit that the leaf receives; body is the encoded RunRequest.
func (c *Client) Run(ctx context.Context, vm platform.VM, sub contract.Subrequest, remaining time.Duration, body []byte) Reply {
	url := "http://" + vm.Address + contract.RunPath(sub.Shard)
	isCommand := sub.Class == contract.ClassCommand
	connected := &atomic.Bool{}
	if isCommand {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
		})
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Reply{Result: subrequest.ConnectionLost, Err: fault.Wrap(err, fault.StepSend, vm.ID, "build request")}
	}
	if isCommand {
		// Without GetBody, net/http cannot send the request a second time.
		request.GetBody = nil
	}
	sub.SetHeaders(request.Header, remaining)
	request.Header.Set("Content-Type", "application/json")
	if c.injectTrace != nil {
		c.injectTrace(ctx, request.Header)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return failedSend(err, vm, isCommand && !connected.Load())
	}
	defer response.Body.Close()
	return c.readReply(response, vm, sub)
}

// failedSend is the result of a request that failed before its reply began. unsent
// is true when the request certainly had no connection.
func failedSend(err error, vm platform.VM, unsent bool) Reply {
	var opError *net.OpError
	var stepError *fault.Error
	handshakeFailed := errors.As(err, &stepError) && stepError.Step == fault.StepConnect
	dialFailed := errors.As(err, &opError) && opError.Op == "dial"
	if unsent || dialFailed || handshakeFailed {
		return Reply{Result: subrequest.ConnectionLost, Err: fault.Wrap(err, fault.StepConnect, vm.ID, "connect")}
	}
	return Reply{Result: subrequest.ConnectionLost, Sent: true, Err: fault.Wrap(err, fault.StepSend, vm.ID, "send")}
}

func (c *Client) readReply(response *http.Response, vm platform.VM, sub contract.Subrequest) Reply {
	reply := Reply{
		Sent:     true,
		Draining: response.Header.Get(contract.HeaderDraining) == "1",
		Holdings: holdingsTag(response.Header),
	}
	body, err := readBody(response, c.cfg.MaxReplyBytes)
	if err != nil {
		reply.Result = subrequest.ConnectionLost
		reply.Err = fault.Wrap(err, fault.StepReply, vm.ID, "read body")
		return reply
	}
	if sub.Class == contract.ClassCommand || isPromise(response) {
		// A reply that says that nothing ran must itself identify what has not run.
		if err := sub.VerifyReply(response.Header, body); err != nil {
			reply.Result = subrequest.BadReply
			reply.Err = fault.Wrap(err, fault.StepReply, vm.ID, "verify")
			return reply
		}
	}
	switch {
	case response.StatusCode == http.StatusOK:
		return decodeReply(reply, response.Header, body, vm, sub)
	case contract.IsNotRun(response.StatusCode, response.Header):
		reply.Result = subrequest.NotRun
	case response.StatusCode == http.StatusGone:
		reply.Result = subrequest.SnapshotUnavailable
		reply.Manifest = decodeManifest(body)
	default:
		reply.Result = subrequest.UpstreamError
	}
	reply.Err = fault.New(fault.StepReply, vm.ID, "status %d", response.StatusCode)
	return reply
}

// isPromise reports whether a reply declares that the subrequest did not run.
func isPromise(response *http.Response) bool {
	return contract.IsNotRun(response.StatusCode, response.Header) || response.StatusCode == http.StatusGone
}

// holdingsTag reads the tag of the leaf's holdings; an oversized one is ignored.
func holdingsTag(h http.Header) string {
	tag := h.Get(contract.HeaderHoldings)
	if len(tag) > contract.MaxHoldingsTag {
		return ""
	}
	return strings.Clone(tag)
}

func decodeReply(reply Reply, h http.Header, body []byte, vm platform.VM, sub contract.Subrequest) Reply {
	reply.Result = subrequest.BadReply
	if err := sub.VerifyReply(h, body); err != nil {
		reply.Err = fault.Wrap(err, fault.StepReply, vm.ID, "verify")
		return reply
	}
	var run contract.RunReply
	if err := json.Unmarshal(body, &run); err != nil {
		reply.Err = fault.Wrap(err, fault.StepReply, vm.ID, "decode")
		return reply
	}
	reply.Result = subrequest.OK
	reply.Items = run.Items
	return reply
}

func decodeManifest(body []byte) *contract.Manifest {
	var m contract.Manifest
	if err := json.Unmarshal(body, &m); err != nil || m.Leaf == "" {
		return nil
	}
	return &m
}

// replyFactor is the ratio of what a reply costs in memory to its size: as received, as decoded
// and as part of the answer.
const replyFactor = 4

var errNoMemory = errors.New("no memory for the reply")

// heldReader takes the memory of what is read from the request that it is read for.
type heldReader struct {
	io.Reader
	hold *memory.Hold
}

// Read implements io.Reader.
func (r heldReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && !r.hold.Grow(replyFactor*int64(n)) {
		return 0, errNoMemory
	}
	return n, err
}

// holdOf returns the memory of the request that a reply belongs to; nil if there is none.
func holdOf(response *http.Response) *memory.Hold {
	if response.Request == nil {
		return nil
	}
	return ingress.HoldOf(response.Request.Context())
}

// readBody reads at most limit bytes and fails when there are more.
func readBody(response *http.Response, limit int64) ([]byte, error) {
	if !httpstatus.IsFinal(response.StatusCode) {
		// After a switch of protocols the body is the raw connection, which the request's context
		// does not cancel.
		return nil, fmt.Errorf("invalid status %03d", response.StatusCode)
	}
	body, err := io.ReadAll(heldReader{io.LimitReader(response.Body, limit+1), holdOf(response)})
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("body exceeds %d bytes", limit)
	}
	return body, nil
}

// Manifest fetches a leaf's manifest.
func (c *Client) Manifest(ctx context.Context, vm platform.VM) (contract.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ManifestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Address+contract.PathManifest, nil)
	if err != nil {
		return contract.Manifest{}, fault.Wrap(err, fault.StepSend, vm.ID, "build manifest request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return contract.Manifest{}, fault.Wrap(err, fault.StepConnect, vm.ID, "fetch manifest")
	}
	defer response.Body.Close()
	body, err := readBody(response, c.cfg.MaxReplyBytes)
	if err != nil {
		return contract.Manifest{}, fault.Wrap(err, fault.StepReply, vm.ID, "read manifest")
	}
	if response.StatusCode != http.StatusOK {
		return contract.Manifest{}, fault.New(fault.StepReply, vm.ID, "manifest status %d", response.StatusCode)
	}
	var m contract.Manifest
	if err := json.Unmarshal(body, &m); err != nil {
		return contract.Manifest{}, fault.Wrap(err, fault.StepReply, vm.ID, "decode manifest")
	}
	return m, nil
}
