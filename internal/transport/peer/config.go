// Package peer carries batches of subrequests between nodes over drpc. Each client
// keeps one connection with one long-lived stream; batches have correlation ids,
// results are returned one by one as they become available, and both sides bound the
// subrequests in flight and the size of a message.
package peer

import (
	"errors"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
)

// Versions of the messages that this build supports.
const (
	Version       = 2
	LowestVersion = 1
	// VersionWithEras is the first version whose platform versions hold an era.
	VersionWithEras = 2
)

// Config identifies one side of a stream and sets what it accepts.
type Config struct {
	Node        string
	Incarnation uint64
	// Version and LowestVersion bound the versions that the side supports.
	Version, LowestVersion uint32
	// MaxInFlight is the maximum number of subrequests without a result on one stream.
	MaxInFlight int
	// MaxMessageBytes bounds a message in either direction, in bytes.
	MaxMessageBytes int
	// OnPanic is called with the call and the cause when the handler of a call of another
	// node panics; only that call fails. It may be nil.
	OnPanic func(call string, cause any)
}

// Defaults of Config.
const (
	DefaultMaxInFlight     = 4096
	DefaultMaxMessageBytes = 4 << 20
)

// DefaultConfig returns the usual bounds of a node.
func DefaultConfig(node string, incarnation uint64) Config {
	return Config{
		Node:            node,
		Incarnation:     incarnation,
		Version:         Version,
		LowestVersion:   LowestVersion,
		MaxInFlight:     DefaultMaxInFlight,
		MaxMessageBytes: DefaultMaxMessageBytes,
	}
}

// Errors of a stream.
var (
	// ErrVersion means that the two sides support no common version.
	ErrVersion = errors.New("no common version")
	// ErrTooLarge means that a batch exceeds what the other side accepts. Nothing was sent.
	ErrTooLarge = errors.New("batch too large")
	// ErrDraining means that the other side is draining. Nothing was sent.
	ErrDraining = errors.New("peer is draining")
	// ErrStreamLost means that the stream broke; shards without a result may have run.
	ErrStreamLost = errors.New("stream lost")
	// ErrNotSent means that the batch ended before a byte of it was sent.
	ErrNotSent = errors.New("batch not sent")
	// ErrProtocol means that the other side violated the protocol of the stream.
	ErrProtocol = errors.New("protocol error")
)

// IsNotRun reports whether an error of Client.Do says that no shard of the batch
// has run.
func IsNotRun(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrDraining)
}

// messageSlack bounds the size of the fields of a message besides its results, in bytes.
const messageSlack = 1 << 10

// ManagerOptions bounds the messages that drpc reads.
func (c Config) ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: c.MaxMessageBytes + messageSlack},
	}
}

// Hello returns the hello that the side sends in its first message.
func (c Config) Hello() *contract.Hello {
	return &contract.Hello{
		Version:         c.Version,
		LowestVersion:   c.LowestVersion,
		Node:            c.Node,
		Incarnation:     c.Incarnation,
		MaxInFlight:     uint32(c.MaxInFlight),
		MaxMessageBytes: uint32(c.MaxMessageBytes),
	}
}

// NegotiateVersion returns the newest version that both sides support, or fails with
// ErrProtocol or ErrVersion.
func (c Config) NegotiateVersion(h *contract.Hello) (uint32, error) {
	if h == nil {
		return 0, fault.Wrap(ErrProtocol, fault.StepPeer, "", "first message without hello")
	}
	version := min(c.Version, h.Version)
	if version < c.LowestVersion || version < h.LowestVersion {
		return 0, fault.Wrap(ErrVersion, fault.StepPeer, h.Node, "own versions %d to %d, peer's %d to %d",
			c.LowestVersion, c.Version, h.LowestVersion, h.Version)
	}
	return version, nil
}
