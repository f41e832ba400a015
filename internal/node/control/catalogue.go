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

// undoPolicy spreads the attempts of all nodes to undo the same drift; the
// first one that succeeds makes the others unnecessary.
var undoPolicy = backoff.Policy{First: 3 * time.Second, Most: 10 * time.Second, Settled: time.Hour}

func (c *Control) catalogueListed(ctx context.Context, listing platform.Listing) {
	for _, object := range listing.Objects {
		if object.Name == platform.CatalogueName {
			c.offerStored(ctx, object)
			return
		}
	}
	c.offerStored(ctx, platform.Object{})
}

func (c *Control) catalogueChanged(ctx context.Context, event platform.Event) {
	if event.Object.Name != platform.CatalogueName {
		return
	}
	if event.Deleted {
		c.offerStored(ctx, platform.Object{})
		return
	}
	c.offerStored(ctx, event.Object)
}

// offerStored takes the platform's object into force, or refuses it and has the
// platform brought back. A zero object stands for none.
func (c *Control) offerStored(ctx context.Context, object platform.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.undo != nil {
		c.undo() // it was conditional on an object that is replaced
		c.undo = nil
	}
	var offered note.Catalogue
	if object.Version != 0 {
		if err := json.Unmarshal(object.Value, &offered); err != nil {
			c.cfg.Log.WithField("version", object.Version).WithError(err).Error("stored catalogue is not readable")
			offered = note.Catalogue{}
		}
	}
	decision := c.accept(offered, reconcile.SourcePlatform)
	if decision.NeedUndo {
		undo, cancel := context.WithCancel(ctx)
		c.undo = cancel
		c.running.Go(func() { c.undoDrift(undo, object.Version, offered) })
	}
}

// OfferFromPeer takes a peer's catalogue into force when it is newer.
func (c *Control) OfferFromPeer(offered note.Catalogue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accept(offered, reconcile.SourcePeer)
}

// accept requires mu.
func (c *Control) accept(offered note.Catalogue, source reconcile.Source) reconcile.Acceptance {
	inForce, known := c.cfg.Store.Current()
	decision := reconcile.Accept(inForce, offered, source)
	fields := c.cfg.Log.WithField("source", string(source)).WithField("in_force", decision.InForce).WithField("offered", decision.Offered)
	switch decision.Decision {
	case reconcile.Advance:
		c.cfg.Store.Put(offered)
		c.cfg.Metrics.RevisionInForce(offered.Revision)
		fields.Info("catalogue in force")
	case reconcile.Same:
		if !known {
			c.cfg.Store.Put(offered)
			fields.Info("catalogue in force")
		}
	case reconcile.Older:
		c.cfg.Metrics.OldRevisionRefused()
		fields.Warn("older catalogue refused")
	case reconcile.Drift:
		c.cfg.Metrics.OldRevisionRefused()
		fields.Warn("catalogue with other content refused")
	}
	return decision
}

// undoDrift writes the catalogue in force over a drifted object of the given
// version, until the platform holds another version or ctx ends.
func (c *Control) undoDrift(ctx context.Context, version uint64, drifted note.Catalogue) {
	wait := backoff.New(undoPolicy)
	for {
		follow.Sleep(ctx, wait.Next(0, rand.Float64()))
		if ctx.Err() != nil {
			return
		}
		inForce, _ := c.cfg.Store.Current()
		next := reconcile.Undo(inForce, drifted, time.Now())
		err := c.writeCatalogue(ctx, version, next)
		if ctx.Err() != nil {
			return
		}
		fields := c.cfg.Log.WithField("revision", next.Revision).WithField("version", version)
		switch {
		case err == nil:
			fields.Warn("drift of the stored catalogue undone")
			return
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrExists), errors.Is(err, platform.ErrNotFound):
			return
		}
		fields.WithError(err).Warn("drift of the stored catalogue not undone yet")
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
