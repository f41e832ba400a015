package forward

import (
	"sync/atomic"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/topk"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// answerDecay is the part of the expected size of answers by which it falls with each answer.
const answerDecay = 8

// answerSize returns the expected size of the answers of a route, in bytes: about the largest
// recent one, with all that was received for it.
func (f *Forwarder) answerSize(route string) *atomic.Int64 {
	if size, ok := f.answerSizes.Load(route); ok {
		return size.(*atomic.Int64)
	}
	size, _ := f.answerSizes.LoadOrStore(route, new(atomic.Int64))
	return size.(*atomic.Int64)
}

// reserveAnswer takes the memory that the answer of a request is expected to need, so that a
// request whose answer could not be held is rejected before it runs.
func (f *Forwarder) reserveAnswer(req *request) bool {
	if req.hold == nil {
		return true
	}
	req.heldAtStart = req.hold.Used()
	return req.hold.Reserve(f.answerSize(req.route.Name).Load())
}

// observeAnswer records what the answer of a request needed.
func (f *Forwarder) observeAnswer(req *request) {
	if req.hold == nil {
		return
	}
	size := f.answerSize(req.route.Name)
	expected := size.Load()
	size.Store(max(req.hold.Used()-req.heldAtStart, expected-expected/answerDecay))
}

// holdResult takes the memory of a result of another node. A result that there is no memory for
// counts as lost.
func (x *exchange) holdResult(e relayEvent) bool {
	if x.req.hold.Grow(int64(len(e.result.Body))) {
		return true
	}
	x.f.log.WithFields(log.Fields{"request": x.req.id, "bytes": len(e.result.Body), "reason": string(query.ReasonLimit)}).Info("no memory for result")
	return false
}

// mergedSize returns what the merge of the records of parts costs, up to a number of records: the
// records that are compared, and the answer.
func mergedSize(parts []part, maxRecords int) int64 {
	total := 0
	for _, p := range parts {
		total += len(p.records)
		if p.merged != nil {
			total += len(p.merged.records)
		}
	}
	return 2 * int64(min(total, maxRecords*topk.RecordSize))
}
