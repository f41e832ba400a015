package peering

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
)

// Errors that other nodes are told.
var (
	errClosing  = errors.New("node is closing")
	errNotTaken = errors.New("call is not taken here")
	errSelf     = errors.New("node called itself")
	errInternal = errors.New("internal error")
)

// helloSlack is room for the fields of a message around its payload, in bytes.
const helloSlack = 4 << 10

// payload is the largest content of a message, in bytes.
func (n *Network) payload() int { return n.wire.MaxMessageBytes - helloSlack }

// counted counts calls until their streams have ended.
type counted struct {
	network *Network
	mux     *drpcmux.Mux
}

// HandleRPC serves one call; a panic fails only that one.
func (c counted) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	if !c.network.begin() {
		return errClosing
	}
	// The reply is written out between the return of HandleRPC and the stream's end.
	context.AfterFunc(stream.Context(), c.network.finish)
	defer func() {
		if cause := recover(); cause != nil {
			c.network.cfg.Log.WithField("call", rpc).WithField("cause", fmt.Sprint(cause)).Error("call of a peer failed")
			err = errInternal
		}
	}()
	return c.mux.HandleRPC(stream, rpc)
}

// service answers the calls of other nodes.
type service struct{ network *Network }

// greet judges the sender of a call.
func (s service) greet(hello *contract.Hello) error {
	if _, err := s.network.wire.NegotiateVersion(hello); err != nil {
		return err
	}
	if hello.Node == s.network.cfg.Self.Node {
		return errSelf
	}
	s.network.roster.heard(hello.Node, hello.Incarnation)
	return nil
}

// Offers answers with what is in force here.
func (s service) Offers(_ context.Context, request *contract.OffersRequest) (*contract.OffersReply, error) {
	if err := s.greet(request.Hello); err != nil {
		return nil, err
	}
	offered := s.network.handlers.Load().Offer
	if offered == nil {
		return nil, errNotTaken
	}
	offer := offered()
	reply := &contract.OffersReply{
		Hello: s.network.wire.Hello(), HasCatalogue: offer.HasCatalogue, HasVms: offer.HasVMs, VmsVersion: offer.VMsVersion,
	}
	var err error
	if offer.HasCatalogue {
		if reply.Catalogue, err = json.Marshal(offer.Catalogue); err != nil {
			return nil, fault.Wrap(err, fault.StepPeer, "", "encode catalogue")
		}
	}
	if offer.HasVMs {
		if reply.Vms, err = json.Marshal(offer.VMs); err != nil {
			return nil, fault.Wrap(err, fault.StepPeer, "", "encode list of VMs")
		}
	}
	if size := len(reply.Catalogue) + len(reply.Vms); size > s.payload(request.Hello) {
		return nil, tooLarge(request.Hello.Node, size)
	}
	return reply, nil
}

// payload is the largest content of a reply to a sender, in bytes.
func (s service) payload(to *contract.Hello) int {
	return min(s.network.payload(), int(to.MaxMessageBytes)-helloSlack)
}

// Forward runs a ticket's command.
func (s service) Forward(ctx context.Context, request *contract.ForwardRequest) (*contract.ForwardReply, error) {
	if err := s.greet(request.Hello); err != nil {
		return nil, err
	}
	forward := s.network.handlers.Load().Forward
	if forward == nil {
		return nil, errNotTaken
	}
	var f command.ForwardedCommand
	if err := json.Unmarshal(request.Command, &f); err != nil {
		return nil, fault.Wrap(err, fault.StepDecode, request.Hello.Node, "forwarded command")
	}
	ctx, span := s.network.startServed(ctx, request.Hello.Node)
	result, err := forward(ctx, f)
	span.End(err)
	if err != nil {
		return nil, err
	}
	encoded, err := encodeResult(result, s.payload(request.Hello))
	if err != nil {
		return nil, fault.Wrap(err, fault.StepPeer, request.Hello.Node, "encode result")
	}
	return &contract.ForwardReply{Hello: s.network.wire.Hello(), Result: encoded}, nil
}

// encodeResult leaves the items out of a result that exceeds limit; their hash
// stays.
func encodeResult(result command.Result, limit int) ([]byte, error) {
	encoded, err := json.Marshal(result)
	if err != nil || len(encoded) <= limit || result.Answer == nil {
		return encoded, err
	}
	bounded := result.Answer.Bounded(0)
	result.Answer = &bounded
	return json.Marshal(result)
}

// Report takes quarantine reports.
func (s service) Report(_ context.Context, request *contract.ReportRequest) (*contract.ReportReply, error) {
	if err := s.greet(request.Hello); err != nil {
		return nil, err
	}
	hear := s.network.handlers.Load().OnReport
	if hear == nil {
		return nil, errNotTaken
	}
	for _, charge := range request.Charges {
		hear(quarantine.Report{
			Kind:        quarantine.Kind(charge.Kind),
			Fingerprint: quarantine.Fingerprint(charge.Fingerprint),
			Leaf:        charge.Leaf,
		})
	}
	return &contract.ReportReply{Hello: s.network.wire.Hello()}, nil
}

// Leaving notes that a node stops.
func (s service) Leaving(_ context.Context, request *contract.LeavingRequest) (*contract.LeavingReply, error) {
	if err := s.greet(request.Hello); err != nil {
		return nil, err
	}
	s.network.roster.left(request.Hello.Node, request.Hello.Incarnation)
	s.network.cfg.Log.WithField("peer", request.Hello.Node).Info("peer is leaving")
	return &contract.LeavingReply{Hello: s.network.wire.Hello()}, nil
}
