package mesh

import (
	"context"
	"errors"
	"time"

	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// service handles calls of other nodes.
type service struct{ mesh *Mesh }

// Follow replies with this node's copy of a kind, or with its changes.
func (s service) Follow(ctx context.Context, request *contract.FollowRequest) (*contract.FollowReply, error) {
	if _, err := s.mesh.peerConfig.Introduce(ctx, request.Hello); err != nil {
		return nil, err
	}
	reply := &contract.FollowReply{Hello: s.mesh.peerConfig.Hello(), Known: true}
	kind := platform.Kind(request.Kind)
	wait := time.Duration(request.WaitMs) * time.Millisecond
	if request.List {
		s.mesh.cfg.Mirror.AwaitKnown(ctx, kind, wait)
		listing, confirmed, ok := s.mesh.cfg.Mirror.List(kind)
		reply.Known = ok
		reply.Version = listing.Version
		for _, o := range listing.Objects {
			reply.Objects = append(reply.Objects, encode(o, false))
		}
		s.setTimes(reply, kind, confirmed)
		return reply, nil
	}
	maxAge := time.Duration(request.MaxAgeMs) * time.Millisecond
	if maxAge > 0 && time.Since(s.mesh.cfg.Mirror.Confirmed(kind)) > maxAge {
		wait = 0
	}
	changes, version, confirmed, err := s.mesh.cfg.Mirror.Changes(ctx, kind, request.From, wait)
	switch {
	case errors.Is(err, platform.ErrTooOld):
		reply.TooOld = true
	case errors.Is(err, platform.ErrUnavailable):
		reply.Known = false
	case err != nil:
		return nil, err
	}
	reply.Version = version
	for _, g := range s.mesh.cfg.Mirror.Gaps(kind, request.From) {
		reply.Gaps = append(reply.Gaps, &contract.Gap{After: g.After, Before: g.Before})
	}
	for _, e := range changes {
		reply.Objects = append(reply.Objects, encode(e.Object, e.Deleted))
	}
	s.setTimes(reply, kind, confirmed)
	return reply, nil
}

// setTimes sets the age of this node's copy of a kind and what it knows of outages.
func (s service) setTimes(reply *contract.FollowReply, kind platform.Kind, confirmed time.Time) {
	reply.AgeMs = millisecondsSince(confirmed)
	s.mesh.report(kind, confirmed, reply)
}

func encode(o platform.Object, deleted bool) *contract.StoredObject {
	return &contract.StoredObject{Name: o.Name, Version: o.Version, Value: o.Value, Deleted: deleted, Heartbeat: o.Heartbeat}
}

// Charge receives quarantine reports.
func (s service) Charge(ctx context.Context, request *contract.ReportRequest) (*contract.ReportReply, error) {
	if _, err := s.mesh.peerConfig.Introduce(ctx, request.Hello); err != nil {
		return nil, err
	}
	if s.mesh.cfg.OnReport == nil {
		return nil, errNoHandler
	}
	for _, message := range request.Charges {
		s.mesh.cfg.OnReport(decodeReport(message))
	}
	return &contract.ReportReply{Hello: s.mesh.peerConfig.Hello()}, nil
}

var errNoHandler = errors.New("call is not taken here")
