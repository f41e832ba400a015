package load

import (
	"encoding/json"
	"fmt"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// Violation names a promise that an answer breaks.
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
	// ViolationItemFormat: an item is not of the expected form.
	ViolationItemFormat Violation = "item_unreadable"
)

// shardRule says which shards the items of an answer may be of.
type shardRule int

const (
	// coveredShards: the items of a query are of shards that it covers.
	coveredShards shardRule = iota
	// oneShard: the items of a command are of the one shard that ran it; its
	// coverage counts that shard and not those of the service.
	oneShard
)

// check returns the promises that an answer breaks, each at most once.
func check(a *query.Answer, rule shardRule, standIn bool) map[Violation]string {
	broken := map[Violation]string{}
	missing := checkCoverage(a, broken)
	checkOutcome(a, broken)
	if standIn {
		checkItems(a, rule, missing, broken)
	}
	return broken
}

func checkCoverage(a *query.Answer, broken map[Violation]string) map[int]bool {
	c := a.Coverage
	missing := make(map[int]bool, len(c.Missing))
	for _, m := range c.Missing {
		if m.Shard < 0 || m.Shard >= c.Total || missing[m.Shard] {
			broken[ViolationCoverage] = fmt.Sprintf("request %s: missing shard %d of %d", a.RequestID, m.Shard, c.Total)
		}
		missing[m.Shard] = true
	}
	if c.Covered < 0 || c.Covered+len(c.Missing) != c.Total {
		broken[ViolationCoverage] = fmt.Sprintf("request %s: %d covered and %d missing of %d", a.RequestID, c.Covered, len(c.Missing), c.Total)
	}
	return missing
}

func checkOutcome(a *query.Answer, broken map[Violation]string) {
	complete := a.Coverage.Total > 0 && a.Coverage.Covered == a.Coverage.Total
	fits := true
	switch a.Outcome {
	case query.Done:
		fits = complete
	case query.Partial:
		fits = !complete && a.Coverage.Covered > 0
	case query.Failed:
	default:
		fits = false
	}
	if !fits {
		broken[ViolationOutcome] = fmt.Sprintf("request %s: %s with %d of %d", a.RequestID, a.Outcome, a.Coverage.Covered, a.Coverage.Total)
	}
}

// standInItem is the part of a stand-in's item that tells where it is from.
type standInItem struct {
	Shard      *int    `json:"shard"`
	Generation *uint64 `json:"generation"`
	Version    *uint64 `json:"version"`
}

func checkItems(a *query.Answer, rule shardRule, missing map[int]bool, broken map[Violation]string) {
	only := -1 // the shard of the first item
	for _, raw := range a.Items {
		var item standInItem
		if err := json.Unmarshal(raw, &item); err != nil || item.Shard == nil || item.Generation == nil || item.Version == nil {
			broken[ViolationItemFormat] = fmt.Sprintf("request %s: %.100s", a.RequestID, raw)
			continue
		}
		from := query.Snapshot{Generation: *item.Generation, Version: *item.Version}
		if from != a.Snapshot {
			broken[ViolationSnapshot] = fmt.Sprintf("request %s of snapshot %s: item of %s", a.RequestID, a.Snapshot, from)
		}
		if only < 0 {
			only = *item.Shard
		}
		fits := !missing[*item.Shard] && *item.Shard >= 0 && *item.Shard < a.Coverage.Total
		if rule == oneShard {
			fits = *item.Shard == only
		}
		if !fits {
			broken[ViolationShard] = fmt.Sprintf("request %s: item of shard %d", a.RequestID, *item.Shard)
		}
	}
}
