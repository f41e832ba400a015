// Package platform defines a narrow interface to the platform's object API:
// versioned objects with conditional updates, watches and status. The interface
// is implemented by the HTTP adapter in transport and by fakes in tests; another
// platform needs one more adapter.
package platform

import (
	"context"
	"encoding/json"
	"errors"
)

// MaxValueBytes is the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Kind names a collection of objects.
type Kind string

// Kinds used by hickorydock.
const (
	// KindCatalogue holds the current catalogue, in the object CatalogueName.
	KindCatalogue Kind = "catalogue"
	// KindVM is the platform's own list of VMs, which lags; read only.
	KindVM Kind = "vm"
	// KindClaim holds one object for each claimed command.
	KindClaim Kind = "claim"
	// KindRouting holds the current routing table, in the object RoutingName.
	KindRouting Kind = "routing"
	// KindEvacuation holds one object for each availability zone whose leafs the operator wants
	// to get no requests, named after the zone. Their values mean nothing.
	KindEvacuation Kind = "evacuation"
	// KindNode holds one object for each node, with its status.
	KindNode Kind = "node"
	// KindContact holds the addresses of a few gateways, for those that start.
	KindContact Kind = "contact"
	// KindQuarantine holds the requests in quarantine, in the object QuarantineName, for
	// gateways that start after all have ended.
	KindQuarantine Kind = "quarantine"
)

// CatalogueName is the name of the single object of KindCatalogue.
const CatalogueName = "current"

// RoutingName is the name of the single object of KindRouting.
const RoutingName = "current"

// QuarantineName is the name of the single object of KindQuarantine.
const QuarantineName = "current"

// Object is one stored value.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version increases with every change of any object; 0 means not stored.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
	// Heartbeat counts the writes of the object's writer since its start; 0 if it does not
	// count them. A heartbeat alone is no change of the object.
	Heartbeat uint64 `json:"-"`
}

// Listing is a consistent list of a kind's objects.
type Listing struct {
	Objects []Object `json:"objects"`
	// Version is the store's version at the time of the list; a watch may start here.
	Version uint64 `json:"version"`
}

// Event is one change seen by a watch.
type Event struct {
	// Deleted is true when the object was removed; Object then holds its last value.
	Deleted bool   `json:"deleted,omitempty"`
	Object  Object `json:"object"`
	// Progress is true when nothing changed and only Object.Version is set: a
	// watch may resume there.
	Progress bool `json:"-"`
}

// Client is the platform's object API. Implementations are safe for concurrent
// use. Every method returns one of the errors of this package, wrapped, or a
// context error; ErrReplyLost means that a write may have taken effect.
type Client interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind Kind) (Listing, error)
	// Create stores a new object, or fails with ErrExists.
	Create(ctx context.Context, kind Kind, name string, value json.RawMessage) (Object, error)
	// Update replaces an object whose stored version is object.Version, or fails
	// with ErrConflict or ErrNotFound.
	Update(ctx context.Context, object Object) (Object, error)
	// Delete removes an object whose stored version is version, or fails with
	// ErrConflict or ErrNotFound.
	Delete(ctx context.Context, kind Kind, name string, version uint64) error
	// Watch calls onEvent for every change of a kind after version from, in order,
	// until ctx ends, onEvent fails or the stream breaks. It fails with ErrTooOld
	// when the platform no longer retains the changes since from.
	Watch(ctx context.Context, kind Kind, from uint64, onEvent func(Event) error) error
	// PutStatus stores an object unconditionally; it is meant for status reports
	// with one writer.
	PutStatus(ctx context.Context, kind Kind, name string, value json.RawMessage) error
}

// Poller is a Client whose watches are long polls.
type Poller interface {
	// Poll calls onEvent for every change of a kind after version from that there is now, then
	// with the progress, and returns. It fails as Watch does.
	Poll(ctx context.Context, kind Kind, from uint64, onEvent func(Event) error) error
}

// Errors of the object API.
var (
	ErrNotFound    = errors.New("object not found")
	ErrExists      = errors.New("object exists")
	ErrConflict    = errors.New("object version conflict")
	ErrTooOld      = errors.New("watch version too old")
	ErrTooLarge    = errors.New("value larger than 1 MiB")
	ErrThrottled   = errors.New("platform call rate exceeded")
	ErrUnavailable = errors.New("platform unavailable")
	// ErrReplyLost means that the request was sent and that no reply arrived.
	ErrReplyLost = errors.New("platform reply lost")
)

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is the value of an object of KindVM.
type VM struct {
	ID string `json:"id"`
	// Group is the upstream group, or NodeGroup for hickorydock's own VMs.
	Group   string `json:"group"`
	Address string `json:"address"` // host:port
	// PeerAddress is host:port for traffic between nodes; empty for upstreams.
	PeerAddress      string  `json:"peer_address,omitempty"`
	AvailabilityZone string  `json:"availability_zone"`
	Rack             string  `json:"rack,omitempty"`
	State            VMState `json:"state"`
}

// Contact is the value of an object of KindContact, which has the name of the node.
type Contact struct {
	// Address is host:port for traffic between nodes.
	Address string `json:"address"`
}

// Quarantines is the value of the object of KindQuarantine.
type Quarantines struct {
	Entries []QuarantineEntry `json:"entries"`
}

// QuarantineEntry is one request in quarantine.
type QuarantineEntry struct {
	// Fingerprint identifies the request, in hexadecimal digits.
	Fingerprint string `json:"fingerprint"`
	// UntilMs is the end of the quarantine in Unix milliseconds.
	UntilMs int64 `json:"until_ms"`
}

// NodeGroup is the group of hickorydock's own VMs.
const NodeGroup = "hickorydock"
