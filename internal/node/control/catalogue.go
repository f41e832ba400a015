package control

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
)

// undoBackoff spreads the attempts of all nodes to undo the same drift; the
// first one that succeeds makes the others unnecessary.
var undoBackoff = backoff.Policy{Initial: 3 * time.Second, Max: 10 * time.Second, ResetAfter: time.Hour}

func (c *Control) catalogueListed(ctx context.Context, listing platform.Listing) {
	for _, object := range listing.Objects {
		if object.Name == platform.CatalogueName {
			c.applyStored(ctx, object)
			return
		}
	}
	c.applyStored(ctx, platform.Object{})
}

func (c *Control) catalogueChanged(ctx context.Context, event platform.Event) {
	if event.Object.Name != platform.CatalogueName {
		return
	}
	if event.Deleted {
		c.applyStored(ctx, platform.Object{})
		return
	}
	c.applyStored(ctx, event.Object)
}

// applyStored applies the platform's object, or rejects it and starts to write the
// current catalogue back. A zero object means that the platform has none.
func (c *Control) applyStored(ctx context.Context, object platform.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelUndo != nil {
		c.cancelUndo() // it was conditional on the version of an object that has been replaced
		c.cancelUndo = nil
	}
	var offered note.Catalogue
	if object.Version != 0 {
		if err := json.Unmarshal(object.Value, &offered); err != nil {
			c.cfg.Log.WithField("version", object.Version).WithError(err).Error("stored catalogue cannot be parsed")
			offered = note.Catalogue{}
		}
	}
	decision := c.accept(offered, reconcile.SourcePlatform)
	if decision.NeedUndo {
		undoCtx, cancel := context.WithCancel(ctx)
		c.cancelUndo = cancel
		c.running.Go(func() { c.undoDrift(undoCtx, object.Version, offered) })
	}
}

// ApplyPeerCatalogue applies a peer's catalogue if it is newer than the current one.
func (c *Control) ApplyPeerCatalogue(offered note.Catalogue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accept(offered, reconcile.SourcePeer)
}

// accept applies an offered catalogue if it is newer and returns the decision. The
// caller holds c.mu.
func (c *Control) accept(offered note.Catalogue, source reconcile.Source) reconcile.Acceptance {
	current, known := c.cfg.Store.Current()
	decision := reconcile.Accept(current, offered, source)
	entry := c.cfg.Log.WithField("source", string(source)).WithField("in_force", decision.InForce).WithField("offered", decision.Offered)
	switch decision.Decision {
	case reconcile.Advance:
		c.cfg.Store.Put(offered)
		c.cfg.Metrics.SetCatalogueRevision(offered.Revision)
		entry.Info("catalogue applied")
	case reconcile.Same:
		if !known {
			c.cfg.Store.Put(offered)
			entry.Info("catalogue applied")
		}
	case reconcile.Older:
		c.cfg.Metrics.OldRevisionRefused()
		entry.Warn("older catalogue refused")
	case reconcile.Drift:
		c.cfg.Metrics.OldRevisionRefused()
		entry.Warn("catalogue with other content refused")
	}
	return decision
}

// undoDrift overwrites the drifted object at the given version with the current
// catalogue. It retries until the platform has another version or ctx ends.
func (c *Control) undoDrift(ctx context.Context, version uint64, drifted note.Catalogue) {
	delays := backoff.New(undoBackoff)
	for {
		follow.Sleep(ctx, delays.Next(0, rand.Float64()))
		if ctx.Err() != nil {
			return
		}
		current, _ := c.cfg.Store.Current()
		next := reconcile.Undo(current, drifted, time.Now())
		err := c.writeCatalogue(ctx, version, next)
		if ctx.Err() != nil {
			return
		}
		entry := c.cfg.Log.WithField("revision", next.Revision).WithField("version", version)
		switch {
		case err == nil:
			entry.Warn("drift of the stored catalogue undone")
			return
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrExists), errors.Is(err, platform.ErrNotFound):
			return
		}
		entry.WithError(err).Warn("failed to undo drift of the stored catalogue; retrying")
	}
}

func (c *Control) writeCatalogue(ctx context.Context, version uint64, next note.Catalogue) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if version == 0 {
		_, err = c.cfg.Client.Create(ctx, platform.KindCatalogue, platform.CatalogueName, value)
		return err
	}
	_, err = c.cfg.Client.Update(ctx, platform.Object{
		Kind: platform.KindCatalogue, Name: platform.CatalogueName, Version: version, Value: value,
	})
	return err
}
