package load

import (
	"encoding/json"
	"fmt"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// Violation names a guarantee that an answer violates.
type Violation string

// Violations that are counted.
const (
	// ViolationCoverage: covered, total and missing shards do not add up.
	ViolationCoverage Violation = "coverage_does_not_add_up"
	// ViolationOutcome: the outcome does not fit the coverage.
	ViolationOutcome Violation = "outcome_does_not_fit_coverage"
	// ViolationSnapshot: an item is not of the stated snapshot.
	ViolationSnapshot Violation = "item_of_another_snapshot"
	// ViolationShard: an item is of a shard that the answer does not cover.
	ViolationShard Violation = "item_of_an_uncovered_shard"
	// ViolationRepeat: a command that was sent again may have run again.
	ViolationRepeat Violation = "repeat_not_recorded"
	// ViolationItemFormat: an item does not have the fields of a stand-in's item.
	ViolationItemFormat Violation = "item_unreadable"
)

// shardRule is the rule for the shards that the items of an answer come from.
type shardRule int

const (
	// coveredShards: the items of a query come from shards that its answer covers.
	coveredShards shardRule = iota
	// oneShard: the items of a command come from the one shard that ran it; its
	// coverage counts only that shard, not all shards of the service.
	oneShard
)

// check returns the guarantees that an answer violates, each once and with an example.
func check(a *query.Answer, rule shardRule, standIn bool) map[Violation]string {
	violations := map[Violation]string{}
	missing := checkCoverage(a, violations)
	checkOutcome(a, violations)
	if standIn {
		checkItems(a, rule, missing, violations)
	}
	return violations
}

func checkCoverage(a *query.Answer, violations map[Violation]string) map[int]bool {
	c := a.Coverage
	missing := make(map[int]bool, len(c.Missing))
	for _, m := range c.Missing {
		if m.Shard < 0 || m.Shard >= c.Total || missing[m.Shard] {
			violations[ViolationCoverage] = fmt.Sprintf("request %s: missing shard %d of %d", a.RequestID, m.Shard, c.Total)
		}
		missing[m.Shard] = true
	}
	if c.Covered < 0 || c.Covered+len(c.Missing) != c.Total {
		violations[ViolationCoverage] = fmt.Sprintf("request %s: %d covered and %d missing of %d", a.RequestID, c.Covered, len(c.Missing), c.Total)
	}
	return missing
}

func checkOutcome(a *query.Answer, violations map[Violation]string) {
	complete := a.Coverage.Total > 0 && a.Coverage.Covered == a.Coverage.Total
	valid := true
	switch a.Outcome {
	case query.Done:
		valid = complete
	case query.Partial:
		valid = !complete && a.Coverage.Covered > 0
	case query.Failed:
	default:
		valid = false
	}
	if !valid {
		violations[ViolationOutcome] = fmt.Sprintf("request %s: %s with %d of %d", a.RequestID, a.Outcome, a.Coverage.Covered, a.Coverage.Total)
	}
}

// standInItem holds the fields of a stand-in's item that identify its origin.
type standInItem struct {
	Shard      *int    `json:"shard"`
	Generation *uint64 `json:"generation"`
	Version    *uint64 `json:"version"`
}

func checkItems(a *query.Answer, rule shardRule, missing map[int]bool, violations map[Violation]string) {
	firstShard := -1
	for _, raw := range a.Items {
		var item standInItem
		if err := json.Unmarshal(raw, &item); err != nil || item.Shard == nil || item.Generation == nil || item.Version == nil {
			violations[ViolationItemFormat] = fmt.Sprintf("request %s: %.100s", a.RequestID, raw)
			continue
		}
		itemSnapshot := query.Snapshot{Generation: *item.Generation, Version: *item.Version}
		if itemSnapshot != a.Snapshot {
			violations[ViolationSnapshot] = fmt.Sprintf("request %s of snapshot %s: item of %s", a.RequestID, a.Snapshot, itemSnapshot)
		}
		if firstShard < 0 {
			firstShard = *item.Shard
		}
		valid := !missing[*item.Shard] && *item.Shard >= 0 && *item.Shard < a.Coverage.Total
		if rule == oneShard {
			valid = *item.Shard == firstShard
		}
		if !valid {
			violations[ViolationShard] = fmt.Sprintf("request %s: item of shard %d", a.RequestID, *item.Shard)
		}
	}
}
