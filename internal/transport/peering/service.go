package peering

import (
	"context"
	"encoding/json"
	"errors"

	"storj.io/drpc"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
)

// Errors that are returned to other nodes.
var (
	errClosing   = errors.New("node is closing")
	errNoHandler = errors.New("call is not taken here")
	errSelf      = errors.New("node called itself")
)

// helloSlack bounds the size of the fields of a message besides its payload, in bytes.
const helloSlack = 4 << 10

// maxPayload is the maximum size of a message's content, in bytes.
func (n *Network) maxPayload() int { return n.peerConfig.MaxMessageBytes - helloSlack }

// callCounter counts calls until their streams have ended.
type callCounter struct {
	network *Network
	handler drpc.Handler
}

// HandleRPC serves one call.
func (c callCounter) HandleRPC(stream drpc.Stream, rpc string) error {
	if !c.network.beginCall() {
		return errClosing
	}
	// The reply is written out between the return of HandleRPC and the stream's end.
	context.AfterFunc(stream.Context(), c.network.endCall)
	return c.handler.HandleRPC(stream, rpc)
}

// service handles the calls of other nodes.
type service struct{ network *Network }

// checkHello checks the sender of a call and records it as present.
func (s service) checkHello(ctx context.Context, hello *contract.Hello) error {
	if _, err := s.network.peerConfig.Introduce(ctx, hello); err != nil {
		return err
	}
	if hello.Node == s.network.cfg.Self.Node {
		return errSelf
	}
	s.network.directory.markPresent(hello.Node, hello.Incarnation)
	return nil
}

// Offers replies with this node's offer.
func (s service) Offers(ctx context.Context, request *contract.OffersRequest) (*contract.OffersReply, error) {
	if err := s.checkHello(ctx, request.Hello); err != nil {
		return nil, err
	}
	getOffer := s.network.handlers.Load().Offer
	if getOffer == nil {
		return nil, errNoHandler
	}
	offer := getOffer()
	reply := &contract.OffersReply{
		Hello: s.network.peerConfig.Hello(), HasCatalogue: offer.HasCatalogue, HasVms: offer.HasVMs, VmsVersion: offer.VMsVersion,
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
	if size := len(reply.Catalogue) + len(reply.Vms); size > s.maxPayload(request.Hello) {
		return nil, tooLarge(request.Hello.Node, size)
	}
	return reply, nil
}

// maxPayload is the maximum size of the content of a reply to a sender, in bytes.
func (s service) maxPayload(to *contract.Hello) int {
	return min(s.network.maxPayload(), int(to.MaxMessageBytes)-helloSlack)
}

// Forward runs a ticket's command.
func (s service) Forward(ctx context.Context, request *contract.ForwardRequest) (*contract.ForwardReply, error) {
	if err := s.checkHello(ctx, request.Hello); err != nil {
		return nil, err
	}
	forward := s.network.handlers.Load().Forward
	if forward == nil {
		return nil, errNoHandler
	}
	var f command.ForwardedCommand
	if err := json.Unmarshal(request.Command, &f); err != nil {
		return nil, fault.Wrap(err, fault.StepDecode, request.Hello.Node, "forwarded command")
	}
	ctx, span := s.network.startServerSpan(ctx, request.Hello.Node)
	result, err := forward(ctx, f)
	span.End(err)
	if err != nil {
		return nil, err
	}
	encoded, err := encodeResult(result, s.maxPayload(request.Hello))
	if err != nil {
		return nil, fault.Wrap(err, fault.StepPeer, request.Hello.Node, "encode result")
	}
	return &contract.ForwardReply{Hello: s.network.peerConfig.Hello(), Result: encoded}, nil
}

// encodeResult encodes a result. If it exceeds limit bytes, its items are omitted, but not
// their hash.
func encodeResult(result command.Result, limit int) ([]byte, error) {
	encoded, err := json.Marshal(result)
	if err != nil || len(encoded) <= limit || result.Answer == nil {
		return encoded, err
	}
	bounded := result.Answer.Bounded(0)
	result.Answer = &bounded
	return json.Marshal(result)
}

// Report receives quarantine reports.
func (s service) Report(ctx context.Context, request *contract.ReportRequest) (*contract.ReportReply, error) {
	if err := s.checkHello(ctx, request.Hello); err != nil {
		return nil, err
	}
	onReport := s.network.handlers.Load().OnReport
	if onReport == nil {
		return nil, errNoHandler
	}
	for _, message := range request.Charges {
		onReport(quarantine.Report{
			Kind:        quarantine.Kind(message.Kind),
			Fingerprint: quarantine.Fingerprint(message.Fingerprint),
			Leaf:        message.Leaf,
		})
	}
	return &contract.ReportReply{Hello: s.network.peerConfig.Hello()}, nil
}

// Leaving records that a node is stopping.
func (s service) Leaving(ctx context.Context, request *contract.LeavingRequest) (*contract.LeavingReply, error) {
	if err := s.checkHello(ctx, request.Hello); err != nil {
		return nil, err
	}
	s.network.directory.markLeaving(request.Hello.Node, request.Hello.Incarnation)
	s.network.cfg.Log.WithField("peer", request.Hello.Node).Info("peer is leaving")
	return &contract.LeavingReply{Hello: s.network.peerConfig.Hello()}, nil
}
