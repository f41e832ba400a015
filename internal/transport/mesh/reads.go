package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/reader"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
)

// promptFailure is how long after its reply was due at the earliest a read that fails counts as
// failed without a timeout.
const promptFailure = 250 * time.Millisecond

// failures returns the failed reads of a kind. The caller holds c.mu.
func (c *Client) failures(kind platform.Kind) *reader.Failures {
	if c.failed[kind] == nil {
		c.failed[kind] = reader.NewFailures()
	}
	return c.failed[kind]
}

// lastReadFailed reports whether this node's last read of a kind from the platform failed.
func (c *Client) lastReadFailed(kind platform.Kind) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures(kind).Any()
}

// readServed records that the platform served a read of this node.
func (c *Client) readServed(kind platform.Kind) {
	c.mesh.readServed(kind)
	c.mu.Lock()
	again := c.failures(kind).Any()
	c.failures(kind).Served()
	c.mu.Unlock()
	if again {
		c.mesh.cfg.Log.WithField("kind", string(kind)).Info("platform read again")
	}
}

// readFailed handles a read of the platform that was sent at a time, whose reply was due at
// another time and that failed with err. It returns errReadAgain if the read is to be repeated: by
// this node after a delay, or from another node, if this one is no reader of the kind for a while,
// since the platform may serve others.
func (c *Client) readFailed(ctx context.Context, kind platform.Kind, err error, sent, due time.Time) error {
	if ctx.Err() != nil || errors.Is(err, platform.ErrTooOld) {
		return err
	}
	now := time.Now()
	c.mesh.readFailed(kind, c.failingSince(kind, sent, due, now))
	if c.mesh.cfg.OnReadFailed != nil {
		c.mesh.cfg.OnReadFailed(string(kind))
	}
	c.mu.Lock()
	retryIn, passOver := c.failures(kind).Failed(now, now.Sub(due) < promptFailure, rand.Float64())
	if passOver > 0 {
		c.stale[staleSource{node: c.mesh.cfg.Node, kind: kind}] = now.Add(passOver)
	}
	c.mu.Unlock()
	fields := log.Fields{"kind": string(kind), "after": now.Sub(sent), "retry_in": retryIn, "passed_over_for": passOver}
	c.mesh.cfg.Log.WithFields(fields).WithError(err).Info("platform read failed")
	if passOver > 0 && c.source(kind).Peer == "" {
		return err // there is no other source
	}
	follow.Sleep(ctx, retryIn)
	return errReadAgain
}

// failingSince returns from when on the platform may not have served this node, of which a read
// fails now that was sent at a time and whose reply was due at another.
func (c *Client) failingSince(kind platform.Kind, sent, due, now time.Time) time.Time {
	confirmed := c.Confirmed(kind)
	switch {
	case now.Before(due): // the platform cut off a read that waited for a change
		return now
	case c.isOverdue(confirmed, now): // nor has it served other nodes
		return confirmed
	}
	return sent.Add(due.Sub(sent) / 2) // at a time that is not known
}
