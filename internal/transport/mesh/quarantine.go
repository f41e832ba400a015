package mesh

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/reader"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
)

const (
	// maxStoredQuarantines bounds the requests in quarantine that the platform holds.
	maxStoredQuarantines = 256
	// restorePeriod is the time after its start in which a node restores quarantines.
	restorePeriod = 30 * time.Second
	// restoreInterval is the time between two checks whether this node has to restore them.
	restoreInterval = 250 * time.Millisecond
)

// RunQuarantines keeps the requests in quarantine in the platform, so that they outlast a
// moment at which all nodes end. It restores them if this node starts at such a moment, and
// stores them when this node has added one. It returns when ctx ends.
func (c *Client) RunQuarantines(ctx context.Context) {
	var restoring sync.WaitGroup
	restoring.Go(func() { c.restoreQuarantines(ctx) })
	defer restoring.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.mesh.crashAttributed:
			c.retryQuarantines(ctx, c.storeQuarantines)
		}
	}
}

// restoreQuarantines reads the stored quarantines if no member runs for longer, which would
// send its own, and this node is one of the readers. The others get them from the readers.
func (c *Client) restoreQuarantines(ctx context.Context) {
	for ctx.Err() == nil && time.Since(c.mesh.started) < restorePeriod {
		follow.Sleep(ctx, restoreInterval)
		members := c.mesh.Members()
		if reader.LongerRunning(members, c.mesh.cfg.Node) != "" {
			return
		}
		if slices.Contains(reader.Readers(members, nil), c.mesh.cfg.Node) {
			c.retryQuarantines(ctx, c.loadQuarantines)
			return
		}
	}
}

// retryQuarantines calls do until it succeeds or ctx ends.
func (c *Client) retryQuarantines(ctx context.Context, do func(context.Context) error) {
	delays := backoff.New(backoff.PlatformFollow)
	for ctx.Err() == nil {
		started := time.Now()
		err := do(ctx)
		if err == nil {
			return
		}
		c.mesh.cfg.Log.WithError(err).Warn("quarantines not stored or restored")
		follow.Sleep(ctx, delays.Next(time.Since(started), rand.Float64()))
	}
}

// loadQuarantines puts the stored requests into quarantine here and at the other members.
func (c *Client) loadQuarantines(ctx context.Context) error {
	_, stored, err := c.readQuarantines(ctx)
	if err != nil {
		return err
	}
	c.stored.add(time.Now(), stored)
	for _, entry := range stored {
		for _, r := range quarantine.Reports(entry.Fingerprint) {
			c.mesh.cfg.OnReport(r)
			c.mesh.Broadcast(r)
		}
	}
	c.mesh.cfg.Log.WithField("entries", len(stored)).Info("quarantines restored")
	return nil
}

// storeQuarantines adds the requests in quarantine to those that the platform holds, unless
// it holds all of them already as far as this node knows.
func (c *Client) storeQuarantines(ctx context.Context) error {
	own := c.mesh.cfg.Quarantines()
	if c.stored.includes(time.Now(), own) {
		return nil
	}
	object, stored, err := c.readQuarantines(ctx)
	if err != nil {
		return err
	}
	value, err := encodeQuarantines(time.Now(), append(own, stored...))
	if err != nil {
		return err
	}
	if object.Version == 0 {
		_, err = c.Client.Create(ctx, platform.KindQuarantine, platform.QuarantineName, value)
	} else {
		object.Value = value
		_, err = c.Client.Update(ctx, object)
	}
	if err != nil {
		return err
	}
	c.stored.add(time.Now(), own)
	c.mesh.cfg.Log.WithField("entries", len(own)).Info("quarantines stored")
	return nil
}

// storedQuarantines holds the ends of the quarantines that the platform holds as far as this
// node knows. It is safe for concurrent use.
type storedQuarantines struct {
	mu    sync.Mutex
	until map[quarantine.Fingerprint]time.Time
}

// add records entries as stored, and forgets those that have ended.
func (s *storedQuarantines) add(now time.Time, entries []quarantine.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.until, func(_ quarantine.Fingerprint, until time.Time) bool { return !now.Before(until) })
	if s.until == nil {
		s.until = make(map[quarantine.Fingerprint]time.Time)
	}
	for _, e := range entries {
		s.until[e.Fingerprint] = now.Add(e.Remaining)
	}
}

// includes reports whether all entries are stored.
func (s *storedQuarantines) includes(now time.Time, entries []quarantine.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(entries, func(e quarantine.Entry) bool { return !now.Before(s.until[e.Fingerprint]) })
}

// readQuarantines returns the stored object, without a version if there is none, and its
// entries. An object that cannot be read has no entries.
func (c *Client) readQuarantines(ctx context.Context) (platform.Object, []quarantine.Entry, error) {
	listing, err := c.Client.List(ctx, platform.KindQuarantine)
	if err != nil {
		return platform.Object{}, nil, err
	}
	for _, object := range listing.Objects {
		if object.Name != platform.QuarantineName {
			continue
		}
		entries, err := decodeQuarantines(time.Now(), object.Value)
		if err != nil {
			c.mesh.cfg.Log.WithError(err).Warn("stored quarantines not readable")
		}
		return object, entries, nil
	}
	return platform.Object{}, nil, nil
}

// encodeQuarantines encodes each fingerprint once, with its longest quarantine. Beyond
// maxStoredQuarantines, those that end first are left out.
func encodeQuarantines(now time.Time, entries []quarantine.Entry) (json.RawMessage, error) {
	slices.SortStableFunc(entries, func(a, b quarantine.Entry) int { return cmp.Compare(b.Remaining, a.Remaining) })
	seen := make(map[quarantine.Fingerprint]bool, len(entries))
	var value platform.Quarantines
	for _, e := range entries {
		if seen[e.Fingerprint] || len(value.Entries) == maxStoredQuarantines {
			continue
		}
		seen[e.Fingerprint] = true
		value.Entries = append(value.Entries, platform.QuarantineEntry{
			Fingerprint: fmt.Sprintf("%016x", uint64(e.Fingerprint)),
			UntilMs:     now.Add(e.Remaining).UnixMilli(),
		})
	}
	return json.Marshal(value)
}

// decodeQuarantines returns the entries that have not ended at now. An entry that cannot be
// read is left out and named in the error.
func decodeQuarantines(now time.Time, value json.RawMessage) ([]quarantine.Entry, error) {
	var stored platform.Quarantines
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, err
	}
	var entries []quarantine.Entry
	var errs []error
	for _, e := range stored.Entries[:min(len(stored.Entries), maxStoredQuarantines)] {
		fingerprint, err := strconv.ParseUint(e.Fingerprint, 16, 64)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if remaining := time.UnixMilli(e.UntilMs).Sub(now); remaining > 0 {
			entries = append(entries, quarantine.Entry{Fingerprint: quarantine.Fingerprint(fingerprint), Remaining: remaining})
		}
	}
	return entries, errors.Join(errs...)
}
