// Package control synchronises a node with the platform: it applies newer
// catalogues, undoes changes that were made without a note, watches the list of VMs
// and reports the current revision. While the platform is down, the node continues
// with its current state.
package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/state/catalogue"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
	"github.com/hickorydock/hickorydock/internal/transport/peering"
)

// Offer is the state that a node sends to another node that starts while the
// platform is down.
type Offer = peering.Offer

// Peers fetches the current catalogue and list of VMs of other nodes.
type Peers interface {
	// Offers returns the offers that arrive in time, possibly none.
	Offers(ctx context.Context) []Offer
}

// Metrics records metrics of the control loop. metrics.Metrics implements it.
type Metrics interface {
	SetCatalogueRevision(revision uint64)
	OldRevisionRefused()
}

// Config configures a Control.
type Config struct {
	Node             string
	AvailabilityZone string
	Client           platform.Client
	Store            *catalogue.Store
	// Peers is used at start while the platform cannot be read; nil means that the
	// node starts from the platform only.
	Peers Peers
	// OnVMs is called with the platform's list, sorted by id, at start and after
	// each change; calls do not overlap.
	OnVMs   func([]platform.VM)
	Log     log.Interface
	Metrics Metrics
}

// Control is a node's control loop. Its methods are safe for concurrent use.
type Control struct {
	cfg        Config
	vms        vmList
	mu         sync.Mutex // guards cancelUndo and serialises accept
	cancelUndo context.CancelFunc
	running    sync.WaitGroup
}

// New returns a Control, which is inactive until Run.
func New(cfg Config) *Control {
	return &Control{cfg: cfg, vms: vmList{onChange: cfg.OnVMs}}
}

// Run watches the platform until ctx ends, then reports to it that the node leaves.
func (c *Control) Run(ctx context.Context) {
	catalogues := &follow.Watcher{
		Client:  c.cfg.Client,
		Kind:    platform.KindCatalogue,
		Backoff: backoff.PlatformReconnect,
		OnList:  func(l platform.Listing) { c.catalogueListed(ctx, l) },
		OnEvent: func(e platform.Event) { c.catalogueChanged(ctx, e) },
		OnError: func(err error) { c.logFailure(platform.KindCatalogue, err) },

		OnTooOld: func(err error) { c.logTooOld(platform.KindCatalogue, err) },
	}
	vms := &follow.Watcher{
		Client:  c.cfg.Client,
		Kind:    platform.KindVM,
		Backoff: backoff.PlatformReconnect,
		OnList:  c.vms.replace,
		OnEvent: c.vms.applyEvent,
		OnError: func(err error) { c.logFailure(platform.KindVM, err) },

		OnTooOld: func(err error) { c.logTooOld(platform.KindVM, err) },
	}
	c.running.Go(func() { catalogues.Run(ctx) })
	c.running.Go(func() { vms.Run(ctx) })
	c.running.Go(func() { c.report(ctx) })
	if c.cfg.Peers != nil {
		c.running.Go(func() { c.bootstrap(ctx) })
	}
	c.running.Wait()
}

// Ready returns nil once the node has a catalogue and a list of VMs, from the
// platform or from peers.
func (c *Control) Ready() error {
	if _, known := c.cfg.Store.Current(); !known {
		return errors.New("no catalogue known yet")
	}
	if _, known := c.vms.current(); !known {
		return errors.New("no list of VMs known yet")
	}
	return nil
}

// Offer returns this node's catalogue and list of VMs for a peer that starts.
func (c *Control) Offer() Offer {
	var offer Offer
	offer.Catalogue, offer.HasCatalogue = c.cfg.Store.Current()
	snapshot, known := c.vms.current()
	offer.VMs, offer.VMsVersion, offer.HasVMs = snapshot.vms, snapshot.version, known
	return offer
}

func (c *Control) logFailure(kind platform.Kind, err error) {
	c.cfg.Log.WithField("kind", string(kind)).WithError(err).Warn("platform watch failed")
}

func (c *Control) logTooOld(kind platform.Kind, err error) {
	c.cfg.Log.WithField("kind", string(kind)).WithError(err).Info("history too old, listing again")
}

// Timing of a start from the offers of peers.
const (
	// bootstrapDelay is how long the node waits for the platform before it fetches from
	// peers.
	bootstrapDelay = 300 * time.Millisecond
	// maxBootstrapInterval is the longest wait between two rounds of requests to peers.
	maxBootstrapInterval = time.Second
)

// bootstrap fetches from the peers until the node is ready, from their replies or
// from the platform.
func (c *Control) bootstrap(ctx context.Context) {
	follow.Sleep(ctx, bootstrapDelay)
	for ctx.Err() == nil && c.Ready() != nil {
		c.fetchFromPeers(ctx)
		follow.Sleep(ctx, time.Duration((0.5+0.5*rand.Float64())*float64(maxBootstrapInterval)))
	}
}

// fetchFromPeers applies the newest catalogue and the newest list of VMs among the
// peers' offers.
func (c *Control) fetchFromPeers(ctx context.Context) {
	offers := c.cfg.Peers.Offers(ctx)
	var catalogues []note.Catalogue
	for _, offer := range offers {
		if offer.HasCatalogue {
			catalogues = append(catalogues, offer.Catalogue)
		}
		if offer.HasVMs {
			c.vms.applyPeerList(offer.VMs, offer.VMsVersion)
		}
	}
	if newest, ok := reconcile.Newest(catalogues); ok {
		c.ApplyPeerCatalogue(newest)
	}
}
