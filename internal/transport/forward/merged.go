package forward

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hickorydock/hickorydock/internal/coordination/topk"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// reporter collects the parts of a relay that are ready and sends them as results.
// Parts of several shards cross the hop as the greatest records of all of them, a
// fraction of their bytes.
type reporter struct {
	merge bool
	top   int
	reply func(peer.Result)
	ready []shardPart
}

// shardPart is the part of one shard.
type shardPart struct {
	shard int
	part  part
}

func (r *reporter) add(shard int, p part) { r.ready = append(r.ready, shardPart{shard, p}) }

// flush sends what was added since the last time.
func (r *reporter) flush() {
	ready := r.ready
	r.ready = nil
	if !r.merge {
		for _, one := range ready {
			r.send([]shardPart{one})
		}
		return
	}
	if len(ready) > 0 {
		r.send(ready)
	}
}

// send sends one result with the records of all parts; the results of the others
// have no body.
func (r *reporter) send(parts []shardPart) {
	lead := &contract.Part{Receipt: parts[0].part.receipt}
	records := make([][]byte, len(parts))
	for i, one := range parts {
		records[i] = one.part.records
		if i > 0 {
			lead.Others = append(lead.Others, &contract.MergedPart{Index: uint32(one.shard), Receipt: one.part.receipt})
		}
	}
	lead.Records = topk.Merge(records, r.top)
	body, err := proto.Marshal(lead)
	for i, one := range parts {
		result := peer.Result{Index: one.shard, Status: contract.Status_STATUS_OK}
		switch {
		case err != nil:
			result.Status = contract.Status_STATUS_FAILED
			result.Reason = string(query.ReasonBadReply)
		case i == 0:
			result.Body = body
		}
		r.reply(result)
	}
}

// merged is the records of several shards that a relay answered together. They
// cannot be told apart, so an answer has all of these shards or none.
type merged struct {
	records []byte
	shards  int
}

// parseParts reads a result of a relay for a shard of a batch of so many. The parts of
// further shards share the records of the first.
func parseParts(relay string, result peer.Result, batch int) ([]shardPart, error) {
	var lead contract.Part
	if err := proto.Unmarshal(result.Body, &lead); err != nil {
		return nil, fault.Wrap(err, fault.StepPeer, relay, "part of shard %d not readable", result.Index)
	}
	if lead.Receipt == "" {
		return nil, fault.New(fault.StepPeer, relay, "part of shard %d has no receipt", result.Index)
	}
	first := part{receipt: lead.Receipt, records: lead.Records}
	if len(lead.Others) == 0 {
		return []shardPart{{result.Index, first}}, nil
	}
	together := &merged{records: lead.Records, shards: 1 + len(lead.Others)}
	first = part{receipt: lead.Receipt, merged: together}
	parts := []shardPart{{result.Index, first}}
	seen := map[int]bool{result.Index: true}
	for _, other := range lead.Others {
		index := int(other.Index)
		if index >= batch || seen[index] || other.Receipt == "" {
			return nil, fault.New(fault.StepPeer, relay, "merged part names shard %d of %d, receipt %q", index, batch, other.Receipt)
		}
		seen[index] = true
		parts = append(parts, shardPart{index, part{receipt: other.Receipt, merged: together}})
	}
	return parts, nil
}

// takeMerged hands the parts of a merged result to the gathering. Shards that
// another relay answered by themselves get the merged part instead.
func (x *exchange) takeMerged(now time.Time, parts []shardPart) {
	for _, one := range parts {
		if err := x.query.Replace(now, one.shard, one.part); err != nil {
			x.f.broken("gather", x.req, err)
		}
	}
}

// bodies lists the records of parts, those of a merged result once. An error means
// that parts of a merged result are missing.
func bodies(parts []part) ([][]byte, error) {
	records := make([][]byte, 0, len(parts))
	counts := make(map[*merged]int)
	for _, p := range parts {
		if p.merged == nil {
			records = append(records, p.records)
			continue
		}
		counts[p.merged]++
		if counts[p.merged] == 1 {
			records = append(records, p.merged.records)
		}
	}
	for together, n := range counts {
		if n != together.shards {
			return nil, fmt.Errorf("%d of %d parts of a merged result", n, together.shards)
		}
	}
	return records, nil
}
