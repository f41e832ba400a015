package mesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/reader"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
)

const (
	// overdueHalfWaits is the age, in halves of the wait of a watch, after which a
	// node's copy is overdue. Four are usual: the reader waits once, and the nodes on the
	// way from it as long together.
	overdueHalfWaits = 5
	// joinPollDelay is the delay before a node that has no copy yet looks for members again.
	joinPollDelay = 10 * time.Millisecond
	// sourceRetryDelay is the delay before a node looks for a source again.
	sourceRetryDelay = 50 * time.Millisecond
)

// Client is a platform.Client whose lists and watches are served by the readers of the
// platform, or by the platform itself if this node is one of them.
type Client struct {
	platform.Client
	mesh *Mesh
	// watchWait is how long a watch waits for a change.
	watchWait time.Duration

	// readsPlatform is true once this node has read a list from the platform itself.
	readsPlatform atomic.Bool
	// stored are the quarantines that this node has stored or restored.
	stored storedQuarantines
	// unanswered is true once no contact has answered; see reader.Input.
	unanswered atomic.Bool

	mu    sync.Mutex
	stale map[staleSource]time.Time // with the end of the time in which it is passed over
	links map[platform.Kind]*link
	// failed are the failed reads of the platform.
	failed map[platform.Kind]*reader.Failures
	// reading has the kinds that this node reads from the platform itself.
	reading map[platform.Kind]bool
}

// staleSource is a source that is passed over for one kind, or for all kinds if kind is empty.
type staleSource struct {
	node string
	kind platform.Kind
}

// NewClient returns a client that shares the reads of the platform with other nodes.
// watchWait is how long a watch waits for a change.
func NewClient(store platform.Client, m *Mesh, watchWait time.Duration) *Client {
	return &Client{
		Client:    store,
		mesh:      m,
		watchWait: watchWait,
		stale:     make(map[staleSource]time.Time),
		links:     make(map[platform.Kind]*link),
		failed:    make(map[platform.Kind]*reader.Failures),
		reading:   make(map[platform.Kind]bool),
	}
}

// Confirmed returns when the platform last confirmed this node's copy of a kind; zero if it has
// none.
func (c *Client) Confirmed(kind platform.Kind) time.Time { return c.mesh.cfg.Mirror.Confirmed(kind) }

// OutageEnded returns when the last outage of the platform for a kind ended, as far as this node
// and its sources know; zero if there was none.
func (c *Client) OutageEnded(kind platform.Kind) time.Time { return c.mesh.outageEnded(kind) }

// source chooses the source to read a kind from now.
func (c *Client) source(kind platform.Kind) reader.Source {
	now := time.Now()
	confirmed := c.mesh.cfg.Mirror.Confirmed(kind)
	c.mu.Lock()
	var stale []string
	for s, until := range c.stale {
		switch {
		case !now.Before(until):
			delete(c.stale, s)
		case s.kind == "" || s.kind == kind:
			stale = append(stale, s.node)
		}
	}
	c.mu.Unlock()
	return reader.Choose(reader.Input{
		Self:       c.mesh.cfg.Node,
		Members:    c.mesh.Members(),
		SinceStart: now.Sub(c.mesh.started),
		HasSeeds:   len(c.mesh.cfg.Seeds) > 0,
		IsSeed:     c.mesh.isSeed(),
		Stale:      stale,
		Empty:      confirmed.IsZero(),
		Overdue:    c.isOverdue(confirmed, now),
		Unanswered: c.unanswered.Load(),
		Random:     rand.Float64(),
	})
}

// isOverdue reports whether a copy should have been confirmed again by now; see overdueHalfWaits.
func (c *Client) isOverdue(confirmed, now time.Time) bool {
	return !confirmed.IsZero() && now.Sub(confirmed) > overdueHalfWaits*c.watchWait/2
}

// awaitSource chooses a source. A node that has just started waits to discover other
// members first.
func (c *Client) awaitSource(ctx context.Context, kind platform.Kind) (reader.Source, error) {
	for first := true; ; first = false {
		source := c.source(kind)
		if source != (reader.Source{}) {
			c.logSource(kind, source)
			return source, nil
		}
		delay := sourceRetryDelay
		switch {
		case time.Since(c.mesh.started) <= reader.JoinWait:
			delay = joinPollDelay
		case !first:
			return source, platform.ErrUnavailable
		}
		follow.Sleep(ctx, delay)
		if ctx.Err() != nil {
			return source, ctx.Err()
		}
	}
}

// logSource logs when this node begins or ceases to read a kind from the platform itself.
func (c *Client) logSource(kind platform.Kind, source reader.Source) {
	c.mu.Lock()
	was := c.reading[kind]
	c.reading[kind] = source.Platform
	c.mu.Unlock()
	if was == source.Platform {
		return
	}
	fields := log.Fields{"kind": string(kind), "platform": source.Platform, "node": source.Peer}
	c.mesh.cfg.Log.WithFields(fields).Info("source chosen")
}
