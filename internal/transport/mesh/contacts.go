package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/coordination/reader"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
)

const (
	// contactAnswerWait is how long the contacts may take to answer a node that starts.
	contactAnswerWait = 20 * time.Millisecond
	// contactInterval is the time between two checks whether this node has to register as a
	// contact, and the time that the members have to find each other before the first one.
	contactInterval = 2 * time.Second
)

// RunContacts joins the other nodes through the addresses that the platform holds, since
// the seeds may start last or be gone, and keeps this node's own address there while it is
// one of the contacts. It returns when ctx ends.
func (c *Client) RunContacts(ctx context.Context) {
	registered := c.joinContacts(ctx)
	era := c.mesh.cfg.Mirror.Era(platform.KindVM)
	delays := backoff.New(backoff.PlatformFollow)
	for ctx.Err() == nil {
		follow.Sleep(ctx, contactInterval)
		if latest := c.mesh.cfg.Mirror.Era(platform.KindVM); latest != era {
			era, registered = latest, false // a restored platform may have lost the address
		}
		members := c.mesh.Members()
		if registered || len(members) <= 1 || !reader.IsContact(members, c.mesh.cfg.Node) {
			continue
		}
		started := time.Now()
		if err := c.register(ctx); err != nil {
			c.mesh.cfg.Log.WithError(err).Debug("failed to register as a contact")
			follow.Sleep(ctx, delays.Next(time.Since(started), rand.Float64()))
			continue
		}
		registered = true
	}
}

// joinContacts calls the contacts that the platform lists. It returns whether this node's
// own address is among them.
func (c *Client) joinContacts(ctx context.Context) (registered bool) {
	listing, err := c.Client.List(ctx, platform.KindContact)
	if err != nil {
		c.mesh.cfg.Log.WithError(err).Debug("contacts not listed")
		return false
	}
	addresses := make([]string, 0, len(listing.Objects))
	for _, o := range listing.Objects {
		address := c.contactAddress(o)
		switch {
		case o.Name == c.mesh.cfg.Node:
			registered = address == c.mesh.cfg.Address
		case address != "":
			addresses = append(addresses, address)
		}
	}
	c.mesh.cfg.Log.WithFields(log.Fields{"contacts": len(addresses), "registered": registered}).Info("contacts listed")
	if len(addresses) == 0 || len(c.mesh.Members()) > 1 {
		return registered
	}
	c.mesh.contacts.Store(&addresses)
	c.mesh.join()
	follow.Sleep(ctx, contactAnswerWait)
	c.unanswered.Store(len(c.mesh.Members()) <= 1)
	return registered
}

// contactAddress returns the address of a contact, or "" if its object is not readable.
func (c *Client) contactAddress(o platform.Object) string {
	var contact platform.Contact
	err := json.Unmarshal(o.Value, &contact)
	if err == nil {
		_, err = netip.ParseAddrPort(contact.Address)
	}
	if err != nil {
		c.mesh.cfg.Log.WithField("contact", o.Name).WithError(err).Warn("contact not readable")
		return ""
	}
	return contact.Address
}

// register stores this node's address as a contact and removes those of absent nodes.
func (c *Client) register(ctx context.Context) error {
	listing, err := c.Client.List(ctx, platform.KindContact)
	if err != nil {
		return err
	}
	value, err := json.Marshal(platform.Contact{Address: c.mesh.cfg.Address})
	if err != nil {
		return err
	}
	own := platform.Object{}
	names := make([]string, 0, len(listing.Objects))
	versions := make(map[string]uint64, len(listing.Objects))
	for _, o := range listing.Objects {
		names = append(names, o.Name)
		versions[o.Name] = o.Version
		if o.Name == c.mesh.cfg.Node {
			own = o
		}
	}
	switch {
	case own.Version == 0:
		_, err = c.Client.Create(ctx, platform.KindContact, c.mesh.cfg.Node, value)
	case !bytes.Equal(own.Value, value):
		own.Value = value
		_, err = c.Client.Update(ctx, own)
	}
	for _, id := range reader.AbsentContacts(c.mesh.Members(), names) {
		err = errors.Join(err, c.Client.Delete(ctx, platform.KindContact, id, versions[id]))
	}
	if err == nil {
		c.mesh.cfg.Log.WithField("address", c.mesh.cfg.Address).Info("registered as a contact")
	}
	return err
}
