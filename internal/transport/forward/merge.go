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

// resultSender collects the parts that a relay has received and sends them as results. If
// merge is set, it merges the parts of several shards and sends only the greatest records,
// which are a fraction of their bytes.
type resultSender struct {
	merge      bool
	maxRecords int
	reply      func(peer.Result)
	ready      []shardPart
}

// shardPart is the part of one shard.
type shardPart struct {
	shard int
	part  part
}

func (r *resultSender) add(shard int, p part) { r.ready = append(r.ready, shardPart{shard, p}) }

// flush sends the parts that were added since the last call.
func (r *resultSender) flush() {
	ready := r.ready
	r.ready = nil
	if !r.merge {
		for _, p := range ready {
			r.send([]shardPart{p})
		}
		return
	}
	if len(ready) > 0 {
		r.send(ready)
	}
}

// send sends one result per part. The first result has the merged records of all
// parts, the others have no body.
func (r *resultSender) send(parts []shardPart) {
	first := &contract.Part{Receipt: parts[0].part.receipt}
	records := make([][]byte, len(parts))
	for i, p := range parts {
		records[i] = p.part.records
		if i > 0 {
			first.Others = append(first.Others, &contract.MergedPart{Index: uint32(p.shard), Receipt: p.part.receipt})
		}
	}
	first.Records = topk.Merge(records, r.maxRecords)
	body, err := proto.Marshal(first)
	for i, p := range parts {
		result := peer.Result{Index: p.shard, Status: contract.Status_STATUS_OK}
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

// mergedResult holds the records of several shards that a relay has merged. They cannot be
// separated, so a response covers all of these shards or none.
type mergedResult struct {
	records    []byte
	shardCount int
}

// parseParts decodes a relay's result for a shard of a batch of batchSize shards. The parts
// of a merged result share their records.
func parseParts(relay string, result peer.Result, batchSize int) ([]shardPart, error) {
	var message contract.Part
	if err := proto.Unmarshal(result.Body, &message); err != nil {
		return nil, fault.Wrap(err, fault.StepPeer, relay, "cannot decode part of shard %d", result.Index)
	}
	if message.Receipt == "" {
		return nil, fault.New(fault.StepPeer, relay, "part of shard %d has no receipt", result.Index)
	}
	first := part{receipt: message.Receipt, records: message.Records}
	if len(message.Others) == 0 {
		return []shardPart{{result.Index, first}}, nil
	}
	shared := &mergedResult{records: message.Records, shardCount: 1 + len(message.Others)}
	first = part{receipt: message.Receipt, merged: shared}
	parts := []shardPart{{result.Index, first}}
	seen := map[int]bool{result.Index: true}
	for _, other := range message.Others {
		index := int(other.Index)
		if index >= batchSize || seen[index] || other.Receipt == "" {
			return nil, fault.New(fault.StepPeer, relay, "merged part names shard %d of %d, receipt %q", index, batchSize, other.Receipt)
		}
		seen[index] = true
		parts = append(parts, shardPart{index, part{receipt: other.Receipt, merged: shared}})
	}
	return parts, nil
}

// addMerged adds the parts of a merged result to the query. They replace the replies that
// another relay has sent for single shards.
func (x *exchange) addMerged(now time.Time, parts []shardPart) {
	for _, p := range parts {
		if err := x.query.Replace(now, p.shard, p.part); err != nil {
			x.f.invariantViolated("gather", x.req, err)
		}
	}
}

// recordSets returns the records of parts, those of a merged result once. It fails if
// parts of a merged result are missing.
func recordSets(parts []part) ([][]byte, error) {
	records := make([][]byte, 0, len(parts))
	counts := make(map[*mergedResult]int)
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
	for shared, n := range counts {
		if n != shared.shardCount {
			return nil, fmt.Errorf("merged result has %d of %d parts", n, shared.shardCount)
		}
	}
	return records, nil
}
