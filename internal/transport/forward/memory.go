package forward

import (
	"net/http"

	"github.com/apex/log"

	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/state/memory"
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

const (
	// batchFactor is the ratio of what a batch of another node costs here to its size: as
	// received, as decoded and as sent to leafs.
	batchFactor = 3
	// relayedFactor is the ratio of what a batch costs its sender to its size: as encoded and as
	// written.
	relayedFactor = 2
)

// rejectForMemory rejects a request that this node has no memory for. It has not run.
func (f *Forwarder) rejectForMemory(w http.ResponseWriter, req *request) {
	f.log.WithFields(log.Fields{"request": req.id, "route": req.route.Name, "outcome": outcomeNotRun}).Info("no memory for request")
	ingress.Refuse(req.httpRequest)
	w.Header().Set("Connection", "close")
	f.reject(w, req.id, http.StatusServiceUnavailable, ingress.RetryAfter)
}

// holdBatch takes the memory of a batch of another node, or rejects the batch, which that node
// then sends elsewhere.
func (f *Forwarder) holdBatch(batch *contract.Batch, reply func(peer.Result)) (*memory.Hold, bool) {
	hold := f.Memory.NewHold()
	if hold.Grow(batchFactor * int64(len(batch.Body))) {
		return hold, true
	}
	hold.Release()
	f.log.WithFields(log.Fields{"request": batch.RequestId, "bytes": len(batch.Body)}).Info("no memory for batch")
	replyNoReplica(len(batch.Shards), reply)
	return nil, false
}
