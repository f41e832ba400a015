// Package control keeps a node in line with the platform: it brings newer
// catalogues into force, undoes changes that were made without a note, follows
// the list of VMs and reports the revision in force. While the platform is down
// everything stays in force as it is.
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

// Offer is what one node can tell another that starts while the platform is
// down.
type Offer = peering.Offer

// Peers asks other nodes for what they have in force.
type Peers interface {
	// Offers returns the answers that arrive in time; none is no error.
	Offers(ctx context.Context) []Offer
}

// Metrics receives figures of the control loop. It is met by metrics.Metrics.
type Metrics interface {
	RevisionInForce(revision uint64)
	OldRevisionRefused()
}

// Config configures a Control.
type Config struct {
	Node             string
	AvailabilityZone string
	Client           platform.Client
	Store            *catalogue.Store
	// Peers is asked while the platform cannot be read at start; nil asks nobody.
	Peers Peers
	// OnVMs receives the platform's list, sorted by id, at start and after each
	// change; calls do not overlap.
	OnVMs   func([]platform.VM)
	Log     log.Interface
	Metrics Metrics
}

// Control is a node's control loop. Its methods are safe for concurrent use.
type Control struct {
	cfg     Config
	vms     vmList
	mu      sync.Mutex // guards undo, and orders offers
	undo    context.CancelFunc
	running sync.WaitGroup
}

// New returns a Control that does nothing before Run.
func New(cfg Config) *Control {
	return &Control{cfg: cfg, vms: vmList{deliver: cfg.OnVMs}}
}

// Run follows the platform until ctx ends, then tells it that the node leaves.
func (c *Control) Run(ctx context.Context) {
	catalogues := &follow.Watcher{
		Client:  c.cfg.Client,
		Kind:    platform.KindCatalogue,
		Backoff: backoff.PlatformReconnect,
		OnList:  func(l platform.Listing) { c.catalogueListed(ctx, l) },
		OnEvent: func(e platform.Event) { c.catalogueChanged(ctx, e) },
		OnError: func(err error) { c.logFailure(platform.KindCatalogue, err) },
	}
	vms := &follow.Watcher{
		Client:  c.cfg.Client,
		Kind:    platform.KindVM,
		Backoff: backoff.PlatformReconnect,
		OnList:  c.vms.replace,
		OnEvent: c.vms.change,
		OnError: func(err error) { c.logFailure(platform.KindVM, err) },
	}
	c.running.Go(func() { catalogues.Run(ctx) })
	c.running.Go(func() { vms.Run(ctx) })
	c.running.Go(func() { c.report(ctx) })
	if c.cfg.Peers != nil {
		c.running.Go(func() { c.bootstrap(ctx) })
	}
	c.running.Wait()
}

// Ready returns nil once the node knows a catalogue and a list of VMs, from the
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

// Offer returns what this node knows, for a peer that starts.
func (c *Control) Offer() Offer {
	var offer Offer
	offer.Catalogue, offer.HasCatalogue = c.cfg.Store.Current()
	snapshot, known := c.vms.current()
	offer.VMs, offer.VMsVersion, offer.HasVMs = snapshot.vms, snapshot.version, known
	return offer
}

func (c *Control) logFailure(kind platform.Kind, err error) {
	c.cfg.Log.WithField("kind", string(kind)).WithError(err).Warn("platform watch broken")
}

// Times of the start of a node.
const (
	// bootstrapDelay is the time that the platform has before peers are asked.
	bootstrapDelay = 300 * time.Millisecond
	// bootstrapPause is the longest wait between two rounds of asking peers.
	bootstrapPause = time.Second
)

// bootstrap asks the peers until the node is ready, by their answers or by the
// platform's.
func (c *Control) bootstrap(ctx context.Context) {
	follow.Sleep(ctx, bootstrapDelay)
	for ctx.Err() == nil && c.Ready() != nil {
		c.askPeers(ctx)
		follow.Sleep(ctx, time.Duration((0.5+0.5*rand.Float64())*float64(bootstrapPause)))
	}
}

// askPeers takes over the newest catalogue and the newest list of VMs among the
// peers' answers.
func (c *Control) askPeers(ctx context.Context) {
	offers := c.cfg.Peers.Offers(ctx)
	var catalogues []note.Catalogue
	for _, offer := range offers {
		if offer.HasCatalogue {
			catalogues = append(catalogues, offer.Catalogue)
		}
		if offer.HasVMs {
			c.vms.fromPeer(offer.VMs, offer.VMsVersion)
		}
	}
	if newest, ok := reconcile.Newest(catalogues); ok {
		c.ApplyPeerCatalogue(newest)
	}
}
