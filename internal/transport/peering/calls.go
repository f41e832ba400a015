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

// Timeouts of calls.
const (
	offersTimeout  = time.Second
	reportTimeout  = time.Second
	leavingTimeout = 500 * time.Millisecond
	// forwardTimeout bounds a forwarded command whose caller sets no bound.
	forwardTimeout = time.Minute
)

const (
	// maxOfferRequests is the maximum number of nodes that an offer is requested from.
	maxOfferRequests = 8
	// maxPendingReports bounds the queued reports for one node; further ones are
	// dropped.
	maxPendingReports = 256
)

// Offers returns the offers of other nodes whose replies arrive within offersTimeout.
func (n *Network) Offers(ctx context.Context) []Offer {
	addresses := n.directory.targets()
	if len(addresses) > maxOfferRequests {
		addresses = addresses[:maxOfferRequests]
	}
	var mu sync.Mutex
	var offers []Offer
	n.forEach(addresses, func(address string) {
		offer, err := n.fetchOffer(ctx, address)
		if err != nil {
			n.cfg.Log.WithField("peer", address).WithError(err).Debug("failed to fetch offer of peer")
			return
		}
		mu.Lock()
		defer mu.Unlock()
		offers = append(offers, offer)
	})
	return offers
}

func (n *Network) fetchOffer(ctx context.Context, address string) (Offer, error) {
	var offer Offer
	err := n.call(ctx, address, offersTimeout, func(ctx context.Context, client contract.DRPCControlClient) (*contract.Hello, error) {
		reply, err := client.Offers(ctx, &contract.OffersRequest{Hello: n.peerConfig.Hello()})
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

// Forward sends a ticket's command to the node that issued the ticket. After an error,
// the command may or may not have run.
func (n *Network) Forward(ctx context.Context, node string, f command.ForwardedCommand) (command.Result, error) {
	address, known := n.directory.lookup(node)
	if !known {
		return command.Result{}, fault.New(fault.StepPeer, node, "address of the node is not known")
	}
	encoded, err := json.Marshal(f)
	if err != nil {
		return command.Result{}, fault.Wrap(err, fault.StepPeer, node, "encode command")
	}
	if len(encoded) > n.maxPayload() {
		return command.Result{}, tooLarge(node, len(encoded))
	}
	var result command.Result
	err = n.call(ctx, address, forwardTimeout, func(ctx context.Context, client contract.DRPCControlClient) (*contract.Hello, error) {
		reply, err := client.Forward(ctx, &contract.ForwardRequest{Hello: n.peerConfig.Hello(), Command: encoded})
		if err != nil {
			return nil, err
		}
		return reply.Hello, json.Unmarshal(reply.Result, &result)
	})
	return result, err
}

// Broadcast queues a quarantine report for all other nodes. It does not block.
func (n *Network) Broadcast(r quarantine.Report) {
	message := &contract.Charge{Kind: contract.ChargeKind(r.Kind), Fingerprint: uint64(r.Fingerprint), Leaf: r.Leaf}
	for _, address := range n.directory.targets() {
		l := n.link(address)
		if l.enqueue(message) && !n.background(func() { n.sendReports(address, l) }) {
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

// enqueue queues a report and reports whether no goroutine is sending the queue yet.
func (l *link) enqueue(message *contract.Charge) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) < maxPendingReports {
		l.pending = append(l.pending, message)
	}
	idle := !l.sending
	l.sending = true
	return idle
}

// dequeue empties the queue. If it was empty already, the goroutine that sends it ends.
func (l *link) dequeue() []*contract.Charge {
	l.mu.Lock()
	defer l.mu.Unlock()
	messages := l.pending
	l.pending = nil
	l.sending = len(messages) > 0
	return messages
}

// sendReports sends the reports queued for one node until none is left.
func (n *Network) sendReports(address string, l *link) {
	n.broadcastSlots <- struct{}{}
	defer func() { <-n.broadcastSlots }()
	for messages := l.dequeue(); len(messages) > 0; messages = l.dequeue() {
		err := n.call(n.closing, address, reportTimeout, func(ctx context.Context, client contract.DRPCControlClient) (*contract.Hello, error) {
			reply, err := client.Report(ctx, &contract.ReportRequest{Hello: n.peerConfig.Hello(), Charges: messages})
			if err != nil {
				return nil, err
			}
			return reply.Hello, nil
		})
		if err != nil {
			n.cfg.Log.WithField("peer", address).WithField("charges", len(messages)).WithError(err).Warn("quarantine report not delivered")
		}
	}
}

// Leave notifies all other nodes that this one stops. It returns within leavingTimeout
// for each maxBroadcastCalls of them.
func (n *Network) Leave(ctx context.Context) {
	n.forEach(n.directory.targets(), func(address string) {
		err := n.call(ctx, address, leavingTimeout, func(ctx context.Context, client contract.DRPCControlClient) (*contract.Hello, error) {
			reply, err := client.Leaving(ctx, &contract.LeavingRequest{Hello: n.peerConfig.Hello()})
			if err != nil {
				return nil, err
			}
			return reply.Hello, nil
		})
		if err != nil {
			n.cfg.Log.WithField("peer", address).WithError(err).Warn("failed to notify peer of the stop")
		}
	})
}
