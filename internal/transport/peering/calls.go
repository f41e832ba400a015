package peering

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
)

// Times of calls.
const (
	offersTimeout  = time.Second
	reportTimeout  = time.Second
	leavingTimeout = 500 * time.Millisecond
	// forwardTimeout bounds a forwarded command whose caller sets no bound.
	forwardTimeout = time.Minute
)

const (
	// askedForOffers is the most nodes that are asked for what they have in force.
	askedForOffers = 8
	// pendingCharges bounds the charges that wait for one node; further ones are
	// dropped.
	pendingCharges = 256
)

// Offers returns what other nodes have in force, as far as their answers arrive
// in time.
func (n *Network) Offers(ctx context.Context) []Offer {
	asked := n.roster.targets()
	if len(asked) > askedForOffers {
		asked = asked[:askedForOffers]
	}
	var mu sync.Mutex
	var offers []Offer
	n.everyone(asked, func(address string) {
		offer, err := n.askOffer(ctx, address)
		if err != nil {
			n.cfg.Log.WithField("peer", address).WithError(err).Debug("no offer")
			return
		}
		mu.Lock()
		defer mu.Unlock()
		offers = append(offers, offer)
	})
	return offers
}

func (n *Network) askOffer(ctx context.Context, address string) (Offer, error) {
	var offer Offer
	err := n.call(ctx, address, offersTimeout, func(ctx context.Context, client contract.DRPCControlClient) (*contract.Hello, error) {
		reply, err := client.Offers(ctx, &contract.OffersRequest{Hello: n.wire.Hello()})
		if err != nil {
			return nil, err
		}
		offer, err = decodeOffer(reply)
		return reply.Hello, err
	})
	return offer, err
}

func decodeOffer(reply *contract.OffersReply) (Offer, error) {
	offer := Offer{HasCatalogue: reply.HasCatalogue, HasVMs: reply.HasVms, VMsVersion: reply.VmsVersion}
	if offer.HasCatalogue {
		if err := json.Unmarshal(reply.Catalogue, &offer.Catalogue); err != nil {
			return Offer{}, fault.Wrap(err, fault.StepDecode, "", "catalogue")
		}
	}
	if offer.HasVMs {
		if err := json.Unmarshal(reply.Vms, &offer.VMs); err != nil {
			return Offer{}, fault.Wrap(err, fault.StepDecode, "", "list of VMs")
		}
	}
	return offer, nil
}

// Forward sends a ticket's command to the node that issued the ticket. An error
// says nothing about the command.
func (n *Network) Forward(ctx context.Context, node string, f command.Forward) (command.Result, error) {
	address, known := n.roster.find(node)
	if !known {
		return command.Result{}, fault.New(fault.StepPeer, node, "address of the node is not known")
	}
	encoded, err := json.Marshal(f)
	if err != nil {
		return command.Result{}, fault.Wrap(err, fault.StepPeer, node, "encode command")
	}
	if len(encoded) > n.payload() {
		return command.Result{}, tooLarge(node, len(encoded))
	}
	var result command.Result
	err = n.call(ctx, address, forwardTimeout, func(ctx context.Context, client contract.DRPCControlClient) (*contract.Hello, error) {
		reply, err := client.Forward(ctx, &contract.ForwardRequest{Hello: n.wire.Hello(), Command: encoded})
		if err != nil {
			return nil, err
		}
		return reply.Hello, json.Unmarshal(reply.Result, &result)
	})
	return result, err
}

// Broadcast passes a quarantine report on to all other nodes. It does not block.
func (n *Network) Broadcast(r quarantine.Report) {
	charge := &contract.Charge{Kind: contract.ChargeKind(r.Kind), Fingerprint: uint64(r.Fingerprint), Leaf: r.Leaf}
	for _, address := range n.roster.targets() {
		l := n.link(address)
		if l.put(charge) && !n.background(func() { n.sendCharges(address, l) }) {
			return
		}
	}
}

// background runs f unless the network is closing.
func (n *Network) background(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return false
	}
	n.running.Go(f)
	return true
}

// put queues a charge and reports whether nobody sends the queue yet.
func (l *link) put(charge *contract.Charge) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) < pendingCharges {
		l.pending = append(l.pending, charge)
	}
	idle := !l.sending
	l.sending = true
	return idle
}

// take empties the queue; an empty one ends the sending.
func (l *link) take() []*contract.Charge {
	l.mu.Lock()
	defer l.mu.Unlock()
	charges := l.pending
	l.pending = nil
	l.sending = len(charges) > 0
	return charges
}

// sendCharges sends what is queued for one node until nothing is left.
func (n *Network) sendCharges(address string, l *link) {
	n.fan <- struct{}{}
	defer func() { <-n.fan }()
	for charges := l.take(); len(charges) > 0; charges = l.take() {
		err := n.call(n.closing, address, reportTimeout, func(ctx context.Context, client contract.DRPCControlClient) (*contract.Hello, error) {
			reply, err := client.Report(ctx, &contract.ReportRequest{Hello: n.wire.Hello(), Charges: charges})
			if err != nil {
				return nil, err
			}
			return reply.Hello, nil
		})
		if err != nil {
			n.cfg.Log.WithField("peer", address).WithField("charges", len(charges)).WithError(err).Warn("quarantine report not delivered")
		}
	}
}

// Leave tells all other nodes that this one stops. It returns within
// leavingTimeout for each fanOut of them.
func (n *Network) Leave(ctx context.Context) {
	n.everyone(n.roster.targets(), func(address string) {
		err := n.call(ctx, address, leavingTimeout, func(ctx context.Context, client contract.DRPCControlClient) (*contract.Hello, error) {
			reply, err := client.Leaving(ctx, &contract.LeavingRequest{Hello: n.wire.Hello()})
			if err != nil {
				return nil, err
			}
			return reply.Hello, nil
		})
		if err != nil {
			n.cfg.Log.WithField("peer", address).WithError(err).Warn("peer not told of the stop")
		}
	})
}
